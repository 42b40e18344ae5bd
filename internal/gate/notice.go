package gate

import (
	"math"
	"time"
)

const (
	// limitBurst is the time in which a limited server that was idle gets one call
	// more than its limit allows in it.
	limitBurst = 500 * time.Millisecond
	// zeroLimitInterval is the time between two calls to a server that names the
	// limit 0. Only its responses tell when the limit ends.
	zeroLimitInterval = 4 * time.Second
)

// Notice is what a backend server states about itself in a response.
type Notice struct {
	// Limited is set if the server limits the calls that it accepts, and Limit is
	// then their number per second from all daemons together.
	Limited bool
	Limit   float64
	// Leaving is set if the server is about to end and should get no more calls.
	Leaving bool
}

// Change is the effect of a notice.
type Change uint8

// Effects of a notice.
const (
	Unchanged  Change = iota
	LimitSet          // the server named a limit for the first time, or another one
	LimitEnded        // the server no longer names a limit
)

// noticedLimit is the limit that a backend server named last.
type noticedLimit struct {
	limited   bool
	perSecond float64
	namedAt   time.Time // arrival of the last response that named a limit
	// unreadable is set while responses name a limit that can't be read.
	unreadable bool
	// tokens is the number of calls that the limit allowed at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// rate returns the number of calls per second that the server gets.
func (l *noticedLimit) rate() float64 {
	if l.perSecond == 0 {
		return 1 / zeroLimitInterval.Seconds()
	}
	return l.perSecond
}

// refill adds the tokens that have accrued.
func (l *noticedLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt).Seconds(); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed*l.rate(), max(1, l.rate()*limitBurst.Seconds()))
		l.refilledAt = now
	}
}

// take takes a token and reports whether there was one.
func (l *noticedLimit) take(now time.Time) bool {
	if !l.limited {
		return true
	}
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// wait returns the time until there is a token for a call with the given number of
// calls ahead of it.
func (l *noticedLimit) wait(now time.Time, ahead int) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	missing := float64(ahead) + 1 - l.tokens
	return time.Duration(math.Ceil(max(0, missing) / l.rate() * float64(time.Second)))
}

// set sets the limit. A server that was not limited before has had more calls than
// the limit allows, so it starts without tokens.
func (l *noticedLimit) set(now time.Time, perSecond float64) {
	if l.limited {
		l.refill(now)
	} else {
		l.tokens, l.refilledAt = 0, now
	}
	l.limited, l.perSecond, l.namedAt = true, perSecond, now
}

// adoptLimit sets the limit that the entry of a call knows, unless this gate knows
// better.
func (s *server) adoptLimit(n Notice) {
	if n.Limited && !s.noticed && !s.limit.limited {
		s.limit.set(s.now(), n.Limit)
	}
}

// ObserveLeaving records that a response to the call of this permit stated that the
// server leaves. The server then gets no more calls in its present run. It reports
// whether this was not known before.
func (p *Permit) ObserveLeaving() bool {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || !p.row.SameRun(s.row) {
		return false
	}
	s.leaving = true
	s.refuseQueue(ErrDraining)
	return true
}

// ObserveUnreadable records that a response to the call of this permit named a limit
// that can't be read. The last limit stays. It reports whether the response before
// named none or one that could be read.
func (p *Permit) ObserveUnreadable() bool {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticed = true
	first := !s.limit.unreadable
	s.limit.unreadable = true
	return first
}

// Observe records the notice of a response to the call of this permit. It returns
// what has changed, and the limit before.
func (p *Permit) Observe(n Notice) (Change, float64) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.row.Started != s.row.Started {
		return Unchanged, 0 // from an earlier run of the server
	}
	l := &s.limit
	first := !s.noticed
	l.unreadable, s.noticed = false, true
	before := l.perSecond
	switch {
	case n.Limited:
		changed := first || !l.limited || l.perSecond != n.Limit
		l.set(s.now(), n.Limit)
		if changed {
			return LimitSet, before
		}
	case l.limited && p.start.After(l.namedAt):
		// A response to an earlier call can have been made before the server named
		// the limit.
		s.limit = noticedLimit{}
		s.grantSlots()
		return LimitEnded, before
	}
	return Unchanged, before
}
