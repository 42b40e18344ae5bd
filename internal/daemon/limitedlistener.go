package daemon

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// limitedListener bounds the open connections of an HTTP server. For a new one it closes
// the oldest idle one, or the oldest if none is idle, so that inactive connections
// can't block new ones.
type limitedListener struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open []*limitedConn // the oldest first
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	idle     bool // between requests; guarded by listener.mu
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, limit: limit}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: raw, listener: l}
	if victim := l.add(c); victim != nil {
		_ = victim.Close()
	}
	return c, nil
}

// add adds a connection and returns the one to close for it; nil if there is room.
func (l *limitedListener) add(c *limitedConn) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = append(l.open, c)
	if len(l.open) <= l.limit {
		return nil
	}
	idle := slices.IndexFunc(l.open, func(c *limitedConn) bool { return c.idle })
	return l.open[max(idle, 0)]
}

// recordState is a callback for the changes of a connection's state in a server.
func (l *limitedListener) recordState(raw net.Conn, state http.ConnState) {
	secure, ok := raw.(interface{ NetConn() net.Conn })
	if ok {
		raw = secure.NetConn()
	}
	c, ok := raw.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.idle = state == http.StateIdle
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.open = slices.DeleteFunc(l.open, func(other *limitedConn) bool { return other == c })
	l.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the writing side. The server uses it so that a client gets the
// response to a request that was not read to its end.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
