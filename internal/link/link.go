// Package link implements the QUIC transport between daemons: one UDP socket,
// mutual TLS 1.3 and one connection per pair of peers.
package link

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// alpnProtocol is the application protocol negotiated by TLS (ALPN).
const alpnProtocol = "peridotlb/2"

// Limits of the transport.
const (
	maxSmallMessage          = 1000                // bytes; an encoded message of this size fits into one packet
	maxQuerySize             = 1 << 20             // bytes of a query
	maxAnswerSize            = 8 << 20             // bytes of an answer
	idleTimeout              = 30 * time.Second    // after which a connection without traffic is closed
	dialTimeout              = 3 * time.Second     // for one attempt, including retransmissions
	streamTimeout            = 15 * time.Second    // transferring 8 MiB takes 2.3 s at 30 Mbit/s
	sharedStreamTimeout      = time.Second         // a small message that can't be written within this time is dropped
	queryTimeout             = 10 * time.Second    // used if the context has no deadline
	maxQueueLength           = 256                 // messages queued for one peer
	maxStreamQueueLength     = 32                  // encoded messages queued for streams to one peer
	maxStreamQueueBytes      = 2 * message.MaxSize // total size of these messages
	maxIncomingStreams       = 8                   // concurrent streams that one peer may open
	maxIncomingSharedStreams = 1                   // concurrent shared streams for small messages, in addition
)

// Application error codes for closing a connection.
const (
	codeStopping  quic.ApplicationErrorCode = 0
	codeMalformed quic.ApplicationErrorCode = 1
)

// Config holds the settings of a Link. Addr, Server and Client are required.
type Config struct {
	// Addr is the control address in this host's row, on which the socket listens.
	Addr netip.AddrPort
	// Server and Client are the configurations returned by LoadTLS, or by
	// InsecureTLS if Insecure is set.
	Server, Client *tls.Config
	// Insecure disables authentication: daemons have no keys and do not verify
	// each other.
	Insecure bool
	// Codec encodes and decodes messages. It can be given access to the versions
	// that this daemon stores.
	Codec message.Codec
	// HandleMessage is called for every received message, concurrently from
	// several goroutines. The address is the sender's control address.
	HandleMessage func(from netip.AddrPort, m message.Message)
	// HandleQuery returns the answer to a query of another daemon. The text of an
	// error is sent to that daemon.
	HandleQuery func(ctx context.Context, from netip.AddrPort, query []byte) ([]byte, error)
	// Stamp returns a new timestamp of this host's hybrid logical clock, which is
	// sent with a message or query. If Stamp is nil, none is sent. Probes and
	// their answers carry no timestamp.
	Stamp func() timeline.Stamp
	// Observe is called with the timestamp of a message or query before
	// HandleMessage or HandleQuery is called, and with the timestamp of an answer
	// before Query returns. Timestamps more than a minute ahead of Now are
	// ignored. Observe may be nil.
	Observe func(timeline.Stamp)
	// Now is the local clock; the default is time.Now. Deadlines of the transport
	// always use the system clock.
	Now func() time.Time
	// NAT translates between the addresses in host rows and the addresses at
	// which this host reaches them.
	NAT NAT
	// IsCrossRegion reports whether a host address is reached over the link
	// between regions. It is called for every packet.
	IsCrossRegion func(netip.Addr) bool
	Log           *zap.Logger

	openUDP func(netip.AddrPort) (udpConn, error) // opens the UDP socket; replaced in tests
}

// Link exchanges messages and queries with the daemons of other hosts.
type Link struct {
	config     Config
	socket     *socket
	transport  *quic.Transport
	listener   *quic.Listener
	quicConfig *quic.Config
	clientTLS  *tls.Config

	ctx        context.Context // canceled when the link closes
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	dropped    atomic.Uint64

	// Lock order: mu, then peer.mu, then closeMu.
	mu    sync.Mutex
	peers map[netip.AddrPort]*peer

	closeMu sync.Mutex
	closed  bool // no new goroutine may be started
}

// Listen opens the socket and starts accepting connections. The link closes
// when ctx is done.
func Listen(ctx context.Context, config Config) (*Link, error) {
	if config.Server == nil || config.Client == nil {
		return nil, errors.New("listen for daemons: TLS configuration is missing")
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Stamp == nil {
		config.Stamp = func() timeline.Stamp { return timeline.Stamp{} }
	}
	if config.Observe == nil {
		config.Observe = func(timeline.Stamp) {}
	}
	if config.IsCrossRegion == nil {
		config.IsCrossRegion = func(netip.Addr) bool { return false }
	}
	statelessResetKey, err := deriveResetKey(config)
	if err != nil {
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	s, err := openSocket(config)
	if err != nil {
		return nil, err
	}
	l := &Link{
		config:     config,
		socket:     s,
		transport:  &quic.Transport{Conn: s, StatelessResetKey: statelessResetKey, ConnectionIDGenerator: newConnIDGenerator()},
		quicConfig: newQUICConfig(),
		clientTLS:  controlTLSConfig(config.Client),
		peers:      map[netip.AddrPort]*peer{},
	}
	rejections := &rejectionLogger{log: config.Log, now: config.Now}
	if l.listener, err = l.transport.Listen(rejections.withLogging(controlTLSConfig(config.Server)), l.quicConfig); err != nil {
		return nil, errors.Join(fmt.Errorf("listen for daemons at %s: %w", config.Addr, err), s.udp.Close())
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.goroutines.Go(l.accept)
	l.goroutines.Go(l.removeIdlePeers)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	return l, nil
}

// newQUICConfig returns a configuration that minimizes the overhead of QUIC: no
// path MTU discovery, no keep-alives and the smallest permitted initial packet.
func newQUICConfig() *quic.Config {
	return &quic.Config{
		Versions:                []quic.Version{quic.Version1},
		HandshakeIdleTimeout:    dialTimeout,
		MaxIdleTimeout:          idleTimeout,
		DisablePathMTUDiscovery: true,
		InitialPacketSize:       1200,
		EnableDatagrams:         true,
		MaxIncomingStreams:      maxIncomingStreams,
		MaxIncomingUniStreams:   maxIncomingStreams + maxIncomingSharedStreams,
	}
}

// controlTLSConfig adapts a TLS configuration to control connections.
func controlTLSConfig(config *tls.Config) *tls.Config {
	c := config.Clone()
	c.NextProtos = []string{alpnProtocol}
	// By default, the handshake includes an ML-KEM key share of 1,184 bytes, which
	// requires a second packet of 1,200 bytes in each direction.
	c.CurvePreferences = []tls.CurveID{tls.X25519}
	// Session tickets contain the client certificate. In a test, a resumed
	// handshake with its new ticket took 4,526 bytes, a full handshake without
	// tickets 3,950.
	c.SessionTicketsDisabled = true
	return c
}

// deriveResetKey derives the key for stateless resets from the private key of
// the host, so that a restarted daemon can reset the connections of its previous
// process. Otherwise, peers would keep sending on them until the idle timeout.
func deriveResetKey(config Config) (*quic.StatelessResetKey, error) {
	if config.Insecure {
		key := quic.StatelessResetKey(sha256.Sum256(insecureResetSecret(config.Addr)))
		return &key, nil
	}
	cert, err := config.Server.GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("private key: %w", err)
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("peridotlb stateless reset\x00"), der...)))
	return &key, nil
}

// Send queues a message for a peer and returns without waiting. The message may
// be lost. The caller must not modify it afterwards, since it is encoded later.
func (l *Link) Send(to netip.AddrPort, m message.Message) {
	if p := l.peer(to); p != nil {
		p.enqueue(m)
	}
}

// Traffic returns the traffic of the socket since it was opened.
func (l *Link) Traffic() Traffic { return l.socket.traffic() }

// Dropped returns the number of messages that were dropped before they were
// sent, because a queue was full, the peer was unreachable or encoding failed.
func (l *Link) Dropped() uint64 { return l.dropped.Load() }

// Addr returns the address of the socket.
func (l *Link) Addr() netip.AddrPort { return addrPortOf(l.socket.LocalAddr()) }

// Close closes all connections and the socket, and waits for all goroutines of
// the link to return.
func (l *Link) Close() error {
	if !l.markClosed() {
		l.goroutines.Wait()
		return nil
	}
	l.cancel()
	l.mu.Lock()
	peers := l.peers
	l.peers = nil
	l.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	err := errors.Join(l.listener.Close(), l.transport.Close(), l.socket.udp.Close())
	l.goroutines.Wait()
	if err != nil {
		return fmt.Errorf("close link: %w", err)
	}
	return nil
}

// markClosed prevents new goroutines from starting. It reports whether this is
// the first call.
func (l *Link) markClosed() bool {
	l.closeMu.Lock()
	defer l.closeMu.Unlock()
	first := !l.closed
	l.closed = true
	return first
}

// startGoroutine runs f in a goroutine that Close waits for. It returns false
// without running f if the link is closed.
func (l *Link) startGoroutine(f func()) bool {
	l.closeMu.Lock()
	defer l.closeMu.Unlock()
	if l.closed {
		return false
	}
	l.goroutines.Go(f)
	return true
}

// peer returns the state of a peer, creating it if necessary, or nil if the link
// is closed.
func (l *Link) peer(addr netip.AddrPort) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		return nil
	}
	p := l.peers[addr]
	if p == nil {
		p = &peer{link: l, addr: addr}
		l.peers[addr] = p
	}
	return p
}

// accept registers incoming connections whose handshake is complete.
func (l *Link) accept() {
	for {
		qc, err := l.listener.Accept(l.ctx)
		if err != nil {
			return
		}
		from := addrPortOf(qc.RemoteAddr())
		p := l.peer(from)
		if p == nil {
			_ = qc.CloseWithError(codeStopping, "")
			return
		}
		p.addConn(qc, from)
	}
}

// removeIdlePeers periodically removes peers that have no connection and no
// queued messages.
func (l *Link) removeIdlePeers() {
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			now := l.config.Now()
			l.mu.Lock()
			for addr, p := range l.peers {
				if p.closeIfIdle(now) {
					delete(l.peers, addr)
				}
			}
			l.mu.Unlock()
		}
	}
}

func (l *Link) dial(ctx context.Context, addr netip.AddrPort) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return l.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), l.clientTLS, l.quicConfig)
}
