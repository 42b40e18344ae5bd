package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

const (
	// windowLength is the time over which run times are compared. It is long enough to
	// average out slowdowns of single machines of 600 ms, and short enough to notice a
	// version that becomes slow while its share rises.
	windowLength   = 2500 * time.Millisecond
	windowInterval = 200 * time.Millisecond
	// minRouteCalls is the number of calls of a route to the former versions from which
	// its mean run time is used.
	minRouteCalls = 5
)

// counts are the sums of the evidence about the servers of one side.
type counts struct {
	calls, failures, warmDone float64
	warmTime                  float64 // seconds
}

func (c counts) minus(o counts) counts {
	return counts{c.calls - o.calls, c.failures - o.failures, c.warmDone - o.warmDone, c.warmTime - o.warmTime}
}

func (c counts) plus(o counts) counts {
	return counts{c.calls + o.calls, c.failures + o.failures, c.warmDone + o.warmDone, c.warmTime + o.warmTime}
}

// sides holds the sums for the target version and for the others.
type sides struct{ target, others counts }

// sample is the state of the evidence at one time.
type sample struct {
	at     time.Time
	routes map[document.RouteName]sides
}

func (s sample) total() sides {
	var t sides
	for _, r := range s.routes {
		t.target, t.others = t.target.plus(r.target), t.others.plus(r.others)
	}
	return t
}

// Judgment is the comparison of the target version with the others.
type Judgment struct {
	Calls, OtherCalls float64 // since the start
	Failures          float64 // of the target version
	ExpectedFailures  float64 // if it failed as often as the others on the same routes
	// Slowdown is the mean run time of the recent warm calls as a multiple of that of
	// the others on the same routes, from Compared calls.
	Slowdown, Compared float64
	Bad                bool
	Doubtful           bool // not bad, but the share must not rise
	Reason             string
}

// judge compares the newest sample with an earlier one, from which run times count.
func judge(now, before sample) Judgment {
	var j Judgment
	var actual, expected, worst float64
	for name, r := range now.routes {
		j.Calls += r.target.calls
		j.OtherCalls += r.others.calls
		j.Failures += r.target.failures
		j.ExpectedFailures += r.target.calls * (r.others.failures + 0.2) / (r.others.calls + 20)
		recent := sides{r.target.minus(before.routes[name].target), r.others.minus(before.routes[name].others)}
		reference := recent.others
		if reference.warmDone < minRouteCalls {
			reference = r.others
		}
		if reference.warmDone < minRouteCalls || reference.warmTime <= 0 {
			continue
		}
		units := recent.target.warmTime / (reference.warmTime / reference.warmDone)
		actual += units
		expected += recent.target.warmDone
		if failures, limit := r.target.failures, r.target.calls*(r.others.failures+0.2)/(r.others.calls+20); exceeds(failures, limit) {
			j.Bad, j.Reason = true, fmt.Sprintf("route %s: %.0f of %.0f calls failed, %.1f expected", name, failures, r.target.calls, limit)
		}
		worst = max(worst, slowness(units, recent.target.warmDone))
		if slowness(units, recent.target.warmDone) >= 1 && recent.target.warmDone >= minSlowCalls {
			j.Bad, j.Reason = true, fmt.Sprintf("route %s: %.1f times slower in %.0f calls", name, units/max(recent.target.warmDone, 1), recent.target.warmDone)
		}
	}
	j.Slowdown, j.Compared = actual/max(expected, 1), expected
	if slowness(actual, expected) >= 1 {
		j.Bad, j.Reason = true, fmt.Sprintf("%.1f times slower in %.0f calls", j.Slowdown, j.Compared)
	}
	if exceeds(j.Failures, j.ExpectedFailures) {
		j.Bad, j.Reason = true, fmt.Sprintf("%.0f of %.0f calls failed, %.1f expected", j.Failures, j.Calls, j.ExpectedFailures)
	}
	j.Doubtful = !j.Bad && (j.Failures > 1+2*j.ExpectedFailures || max(slowness(actual, expected), worst) >= doubtfulSlowness)
	return j
}

const (
	// minBadFailures is the number of failures that are never judged as chance. With
	// fewer, a server that is stopped with calls in flight would count as bad.
	minBadFailures = 4
	// slowFactor is the mean run time, as a multiple of that of the other versions, from
	// which a version is slow. Servers of one service differ by less than that on
	// average, and a machine that is slowed down for 600 ms shifts the mean of a window
	// by less.
	slowFactor = 1.7
	// slowDeviations is the number of standard deviations of the mean, for run times
	// that are distributed exponentially, by which it must exceed slowFactor.
	slowDeviations = 1.5
	minSlowCalls   = 8
	// doubtfulSlowness is the slowness from which the share does not rise.
	doubtfulSlowness = 0.75
)

// exceeds reports whether so many failures are not a matter of chance.
func exceeds(failures, expected float64) bool {
	return failures >= minBadFailures && failures > 2*expected+3*math.Sqrt(expected)
}

// slowness compares the run time of calls, in units of the mean of the others, with the
// limit for that number of calls. From 1 on, the version is slow.
func slowness(units, calls float64) float64 {
	// Calls that take several times longer end rarely; the time of those in flight
	// counts as if one more had ended.
	n := max(calls, 1)
	if units < minSlowCalls {
		return 0
	}
	return units / n / (slowFactor * (1 + slowDeviations/math.Sqrt(n)))
}
