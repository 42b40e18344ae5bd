package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

// windows are the periods over which run times are compared, in addition to the whole
// roll-out. The shorter one detects a version that becomes slow while its share rises,
// the longer one averages out slowdowns of single machines of 600 ms.
var windows = []time.Duration{2500 * time.Millisecond, 900 * time.Millisecond}

const (
	// sampleInterval is the time between two samples.
	sampleInterval = 200 * time.Millisecond
	// minRouteCalls is the number of calls of a route to the former versions from which
	// its mean run time is used.
	minRouteCalls = 5
)

// counts are the sums of the evidence about the servers of one side.
type counts struct {
	calls, failures float64
	// warmCalls are those that have ended, and half of those in flight, which have on
	// average run for half of their time. warmTime is their run time in seconds.
	warmCalls, warmTime float64
}

func (c counts) minus(o counts) counts {
	return counts{c.calls - o.calls, c.failures - o.failures, c.warmCalls - o.warmCalls, c.warmTime - o.warmTime}
}

func (c counts) plus(o counts) counts {
	return counts{c.calls + o.calls, c.failures + o.failures, c.warmCalls + o.warmCalls, c.warmTime + o.warmTime}
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
	Calls            float64 // to the target version since the start
	Failures         float64 // of the target version
	ExpectedFailures float64 // if it failed as often as the others on the same routes
	// Slowdown is the mean run time of the warm calls as a multiple of that of the others
	// on the same routes, from Compared calls. It is that of the window with the strongest
	// evidence of a slowdown.
	Slowdown, Compared float64
	WarmCalls          float64 // to the target version since the start
	Bad                bool
	Slow               bool // bad because of its run times
	Doubtful           bool // not bad, but the share must not rise
	Reason             string
}

const (
	// minBadFailures is the number of failures that are never judged as chance.
	minBadFailures = 4
	// doubtfulFailures is the part of failures from which a single one is doubtful.
	doubtfulFailures = 0.025
	// toleratedSlowdown is the slowdown that counts as no difference: servers of one
	// service run on machines that differ in speed.
	toleratedSlowdown = 1.4
	// finalSlowdown is the slowdown that counts as no difference for a doubt when all
	// servers of the target version get calls, so that the machines average out.
	finalSlowdown = 1.2
	// minSlowCalls is the number of calls from which a version can be slow, and
	// minDoubtfulCalls that from which a route can be doubtful.
	minSlowCalls     = 8
	minDoubtfulCalls = 5
	// shortSlowdown is the slowdown in the shortest window from which a version is slow.
	// A machine that is slowed down for 600 ms is 2.5 times slower.
	shortSlowdown = 3
)

// Limits of the evidence: the negative logarithm of the probability that a good version
// looks so bad by chance. The comparison is made some hundred times in a roll-out, for
// several routes and windows.
const (
	badFailures      = 5.5
	badSlowness      = 8
	badRouteSlowness = 9
	doubtfulSlowness = 4
	// routeMargin is added to doubtfulSlowness for single routes, since there are many.
	routeMargin = 4
)

// judge compares the versions. Run times count since each of the earlier samples, of
// which the last is the newest. final is set if all servers get calls.
func judge(now sample, before []sample, final bool) Judgment {
	var j Judgment
	for name, r := range now.routes {
		expected := r.target.calls * (r.others.failures + 0.2) / (r.others.calls + 20)
		j.Calls += r.target.calls
		j.WarmCalls += r.target.warmCalls
		j.Failures += r.target.failures
		j.ExpectedFailures += expected
		if excess(r.target.failures, expected) {
			j.Bad, j.Reason = true, fmt.Sprintf("route %s: %.0f of %.0f calls failed, %.1f expected", name, r.target.failures, r.target.calls, expected)
		}
	}
	if excess(j.Failures, j.ExpectedFailures) {
		j.Bad, j.Reason = true, fmt.Sprintf("%.0f of %.0f calls failed, %.1f expected", j.Failures, j.Calls, j.ExpectedFailures)
	}
	few := j.Failures > 0 && j.Failures > doubtfulFailures*j.Calls && j.Failures > 4*j.ExpectedFailures
	j.Doubtful = few || j.Failures > 1+2*j.ExpectedFailures
	tolerated, worst := toleratedSlowdown, 0.0
	if final {
		tolerated = finalSlowdown
	}
	for i, earlier := range before {
		worst = max(worst, j.compareRunTimes(now, earlier, i > 0 && i == len(before)-1, tolerated, worst))
	}
	j.Doubtful = !j.Bad && (j.Doubtful || worst >= doubtfulSlowness)
	return j
}

// compareRunTimes compares the run times since an earlier sample, and returns the
// evidence for a slowdown beyond the tolerated one. worst is that of other windows.
func (j *Judgment) compareRunTimes(now, earlier sample, shortest bool, tolerated, worst float64) float64 {
	minSlowdown := 0.0
	if shortest {
		minSlowdown = shortSlowdown
	}
	var units, calls, found float64
	for name, r := range now.routes {
		recent := sides{r.target.minus(earlier.routes[name].target), r.others.minus(earlier.routes[name].others)}
		reference := recent.others
		if reference.warmCalls < minRouteCalls {
			reference = r.others
		}
		if reference.warmCalls < minRouteCalls || reference.warmTime <= 0 {
			continue
		}
		u, n := recent.target.warmTime/(reference.warmTime/reference.warmCalls), recent.target.warmCalls
		units, calls = units+u, calls+n
		if n >= minDoubtfulCalls {
			found = max(found, slowness(u, n, tolerated)-routeMargin)
		}
		if n >= minSlowCalls && slowness(u, n, toleratedSlowdown) >= badRouteSlowness && u >= minSlowdown*n {
			j.Bad, j.Slow, j.Reason = true, true, fmt.Sprintf("route %s: %.1f times slower in %.0f calls", name, u/max(n, 1), n)
		}
	}
	found = max(found, slowness(units, calls, tolerated))
	if found >= worst {
		j.Slowdown, j.Compared = units/max(calls, 1), calls
	}
	if calls >= minSlowCalls && slowness(units, calls, toleratedSlowdown) >= badSlowness && units >= minSlowdown*calls {
		j.Bad, j.Slow, j.Reason = true, true, fmt.Sprintf("%.1f times slower in %.0f calls", units/max(calls, 1), calls)
	}
	return found
}

// excess reports whether so many failures are not a matter of chance, by the Chernoff
// bound of the Poisson distribution.
func excess(failures, expected float64) bool {
	if failures < minBadFailures || failures <= expected {
		return false
	}
	return failures*math.Log(failures/expected)-failures+expected >= badFailures
}

// slowness returns the evidence that calls which together took so many mean run times of
// the others are slow. It is the Chernoff bound of the sum of exponentially distributed
// run times that are slower by the tolerated factor.
func slowness(units, calls, tolerated float64) float64 {
	n := max(calls, 1)
	x := units / n / tolerated
	if x <= 1 {
		return 0
	}
	return n * (x - 1 - math.Log(x))
}
