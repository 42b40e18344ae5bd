package bandwidth

import (
	"math"
	"sync"

	"github.com/peridotlb/peridotlb/internal/document"
)

const (
	// sizeWeight is the weight of one response in the moving averages of its route.
	// The first responses weigh more: until then the mean is that of all.
	sizeWeight = 0.05
	// highQuantile is the quantile that Size.High estimates.
	highQuantile = 0.9
	// maxRoutes limits the number of routes with statistics. All statistics are
	// dropped at the limit, since versions add and remove routes.
	maxRoutes = 8192
)

// Size is an expected size in bytes.
type Size struct {
	Mean float64
	High float64 // about the highQuantile
}

// Exactly returns the size of a message of known length.
func Exactly(bytes int64) Size { return Size{Mean: float64(bytes), High: float64(bytes)} }

// Large reports whether a message of this size is accounted for.
func (s Size) Large() bool { return s.Mean >= LargeBytes }

// Sizes estimates the sizes of the responses of each route. Its zero value is ready
// for use.
type Sizes struct {
	mu     sync.Mutex
	routes map[document.RouteName]*sizeEstimate
}

// sizeEstimate holds moving averages over the recent responses of a route.
type sizeEstimate struct {
	count, mean, deviation, high float64
}

// Expected returns the expected size of a response; zero for an unknown route.
func (s *Sizes) Expected(route document.RouteName) Size {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.routes[route]
	if e == nil {
		return Size{}
	}
	return Size{Mean: e.mean, High: max(e.mean, e.high)}
}

// Record adds the size of a response.
func (s *Sizes) Record(route document.RouteName, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.routes[route]
	if e == nil {
		if s.routes == nil || len(s.routes) >= maxRoutes {
			s.routes = make(map[document.RouteName]*sizeEstimate)
		}
		e = &sizeEstimate{mean: float64(bytes), high: float64(bytes)}
		s.routes[route] = e
	}
	e.record(float64(bytes))
}

// record adds a size. The high quantile moves by steps in proportion to the mean
// deviation, up more than down, so that it settles where a share of 1-highQuantile
// of the sizes is above it.
func (e *sizeEstimate) record(bytes float64) {
	e.count++
	weight := max(1/e.count, sizeWeight)
	e.deviation += weight * (math.Abs(bytes-e.mean) - e.deviation)
	e.mean += weight * (bytes - e.mean)
	step := 4 * weight * e.deviation
	if bytes > e.high {
		e.high += step * highQuantile
	} else {
		e.high -= step * (1 - highQuantile)
	}
}
