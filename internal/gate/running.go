package gate

import (
	"math"
	"time"
)

// running counts the calls in flight by priority, and the time without any.
type running struct {
	byPriority [math.MaxUint8 + 1]uint16
	calls      int
	idle       time.Duration // until idleSince
	idleSince  time.Time     // end of the last call; zero before the first call
}

func (r *running) add(now time.Time, priority uint8) {
	if r.calls == 0 && !r.idleSince.IsZero() {
		r.idle += now.Sub(r.idleSince)
	}
	r.calls++
	r.byPriority[priority]++
}

func (r *running) remove(now time.Time, priority uint8) {
	r.calls--
	r.byPriority[priority]--
	r.idleSince = now
}

// highest returns the highest priority of the calls in flight, which is the lowest
// number.
func (r *running) highest() uint8 {
	for priority, n := range r.byPriority {
		if n > 0 {
			return uint8(priority)
		}
	}
	return math.MaxUint8
}

// Activity is what the backend servers of this host do.
type Activity struct {
	Busy     bool          // a call is in flight
	Priority uint8         // highest priority of the calls in flight, if Busy
	Idle     time.Duration // total time without a call in flight, since the first call
}

// Activity returns the activity of the backend servers of this host. With several
// servers, Idle is that of the one that was idle least.
func (g *Gate) Activity() Activity {
	now := g.config.Now()
	a := Activity{Priority: math.MaxUint8, Idle: -1}
	for _, s := range *g.servers.Load() {
		s.mu.Lock()
		idle := s.running.idle
		if s.running.calls > 0 {
			a.Busy = true
			a.Priority = min(a.Priority, s.running.highest())
		} else if !s.running.idleSince.IsZero() {
			idle += now.Sub(s.running.idleSince)
		}
		s.mu.Unlock()
		if a.Idle < 0 || idle < a.Idle {
			a.Idle = idle
		}
	}
	a.Idle = max(a.Idle, 0)
	return a
}
