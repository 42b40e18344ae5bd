package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
)

const (
	dialTimeout = 250 * time.Millisecond
	// gateIdle is shorter than the idle timeout of GateServer, so that the entry
	// closes an idle connection before the gate does.
	gateIdleTimeout = 60 * time.Second
	// backendIdle is shorter than 5 s, a common idle timeout of HTTP servers.
	backendIdleTimeout = 4 * time.Second
	// gateIdleConnections bounds the connections to a gate that stay open after a
	// burst. With 16, an entry with 32 calls at a time to one gate made a handshake
	// for every other call.
	maxIdleGateConnections = 64
	// backendIdleConnections bounds those to a backend server. The gate's slots
	// bound the connections in use.
	maxIdleBackendConnections = 64
	// redials bounds the dials after reused connections turned out to be closed.
	maxRedials = 2
	// sweepInterval is the time between closings of unused connections.
	idleSweepInterval = time.Second
)

// TransportConfig holds the settings of the outgoing connections.
type TransportConfig struct {
	// TLS is the client configuration for gates, with the certificate of this
	// daemon. Nil sends calls to gates without TLS. Without ServerName, the
	// certificate must be valid for the address of the gate.
	TLS *tls.Config
	// Translate maps the address of a gate before it is dialled; nil for none.
	Translate func(netip.AddrPort) netip.AddrPort
	// Source is the local address of connections to gates; the zero value lets
	// the system choose.
	Source netip.Addr
	// Dialect names the header with which backend servers echo the id of a call.
	Dialect Dialect

	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) // replaces TCP in tests
}

// Transports holds the connections to gates and to local backend servers.
type Transports struct {
	config   TransportConfig
	gates    *connection.Client
	backends *connection.Client
}

// NewTransports returns transports without connections.
func NewTransports(c TransportConfig) *Transports {
	t := &Transports{config: c}
	if c.TLS != nil {
		t.config.TLS = c.TLS.Clone()
		t.config.TLS.NextProtos = []string{"http/1.1"}
	}
	t.gates = connection.NewClient(connection.ClientConfig{
		Dial: t.dialGate, IdleTimeout: gateIdleTimeout, MaxIdleConns: maxIdleGateConnections,
		Matches: func(m *connection.Message, r *http.Response) bool {
			return r.Header.Get(HeaderCallID) == m.Header.Get(HeaderCallID)
		},
	})
	t.backends = connection.NewClient(connection.ClientConfig{
		Dial: t.dialBackend, IdleTimeout: backendIdleTimeout, MaxIdleConns: maxIdleBackendConnections, Matches: c.Dialect.matches,
	})
	return t
}

// Run closes connections that are unused for too long, until ctx ends.
func (t *Transports) Run(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.gates.CloseExpired()
			t.backends.CloseExpired()
		}
	}
}

// CloseIdle closes the connections that carry no call.
func (t *Transports) CloseIdle() {
	t.gates.CloseIdle()
	t.backends.CloseIdle()
}

func (t *Transports) dialBackend(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if t.config.dial != nil {
		return t.config.dial(ctx, addr)
	}
	return dial(ctx, addr, netip.Addr{})
}

func (t *Transports) dialGate(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if t.config.dial != nil {
		return t.config.dial(ctx, addr)
	}
	if t.config.Translate != nil {
		addr = t.config.Translate(addr)
	}
	raw, err := dial(ctx, addr, t.config.Source)
	if err != nil || t.config.TLS == nil {
		return raw, err
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

// sent is the outcome of sending a request.
type sendResult struct {
	response *http.Response
	notRun   bool // with err: it is proved that nothing was sent
	err      error
}

// send sends a request. When a reused connection turns out to be closed before
// anything was written, it uses another one; that is no retry, because nothing
// reached a server.
func send(ctx context.Context, c *connection.Client, addr netip.AddrPort, m *connection.Message, o connection.Options) sendResult {
	for n := 0; ; n++ {
		r, err := c.Send(ctx, addr, m, o)
		if err == nil {
			return sendResult{response: r}
		}
		s := sendResult{err: err}
		var e *connection.SendError
		s.notRun = errors.As(err, &e) && !e.Written
		if !s.notRun || !e.Reused || n == maxRedials || ctx.Err() != nil {
			return s
		}
	}
}
