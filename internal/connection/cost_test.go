package connection

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// headerShapes are header lines that are expensive to keep.
var headerShapes = map[string]func(i int) string{
	"distinct short names": func(i int) string { return shortName(i) + ":\r\n" },
	"distinct long names":  func(i int) string { return fmt.Sprintf("x-%d-%040d:\r\n", i, i) },
	"one name":             func(int) string { return "a:\r\n" },
	"bare line feeds":      func(int) string { return "a:\n" },
	"canonical names":      func(i int) string { return strings.ToUpper(shortName(i)) + ":\n" },
	"short values":         func(i int) string { return shortName(i) + ":b\n" },
	"cookies":              func(int) string { return "Cookie:a\r\n" },
	"unusual characters":   func(i int) string { return shortName(i) + "!~|^:\t\x80\t\r\n" },
	"ordinary":             func(i int) string { return fmt.Sprintf("X-Header-%d: some value of usual size\r\n", i) },
	"long values":          func(int) string { return "v: " + strings.Repeat("v", 2000) + "\r\n" },
}

func shortName(i int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := ""
	for i++; i > 0; i = (i - 1) / len(digits) {
		name += digits[(i-1)%len(digits) : (i-1)%len(digits)+1]
	}
	return name
}

// keptRequest is what a call keeps of a request until its response was written.
type keptRequest struct {
	received []byte
	request  *http.Request
	copy     http.Header
	encoded  []byte
}

func keep(header string) keptRequest {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(header)))
	if err != nil {
		panic(err)
	}
	m := Message{Method: r.Method, Target: "/", Header: maps.Clone(r.Header)}
	return keptRequest{received: []byte(header), request: r, copy: m.Header, encoded: m.encode()}
}

func heapInUse() int {
	runtime.GC()
	runtime.GC() // sync.Pool keeps objects for one more cycle
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int(s.HeapAlloc)
}

// Guards against an estimate that is lower than what the allocator hands out, so that
// admitted requests hold more than the limit.
func TestCostsAreUpperBounds(t *testing.T) {
	for name, line := range headerShapes {
		for _, size := range []int{500, 4 << 10, 16 << 10, 64 << 10} {
			var b strings.Builder
			b.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
			for i := 0; b.Len() < size-len(line(i))-2; i++ {
				b.WriteString(line(i))
			}
			b.WriteString("\r\n")
			header := b.String()
			var scan headerScan
			if !scan.next([]byte(header)) || scan.size != len(header) {
				t.Fatalf("%s, %d bytes: got a header of %d bytes, want %d", name, size, scan.size, len(header))
			}
			kept := make([]keptRequest, 20)
			before := heapInUse()
			for i := range kept {
				kept[i] = keep(header)
			}
			got := (heapInUse() - before) / len(kept)
			runtime.KeepAlive(kept)
			want := headerCost(scan.size, scan.lines)
			t.Logf("%s, %d bytes: %d bytes of %d", name, size, got, want)
			if got > want {
				t.Errorf("%s, header of %d bytes and %d lines: got %d bytes in memory, want at most %d", name, scan.size, scan.lines, got, want)
			}
		}
	}
}
