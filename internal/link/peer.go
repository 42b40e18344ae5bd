package link

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/message"
)

// Bounds of the backoff after a failed dial. The upper bound limits the delay
// before hosts reconnect after a network partition has ended.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// simultaneousDialWindow is the maximum difference in age of two connections
// between the same peers that are considered dialed at the same time. If the
// difference is larger, the peer has abandoned the older connection, for example
// because it restarted.
const simultaneousDialWindow = 5 * time.Second

var errBackoff = errors.New("in backoff after a failed connection attempt")

// peer is the state of one remote daemon: its send queues and connections.
type peer struct {
	link *Link
	addr netip.AddrPort

	mu                sync.Mutex
	queue             []message.Message // encoded and sent by sendLoop
	sendLoopRunning   bool
	streamQueue       []encodedMessage // sent by streamSendLoop, each on its own stream
	streamLoopRunning bool
	conns             []*conn
	pendingDial       *dialAttempt
	failures          int
	notBefore         time.Time // earliest time of the next dial
	closed            bool
}

// encodedMessage is a message to be sent on its own stream.
type encodedMessage struct {
	kind message.Kind
	data []byte
}

// dialAttempt is a dial in progress.
type dialAttempt struct {
	done   chan struct{}
	cancel context.CancelFunc
	err    error // set before done is closed
}

// conn is an established connection.
type conn struct {
	*quic.Conn
	dialer       netip.AddrPort
	established  time.Time
	received     atomic.Bool      // at least one message has been received
	clockAhead   atomic.Bool      // the clock of the peer was too far ahead, which has been logged
	sharedStream *quic.SendStream // carries small messages; only used by peer.sendLoop
}

// enqueue adds a message to the send queue. If the queue is full, it drops the
// oldest message, since newer messages carry newer state.
func (p *peer) enqueue(m message.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || (len(p.conns) == 0 && p.link.config.Now().Before(p.notBefore)) {
		p.link.dropped.Add(1)
		return
	}
	if len(p.queue) >= maxQueueLength {
		p.queue = slices.Delete(p.queue, 0, 1)
		p.link.dropped.Add(1)
	}
	p.queue = append(p.queue, m)
	if !p.sendLoopRunning {
		p.sendLoopRunning = p.link.startGoroutine(p.sendLoop)
	}
}

// sendLoop sends queued messages until the queue is empty.
func (p *peer) sendLoop() {
	for {
		p.mu.Lock()
		if len(p.queue) == 0 {
			p.queue, p.sendLoopRunning = nil, false
			p.mu.Unlock()
			return
		}
		m := p.queue[0]
		p.queue = slices.Delete(p.queue, 0, 1)
		p.mu.Unlock()

		kind := message.KindOf(m)
		data, err := p.link.config.Codec.EncodeStamped(m, p.link.config.Stamp())
		if err != nil {
			p.link.dropped.Add(1)
			p.link.config.Log.Error("Failed to encode a message; it is dropped.", zap.Stringer("to", p.addr), zap.Error(err))
			continue
		}
		if len(data) > maxSmallMessage {
			p.enqueueStream(encodedMessage{kind, data})
			continue
		}
		send := (*conn).sendOnSharedStream
		if kind == message.KindProbe {
			send = (*conn).sendDatagram // a lost probe need not be retransmitted
		}
		if err := p.sendWithReconnect(send, data); err != nil {
			p.dropAfterError(kind, err)
		}
	}
}

// enqueueStream queues a message to be sent on its own stream. If the queue is
// full, it drops the message.
func (p *peer) enqueueStream(e encodedMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := len(e.data)
	for _, queued := range p.streamQueue {
		size += len(queued.data)
	}
	if p.closed || len(p.streamQueue) >= maxStreamQueueLength || size > maxStreamQueueBytes {
		p.link.dropped.Add(1)
		return
	}
	p.streamQueue = append(p.streamQueue, e)
	if !p.streamLoopRunning {
		p.streamLoopRunning = p.link.startGoroutine(p.streamSendLoop)
	}
}

// streamSendLoop sends large messages on streams until their queue is empty. It
// is separate from sendLoop so that a slow transfer does not delay probes.
func (p *peer) streamSendLoop() {
	for {
		p.mu.Lock()
		if len(p.streamQueue) == 0 {
			p.streamQueue, p.streamLoopRunning = nil, false
			p.mu.Unlock()
			return
		}
		e := p.streamQueue[0]
		p.streamQueue = slices.Delete(p.streamQueue, 0, 1)
		p.mu.Unlock()
		if err := p.sendWithReconnect((*conn).sendStream, e.data); err != nil {
			p.dropAfterError(e.kind, err)
		}
	}
}

// sendWithReconnect sends data on the current connection. If that connection
// turns out to be closed, it reconnects and tries once more.
func (p *peer) sendWithReconnect(send func(*conn, context.Context, []byte) error, data []byte) error {
	for retry := false; ; retry = true {
		c, err := p.connection(p.link.ctx)
		if err != nil {
			return err
		}
		if err = send(c, p.link.ctx, data); err == nil {
			return nil
		}
		if retry || c.Context().Err() == nil {
			return err
		}
		p.removeConn(c, err)
	}
}

// dropAfterError drops a message that could not be sent. If the peer is
// unreachable, it also drops all queued messages, since they would carry outdated
// state by the time the peer is reachable again.
func (p *peer) dropAfterError(kind message.Kind, err error) {
	p.mu.Lock()
	lost := 1
	if len(p.conns) == 0 {
		lost += len(p.queue) + len(p.streamQueue)
		p.queue, p.streamQueue = nil, nil
	}
	p.mu.Unlock()
	p.link.dropped.Add(uint64(lost))
	p.link.config.Log.Debug("Failed to send a message.",
		zap.Stringer("to", p.addr), zap.Stringer("kind", kind), zap.Int("dropped", lost), zap.Error(err))
}

// connection returns the current connection to the peer. If there is none, it
// dials the peer, or waits for the dial in progress.
func (p *peer) connection(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if c := p.preferredConn(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("link is closed")
	}
	a := p.pendingDial
	if a == nil {
		if p.link.config.Now().Before(p.notBefore) {
			p.mu.Unlock()
			return nil, errBackoff
		}
		if a = p.startDial(); a == nil {
			p.mu.Unlock()
			return nil, errors.New("link is closed")
		}
	}
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-a.done:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.preferredConn(); c != nil {
		return c, nil
	}
	if a.err == nil {
		return nil, errors.New("connection was closed immediately after the handshake")
	}
	return nil, a.err
}

// startDial starts a dial in the background. The caller must hold p.mu.
func (p *peer) startDial() *dialAttempt {
	ctx, cancel := context.WithCancel(p.link.ctx)
	a := &dialAttempt{done: make(chan struct{}), cancel: cancel}
	started := p.link.startGoroutine(func() {
		defer cancel()
		qc, err := p.link.dial(ctx, p.addr)
		if err == nil {
			p.addConn(qc, p.link.config.Addr)
		}
		p.mu.Lock()
		p.pendingDial = nil
		// A dial that was canceled because of an incoming connection is not a
		// failure.
		if err != nil && len(p.conns) == 0 && p.link.ctx.Err() == nil {
			a.err = fmt.Errorf("connect to %s: %w", p.addr, err)
			p.recordFailure(a.err)
		}
		p.mu.Unlock()
		close(a.done)
	})
	if !started {
		cancel()
		return nil
	}
	p.pendingDial = a
	return a
}

// recordFailure counts a failed connection attempt and delays the next dial. An
// attempt also fails if the peer rejects the certificate of this host. The caller
// must hold p.mu.
func (p *peer) recordFailure(err error) {
	p.failures++
	delay := backoff(p.failures, rand.Float64())
	p.notBefore = p.link.config.Now().Add(delay)
	log := p.link.config.Log.Debug
	if p.failures == 1 {
		log = p.link.config.Log.Info
	}
	log("Failed to connect to a peer.", zap.Stringer("peer", p.addr), zap.Int("failures", p.failures), zap.Duration("retry-after", delay), zap.Error(err))
}

// backoff returns the delay after the given number of consecutive failures. The
// random number in [0, 1) adds jitter: the delay is between half of the full
// backoff and all of it.
func backoff(failures int, random float64) time.Duration {
	full := maxBackoff
	if n := failures - 1; n < 4 {
		full = min(minBackoff<<n, maxBackoff)
	}
	return full/2 + time.Duration(random*float64(full/2))
}

// addConn registers an established connection and starts receiving from it.
func (p *peer) addConn(qc *quic.Conn, dialer netip.AddrPort) {
	c := &conn{Conn: qc, dialer: dialer, established: p.link.config.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.link.startGoroutine(func() { p.receiveLoop(c) }) {
		_ = qc.CloseWithError(codeStopping, "")
		return
	}
	p.conns = append(p.conns, c)
	if p.pendingDial != nil && dialer == p.addr {
		p.pendingDial.cancel()
	}
}

// preferredConn returns the connection to send on. Both ends choose the same
// one, so that any other connection becomes idle and closes. The caller must
// hold p.mu.
func (p *peer) preferredConn() *conn {
	if len(p.conns) == 0 {
		return nil
	}
	return slices.MaxFunc(p.conns, func(a, b *conn) int {
		if age := a.established.Sub(b.established); age.Abs() > simultaneousDialWindow {
			return cmp.Compare(age, 0)
		}
		return cmp.Or(b.dialer.Compare(a.dialer), a.established.Compare(b.established))
	})
}

// removeConn unregisters a connection that was closed with err.
func (p *peer) removeConn(c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.conns, c)
	if i < 0 {
		return
	}
	p.conns = slices.Delete(p.conns, i, i+1)
	// A peer that rejects the certificate of this host closes the connection after
	// the dial has returned. The TLS error may be in err or in the cause of the
	// connection's context: the context may be canceled after the operation that
	// returned err, or may have ended that operation.
	var rejected *quic.TransportError
	if err := errors.Join(err, context.Cause(c.Context())); errors.As(err, &rejected) && rejected.ErrorCode.IsCryptoError() {
		p.recordFailure(rejected)
	}
}

// markReceived records that something was received on a connection and resets
// the backoff.
func (p *peer) markReceived(c *conn) {
	if c.received.Swap(true) {
		return
	}
	p.mu.Lock()
	p.failures, p.notBefore = 0, time.Time{}
	p.mu.Unlock()
}

// closeIfIdle closes the peer if it has no connections, no dial in progress, no
// queued messages and no recent dial failures. It reports whether it did.
func (p *peer) closeIfIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := len(p.conns) > 0 || p.pendingDial != nil || p.sendLoopRunning || p.streamLoopRunning
	if busy || now.Sub(p.notBefore) < time.Minute {
		return false
	}
	p.closed = true
	return true
}

// close ends all connections of the peer.
func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	conns := slices.Clone(p.conns)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.CloseWithError(codeStopping, "")
	}
}
