// Package link is the QUIC transport between daemons: one UDP socket, mutual
// TLS 1.3, one connection per pair of peers.
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

// protocol is the ALPN name.
const alpnProtocol = "peridotlb/2"

// Limits of the transport.
const (
	maxSmallMessage          = 1000                // bytes of an encoded message that fits one packet
	maxQuerySize             = 1 << 20             // bytes of a query
	maxAnswerSize            = 8 << 20             // bytes of an answer
	idleTimeout              = 30 * time.Second    // closes connections that carry nothing
	dialTimeout              = 3 * time.Second     // one attempt, including its retransmissions
	streamTimeout            = 15 * time.Second    // 8 MiB take 2.3 s at 30 Mbit/s
	sharedStreamTimeout      = time.Second         // a small message that waits longer is given up
	queryTimeout             = 10 * time.Second    // when the context has no deadline
	maxQueueLength           = 256                 // messages waiting for one peer
	maxStreamQueueLength     = 32                  // encoded messages waiting for a stream to one peer
	maxStreamQueueBytes      = 2 * message.MaxSize // bytes of these messages
	maxIncomingStreams       = 8                   // open streams that one peer may have
	maxIncomingSharedStreams = 1                   // open sequences of small messages, besides
)

// Application error codes of a closed connection.
const (
	codeStopping  quic.ApplicationErrorCode = 0
	codeMalformed quic.ApplicationErrorCode = 1
)

// Config holds the settings of a Link. Addr, Server and Client are required.
type Config struct {
	// Addr is the control address in this host's row; the socket listens there.
	Addr netip.AddrPort
	// Server and Client come from LoadTLS, or from OpenTLS with Open.
	Server, Client *tls.Config
	// Open says that daemons have no keys and do not verify each other.
	Insecure bool
	// Codec gives encoding and decoding access to held versions.
	Codec message.Codec
	// Receive is called for every message, from several goroutines at once. The
	// address is the sender's control address.
	HandleMessage func(from netip.AddrPort, m message.Message)
	// Answer answers a query of another daemon. The text of an error is sent to
	// the asker.
	HandleQuery func(ctx context.Context, from netip.AddrPort, query []byte) ([]byte, error)
	// Stamp returns a new stamp of this host's hybrid logical clock for a message
	// or query; nil sends none. Probes and their answers carry no stamps.
	Stamp func() timeline.Stamp
	// Observe takes the stamp of a message before Receive, Answer or the return
	// of Ask. Stamps more than a minute ahead of Now are left out. It may be nil.
	Observe func(timeline.Stamp)
	// Now is the local clock; nil takes time.Now. Deadlines of the transport
	// follow the system's clock.
	Now func() time.Time
	// NAT maps addresses of host rows to those that this host reaches them at.
	NAT NAT
	// Remote selects the host addresses that are reached over the link between
	// regions. It is called for every packet.
	IsCrossRegion func(netip.Addr) bool
	Log           *zap.Logger

	openUDP func(netip.AddrPort) (udpConn, error) // replaces the UDP socket in tests
}

// Link sends messages to peers and receives theirs.
type Link struct {
	config     Config
	socket     *socket
	transport  *quic.Transport
	listener   *quic.Listener
	quicConfig *quic.Config
	clientTLS  *tls.Config

	ctx        context.Context // ends when the link closes
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	dropped    atomic.Uint64

	// Lock order: mu, then peer.mu, then life.
	mu    sync.Mutex
	peers map[netip.AddrPort]*peer

	closeMu sync.Mutex
	closed  bool // no goroutine may start
}

// Listen opens the socket and starts to accept connections. The link closes
// when ctx ends.
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
	resetKey, err := deriveResetKey(config)
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
		transport:  &quic.Transport{Conn: s, StatelessResetKey: resetKey, ConnectionIDGenerator: newConnIDGenerator()},
		quicConfig: newQUICConfig(),
		clientTLS:  controlTLSConfig(config.Client),
		peers:      map[netip.AddrPort]*peer{},
	}
	refused := &rejectionLogger{log: config.Log, now: config.Now}
	if l.listener, err = l.transport.Listen(refused.wrap(controlTLSConfig(config.Server)), l.quicConfig); err != nil {
		return nil, errors.Join(fmt.Errorf("listen for daemons at %s: %w", config.Addr, err), s.udp.Close())
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.goroutines.Go(l.accept)
	l.goroutines.Go(l.removeIdlePeers)
	context.AfterFunc(ctx, func() { _ = l.Close() })
	return l, nil
}

// quicConfig keeps the bytes that QUIC adds low: no packets for path MTU
// discovery, no keep-alives, and the smallest permitted first packet.
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

// controlTLS adapts a configuration of LoadTLS to control connections.
func controlTLSConfig(config *tls.Config) *tls.Config {
	c := config.Clone()
	c.NextProtos = []string{alpnProtocol}
	// The default adds an ML-KEM key share of 1,184 bytes, which makes a second
	// packet of 1,200 bytes necessary in each direction.
	c.CurvePreferences = []tls.CurveID{tls.X25519}
	// A ticket contains the client's certificate: in a trial, resumed handshakes
	// took 4,526 bytes with their new ticket, full ones without ticket 3,950.
	c.SessionTicketsDisabled = true
	return c
}

// resetKey derives the key of stateless resets from the host's private key, so
// that a restarted daemon can end the connections of its previous process.
// Peers would otherwise send into them until the idle timeout.
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

// Send queues a message for a peer and returns at once. The message may be
// lost. It must not change afterwards, since it is encoded later.
func (l *Link) Send(to netip.AddrPort, m message.Message) {
	if p := l.peer(to); p != nil {
		p.enqueue(m)
	}
}

// Traffic returns the bytes and packets of the socket since the start.
func (l *Link) Traffic() Traffic { return l.socket.traffic() }

// Dropped returns the number of messages that were given up before they were
// sent: queue full, peer unreachable or not encodable.
func (l *Link) Dropped() uint64 { return l.dropped.Load() }

// Addr returns the address of the socket.
func (l *Link) Addr() netip.AddrPort { return addrPortOf(l.socket.LocalAddr()) }

// Close closes all connections and the socket and waits for the goroutines.
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

// stop keeps goroutines from starting. It reports whether it is the first call.
func (l *Link) markClosed() bool {
	l.closeMu.Lock()
	defer l.closeMu.Unlock()
	first := !l.closed
	l.closed = true
	return first
}

// start runs f in a goroutine that Close waits for. It reports whether the link
// is still open.
func (l *Link) startGoroutine(f func()) bool {
	l.closeMu.Lock()
	defer l.closeMu.Unlock()
	if l.closed {
		return false
	}
	l.goroutines.Go(f)
	return true
}

// peer returns the entry of a peer, or nil when the link is closed.
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

// accept takes connections whose handshake is complete.
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

// sweep removes entries of peers that have no connection and no messages.
func (l *Link) removeIdlePeers() {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
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
