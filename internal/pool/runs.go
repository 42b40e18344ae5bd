package pool

import (
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

const (
	// runWeight is the weight of one call in the mean run time and size of its
	// route, which cover about the last 50 calls. The first calls weigh more: the
	// mean is that of all calls until then.
	routeMeanWeight = 0.02
	// maxRoutes bounds the routes that are remembered. Routes come and go with
	// versions.
	maxRoutes = 8192
	// defaultKilobytes is the assumed size of a call before any is known.
	defaultKilobytes = 2
	// bytesPerKilobyte is the unit of sizes.
	bytesPerKilobyte = 1000
)

// runTimes holds what is known of the calls of each route.
type routeStats struct {
	mu     sync.RWMutex
	routes map[document.RouteName]*routeMeans
}

// runTime holds means over the recent calls of a route.
type routeMeans struct {
	mu        sync.Mutex
	calls     float64
	runTime   float64 // time at the server, nanoseconds
	kilobytes float64 // of request and response
}

// known is what is known of a route.
type routeEstimate struct {
	runTime   time.Duration
	kilobytes float64
}

// get returns what is known of a route, or what is assumed.
func (r *routeStats) estimate(name document.RouteName) routeEstimate {
	r.mu.RLock()
	t := r.routes[name]
	r.mu.RUnlock()
	if t == nil {
		return routeEstimate{defaultRunTime, defaultKilobytes}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == 0 {
		return routeEstimate{defaultRunTime, defaultKilobytes}
	}
	return routeEstimate{time.Duration(t.runTime), t.kilobytes}
}

// add takes the run time and the bytes of a call. It returns the time in mean
// run times.
func (r *routeStats) record(name document.RouteName, took time.Duration, bytes int) float64 {
	r.mu.RLock()
	t := r.routes[name]
	r.mu.RUnlock()
	kilobytes := float64(bytes) / bytesPerKilobyte
	if t == nil {
		t = r.create(name)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	weight := max(1/t.calls, routeMeanWeight)
	t.runTime += weight * (float64(took) - t.runTime)
	t.kilobytes += weight * (kilobytes - t.kilobytes)
	return float64(took) / max(t.runTime, 1)
}

func (r *routeStats) create(name document.RouteName) *routeMeans {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.routes[name]; t != nil {
		return t
	}
	if r.routes == nil || len(r.routes) >= maxRoutes {
		r.routes = make(map[document.RouteName]*routeMeans)
	}
	t := &routeMeans{}
	r.routes[name] = t
	return t
}
