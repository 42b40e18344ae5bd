// Package connection implements HTTP/1.1 servers and clients for the call path.
// Messages are parsed by net/http. Unlike the server and transport of net/http, the
// server reads pipelined requests while earlier ones are running, and the client
// reports whether any byte of a request was written.
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

// Limits bounds what a client may send. They are read for every request, so that a
// new version of the configuration applies to open connections too.
type Limits struct {
	HeaderBytes   int           // of a request header
	BodyBytes     int64         // of a request body, also of a chunked one; 0 for no limit
	HeaderTimeout time.Duration // from the first byte of a header to its last
	IdleTimeout   time.Duration // between requests, for buffering a body, and for each read of a streamed body
}

// DefaultLimits returns the limits that apply without a configuration.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}
}

// ServerConfig configures a server. Handler is required.
type ServerConfig struct {
	// Handler handles each request in a goroutine of its own. The context of the
	// request ends when the client closes the connection. A panic with
	// http.ErrAbortHandler closes the connection.
	Handler http.Handler
	Limits  func() Limits // nil uses DefaultLimits
	// HeaderFirst reports whether handlers run before the body of a request has arrived,
	// so that they can refuse it by its header. Nil means that they do not.
	HeaderFirst func() bool
	TLS         *tls.Config // nil disables TLS
	Log         *zap.Logger // nil disables logging
	// Memory bounds what the connections and their requests hold. Servers of a
	// process share it. Nil sets no limit.
	Memory *Memory
	// Peers is set if the clients are other daemons. Their idle connections are closed
	// for new ones only if no caller has an idle one.
	Peers bool
	// Refuse writes the response to a request that Memory refused. The request has
	// not reached Handler, and its connection ends with the response. Nil writes
	// RefusalStatus and Retry-After.
	Refuse func(w http.ResponseWriter, r Refusal)
}

// Server serves HTTP/1.1 connections.
type Server struct {
	config ServerConfig

	mu           sync.Mutex
	listeners    map[net.Listener]bool
	conns        map[*conn]bool
	noKeepAlives bool          // responses close their connections if no other request follows on the connection
	closed       bool          // no connection is accepted any more
	allConnsGone chan struct{} // closed when no connection is left; nil if nobody waits
}

// NewServer returns a server without listeners.
func NewServer(c ServerConfig) *Server {
	if c.Limits == nil {
		c.Limits = DefaultLimits
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Memory == nil {
		c.Memory = NewMemory(MemoryConfig{})
	}
	if c.Refuse == nil {
		c.Refuse = writeRefusal
	}
	return &Server{config: c, listeners: make(map[net.Listener]bool), conns: make(map[*conn]bool)}
}

// acceptRetryDelay is the delay after a temporary failure to accept a connection,
// such as a lack of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Serve accepts connections until the listener is closed. It returns nil after
// Shutdown or Close.
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
	if !c.openAccount() {
		_ = raw.Close()
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		c.account.end()
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
	if len(s.conns) == 0 && s.allConnsGone != nil {
		close(s.allConnsGone)
		s.allConnsGone = nil
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

// DisableKeepAlives makes every response close its connection if no other request
// follows it on the connection. New connections are still accepted.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noKeepAlives = true
}

// InFlight returns the number of requests that were read and whose responses were
// not written yet.
func (s *Server) InFlight() int {
	n := 0
	for _, c := range s.allConns() {
		n += c.inFlightCount()
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

// Shutdown stops accepting, closes idle connections, reads no further requests from
// the others and waits for the requests in flight until ctx ends.
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
	if s.allConnsGone == nil {
		s.allConnsGone = make(chan struct{})
	}
	s.mu.Unlock()
	for _, c := range s.allConns() {
		c.closeWhenIdle()
	}
	return s.waitForConns(ctx)
}

// waitForConns waits until no connection is left.
func (s *Server) waitForConns(ctx context.Context) error {
	s.mu.Lock()
	gone := s.allConnsGone
	s.mu.Unlock()
	if gone == nil {
		return nil
	}
	select {
	case <-gone:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for requests in flight: %w", ctx.Err())
	}
}

// ErrCanceled is the cause of the end of a request's context after CancelInFlight.
var ErrCanceled = errors.New("the server cancels the requests in flight")

// CancelInFlight is called after Shutdown timed out. It cancels the contexts of the
// requests in flight with the cause ErrCanceled, so that their handlers respond and
// the finished responses queued behind those are sent. It waits until no connection is
// left or ctx ends.
func (s *Server) CancelInFlight(ctx context.Context) error {
	for _, c := range s.allConns() {
		c.cancel(ErrCanceled)
	}
	return s.waitForConns(ctx)
}

// Close closes all listeners and connections immediately.
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
