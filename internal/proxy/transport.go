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
	// dialTimeout bounds the time to open a TCP connection, without the TLS
	// handshake.
	dialTimeout = 250 * time.Millisecond
	// gateIdleTimeout is shorter than the idle timeout of NewGateServer, so that
	// the entry closes an idle connection before the gate does.
	gateIdleTimeout = 60 * time.Second
	// backendIdleTimeout is shorter than 5 s, a common idle timeout of HTTP
	// servers.
	backendIdleTimeout = 4 * time.Second
	// maxIdleGateConnections bounds the idle connections that are kept to a gate
	// after a burst. With 16, an entry with 32 concurrent calls to one gate needed
	// a handshake for every other call.
	maxIdleGateConnections = 64
	// maxIdleBackendConnections bounds the idle connections that are kept to a
	// backend server. The slots of the gate bound the connections in use.
	maxIdleBackendConnections = 64
	// maxRedials bounds the further connections that are tried after reused ones
	// turned out to be closed.
	maxRedials = 2
	// idleSweepInterval is the interval at which expired idle connections are
	// closed.
	idleSweepInterval = time.Second
)

// TransportConfig configures the outgoing connections.
type TransportConfig struct {
	// TLS is the client configuration for connections to gates, with the
	// certificate of this daemon. Nil disables TLS. Without ServerName, the
	// certificate of a gate must be valid for its address.
	TLS *tls.Config
	// Translate maps the address of a gate before it is dialed; nil disables the
	// translation.
	Translate func(netip.AddrPort) netip.AddrPort
	// Source is the local address of connections to gates. With the zero value, the
	// system chooses it.
	Source netip.Addr
	// Dialect defines the header in which backend servers echo the call id.
	Dialect Dialect

	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) // replaces TCP in tests
}

// Transports holds the connections to gates and local backend servers.
type Transports struct {
	config   TransportConfig
	gates    *connection.Client
	backends *connection.Client
}

// NewTransports returns transports without open connections.
func NewTransports(c TransportConfig) *Transports {
	t := &Transports{config: c}
	if c.TLS != nil {
		t.config.TLS = c.TLS.Clone()
		t.config.TLS.NextProtos = []string{"http/1.1"}
	}
	t.gates = connection.NewClient(connection.ClientConfig{
		Dial: t.dialGate, IdleTimeout: gateIdleTimeout, MaxIdleConns: maxIdleGateConnections,
		Matches: func(m *connection.Message, r *http.Response, _ bool) bool {
			// A connection carries one call at a time and ends with a refusal for lack of
			// memory, so that the refusal belongs to this call.
			return r.Header.Get(HeaderCallID) == m.Header.Get(HeaderCallID) || isMemoryRefusal(r.Header)
		},
	})
	t.backends = connection.NewClient(connection.ClientConfig{
		Dial: t.dialBackend, IdleTimeout: backendIdleTimeout, MaxIdleConns: maxIdleBackendConnections, Matches: c.Dialect.matches, Identifies: c.Dialect.identifies,
	})
	return t
}

// Run closes connections that were idle for too long, until ctx ends.
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
	// The handshake takes one round trip and two signatures. Four dial timeouts
	// leave room for a busy host.
	ctx, cancel := context.WithTimeout(ctx, 4*dialTimeout)
	defer cancel()
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("TLS handshake with gate %s: %w", addr, err)
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

// sendResult is the result of sending a request.
type sendResult struct {
	response *http.Response
	notRun   bool // with err: provably nothing was sent
	err      error
}

// send sends a request. If a reused connection turns out to be closed before
// anything was written, it uses another connection. This does not count as a retry,
// because nothing reached a server.
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
