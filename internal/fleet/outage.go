package fleet

import (
	"errors"
	"time"
)

// ErrConflict is the error of a Publish that the table answered: the record of
// this host has another revision than expected.
var ErrConflict = errors.New("the record was written in the meantime")

const (
	// firstOutageWait is the wait after the first call that the table did not
	// answer. It doubles with each further one, up to shortOutageWait on the hosts
	// that tell the others when the table is back, and longOutageWait elsewhere.
	firstOutageWait = 250 * time.Millisecond
	shortOutageWait = time.Second
	longOutageWait  = 5 * time.Second
	// outageScouts is the number of hosts, first in the order of readers, whose
	// waits stay short.
	outageScouts = 2
	// firstRecall is the age of a failure from which on a later confirmation of
	// another host ends the wait. It doubles each time up to lastRecall, because the
	// table may answer others only.
	firstRecall = 800 * time.Millisecond
	lastRecall  = 2 * time.Second
	// recallJitter spreads the calls of hosts that learn at once that the table is
	// back.
	recallJitter = 200 * time.Millisecond
)

// outage spaces the calls of this host to the table while it does not answer, so
// that a host makes one call in a while and not one for each purpose.
type outage struct {
	failedAt time.Time // of the last failure; zero while the table answers
	wait     time.Duration
	nextAt   time.Time     // of the next call
	recall   time.Duration // age of the last failure at recallAt
	recallAt time.Time     // of the next call when others have confirmed that the table answers
}

// mayCall reports whether a call to the table may begin now.
func (c *Core) mayCall() bool {
	o := &c.outage
	return o.failedAt.IsZero() || !c.now.Before(o.nextAt) || c.recalled()
}

// recalled reports whether another host has confirmed that the table answers.
func (c *Core) recalled() bool {
	return c.reader.confirmedAt.After(c.outage.failedAt) && !c.now.Before(c.outage.recallAt)
}

// beginCall notes a call to the table. During an outage the next one waits.
func (c *Core) beginCall() {
	o := &c.outage
	if o.failedAt.IsZero() {
		return
	}
	if c.recalled() {
		o.recall = min(2*o.recall, lastRecall)
	}
	c.delayCalls()
}

// callDone takes the result of a call to the table.
func (c *Core) callDone(err error) {
	o := &c.outage
	if err == nil || errors.Is(err, ErrConflict) {
		*o = outage{}
		return
	}
	first := o.failedAt.IsZero()
	o.failedAt = c.now
	if first {
		o.recall = firstRecall
		c.delayCalls()
	}
	o.recallAt = c.now.Add(o.recall - recallJitter/2 + c.jitter(recallJitter))
}

// delayCalls puts the next call off, for longer each time.
func (c *Core) delayCalls() {
	o := &c.outage
	longest := longOutageWait
	if c.readerRank() < outageScouts {
		longest = shortOutageWait
	}
	o.wait = min(max(2*o.wait, firstOutageWait), longest)
	o.nextAt = c.now.Add(o.wait/2 + c.jitter(o.wait))
	o.recallAt = o.nextAt
}
