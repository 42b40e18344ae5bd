package fleet

import (
	"errors"
	"time"
)

// ErrConflict is the error of a Publish that the table answered: the record of
// this host has another revision than expected.
var ErrRecordConflict = errors.New("the record was written in the meantime")

const (
	// firstOutageWait is the wait after the first call that the table did not
	// answer. It doubles with each further one, up to shortOutageWait on the hosts
	// that tell the others when the table is back, and longOutageWait elsewhere.
	minBackoff          = 250 * time.Millisecond
	maxFastRetryBackoff = time.Second
	maxBackoff          = 5 * time.Second
	// outageScouts is the number of hosts, first in the order of readers, whose
	// waits stay short.
	fastRetryHosts = 2
	// firstRecall is the age of a failure from which on a later confirmation of
	// another host ends the wait. It doubles each time up to lastRecall, because the
	// table may answer others only.
	minEarlyRetryDelay = 800 * time.Millisecond
	maxEarlyRetryDelay = 2 * time.Second
	// recallJitter spreads the calls of hosts that learn at once that the table is
	// back.
	earlyRetryJitter = 200 * time.Millisecond
)

// outage spaces the calls of this host to the table while it does not answer, so
// that a host makes one call in a while and not one for each purpose.
type tableBackoff struct {
	failedAt        time.Time // of the last failure; zero while the table answers
	delay           time.Duration
	nextCallAt      time.Time     // of the next call
	earlyRetryDelay time.Duration // age of the last failure at recallAt
	earlyRetryAt    time.Time     // of the next call when others have confirmed that the table answers
}

// mayCall reports whether a call to the table may begin now.
func (c *Core) mayCallTable() bool {
	o := &c.backoff
	return o.failedAt.IsZero() || !c.now.Before(o.nextCallAt) || c.mayRetryEarly()
}

// recalled reports whether another host has confirmed that the table answers.
func (c *Core) mayRetryEarly() bool {
	return c.reader.confirmedAt.After(c.backoff.failedAt) && !c.now.Before(c.backoff.earlyRetryAt)
}

// beginCall notes a call to the table. During an outage the next one waits.
func (c *Core) tableCallStarted() {
	o := &c.backoff
	if o.failedAt.IsZero() {
		return
	}
	if c.mayRetryEarly() {
		o.earlyRetryDelay = min(2*o.earlyRetryDelay, maxEarlyRetryDelay)
	}
	c.increaseBackoff()
}

// callDone takes the result of a call to the table.
func (c *Core) tableCallDone(err error) {
	o := &c.backoff
	if err == nil || errors.Is(err, ErrRecordConflict) {
		*o = tableBackoff{}
		return
	}
	first := o.failedAt.IsZero()
	o.failedAt = c.now
	if first {
		o.earlyRetryDelay = minEarlyRetryDelay
		c.increaseBackoff()
	}
	o.earlyRetryAt = c.now.Add(o.earlyRetryDelay - earlyRetryJitter/2 + c.jitter(earlyRetryJitter))
}

// delayCalls puts the next call off, for longer each time.
func (c *Core) increaseBackoff() {
	o := &c.backoff
	longest := maxBackoff
	if c.readerRank() < fastRetryHosts {
		longest = maxFastRetryBackoff
	}
	o.delay = min(max(2*o.delay, minBackoff), longest)
	o.nextCallAt = c.now.Add(o.delay/2 + c.jitter(o.delay))
	o.earlyRetryAt = o.nextCallAt
}
