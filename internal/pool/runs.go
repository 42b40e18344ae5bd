package pool

import (
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

const (
	// routeMeanWeight is the weight of one call in the moving averages of its route,
	// which cover about the last 50 calls. The first 50 calls weigh more: until then
	// the average is the mean of all calls.
	routeMeanWeight = 0.02
	// maxRoutes limits the number of routes with statistics. All statistics are
	// dropped at the limit, since versions add and remove routes.
	maxRoutes = 8192
	// defaultKilobytes is the assumed call size of a route without measurements.
	defaultKilobytes = 2
	bytesPerKilobyte = 1000
)

// routeStats holds statistics about the calls of each route.
type routeStats struct {
	mu     sync.RWMutex
	routes map[document.RouteName]*routeMeans
}

// routeMeans holds moving averages over the recent calls of a route.
type routeMeans struct {
	mu        sync.Mutex
	calls     float64
	runTime   float64 // at the server, nanoseconds
	kilobytes float64 // request and response together
}

// routeEstimate is the expected run time and size of a call.
type routeEstimate struct {
	runTime   time.Duration
	kilobytes float64
}

// estimate returns the averages of a route, or the defaults when it has no
// measurements.
func (r *routeStats) estimate(name document.RouteName) routeEstimate {
	r.mu.RLock()
	means := r.routes[name]
	r.mu.RUnlock()
	if means == nil {
		return routeEstimate{runTime: defaultRunTime, kilobytes: defaultKilobytes}
	}
	means.mu.Lock()
	defer means.mu.Unlock()
	if means.calls == 0 {
		return routeEstimate{runTime: defaultRunTime, kilobytes: defaultKilobytes}
	}
	return routeEstimate{runTime: time.Duration(means.runTime), kilobytes: means.kilobytes}
}

// record adds the run time and the bytes of a call. It returns the ratio of the
// run time to the mean run time of the route.
func (r *routeStats) record(name document.RouteName, runTime time.Duration, bytes int) float64 {
	r.mu.RLock()
	means := r.routes[name]
	r.mu.RUnlock()
	kilobytes := float64(bytes) / bytesPerKilobyte
	if means == nil {
		means = r.create(name)
	}
	means.mu.Lock()
	defer means.mu.Unlock()
	means.calls++
	weight := max(1/means.calls, routeMeanWeight)
	means.runTime += weight * (float64(runTime) - means.runTime)
	means.kilobytes += weight * (kilobytes - means.kilobytes)
	return float64(runTime) / max(means.runTime, 1)
}

func (r *routeStats) create(name document.RouteName) *routeMeans {
	r.mu.Lock()
	defer r.mu.Unlock()
	if means := r.routes[name]; means != nil {
		return means
	}
	if r.routes == nil || len(r.routes) >= maxRoutes {
		r.routes = make(map[document.RouteName]*routeMeans)
	}
	means := &routeMeans{}
	r.routes[name] = means
	return means
}
