// Package connection serves and makes HTTP/1.1 connections of the call path.
// Messages are parsed by net/http. The server reads requests behind one that is
// still running, and the client knows whether any byte of a request was written,
// which net/http's own server and transport do not tell.
package connection

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits bounds what a client may send. They are read for every request, so
// that a new version of the configuration takes effect on open connections.
type Limits struct {
	HeaderBytes   int           // of a request's header
	BodyBytes     int64         // of a request's body; 0 for no bound
	HeaderTimeout time.Duration // from the first byte of a header to its last
	IdleTimeout   time.Duration // without a request
}

// DefaultLimits returns the limits that apply without a configuration.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}
}

// ServerConfig holds the settings of a server. Handler is required.
type ServerConfig struct {
	// Handler answers requests. It runs in a goroutine of its own for each
	// request; the context of the request ends when the client closes the
	// connection. http.ErrAbortHandler as a panic closes the connection.
	Handler http.Handler
	Limits  func() Limits // nil takes DefaultLimits
	TLS     *tls.Config   // nil serves without TLS
	Log     *zap.Logger   // nil for none
}

// Server serves HTTP/1.1 connections.
type Server struct {
	config ServerConfig

	mu           sync.Mutex
	listeners    map[net.Listener]bool
	conns        map[*conn]bool
	noKeepAlives bool          // responses close their connections
	closed       bool          // nothing is accepted any more
	noConns      chan struct{} // closed when there is no connection; nil when nobody waits
}

// NewServer returns a server without listeners.
func NewServer(c ServerConfig) *Server {
	if c.Limits == nil {
		c.Limits = DefaultLimits
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return &Server{config: c, listeners: make(map[net.Listener]bool), conns: make(map[*conn]bool)}
}

// acceptRetry is the pause after a failure to accept, such as one for lack of
// descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Serve accepts connections until the listener is closed. It returns nil after
// StopAccepting or Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners[l] = true
	s.mu.Unlock()
	if s.config.TLS != nil {
		l = tls.NewListener(l, s.config.TLS)
	}
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			s.addConn(raw)
		case s.isClosed():
			return nil
		case isTemporary(err):
			time.Sleep(acceptRetryDelay)
		default:
			return fmt.Errorf("accept connections: %w", err)
		}
	}
}

func isTemporary(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout() || errors.Is(err, errTooManyFiles) || errors.Is(err, errConnAborted)
}

func (s *Server) addConn(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = raw.Close()
		return
	}
	s.conns[c] = true
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if len(s.conns) == 0 && s.noConns != nil {
		close(s.noConns)
		s.noConns = nil
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) keepAlivesDisabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noKeepAlives
}

// Retire makes every response that leaves no other request behind it on its
// connection close the connection. New connections are still accepted.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noKeepAlives = true
}

// InFlight returns the number of requests that were read and not yet answered.
func (s *Server) InFlight() int {
	n := 0
	for _, c := range s.allConns() {
		n += c.inFlight()
	}
	return n
}

func (s *Server) allConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Shutdown stops accepting, closes connections without a request, takes no more
// requests from the others and waits for those in flight, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.noKeepAlives, s.closed = true, true
	for l := range s.listeners {
		_ = l.Close()
	}
	if len(s.conns) == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.noConns == nil {
		s.noConns = make(chan struct{})
	}
	s.mu.Unlock()
	for _, c := range s.allConns() {
		c.closeWhenIdle()
	}
	return s.waitForConns(ctx)
}

// wait waits until no connection is left.
func (s *Server) waitForConns(ctx context.Context) error {
	s.mu.Lock()
	idle := s.noConns
	s.mu.Unlock()
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for requests in flight: %w", ctx.Err())
	}
}

// GiveUp follows a Shutdown that has timed out. It ends the contexts of the requests
// in flight, so that their handlers answer, and with them the responses that are
// ready behind theirs. It waits until ctx ends.
func (s *Server) CancelInFlight(ctx context.Context) error {
	for _, c := range s.allConns() {
		c.cancel()
	}
	return s.waitForConns(ctx)
}

// Close closes all listeners and connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.noKeepAlives, s.closed = true, true
	for l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	for _, c := range s.allConns() {
		c.abort()
	}
}
