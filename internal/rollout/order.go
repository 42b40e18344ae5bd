package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// Follow returns the row that an order leads to, and whether it differs from the
// current one. The zero row stands for none.
//
// An order that repeats the target of the current row changes at most the duration of a
// running roll-out: a verdict about a version never changes. An order with another
// target replaces the row; the target of a roll-out that is still running is rolled
// back by that. A withdrawn order rolls back a running roll-out.
func Follow(current Row, o Order, now time.Time) (Row, bool) {
	running := current.State == Running
	switch {
	case current.Service != "" && o.Number <= current.Order:
		return current, false
	case o.Withdrawn:
		if !running {
			return current, false
		}
		next := current
		next.Order, next.State, next.Share, next.Closing, next.Reason = o.Number, RolledBack, 0, false, "order withdrawn"
		next.Step++
		next.Barred = with(next.Barred, next.Target)
		return next, true
	case current.Service != "" && o.Target == current.Target:
		duration := uint32(o.Duration.Milliseconds())
		if !running || duration == current.DurationMS {
			return current, false
		}
		next := current
		next.Order, next.DurationMS = o.Number, duration
		return next, true
	}
	next := Row{Service: o.Service, Target: o.Target, Order: o.Number, Started: now.UnixMilli(), DurationMS: uint32(o.Duration.Milliseconds()), State: Running, Direct: o.Direct}
	barred := current.Barred
	if running {
		barred = with(barred, current.Target)
	}
	next.Barred = slices.DeleteFunc(slices.Clone(barred), func(v backend.Version) bool { return v == o.Target })
	return next, true
}

func with(all []backend.Version, v backend.Version) []backend.Version {
	if slices.Contains(all, v) {
		return all
	}
	return append(slices.Clone(all), v)
}

// String describes the row in one line.
func (r Row) String() string {
	s := fmt.Sprintf("%s to %s: %s, step %d, share %.3f", r.Service, r.Target, r.State, r.Step, float64(r.Share)/float64(AllCalls))
	if r.Closing {
		s += ", closing"
	}
	if r.Reason != "" {
		s += ": " + r.Reason
	}
	return s
}
