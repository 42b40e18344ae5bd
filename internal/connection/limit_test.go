package connection_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// startLimited serves a handler with a memory limit in bytes.
func startLimited(t *testing.T, h http.HandlerFunc, c connection.MemoryConfig) (*connection.Memory, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := connection.NewMemory(c)
	s := connection.NewServer(connection.ServerConfig{Handler: h, Memory: m})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Errorf("serve: got %v, want no error", err)
		}
	})
	return m, l.Addr().String()
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// costlyLines are header lines of permitted size that are expensive to keep.
func costlyLines(size int) string { return strings.Repeat("a:\r\n", size/4) }

// Guards against a refusal before the responses to earlier requests, a refusal of a
// request that runs, a connection that stays open although the rest of the refused
// request was not read, and memory that is not released.
func TestRefusalFollowsEarlierResponses(t *testing.T) {
	release := make(chan struct{})
	ran := make(chan string, 10)
	m, addr := startLimited(t, func(w http.ResponseWriter, r *http.Request) {
		ran <- r.URL.Path
		<-release
		fmt.Fprint(w, r.URL.Path)
	}, connection.MemoryConfig{Limit: 4 << 20})
	c := newRawClient(t, addr)
	request := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n" + costlyLines(8000) + "\r\nbody"
	}
	c.send(request("/1") + request("/2") + getRequest("/3"))
	waitFor(t, "a refusal", func() bool { return m.Refused(connection.ConnectionAtLimit) == 1 })
	close(release)
	if r, body := c.receive(); r.StatusCode != http.StatusOK || body != "/1" {
		t.Errorf("first response: got %d %q, want 200 /1", r.StatusCode, body)
	}
	r, _ := c.receive()
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("second response: got %d %v, want 503 with Retry-After and Connection: close", r.StatusCode, r.Header)
	}
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		t.Errorf("after the refusal: got %q, %v, want the end of the connection", rest, err)
	}
	_ = c.Close()
	waitFor(t, "the release of all memory", func() bool { return m.Use().Used == 0 })
	if got := len(ran); got != 1 {
		t.Errorf("requests run: got %d, want 1", got)
	}
}

// Guards against a limit that refuses the most expensive permitted request although
// nothing else is in memory, and against losing bytes of headers that don't fit into
// the read buffer, wherever they are split.
func TestLongHeadersAreServed(t *testing.T) {
	_, addr := startLimited(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, len(r.Header["A"]), " ", len(body))
	}, connection.MemoryConfig{Limit: 64 << 20})
	for _, size := range []int{100, 4000, 4096, 4097, 8192, 16384, 60000} {
		for _, end := range []string{"\r\n", "\n"} {
			lines := strings.ReplaceAll(costlyLines(size), "\r\n", end)
			request := "POST / HTTP/1.1" + end + "Host: x" + end + "Content-Length: 9000" + end + lines + end + strings.Repeat("b", 9000)
			want := fmt.Sprint(size/4, " ", 9000)
			for _, pieces := range []int{1, 2, 7} {
				c := newRawClient(t, addr)
				for range 2 {
					for i := range pieces {
						c.send(request[i*len(request)/pieces : (i+1)*len(request)/pieces])
						time.Sleep(time.Millisecond)
					}
					if r, got := c.receive(); r.StatusCode != http.StatusOK || got != want {
						t.Fatalf("header of %d bytes in %d pieces: got %d %q, want 200 %q", size, pieces, r.StatusCode, got, want)
					}
				}
				_ = c.Close()
			}
		}
	}
}

// Guards against pipelined long headers of which one takes bytes of the next, also when
// more was received than the next header needs.
func TestPipelinedLongHeaders(t *testing.T) {
	_, addr := startLimited(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.URL.Path, " ", len(r.Header["A"]))
	}, connection.MemoryConfig{Limit: 1 << 30})
	for round := range 20 {
		c := newRawClient(t, addr)
		var all strings.Builder
		var want []string
		for i := range 30 {
			size := 1000 * i
			if round > 0 {
				size = 5000 + 28000*((i+1)%15/14) // one header that needs a large buffer before 14 that don't
			}
			fmt.Fprintf(&all, "GET /%d HTTP/1.1\r\nHost: x\r\n%s\r\n", i, costlyLines(size))
			want = append(want, fmt.Sprintf("/%d %d", i, size/4))
		}
		go func() { _, _ = io.WriteString(c.Conn, all.String()) }()
		for i := range want {
			if _, got := c.receive(); got != want[i] {
				t.Fatalf("response %d: got %q, want %q", i, got, want[i])
			}
		}
	}
}

// Guards against a header that no idle daemon could keep and that is refused with a
// status which asks for a repetition.
func TestTooCostlyHeader(t *testing.T) {
	m, addr := startLimited(t, func(http.ResponseWriter, *http.Request) {}, connection.MemoryConfig{Limit: 1 << 20})
	c := newRawClient(t, addr)
	c.send("GET / HTTP/1.1\r\nHost: x\r\n" + costlyLines(16000) + "\r\n")
	if r, _ := c.receive(); r.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %d, want 431", r.StatusCode)
	}
	if got := m.Refused(connection.RequestTooCostly); got != 1 {
		t.Errorf("refusals: got %d, want 1", got)
	}
}

// Guards against bodies that take memory before they arrive when little is left, and
// against slow bodies that are not charged.
func TestBodyIsChargedAsItArrives(t *testing.T) {
	m, addr := startLimited(t, func(http.ResponseWriter, *http.Request) {}, connection.MemoryConfig{Limit: 8 << 20})
	start := func() (c *rawClient, before int) {
		before = m.Use().Used
		c = newRawClient(t, addr)
		c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n")
		// The connection, the request and the first buffer of the body.
		waitFor(t, "a reservation", func() bool { return m.Use().Used > before+(33<<10) })
		return c, before
	}
	for m.Use().Used < 3<<20 { // more than a quarter of the limit is held by requests
		start()
	}
	c, before := start()
	if got, want := m.Use().Used-before, 60000; got > want {
		t.Errorf("before the body arrived: got %d bytes, want at most %d", got, want)
	}
	c.send(strings.Repeat("b", 50000))
	waitFor(t, "a charge for the body", func() bool { return m.Use().Used-before > 60000 })
	c.send(strings.Repeat("b", 10000))
	c.receive()
}

// Guards against new connections that are refused because of idle ones, and against
// more connections than the descriptors allow.
func TestIdleConnectionMakesRoom(t *testing.T) {
	m, addr := startLimited(t, func(http.ResponseWriter, *http.Request) {}, connection.MemoryConfig{Connections: 3})
	var all []*rawClient
	for range 6 {
		c := newRawClient(t, addr)
		c.send(getRequest("/"))
		c.receive()
		all = append(all, c)
	}
	if got, want := m.Refused(connection.Evicted), uint64(3); got != want {
		t.Errorf("connections closed: got %d, want %d", got, want)
	}
	if got, want := m.Use().Connections, 3; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
	if _, err := all[0].in.ReadByte(); err == nil {
		t.Error("first connection: got a byte, want it closed")
	}
}

// Guards against responses that nobody reads and that are kept without a limit.
func TestUnreadResponsesAreAborted(t *testing.T) {
	const large = 30
	var running sync.WaitGroup
	running.Add(large)
	m, addr := startLimited(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-r.Context().Done()
			return
		}
		// A request would be refused once the responses to others are charged.
		running.Done()
		running.Wait()
		_, _ = w.Write(make([]byte, connection.BufferLimit))
	}, connection.MemoryConfig{Limit: 2 << 20})
	c := newRawClient(t, addr)
	c.send(getRequest("/first") + strings.Repeat(getRequest("/large"), large))
	waitFor(t, "the end of the connection", func() bool { return m.Refused(connection.Aborted) > 0 && m.Use().Used == 0 })
}
