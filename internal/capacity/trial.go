package capacity

import (
	"math"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

// sample is the run time and the concurrency of one call.
type sample struct {
	logRun         float64 // logarithm of the run time
	logConcurrency float64 // logarithm of the mean number of calls in flight while it ran
}

// sums are the sums of samples.
type sums struct{ calls, logRun, logConcurrency float64 }

func (s *sums) add(x sample) {
	s.calls++
	s.logRun += x.logRun
	s.logConcurrency += x.logConcurrency
}

// interval is a time in which a server gets a certain number of concurrent calls.
type interval struct {
	running int // calls that started in it and have not ended
	routes  map[document.RouteName]*sums
}

// add adds a call that started in the interval. It accepts a nil interval.
func (i *interval) add(route document.RouteName, s sample) {
	if i == nil {
		return
	}
	if i.routes == nil {
		i.routes = make(map[document.RouteName]*sums)
	}
	r := i.routes[route]
	if r == nil {
		r = &sums{}
		i.routes[route] = r
	}
	r.add(s)
}

// ended records the end of a call that started in the interval. It accepts a nil
// interval.
func (i *interval) ended() {
	if i != nil {
		i.running--
	}
}

// pair is an interval with few and one with many concurrent calls.
type pair struct {
	low, high interval
	lowFirst  bool
	closed    bool
}

// evidence is the weighted regression of differences of run times on differences of
// concurrency, through the origin.
type evidence struct {
	pairs      int
	xx, xy, yy float64 // sums of products, in units of the variance of each pair
}

// decay reduces the weight of the evidence.
func (e *evidence) decay(factor float64) {
	e.pairs = int(math.Ceil(factor * float64(e.pairs)))
	e.xx, e.xy, e.yy = factor*e.xx, factor*e.xy, factor*e.yy
}

// difference is the difference of the means of two intervals.
type difference struct {
	logRun, logConcurrency float64
	weight                 float64 // reciprocal of its variance, in units of that of a call
}

func differenceOf(low, high *sums) difference {
	return difference{
		logRun:         high.logRun/high.calls - low.logRun/low.calls,
		logConcurrency: high.logConcurrency/high.calls - low.logConcurrency/low.calls,
		weight:         1 / (1/low.calls + 1/high.calls),
	}
}

// merge replaces a difference by the weighted mean of both.
func (d *difference) merge(o difference) {
	d.weight += o.weight
	d.logRun += o.weight / d.weight * (o.logRun - d.logRun)
	d.logConcurrency += o.weight / d.weight * (o.logConcurrency - d.logConcurrency)
}

func (e *evidence) add(d difference, variance float64) {
	w, x, y := d.weight/variance, d.logConcurrency, d.logRun
	e.pairs++
	e.xx, e.xy, e.yy = e.xx+w*x*x, e.xy+w*x*y, e.yy+w*y*y
}

// elasticity returns the estimate and its standard error. Pairs that scatter more than
// their calls explain, because the machine changes its speed, increase the error.
func (e *evidence) elasticity() (value, standardError float64) {
	if e.xx == 0 {
		return 0, math.Inf(1)
	}
	value = e.xy / e.xx
	scatter := 1.0
	if e.pairs > 1 {
		scatter = max(1, (e.yy-e.xy*value)/float64(e.pairs-1))
	}
	return value, math.Sqrt(scatter / e.xx)
}

// trial compares two numbers of concurrent calls.
type trial struct {
	low, high   int
	up          bool // high is more than the learned number; otherwise low is less
	strict      bool // the higher number was too high some time ago
	length      time.Duration
	intervalEnd time.Time
	second      bool  // the second interval of the current pair
	current     *pair // gets the calls that start now
	open        []*pair
	pairs       int // that were started
	all         evidence
	evidence    map[document.RouteName]*evidence
}

func (t *trial) begin(now time.Time, lowFirst bool) {
	t.current = &pair{lowFirst: lowFirst}
	t.open = append(t.open, t.current)
	t.pairs++
	t.second, t.intervalEnd = false, now.Add(t.length)
}

// next starts the next interval.
func (t *trial) next(now time.Time, lowFirst bool) {
	if !t.second {
		t.second, t.intervalEnd = true, now.Add(t.length)
		return
	}
	t.current.closed = true
	t.begin(now, lowFirst)
}

// isLow reports whether the current interval is the one with few calls.
func (t *trial) isLow() bool { return t.current.lowFirst != t.second }

func (t *trial) limit() int {
	if t.isLow() {
		return t.low
	}
	return t.high
}

// started records the start of a call and returns its interval.
func (t *trial) started() *interval {
	i := &t.current.high
	if t.isLow() {
		i = &t.current.low
	}
	i.running++
	return i
}

// collect adds the pairs whose calls have all ended. A pair without its longest calls
// would make the later interval appear faster.
func (t *trial) collect(variance float64) {
	rest := t.open[:0]
	for _, p := range t.open {
		if p.closed && p.low.running == 0 && p.high.running == 0 {
			t.add(p, variance)
		} else {
			rest = append(rest, p)
		}
	}
	clear(t.open[len(rest):])
	t.open = rest
}

// add adds the evidence of a pair: the differences of each route, weighted by its
// calls.
func (t *trial) add(p *pair, variance float64) {
	var all difference
	for route, h := range p.high.routes {
		l := p.low.routes[route]
		if l == nil {
			continue
		}
		d := differenceOf(l, h)
		all.merge(d)
		if l.calls < minPairCalls || h.calls < minPairCalls {
			continue
		}
		e := t.evidence[route]
		if e == nil {
			e = &evidence{}
			t.evidence[route] = e
		}
		e.add(d, variance)
	}
	if all.weight >= minPairCalls/2 && all.logConcurrency >= minContrast {
		t.all.add(all, variance)
	}
}

// verdict is the result of a trial.
type verdict uint8

const (
	undecided verdict = iota
	unknown           // no evidence
	more              // more concurrent calls give more throughput
	fewer             // fewer concurrent calls give about the same throughput
)

// verdict compares the elasticity with maxElasticity.
func (t *trial) verdict() verdict {
	value, e := t.all.elasticity()
	switch {
	case t.all.pairs < 2:
		return undecided
	case t.up && !t.strict && e <= growError && value+e/2 < maxElasticity, t.up && value+1.5*e < maxElasticity:
		return more
	case t.up && e <= keepError && value-e/4 > maxElasticity:
		return fewer
	case !t.up && (e <= shrinkError && value-e/2 > maxElasticity || value-1.5*e > maxElasticity) && !t.contradicted():
		return fewer
	case !t.up && e <= keepError && value+e/4 < maxElasticity:
		return more
	default:
		return undecided
	}
}

// lastVerdict is the verdict of a trial that has to end. Without evidence against more
// concurrent calls, they are admitted.
func (t *trial) lastVerdict() verdict {
	if value, e := t.all.elasticity(); t.up && !t.strict && t.all.pairs > 0 && value+e/4 < maxElasticity {
		return more
	}
	return unknown
}

// contradicted reports whether the run times of some route don't grow with the
// concurrency. Then the server is not overloaded, and the calls of the other routes
// wait for something else, such as a service that they call.
func (t *trial) contradicted() bool {
	for _, e := range t.evidence {
		value, standardError := e.elasticity()
		if e.xx >= 0.1*t.all.xx && value+standardError < maxElasticity {
			return true
		}
	}
	return false
}
