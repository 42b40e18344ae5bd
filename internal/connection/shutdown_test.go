package connection_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// heldListener accepts connections whose writes return only when they are released.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return heldWriter{c, l.released}, err
}

type heldWriter struct {
	net.Conn
	released chan struct{}
}

func (w heldWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	<-w.released
	return n, err
}

// Guards against a shutdown that waits for the idle timeout of a connection: the client
// has its response, but the server has not recorded that yet when the shutdown begins.
func TestShutdownClosesConnectionOfSentResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := heldListener{l, make(chan struct{})}
	s := connection.NewServer(connection.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "done")
	})})
	served := make(chan error, 1)
	go func() { served <- s.Serve(held) }()
	c := newRawClient(t, l.Addr().String())
	c.send(getRequest("/"))
	if _, got := c.receive(); got != "done" {
		t.Errorf("got %q, want done", got)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	if err := s.Shutdown(ended); err == nil {
		t.Error("shutdown during the write: got no error, want that it waits")
	}
	close(held.released)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // a sixth of the idle timeout
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Errorf("shutdown after the write: got %v, want no error", err)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: got %v, want no error", err)
	}
}
