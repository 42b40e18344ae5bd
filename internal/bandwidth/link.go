package bandwidth

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// PieceBytes is the size of the pieces in which large messages are sent. The
	// kernel then holds about one piece of them, behind which other messages wait.
	PieceBytes = 16 << 10
	// catchUpTime is the time that pacing makes up for when a timer fires late.
	catchUpTime = 20 * time.Millisecond
	// beginInterval is the time after which waiting messages are checked again when none
	// has ended, because commitments expire.
	beginInterval = 50 * time.Millisecond
)

// FullError is returned for a message that would not arrive in time.
type FullError struct{ Wait time.Duration } // until it could be admitted

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the link of this host has no room for a large message for %s", e.Wait.Round(time.Millisecond))
}

// Config configures a link.
type Config struct {
	Mbps float64          // rate in each direction, Mbit/s
	Now  func() time.Time // nil uses time.Now
}

// Link is the link of this host.
type Link struct {
	Sending, Receiving *Direction
	Sizes              Sizes // of responses
}

// New returns the accounting of a link, or nil if the rate is unknown or so high that
// none is needed.
func New(c Config) *Link {
	if c.Mbps <= 0 || c.Mbps > maxRate {
		return nil
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	rate := c.Mbps * 1e6 / 8
	return &Link{
		Sending:   &Direction{now: c.Now, ledger: ledger{rate: rate}},
		Receiving: &Direction{now: c.Now, ledger: ledger{rate: rate, backlog: receiveBacklog}},
	}
}

// Direction is one direction of a link.
type Direction struct {
	now func() time.Time

	mu      sync.Mutex
	ledger  ledger
	freeAt  time.Time // when the pieces that were granted have been sent
	waiting []*piece  // by due time
	timer   bool      // a timer calls grant
}

// piece is a part of a message that waits to be sent.
type piece struct {
	transfer *Transfer
	bytes    int
	granted  chan struct{}
}

// Transfer is a large message that was admitted. A nil Transfer is valid and stands
// for a message without accounting.
type Transfer struct {
	direction  *Direction
	commitment *commitment
}

// Admit commits a large message if it can arrive in time. Otherwise it returns a
// *FullError.
func (d *Direction) Admit(x Demand) (*Transfer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, wait := d.ledger.admit(d.now(), x)
	if c == nil {
		return nil, &FullError{Wait: wait}
	}
	return &Transfer{d, c}, nil
}

// Commit commits a message unconditionally, for a response that turned out to be
// large.
func (d *Direction) Commit(x Demand) *Transfer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Transfer{d, d.ledger.commit(d.now(), x)}
}

// AddSmall records a message that is not accounted for otherwise.
func (d *Direction) AddSmall(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.addSmall(d.now(), bytes)
}

// Wait returns how long the link delays a large message that is ready after the given
// time.
func (d *Direction) Wait(ready time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.delay(d.now(), ready)
}

// Committed returns the bytes that are still to be transferred.
func (d *Direction) Committed() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.expire(d.now())
	return d.ledger.committed
}

// Begin waits until the message may be requested, so that no more than the backlog is on
// its way to this host. Messages that are due earlier come first.
func (t *Transfer) Begin(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.wait(ctx, 0)
}

// SetLeft replaces the expected bytes that the message has still to transfer.
func (t *Transfer) SetLeft(bytes int64) {
	if t == nil {
		return
	}
	t.direction.mu.Lock()
	defer t.direction.mu.Unlock()
	t.direction.ledger.resize(t.commitment, float64(bytes))
}

// Arrives replaces the expected bytes of a message that has begun to arrive.
func (t *Transfer) Arrives(left int64) {
	if t == nil {
		return
	}
	t.direction.mu.Lock()
	defer t.direction.mu.Unlock()
	t.direction.ledger.arrive(t.direction.now(), t.commitment, float64(left))
	t.direction.grant()
}

// Done records transferred bytes.
func (t *Transfer) Done(bytes int) {
	if t == nil {
		return
	}
	t.direction.mu.Lock()
	defer t.direction.mu.Unlock()
	t.direction.ledger.resize(t.commitment, t.commitment.left-float64(bytes))
	t.direction.grant()
}

// End ends the transfer. It may be called repeatedly.
func (t *Transfer) End() {
	if t == nil {
		return
	}
	t.direction.mu.Lock()
	defer t.direction.mu.Unlock()
	t.direction.ledger.release(t.commitment)
	t.direction.grant()
}

// Send waits until the next bytes of the message may be sent, and records them as
// transferred. Messages that are due earlier come first.
func (t *Transfer) Send(ctx context.Context, bytes int) error {
	if t == nil {
		return nil
	}
	return t.wait(ctx, bytes)
}

// wait waits for the turn of a piece.
func (t *Transfer) wait(ctx context.Context, bytes int) error {
	d := t.direction
	p := &piece{transfer: t, bytes: bytes, granted: make(chan struct{})}
	d.mu.Lock()
	i, _ := slices.BinarySearchFunc(d.waiting, p, func(a, b *piece) int {
		if a.transfer.commitment.due.After(b.transfer.commitment.due) {
			return 1
		}
		return -1 // pieces that are due at the same time are sent in order
	})
	d.waiting = slices.Insert(d.waiting, i, p)
	d.grant()
	d.mu.Unlock()
	select {
	case <-p.granted:
		return nil
	case <-ctx.Done():
		d.remove(p)
		return fmt.Errorf("wait for the link: %w", ctx.Err())
	}
}

// grant grants pieces as far as the rate permits.
func (d *Direction) grant() {
	now := d.now()
	for len(d.waiting) > 0 {
		if d.ledger.backlog > 0 {
			if !d.ledger.begin(now, d.waiting[0].transfer.commitment) {
				d.grantAfter(beginInterval)
				return
			}
			close(d.waiting[0].granted)
			d.waiting = slices.Delete(d.waiting, 0, 1)
			continue
		}
		if wait := d.freeAt.Sub(now); wait > 0 {
			d.grantAfter(wait)
			return
		}
		p := d.waiting[0]
		d.waiting = slices.Delete(d.waiting, 0, 1)
		if earliest := now.Add(-catchUpTime); d.freeAt.Before(earliest) {
			d.freeAt = earliest
		}
		d.freeAt = d.freeAt.Add(d.ledger.duration(now, float64(p.bytes)))
		c := p.transfer.commitment
		d.ledger.resize(c, c.left-float64(p.bytes))
		close(p.granted)
	}
}

// grantAfter grants further pieces after a wait.
func (d *Direction) grantAfter(wait time.Duration) {
	if d.timer {
		return
	}
	d.timer = true
	time.AfterFunc(wait, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.timer = false
		d.grant()
	})
}

func (d *Direction) remove(p *piece) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = slices.DeleteFunc(d.waiting, func(o *piece) bool { return o == p })
}
