// Package bandwidth accounts for the bytes that large responses and uploads have
// still to transfer over the link of this host, admits calls by that, and paces
// large messages. On a slow link, a few large responses delay everything that
// shares it: small calls, configuration and membership.
package bandwidth

import (
	"math"
	"time"
)

const (
	// LargeBytes is the expected size from which a message is accounted for and paced.
	// It takes 9 ms on a link of 14 Mbit/s.
	LargeBytes = 16 << 10
	// maxRate is the rate of the fastest link with accounting, in Mbit/s. On faster
	// links, a response of 540 KB takes less than 0.1 s, and the slots of the server
	// are the bottleneck.
	maxRate = 50
	// largeShare is the share of the link that large messages may use. The rest is
	// for control messages, and for the headers of packets and TLS records, which
	// take about 5%.
	largeShare = 0.85
	// minLargeShare is what remains for large messages if small ones use the rest.
	minLargeShare = 0.25
	// targetShare is the share of the time until the target that may be committed. The
	// sizes of messages are known only when they are ready: with the whole time, 6% of
	// the admitted messages were late at 120% of the capacity (TestOverloadedLink).
	targetShare = 0.85
	// smallRateTime is the time constant of the moving rate of small messages.
	smallRateTime = time.Second
	// receiveBacklog is the longest time that the bytes on their way to this host
	// may take. Other hosts pace them at the rate of their own links, so they queue in
	// front of this one, together with its configuration and membership messages,
	// which must be applied within seconds.
	receiveBacklog = 250 * time.Millisecond
	// stallFactor and stallTime bound how long a transfer counts: after stallFactor
	// times its expected duration plus stallTime its receiver is presumed to have
	// stopped reading, and the link is free for others.
	stallFactor = 3
	stallTime   = time.Second
	// arrivalTime replaces stallTime for a message that has begun to arrive. A caller
	// that does not read its response must not keep the link from others.
	arrivalTime = 100 * time.Millisecond
)

// Demand is what a large message needs.
type Demand struct {
	Size Size
	// Ready is the expected time until the first byte can be sent: the run time of
	// the call.
	Ready time.Duration
	// Target is the time by which the message should have arrived, and Deadline the
	// time after which it is useless. A zero Target means none.
	Target, Deadline time.Time
}

// commitment is a message that was admitted.
type commitment struct {
	left    float64 // bytes that were not transferred yet
	begun   bool    // the message was requested; only with a backlog
	ready   time.Duration
	due     time.Time
	expires time.Time
}

// ledger holds the commitments of one direction of a link. It has no clock.
type ledger struct {
	rate        float64       // of the link, bytes per second
	backlog     time.Duration // longest time to transfer what has begun; 0 for no limit
	begun       float64       // bytes left of the commitments that have begun
	commitments map[*commitment]struct{}
	committed   float64 // bytes left of all commitments
	smallRate   float64 // moving rate of small messages at smallAt, bytes per second
	smallAt     time.Time
}

// largeRate returns the rate at which large messages can be transferred.
func (l *ledger) largeRate(now time.Time) float64 {
	small := l.smallRate * math.Exp(-now.Sub(l.smallAt).Seconds()/smallRateTime.Seconds())
	return max(largeShare*l.rate-small, minLargeShare*l.rate)
}

// addSmall records a small message.
func (l *ledger) addSmall(now time.Time, bytes int64) {
	elapsed := max(0, now.Sub(l.smallAt).Seconds())
	l.smallRate = l.smallRate*math.Exp(-elapsed/smallRateTime.Seconds()) + float64(bytes)/smallRateTime.Seconds()
	l.smallAt = now
}

func (l *ledger) duration(now time.Time, bytes float64) time.Duration {
	return time.Duration(bytes / l.largeRate(now) * float64(time.Second))
}

// wait returns the time that the transfer of everything that is committed takes.
func (l *ledger) wait(now time.Time) time.Duration {
	l.expire(now)
	return l.duration(now, l.committed)
}

// delay returns how long the link delays the first byte of a message beyond the time
// at which it is ready.
func (l *ledger) delay(now time.Time, ready time.Duration) time.Duration {
	return max(0, l.wait(now)-ready)
}

// admit commits a message if it can arrive in time. Otherwise it returns the time
// after which it could be admitted.
func (l *ledger) admit(now time.Time, d Demand) (*commitment, time.Duration) {
	if excess := l.excess(now, d); excess > 0 {
		return nil, excess
	}
	return l.commit(now, d), 0
}

// excess returns by how much the committed bytes take too long for a message. A
// message that cannot meet its target even on an idle link must not delay others,
// so it is only admitted if it has no wait for the link. An idle link admits
// everything.
func (l *ledger) excess(now time.Time, d Demand) time.Duration {
	wait := l.wait(now)
	if wait == 0 {
		return 0
	}
	own := l.duration(now, d.Size.High)
	var allowed time.Duration
	switch {
	case d.Target.IsZero():
		allowed = d.Deadline.Sub(now) - own
	case now.Add(d.Ready + own).After(d.Target):
		allowed = d.Ready
	default:
		allowed = time.Duration(targetShare*float64(d.Target.Sub(now))) - own
	}
	return wait - max(allowed, 0)
}

// commit commits a message unconditionally.
func (l *ledger) commit(now time.Time, d Demand) *commitment {
	expected := max(d.Ready, l.wait(now)) + l.duration(now, d.Size.High)
	c := &commitment{left: d.Size.Mean, ready: d.Ready, due: d.Target, expires: now.Add(stallFactor*expected + stallTime)}
	if c.due.IsZero() {
		c.due = d.Deadline
	}
	if l.commitments == nil {
		l.commitments = make(map[*commitment]struct{})
	}
	l.commitments[c] = struct{}{}
	l.committed += c.left
	return c
}

// begin begins a message if what has begun can be transferred within the backlog after
// the message is ready. It reports whether it did.
func (l *ledger) begin(now time.Time, c *commitment) bool {
	l.expire(now)
	if l.begun > 0 && l.duration(now, l.begun) > c.ready+l.backlog {
		return false
	}
	if _, ok := l.commitments[c]; ok && !c.begun {
		c.begun = true
		l.begun += c.left
	}
	return true
}

// resize replaces the expected rest of a message.
func (l *ledger) resize(c *commitment, left float64) {
	if _, ok := l.commitments[c]; ok {
		left = max(left, 0)
		l.committed += left - c.left
		if c.begun {
			l.begun += left - c.left
		}
		c.left = left
	}
}

// arrive replaces the expected rest of a message that has begun to arrive. Its sender
// does not wait any more, so that the rest arrives within arrivalTime of its duration,
// or waits for its reader elsewhere.
func (l *ledger) arrive(now time.Time, c *commitment, left float64) {
	l.resize(c, left)
	if expires := now.Add(stallFactor*l.duration(now, c.left) + arrivalTime); expires.Before(c.expires) {
		c.expires = expires
	}
}

// release ends a commitment. It may be called repeatedly.
func (l *ledger) release(c *commitment) {
	l.resize(c, 0)
	delete(l.commitments, c)
	if len(l.commitments) == 0 {
		l.committed, l.begun = 0, 0 // removes accumulated rounding errors
	}
}

// expire releases the commitments whose receivers have stopped reading.
func (l *ledger) expire(now time.Time) {
	for c := range l.commitments {
		if now.After(c.expires) {
			l.release(c)
		}
	}
}
