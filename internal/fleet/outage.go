package fleet

import (
	"errors"
	"fmt"
	"time"
)

// ErrRecordConflict is the error of a WriteRecord that the platform table
// rejected because the record has a different revision than expected.
var ErrRecordConflict = errors.New("host record has an unexpected revision; the write will be retried")

const (
	// minBackoff is the delay after the first call that the platform table did not
	// answer. The delay doubles with each further failure, up to
	// maxFastRetryBackoff on the hosts that tell the others when the table is
	// available again, and up to maxBackoff on all others.
	minBackoff          = 250 * time.Millisecond
	maxFastRetryBackoff = time.Second
	maxBackoff          = 5 * time.Second
	// fastRetryHosts is the number of hosts, first in the order of readers, that
	// use the shorter maximum.
	fastRetryHosts = 2
	// minEarlyRetryDelay is the time after a failure from which a later
	// confirmation by another host ends the backoff. It doubles each time up to
	// maxEarlyRetryDelay, because the table may be reachable for other hosts only.
	minEarlyRetryDelay = 800 * time.Millisecond
	maxEarlyRetryDelay = 2 * time.Second
	// unconfirmedRetryFactor limits the delay between two calls while no other host
	// confirms the head row, as a multiple of the poll wait. This host may be the
	// only one that the table answers, so that versions wait for its next call.
	unconfirmedRetryFactor = 2
	// earlyRetryJitter spreads the calls of hosts that learn at the same time that
	// the table is available again.
	earlyRetryJitter = 200 * time.Millisecond
)

// tableBackoff limits the calls of this host to the platform table while the
// table does not answer, so that the host makes one call per backoff interval
// instead of one for each purpose.
type tableBackoff struct {
	failedAt        time.Time // time of the last failure; zero while the table answers
	lostAt          time.Time // time of the first failure; zero while the table answers
	failures        int       // failed calls since lostAt
	delay           time.Duration
	nextCallAt      time.Time     // earliest time of the next call
	earlyRetryDelay time.Duration // time from the last failure to earlyRetryAt
	earlyRetryAt    time.Time     // earliest time of the next call once others have confirmed that the table answers
	// unconfirmedRetryAt is the earliest time of the next call while the head row is
	// not confirmed.
	unconfirmedRetryAt time.Time
}

// mayCallTable reports whether a call to the platform table may start now.
func (c *Core) mayCallTable() bool {
	return c.backoff.failedAt.IsZero() || !c.now.Before(c.nextTableCallAt()) || c.mayRetryEarly()
}

// nextTableCallAt returns the earliest time of the next call during an outage,
// unless another host confirms before that the table answers.
func (c *Core) nextTableCallAt() time.Time {
	b := &c.backoff
	if c.isHeadUnconfirmed() && b.unconfirmedRetryAt.Before(b.nextCallAt) {
		return b.unconfirmedRetryAt
	}
	return b.nextCallAt
}

// isHeadUnconfirmed reports whether no host has confirmed the head row for so
// long that the other hosts read it themselves.
func (c *Core) isHeadUnconfirmed() bool {
	return c.now.Sub(c.reader.confirmedAt) >= c.staleAfter(0)
}

// mayRetryEarly reports whether another host has confirmed since the last
// failure that the table answers, and earlyRetryAt has passed.
func (c *Core) mayRetryEarly() bool {
	return c.reader.confirmedAt.After(c.backoff.failedAt) && !c.now.Before(c.backoff.earlyRetryAt)
}

// tableCallStarted records a call to the platform table. During an outage, it
// delays the next one.
func (c *Core) tableCallStarted() {
	b := &c.backoff
	if b.failedAt.IsZero() {
		return
	}
	if c.mayRetryEarly() {
		b.earlyRetryDelay = min(2*b.earlyRetryDelay, maxEarlyRetryDelay)
	}
	c.increaseBackoff()
}

// tableCallDone records the result of a call to the platform table.
func (c *Core) tableCallDone(err error) {
	b := &c.backoff
	if err == nil || errors.Is(err, ErrRecordConflict) {
		c.recordTableAnswer()
		*b = tableBackoff{}
		return
	}
	first := b.failedAt.IsZero()
	b.failedAt = c.now
	b.failures++
	if first {
		b.lostAt = c.now
		b.earlyRetryDelay = minEarlyRetryDelay
		c.increaseBackoff()
		c.recordEvent(TimelineEvent{Kind: "table-lost"})
	}
	b.earlyRetryAt = c.now.Add(b.earlyRetryDelay - earlyRetryJitter/2 + c.jitter(earlyRetryJitter))
	c.recordEvent(TimelineEvent{Kind: "table-call-failed", Detail: fmt.Sprintf("next call in %v: %v", max(0, c.nextTableCallAt().Sub(c.now)).Round(time.Millisecond), err)})
}

// recordTableAnswer records the end of an outage.
func (c *Core) recordTableAnswer() {
	if b := &c.backoff; !b.failedAt.IsZero() {
		c.recordEvent(TimelineEvent{Kind: "table-answers", Detail: fmt.Sprintf("after %v and %d failed calls", c.now.Sub(b.lostAt).Round(time.Millisecond), b.failures)})
	}
}

// increaseBackoff delays the next call, longer each time.
func (c *Core) increaseBackoff() {
	b := &c.backoff
	limit := maxBackoff
	if c.readerRank() < fastRetryHosts {
		limit = maxFastRetryBackoff
	}
	b.delay = min(max(2*b.delay, minBackoff), limit)
	b.nextCallAt = c.now.Add(b.delay/2 + c.jitter(b.delay))
	b.earlyRetryAt = b.nextCallAt
	unconfirmedDelay := unconfirmedRetryFactor * c.headPollWait()
	b.unconfirmedRetryAt = c.now.Add(unconfirmedDelay/2 + c.jitter(unconfirmedDelay/2))
}
