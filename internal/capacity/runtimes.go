package capacity

import "github.com/peridotlb/peridotlb/internal/document"

const (
	// levels is the number of ranges of concurrency with a mean run time each.
	levels = 6
	// levelWeight is the weight of one call in the mean of its level, and
	// minLevelCalls the least number of calls of a level that is compared.
	levelWeight   = 0.02
	minLevelCalls = 12
	// defaultVariance of the logarithm of the run time is assumed until it is measured.
	defaultVariance, varianceWeight = 0.25, 0.005
	// maxRoutes limits the number of routes with run times. All are dropped at the
	// limit, since versions add and remove routes.
	maxRoutes = 1024
	// levelLifetime is the number of calls of a route after which the mean of a level
	// without calls is no longer compared.
	levelLifetime = 10000
)

// runTimes are the run times of a server by route and concurrency.
type runTimes struct {
	routes    map[document.RouteName]*routeTimes
	deviation float64 // moving variance of the logarithm of the run time; 0 when unknown
}

// routeTimes are the run times of a route.
type routeTimes struct {
	calls  int
	levels [levels]level
}

// level is the moving mean of the logarithms of run times.
type level struct {
	calls int
	mean  float64
	last  int // number of the last call of the route in this level
}

func levelOf(concurrency float64, slots int) int {
	return min(int(concurrency*levels/float64(max(slots, 1)+1)), levels-1)
}

// record adds a run time.
func (r *runTimes) record(route document.RouteName, logRun, concurrency float64, slots int) {
	t := r.routes[route]
	if t == nil {
		if r.routes == nil || len(r.routes) >= maxRoutes {
			r.routes = make(map[document.RouteName]*routeTimes)
		}
		t = &routeTimes{}
		r.routes[route] = t
	}
	t.calls++
	l := &t.levels[levelOf(concurrency, slots)]
	l.calls++
	l.last = t.calls
	deviation := logRun - l.mean
	l.mean += max(1/float64(l.calls), levelWeight) * deviation
	if r.deviation == 0 {
		r.deviation = defaultVariance
	}
	if l.calls >= minLevelCalls {
		r.deviation += varianceWeight * (deviation*deviation - r.deviation)
	}
}

func (r *runTimes) variance() float64 { return max(r.deviation, 0.01) }

// growth returns by how much the logarithm of the run time has grown with the
// concurrency up to n, in comparison with the lower level with the shortest run times:
// the mean of the routes by their calls. It is not known without measurements of both
// levels of some route.
func (r *runTimes) growth(n, slots int) (growth float64, known bool) {
	calls := 0.0
	for _, t := range r.routes {
		g, ok := t.growth(levelOf(float64(n), slots))
		if !ok {
			continue
		}
		weight := float64(min(t.calls, levelLifetime))
		calls += weight
		growth += weight * g
	}
	return growth / max(calls, 1), calls > 0
}

func (t *routeTimes) growth(top int) (growth float64, known bool) {
	for top > 0 && !t.current(top) {
		top--
	}
	for i := range top {
		if t.current(i) {
			growth, known = max(growth, t.levels[top].mean-t.levels[i].mean), true
		}
	}
	return growth, known
}

func (t *routeTimes) current(i int) bool {
	return t.levels[i].calls >= minLevelCalls && t.calls-t.levels[i].last < levelLifetime
}
