package proxy

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
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
	// redials bounds the dials after reused connections turned out to be closed.
	redials = 2
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
	scheme string
	gates  *http.Transport

	mu       sync.Mutex
	backends map[int]*http.Transport // by the limit of connections per server
}

// NewTransports returns transports without connections.
func NewTransports(c TransportConfig) *Transports {
	t := &Transports{config: c, scheme: "http", backends: make(map[int]*http.Transport)}
	t.gates = newTransport(gateIdle, gateConnections, gateIdleConnections)
	t.gates.DialContext = t.dialGate
	if c.TLS != nil {
		t.scheme = "https"
		t.config.TLS = c.TLS.Clone()
		t.config.TLS.NextProtos = []string{"http/1.1"}
		t.gates.DialTLSContext = t.dialGateTLS
	}
	return t
}

// CloseIdle closes the connections that carry no call.
func (t *Transports) CloseIdle() {
	t.gates.CloseIdleConnections()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.backends {
		b.CloseIdleConnections()
	}
}

// backend returns the transport for servers with a limit of connections.
func (t *Transports) backend(connections int) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[connections]
	if b == nil {
		b = newTransport(backendIdle, connections, max(connections, 1))
		b.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dial(ctx, addr, netip.Addr{})
		}
		t.backends[connections] = b
	}
	return b
}

func newTransport(idle time.Duration, connections, idleConnections int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: 64 << 10,
		Protocols:              protocols,
	}
}

func (t *Transports) dialGate(ctx context.Context, _, addr string) (net.Conn, error) {
	if t.config.Translate != nil {
		ap, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, fmt.Errorf("address of a gate: %w", err)
		}
		addr = t.config.Translate(ap).String()
	}
	return dial(ctx, addr, t.config.Source)
}

func (t *Transports) dialGateTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := t.dialGate(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	config := t.config.TLS
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(addr)
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
	return &trackedConn{Conn: conn}, nil
}

func dial(ctx context.Context, addr string, source netip.Addr) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
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
// nothing will be. The writing goroutine of net/http may still be about to
// write when RoundTrip has returned an error.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote {
		return false
	}
	c.sealed = true
	return true
}

// sent is the outcome of sending a request.
type sent struct {
	response *http.Response
	conn     *trackedConn // nil when there was no connection
	reused   bool
	notRun   bool // with err: it is proved that nothing was sent
	err      error
}

// send makes a request and sends it. When a reused connection turns out to be
// closed before anything was written, it uses another one; that is no retry,
// because nothing reached a server.
func send(ctx context.Context, t *http.Transport, build func(context.Context) *http.Request) sent {
	for n := 0; ; n++ {
		s := sent{}
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			// Every connection of these transports comes from dial or dialGateTLS.
			s.conn = info.Conn.(*trackedConn)
			s.reused = info.Reused
			s.conn.begin()
		}}
		s.response, s.err = t.RoundTrip(build(httptrace.WithClientTrace(ctx, trace)))
		if s.err == nil {
			return s
		}
		s.notRun = s.conn == nil || s.conn.seal()
		if !s.notRun || !s.reused || n == redials || ctx.Err() != nil {
			return s
		}
	}
}
