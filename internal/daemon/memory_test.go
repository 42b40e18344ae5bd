package daemon

import (
	"net"
	"net/http"
	"testing"
)

// Guards against limits that ordinary callers reach, and against a soft limit without
// room for garbage or for the pages that the runtime does not count.
func TestMemoryArithmetic(t *testing.T) {
	const (
		connection = 12 << 10 // bytes, as in internal/connection
		ordinary   = 28_000   // a request with 10 header lines, 500 bytes, and a body of 4 KB
		upload     = 84_000   // a request with 64 KB of its body
	)
	for _, c := range []struct {
		memoryMB             float64
		connections, queued  int
		uploads, descriptors int
	}{
		{memoryMB: 184, connections: 3644, queued: 600, descriptors: 4100},
		{memoryMB: 184, connections: 3644, uploads: 200, descriptors: 4100},
		{memoryMB: 284, connections: 3644, queued: 2900, descriptors: 4100},
		{memoryMB: 536, connections: 3900, queued: 3900, descriptors: 8192},
	} {
		soft, requests := float64(softMemoryLimit(c.memoryMB)), float64(requestsMemory(c.memoryMB, 0))
		if got, want := soft+20e6, c.memoryMB*1e6; got > want {
			t.Errorf("%v MB: got a soft limit with margin of %.0f bytes, want at most %.0f", c.memoryMB, got, want)
		}
		if got, want := requests+baseMemory, soft*0.8; got > want {
			t.Errorf("%v MB: got %.0f bytes of live memory, want at most %.0f", c.memoryMB, got, want)
		}
		if got := callConnections(c.descriptors); got < c.connections {
			t.Errorf("%d descriptors: got %d connections, want at least %d", c.descriptors, got, c.connections)
		}
		// One caller address gets 8/9 of what connections leave.
		left := requests - float64(c.connections*connection)
		if got, want := left*8/9, float64(c.queued*ordinary+c.uploads*upload); got < want {
			t.Errorf("%v MB, %d connections: got %.0f bytes, want %.0f for %d queued calls and %d uploads", c.memoryMB, c.connections, got, want, c.queued, c.uploads)
		}
	}
	if got, want := requestsMemory(184, 10), 10_000_000; got != want {
		t.Errorf("explicit memory for requests: got %d, want %d", got, want)
	}
}

// Guards against control listeners that connections fill which do nothing, so that nobody
// else gets an answer, and against closing a connection with a request instead of an idle
// one.
func TestLimitedListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimitedListener(inner, 3)
	started, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: l.recordState, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-release
		}
	})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	get := func(path string) (*http.Response, error) {
		client := http.Client{Transport: &http.Transport{}}
		r, err := client.Get("http://" + inner.Addr().String() + path)
		if err == nil {
			_ = r.Body.Close()
		}
		return r, err
	}
	slow := make(chan error, 1)
	go func() {
		_, err := get("/slow")
		slow <- err
	}()
	<-started
	for i := range 20 {
		if _, err := get("/"); err != nil {
			t.Errorf("request %d beside idle connections: got %v, want an answer", i, err)
		}
	}
	close(release)
	if err := <-slow; err != nil {
		t.Errorf("slow request: got %v, want an answer", err)
	}
	for i := range 20 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := get("/"); err != nil {
			t.Errorf("request after %d silent connections: got %v, want an answer", i, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if got, want := len(l.open), 3; got > want {
		t.Errorf("open connections: got %d, want at most %d", got, want)
	}
}
