package proxy

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	dialTimeout = 250 * time.Millisecond
	// gateIdle is shorter than the idle timeout of GateServer, so that the entry
	// closes an idle connection before the gate does.
	gateIdle = 60 * time.Second
	// backendIdle is shorter than 5 s, a common idle timeout of HTTP servers.
	backendIdle = 4 * time.Second
	// gateConnections bounds the connections from an entry to one gate, and
	// gateIdleConnections those that stay open after a burst. With 16, an entry
	// with 32 calls at a time to one gate made a handshake for every other call.
	gateConnections     = 256
	gateIdleConnections = 64
)

// TransportConfig holds the settings of the outgoing connections.
type TransportConfig struct {
	// TLS is the client configuration for gates, with the certificate of this
	// daemon. Nil sends calls to gates without TLS (for tests). Without
	// ServerName, the certificate must be valid for the address of the gate.
	TLS *tls.Config
	// Translate maps the address of a gate before it is dialled; nil for none.
	Translate func(netip.AddrPort) netip.AddrPort
	// Source is the local address of connections to gates; the zero value lets
	// the system choose.
	Source netip.Addr
}

// Transports holds the connections to gates and to local backend servers.
type Transports struct {
	config TransportConfig
	gates  *client

	mu       sync.Mutex
	backends map[int]*client // by the limit of connections per server
}

// NewTransports returns transports without connections.
func NewTransports(c TransportConfig) *Transports {
	t := &Transports{config: c, backends: make(map[int]*client)}
	t.gates = newClient(gateIdle, gateConnections, gateIdleConnections, t.dialGate)
	if c.TLS != nil {
		t.config.TLS = c.TLS.Clone()
		t.config.TLS.NextProtos = []string{"http/1.1"}
		t.gates.dial = t.dialGateTLS
	}
	return t
}

// CloseIdle closes the connections that carry no call.
func (t *Transports) CloseIdle() {
	t.gates.closeIdle()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.backends {
		b.closeIdle()
	}
}

// backend returns the client for servers with a limit of connections.
func (t *Transports) backend(connections int) *client {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[connections]
	if b == nil {
		b = newClient(backendIdle, connections, max(connections, 1), func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return dial(ctx, addr, netip.Addr{})
		})
		t.backends[connections] = b
	}
	return b
}

func (t *Transports) dialGate(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if t.config.Translate != nil {
		addr = t.config.Translate(addr)
	}
	return dial(ctx, addr, t.config.Source)
}

func (t *Transports) dialGateTLS(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	raw, err := t.dialGate(ctx, addr)
	if err != nil {
		return nil, err
	}
	config := t.config.TLS
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName = addr.Addr().String()
	}
	// The handshake takes one round trip and two signatures; four dial timeouts
	// leave room for a busy host.
	ctx, cancel := context.WithTimeout(ctx, 4*dialTimeout)
	defer cancel()
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("handshake with gate %s: %w", addr, err)
	}
	return conn, nil
}

func dial(ctx context.Context, addr netip.AddrPort, source netip.Addr) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return d.DialContext(ctx, "tcp", addr.String())
}

// trackedConn knows whether anything of the present call was written. With
// HTTP/1.1 a connection carries one call at a time.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin starts a call.
func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal reports whether nothing of the call was written, and makes sure that
// nothing will be. The writer of a large request may still be about to
// write when the call has failed.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote {
		return false
	}
	c.sealed = true
	return true
}
