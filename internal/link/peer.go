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

// Bounds of the wait after a failed dial. The upper bound keeps the delay small
// after a cut link is restored.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// simultaneous is the difference in age below which two connections of a pair
// count as dialled at the same time. An older one was abandoned by the peer,
// for example by a restart.
const simultaneousDialWindow = 5 * time.Second

var errBackoff = errors.New("waiting after a failed connection attempt")

// peer holds the queues and connections of one remote daemon.
type peer struct {
	link *Link
	addr netip.AddrPort

	mu                sync.Mutex
	queue             []message.Message // encoded and sent by run
	sendLoopRunning   bool              // run is running
	streamQueue       []encodedMessage  // sent by runStreams, each on its own stream
	streamLoopRunning bool              // runStreams is running
	conns             []*conn
	pendingDial       *dialAttempt
	failures          int
	notBefore         time.Time // no dial before
	closed            bool
}

// encoded is a message that goes out on a stream.
type encodedMessage struct {
	kind message.Kind
	data []byte
}

// attempt is a dial in progress.
type dialAttempt struct {
	done   chan struct{}
	cancel context.CancelFunc
	err    error // valid after done is closed
}

// conn is an established connection.
type conn struct {
	*quic.Conn
	dialer       netip.AddrPort
	established  time.Time
	received     atomic.Bool      // something was received
	clockAhead   atomic.Bool      // a stamp was too far ahead
	sharedStream *quic.SendStream // small messages; only peer.run uses it
}

// enqueue adds a message to the queue. The oldest one makes room, since newer
// messages carry newer state.
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

// run sends queued messages until there are none.
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
			p.link.config.Log.Error("Message not encoded.", zap.Stringer("to", p.addr), zap.Error(err))
			continue
		}
		if len(data) > maxSmallMessage {
			p.enqueueStream(encodedMessage{kind, data})
			continue
		}
		send := (*conn).sendOnSharedStream
		if kind == message.KindProbe {
			send = (*conn).sendDatagram // a lost probe needs no repair
		}
		if err := p.sendWithReconnect(send, data); err != nil {
			p.dropAfterError(kind, err)
		}
	}
}

func (p *peer) enqueueStream(e encodedMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := len(e.data)
	for _, waiting := range p.streamQueue {
		size += len(waiting.data)
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

// runStreams sends messages on streams, apart from run so that a slow transfer
// doesn't hold up probes.
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

// deliver sends data on a connection. A connection that turns out to be closed
// is replaced once.
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

// drop gives up a message, and those behind it when the peer is unreachable:
// after the peer returns they would bring old state.
func (p *peer) dropAfterError(kind message.Kind, err error) {
	p.mu.Lock()
	lost := 1
	if len(p.conns) == 0 {
		lost += len(p.queue) + len(p.streamQueue)
		p.queue, p.streamQueue = nil, nil
	}
	p.mu.Unlock()
	p.link.dropped.Add(uint64(lost))
	p.link.config.Log.Debug("Message not sent.",
		zap.Stringer("to", p.addr), zap.Stringer("kind", kind), zap.Int("dropped", lost), zap.Error(err))
}

// connection returns the current connection to the peer. Without one it dials,
// or waits for the dial in progress.
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
		return nil, errors.New("connection closed at once")
	}
	return nil, a.err
}

// dial starts a connection attempt. The caller holds the lock.
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
		// An attempt that an incoming connection replaced is no failure.
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

// fail delays the next dial. The caller holds the lock.
func (p *peer) recordFailure(err error) {
	p.failures++
	wait := backoff(p.failures, rand.Float64())
	p.notBefore = p.link.config.Now().Add(wait)
	log := p.link.config.Log.Debug
	if p.failures == 1 {
		log = p.link.config.Log.Info
	}
	log("Peer not reached.", zap.Stringer("peer", p.addr), zap.Int("failures", p.failures), zap.Duration("retry-after", wait), zap.Error(err))
}

// backoff returns the wait after the given number of failures in a row. The
// random number in [0, 1) spreads it over half to all of its full length.
func backoff(failures int, random float64) time.Duration {
	full := maxBackoff
	if n := failures - 1; n < 4 {
		full = min(minBackoff<<n, maxBackoff)
	}
	return full/2 + time.Duration(random*float64(full/2))
}

// add registers an established connection and starts to receive from it.
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

// best returns the connection to send on: both ends choose the same one, so
// that the other becomes idle and closes. The caller holds the lock.
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

// remove takes out a connection that ended with err.
func (p *peer) removeConn(c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.conns, c)
	if i < 0 {
		return
	}
	p.conns = slices.Delete(p.conns, i, i+1)
	// A peer that refuses this host's certificate closes the connection after
	// the dial has returned. The context may end after the operation that
	// returned err, or be what ended it.
	var refused *quic.TransportError
	if err := errors.Join(err, context.Cause(c.Context())); errors.As(err, &refused) && refused.ErrorCode.IsCryptoError() {
		p.recordFailure(refused)
	}
}

// heard notes that something was received, which ends a series of failures.
func (p *peer) markReceived(c *conn) {
	if c.received.Swap(true) {
		return
	}
	p.mu.Lock()
	p.failures, p.notBefore = 0, time.Time{}
	p.mu.Unlock()
}

// retire closes an entry that holds no state worth keeping and reports whether
// it did.
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
