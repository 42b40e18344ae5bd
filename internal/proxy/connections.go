package proxy

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// client sends requests over HTTP/1.1 and keeps the connections for later ones.
type client struct {
	dial            dialFunc
	idle            time.Duration // after which an unused connection is closed
	connections     int           // most connections per address; 0 for no limit
	idleConnections int           // most unused connections per address

	mu       sync.Mutex
	peers    map[netip.AddrPort]*peer
	sweeping bool // a sweep is scheduled
}

func newClient(idle time.Duration, connections, idleConnections int, dial dialFunc) *client {
	return &client{
		dial: dial, idle: idle, connections: connections, idleConnections: idleConnections,
		peers: make(map[netip.AddrPort]*peer),
	}
}

// peer is an address with its connections. The lock of the client guards it.
type peer struct {
	addr    netip.AddrPort
	open    int           // connections, those that are being dialled included
	dialled int           // connections that are being dialled
	unused  []*clientConn // in the order of their last use
	waiting []chan delivery
}

// delivery is a connection for a waiting call, or the reason why there is none.
type delivery struct {
	conn *clientConn
	err  error
}

// clientConn is a connection with its buffers. It carries one call at a time.
type clientConn struct {
	trackedConn
	peer  *peer
	in    *bufio.Reader
	out   *bufio.Writer
	limit io.LimitedReader // bounds what in reads
	since time.Time        // of the last use, while unused
	abort func()           // closes the connection

	socket  syscall.RawConn // nil for connections without a socket
	inspect func(fd uintptr) bool
	quiet   bool // result of inspect
}

func newClientConn(p *peer, conn net.Conn) *clientConn {
	c := &clientConn{peer: p, socket: socketOf(conn)}
	c.trackedConn.Conn = conn
	c.limit = io.LimitedReader{R: conn}
	c.in, c.out = bufio.NewReader(&c.limit), bufio.NewWriter(c)
	c.abort = func() { _ = c.Close() }
	c.inspect = func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		c.quiet = err == syscall.EAGAIN
		return true
	}
	return c
}

func socketOf(conn net.Conn) syscall.RawConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if s, ok := conn.(syscall.Conn); ok {
		raw, _ := s.SyscallConn() // nil with an error
		return raw
	}
	return nil
}

// usable reports whether an unused connection is open and silent. A closed one
// has an end to read, and anything else would be a response to no request.
func (c *clientConn) usable() bool {
	if c.socket == nil {
		return true
	}
	c.quiet = false
	return c.socket.Read(c.inspect) == nil && c.quiet
}

// get returns an unused connection, or the next one that is dialled or given
// back. A dial goes on when ctx ends, since later calls can use its connection.
func (c *client) get(ctx context.Context, addr netip.AddrPort) (*clientConn, error) {
	c.mu.Lock()
	p := c.peers[addr]
	if p == nil {
		p = &peer{addr: addr}
		c.peers[addr] = p
	}
	for len(p.unused) > 0 {
		conn := p.unused[len(p.unused)-1]
		p.unused = p.unused[:len(p.unused)-1]
		c.mu.Unlock()
		if time.Since(conn.since) < c.idle && conn.usable() {
			return conn, nil
		}
		_ = conn.Close()
		c.mu.Lock()
		p.open--
	}
	ready := make(chan delivery, 1)
	p.waiting = append(p.waiting, ready)
	c.dialMore(p)
	c.mu.Unlock()
	select {
	case d := <-ready:
		return d.conn, d.err
	case <-ctx.Done():
		c.leave(p, ready)
		return nil, context.Cause(ctx)
	}
}

// leave ends the wait of a call. A connection that it got meanwhile is passed on.
func (c *client) leave(p *peer, ready chan delivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(p.waiting, ready); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	} else if d := <-ready; d.conn != nil {
		c.deliver(d.conn)
	}
	c.forget(p)
}

// dialMore dials for the waiting calls within the limit of connections. The
// caller holds the lock.
func (c *client) dialMore(p *peer) {
	for p.dialled < len(p.waiting) && (c.connections <= 0 || p.open < c.connections) {
		p.open++
		p.dialled++
		go c.dialFor(p)
	}
}

func (c *client) dialFor(p *peer) {
	conn, err := c.dial(context.Background(), p.addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.dialled--
	if err == nil {
		c.deliver(newClientConn(p, conn))
		return
	}
	p.open--
	if len(p.waiting) > 0 {
		p.waiting[0] <- delivery{err: err}
		p.waiting = p.waiting[1:]
	}
	c.dialMore(p)
	c.forget(p)
}

// put takes a connection back after a whole response.
func (c *client) put(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(conn)
}

// deliver gives a connection to the first waiting call, or keeps it. The caller
// holds the lock.
func (c *client) deliver(conn *clientConn) {
	p := conn.peer
	switch {
	case len(p.waiting) > 0:
		p.waiting[0] <- delivery{conn: conn}
		p.waiting = p.waiting[1:]
	case len(p.unused) < c.idleConnections:
		conn.since = time.Now()
		p.unused = append(p.unused, conn)
		c.sweepAfter(c.idle)
	default:
		p.open--
		go conn.abort() // TLS may wait for its last record to be written
		c.forget(p)
	}
}

// drop closes a connection.
func (c *client) drop(conn *clientConn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.peer.open--
	c.dialMore(conn.peer)
	c.forget(conn.peer)
}

// forget removes a peer without connections. The caller holds the lock.
func (c *client) forget(p *peer) {
	if p.open == 0 && len(p.waiting) == 0 && c.peers[p.addr] == p {
		delete(c.peers, p.addr)
	}
}

// closeIdle closes the connections that carry no call.
func (c *client) closeIdle() { c.closeUnused(time.Now().Add(c.idle)) }

// closeUnused closes the connections that at a time will have been unused for
// too long, and returns the time at which the next one will have been.
func (c *client) closeUnused(now time.Time) (next time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = c.idle
	for _, p := range c.peers {
		n := 0
		for n < len(p.unused) && now.Sub(p.unused[n].since) >= c.idle {
			go p.unused[n].abort()
			n++
		}
		p.unused = slices.Delete(p.unused, 0, n)
		p.open -= n
		if len(p.unused) > 0 {
			next = min(next, c.idle-now.Sub(p.unused[0].since))
		}
		c.forget(p)
	}
	return next
}

// sweepAfter schedules a sweep unless there is one. The caller holds the lock.
func (c *client) sweepAfter(d time.Duration) {
	if !c.sweeping {
		c.sweeping = true
		time.AfterFunc(d, c.sweep)
	}
}

// sweep closes the connections that have been unused for too long.
func (c *client) sweep() {
	next := c.closeUnused(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweeping = false
	for _, p := range c.peers {
		if len(p.unused) > 0 {
			c.sweepAfter(next)
			return
		}
	}
}
