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
const simultaneous = 5 * time.Second

var errBackoff = errors.New("waiting after a failed connection attempt")

// peer holds the queues and connections of one remote daemon.
type peer struct {
	link *Link
	addr netip.AddrPort

	mu        sync.Mutex
	queue     []message.Message // encoded and sent by run
	sending   bool              // run is running
	large     []encoded         // sent by runStreams, each on its own stream
	streaming bool              // runStreams is running
	conns     []*conn
	dialing   *attempt
	failures  int
	notBefore time.Time // no dial before
	closed    bool
}

// encoded is a message that goes out on a stream.
type encoded struct {
	kind message.Kind
	data []byte
}

// attempt is a dial in progress.
type attempt struct {
	done   chan struct{}
	cancel context.CancelFunc
	err    error // valid after done is closed
}

// conn is an established connection.
type conn struct {
	*quic.Conn
	dialer   netip.AddrPort
	since    time.Time
	used     atomic.Bool      // something was received
	ahead    atomic.Bool      // a stamp was too far ahead
	sequence *quic.SendStream // small messages; only peer.run uses it
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
	if len(p.queue) >= queueLength {
		p.queue = slices.Delete(p.queue, 0, 1)
		p.link.dropped.Add(1)
	}
	p.queue = append(p.queue, m)
	if !p.sending {
		p.sending = p.link.start(p.run)
	}
}

// run sends queued messages until there are none.
func (p *peer) run() {
	for {
		p.mu.Lock()
		if len(p.queue) == 0 {
			p.queue, p.sending = nil, false
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
		if len(data) > maxSmall {
			p.enqueueStream(encoded{kind, data})
			continue
		}
		send := (*conn).sendInSequence
		if kind == message.KindProbe {
			send = (*conn).sendDatagram // a lost probe needs no repair
		}
		if err := p.deliver(send, data); err != nil {
			p.drop(kind, err)
		}
	}
}

func (p *peer) enqueueStream(e encoded) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := len(e.data)
	for _, waiting := range p.large {
		size += len(waiting.data)
	}
	if p.closed || len(p.large) >= streamQueue || size > streamQueueBytes {
		p.link.dropped.Add(1)
		return
	}
	p.large = append(p.large, e)
	if !p.streaming {
		p.streaming = p.link.start(p.runStreams)
	}
}

// runStreams sends messages on streams, apart from run so that a slow transfer
// doesn't hold up probes.
func (p *peer) runStreams() {
	for {
		p.mu.Lock()
		if len(p.large) == 0 {
			p.large, p.streaming = nil, false
			p.mu.Unlock()
			return
		}
		e := p.large[0]
		p.large = slices.Delete(p.large, 0, 1)
		p.mu.Unlock()
		if err := p.deliver((*conn).sendStream, e.data); err != nil {
			p.drop(e.kind, err)
		}
	}
}

// deliver sends data on a connection. A connection that turns out to be closed
// is replaced once.
func (p *peer) deliver(send func(*conn, context.Context, []byte) error, data []byte) error {
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
		p.remove(c, err)
	}
}

// drop gives up a message, and those behind it when the peer is unreachable:
// after the peer returns they would bring old state.
func (p *peer) drop(kind message.Kind, err error) {
	p.mu.Lock()
	lost := 1
	if len(p.conns) == 0 {
		lost += len(p.queue) + len(p.large)
		p.queue, p.large = nil, nil
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
	if c := p.best(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("link is closed")
	}
	a := p.dialing
	if a == nil {
		if p.link.config.Now().Before(p.notBefore) {
			p.mu.Unlock()
			return nil, errBackoff
		}
		if a = p.dial(); a == nil {
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
	if c := p.best(); c != nil {
		return c, nil
	}
	if a.err == nil {
		return nil, errors.New("connection closed at once")
	}
	return nil, a.err
}

// dial starts a connection attempt. The caller holds the lock.
func (p *peer) dial() *attempt {
	ctx, cancel := context.WithCancel(p.link.ctx)
	a := &attempt{done: make(chan struct{}), cancel: cancel}
	started := p.link.start(func() {
		defer cancel()
		qc, err := p.link.dial(ctx, p.addr)
		if err == nil {
			p.add(qc, p.link.config.Addr)
		}
		p.mu.Lock()
		p.dialing = nil
		// An attempt that an incoming connection replaced is no failure.
		if err != nil && len(p.conns) == 0 && p.link.ctx.Err() == nil {
			a.err = fmt.Errorf("connect to %s: %w", p.addr, err)
			p.fail(a.err)
		}
		p.mu.Unlock()
		close(a.done)
	})
	if !started {
		cancel()
		return nil
	}
	p.dialing = a
	return a
}

// fail delays the next dial. The caller holds the lock.
func (p *peer) fail(err error) {
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
func (p *peer) add(qc *quic.Conn, dialer netip.AddrPort) {
	c := &conn{Conn: qc, dialer: dialer, since: p.link.config.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.link.start(func() { p.receive(c) }) {
		_ = qc.CloseWithError(codeStopping, "")
		return
	}
	p.conns = append(p.conns, c)
	if p.dialing != nil && dialer == p.addr {
		p.dialing.cancel()
	}
}

// best returns the connection to send on: both ends choose the same one, so
// that the other becomes idle and closes. The caller holds the lock.
func (p *peer) best() *conn {
	if len(p.conns) == 0 {
		return nil
	}
	return slices.MaxFunc(p.conns, func(a, b *conn) int {
		if age := a.since.Sub(b.since); age.Abs() > simultaneous {
			return cmp.Compare(age, 0)
		}
		return cmp.Or(b.dialer.Compare(a.dialer), a.since.Compare(b.since))
	})
}

// remove takes out a connection that ended with err.
func (p *peer) remove(c *conn, err error) {
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
		p.fail(refused)
	}
}

// heard notes that something was received, which ends a series of failures.
func (p *peer) heard(c *conn) {
	if c.used.Swap(true) {
		return
	}
	p.mu.Lock()
	p.failures, p.notBefore = 0, time.Time{}
	p.mu.Unlock()
}

// retire closes an entry that holds no state worth keeping and reports whether
// it did.
func (p *peer) retire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := len(p.conns) > 0 || p.dialing != nil || p.sending || p.streaming
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
