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
	runWeight = 0.02
	// maxRoutes bounds the routes that are remembered. Routes come and go with
	// versions.
	maxRoutes = 8192
	// defaultKilobytes is the assumed size of a call before any is known.
	defaultKilobytes = 2
	// bytesPerKilobyte is the unit of sizes.
	bytesPerKilobyte = 1000
)

// runTimes holds what is known of the calls of each route.
type runTimes struct {
	mu     sync.RWMutex
	routes map[document.RouteName]*runTime
}

// runTime holds means over the recent calls of a route.
type runTime struct {
	mu        sync.Mutex
	calls     float64
	mean      float64 // time at the server, nanoseconds
	kilobytes float64 // of request and response
}

// known is what is known of a route.
type known struct {
	mean      time.Duration
	kilobytes float64
}

// get returns what is known of a route, or what is assumed.
func (r *runTimes) get(name document.RouteName) known {
	r.mu.RLock()
	t := r.routes[name]
	r.mu.RUnlock()
	if t == nil {
		return known{defaultRun, defaultKilobytes}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == 0 {
		return known{defaultRun, defaultKilobytes}
	}
	return known{time.Duration(t.mean), t.kilobytes}
}

// add takes the run time and the bytes of a call. It returns the time in mean
// run times.
func (r *runTimes) add(name document.RouteName, took time.Duration, bytes int) float64 {
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
	weight := max(1/t.calls, runWeight)
	t.mean += weight * (float64(took) - t.mean)
	t.kilobytes += weight * (kilobytes - t.kilobytes)
	return float64(took) / max(t.mean, 1)
}

func (r *runTimes) create(name document.RouteName) *runTime {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.routes[name]; t != nil {
		return t
	}
	if r.routes == nil || len(r.routes) >= maxRoutes {
		r.routes = make(map[document.RouteName]*runTime)
	}
	t := &runTime{}
	r.routes[name] = t
	return t
}
