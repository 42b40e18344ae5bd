package gate

import "time"

// Notice is what a backend server states about itself in a response.
type Notice struct {
	// Limited is set if the server limits the calls that it accepts, and Limit is
	// then their number per second from all daemons together.
	Limited bool
	Limit   float64
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
}

// ObserveUnreadable records that a response to the call of this permit named a limit
// that can't be read. The last limit stays. It reports whether the response before
// named none or one that could be read.
func (p *Permit) ObserveUnreadable() bool {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
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
	l.unreadable = false
	before := l.perSecond
	switch {
	case n.Limited:
		changed := !l.limited || l.perSecond != n.Limit
		l.limited, l.perSecond, l.namedAt = true, n.Limit, s.now()
		if changed {
			return LimitSet, before
		}
	case l.limited && p.start.After(l.namedAt):
		// A response to an earlier call can have been made before the server named
		// the limit.
		s.limit = noticedLimit{}
		return LimitEnded, before
	}
	return Unchanged, before
}
