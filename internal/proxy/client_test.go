package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a response that nobody asked for and that is taken for the one
// of the next call, whether it comes with the response before or after it.
func TestUnaskedResponse(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	written := make(chan bool)
	m := rawMesh(t, false, rawServer(t, func(n int64, _ *http.Request, conn net.Conn) bool {
		own := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
		if n%2 == 0 {
			own += stray
		}
		_, _ = io.WriteString(conn, own)
		_, _ = io.WriteString(conn, stray)
		written <- true
		return true
	}))
	for range 20 {
		got := make(chan response, 1)
		go func() { got <- m.do("GET", "/stock", "") }()
		<-written
		if r := <-got; r.StatusCode != 200 || r.body != "own" {
			t.Fatalf("got %d %q, want 200 own", r.StatusCode, r.body)
		}
	}
}

// counted counts the connections that are open.
type counted struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Guards against more connections than the limit, and against cancelled calls
// that use up connections or the wait for one.
func TestConnectionLimit(t *testing.T) {
	const limit = 2
	both := make(chan bool, limit)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			time.Sleep(2 * time.Millisecond)
			return
		}
		both <- true
		for len(both) < limit {
			time.Sleep(time.Millisecond)
		}
	}))
	defer s.Close()
	var open atomic.Int64
	c := newClient(time.Minute, limit, limit, func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		if got := open.Add(1); got > limit {
			t.Errorf("got %d open connections, want at most %d", got, limit)
		}
		conn, err := dial(ctx, addr, netip.Addr{})
		return &counted{Conn: conn, open: &open}, err
	})
	defer c.closeIdle()
	call := func(timeout time.Duration, query string) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		r, _ := http.NewRequestWithContext(ctx, "GET", s.URL+query, nil)
		return c.send(ctx, address(s), func() *http.Request { return r }).err
	}
	var calls sync.WaitGroup
	for i := range 40 {
		calls.Go(func() { _ = call(time.Duration(1+i%8)*time.Millisecond, "/") })
		time.Sleep(time.Millisecond / 2)
	}
	calls.Wait()
	for range limit {
		calls.Go(func() {
			if err := call(time.Minute, "/?both"); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
}

func testClient(t *testing.T, addr netip.AddrPort, r *http.Request) sent {
	c := newClient(time.Second, 1, 1, func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) { return dial(ctx, addr, netip.Addr{}) })
	t.Cleanup(c.closeIdle)
	return c.send(t.Context(), addr, func() *http.Request { return r })
}

// Guards against a large request and a large response that wait for each other.
func TestResponseBeforeRequestIsRead(t *testing.T) {
	const size = 8 << 20 // more than the buffers of two sockets
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = w.Write(make([]byte, size))
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer s.Close()
	r, _ := http.NewRequestWithContext(t.Context(), "POST", s.URL, strings.NewReader(strings.Repeat("x", size)))
	got := testClient(t, address(s), r)
	if got.err != nil {
		t.Fatal(got.err)
	}
	if n, err := io.Copy(io.Discard, got.response.Body); n != size || err != nil {
		t.Errorf("got %d bytes and error %v, want %d", n, err, size)
	}
}

// Guards against 1xx responses that are taken for the response, and against
// headers without bound.
func TestResponseHeader(t *testing.T) {
	for _, c := range []struct {
		early, header int // number of 1xx responses, size
		ok            bool
	}{{0, 0, true}, {4, 1000, true}, {5, 0, false}, {0, maxResponseHeader, false}} {
		addr := rawServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
			early := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", c.early)
			fmt.Fprintf(conn, "%sHTTP/1.1 204 No Content\r\nX-Filler: %s\r\n\r\n", early, strings.Repeat("x", c.header))
			return true
		})
		r, _ := http.NewRequestWithContext(t.Context(), "GET", "http://server/", nil)
		got := testClient(t, addr, r)
		if (got.err == nil) != c.ok || c.ok && got.response.StatusCode != 204 || got.notRun {
			t.Errorf("%+v: got %+v", c, got)
		}
	}
}

// Guards against unused connections that stay open beyond their time.
func TestUnusedConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan time.Time, 1)
		c := newClient(time.Second, 1, 1, func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(far, "HTTP/1.1 204 No Content\r\n\r\n")
				_, _ = far.Read(make([]byte, 1))
				closed <- time.Now()
			}()
			return near, nil
		})
		r, _ := http.NewRequestWithContext(t.Context(), "GET", "http://server/", nil)
		if got := c.send(t.Context(), netip.AddrPort{}, func() *http.Request { return r }); got.err != nil {
			t.Fatal(got.err)
		}
		start := time.Now()
		if got := (<-closed).Sub(start); got != time.Second {
			t.Errorf("got closed after %v, want 1s", got)
		}
	})
}
