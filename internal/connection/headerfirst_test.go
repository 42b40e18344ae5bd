package connection_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// startHeaderFirst starts a server whose handler runs before the body of a request has
// arrived. It responds with the length of the body and the error of reading it.
func startHeaderFirst(t *testing.T, idleTimeout time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := connection.DefaultLimits()
	limits.BodyBytes, limits.IdleTimeout = 200<<10, idleTimeout
	s := connection.NewServer(connection.ServerConfig{
		Limits: func() connection.Limits { return limits }, HeaderFirst: func() bool { return true },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/refused" {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			data, err := io.ReadAll(r.Body)
			fmt.Fprint(w, len(data), err)
		}),
	})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() { s.Close(); <-done })
	return l.Addr().String()
}

// Guards against waiting for the body of a request that its header already decides, and
// against requests whose bodies are lost, that are not asked for their bodies, or that
// end the connection, when handlers run before the bodies have arrived.
func TestHeaderFirst(t *testing.T) {
	addr := startHeaderFirst(t, connection.DefaultLimits().IdleTimeout)
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		c := newRawClient(t, addr)
		c.send("POST /refused HTTP/1.1\r\nHost: a\r\n" + expect + "Content-Length: 10\r\n\r\n") // the body never arrives
		if r, _ := c.receive(); r.StatusCode != http.StatusUnauthorized || !r.Close {
			t.Errorf("refused: got %d, closing %v, want 401 on a connection that ends", r.StatusCode, r.Close)
		}
	}
	c := newRawClient(t, addr)
	for _, size := range []int{1, 1000, 100 << 10} {
		body := strings.Repeat("x", size)
		for _, request := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body),
		} {
			c.send("POST /read HTTP/1.1\r\nHost: a\r\n" + request + getRequest("/next"))
			if _, got := c.receive(); got != fmt.Sprint(size, nil) {
				t.Errorf("%d bytes: got %q", size, got)
			}
			if r, got := c.receive(); got != fmt.Sprint(0, nil) || r.Close {
				t.Errorf("after %d bytes: got %q, closing %v", size, got, r.Close)
			}
		}
	}
	c = newRawClient(t, addr)
	c.send("POST /read HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	if r, _ := c.receive(); r.StatusCode != http.StatusContinue {
		t.Errorf("got %d, want 100", r.StatusCode)
	}
	c.send("abc")
	if _, got := c.receive(); got != fmt.Sprint(3, nil) {
		t.Errorf("after 100 Continue: got %q", got)
	}
}

// Guards against a client that holds a request by sending a byte of its body within each
// timeout, and against reading a body that is too large.
func TestHeaderFirstLimits(t *testing.T) {
	addr := startHeaderFirst(t, 300*time.Millisecond)
	slow := newRawClient(t, addr)
	slow.send("POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n")
	if r, _ := slow.receive(); r.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("too large: got %d, want 413", r.StatusCode)
	}
	slow = newRawClient(t, addr)
	slow.send("POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n")
	go func() { // sends a byte within each timeout until the server closes the connection
		for {
			if _, err := io.WriteString(slow, "x"); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	if r, got := slow.receive(); !strings.Contains(got, "timeout") || !r.Close {
		t.Errorf("slow body: got %q, want an error after the timeout", got)
	}
}
