package capacity

import (
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

const (
	// idleShareTime is the time over which the share of idle time of the server is
	// measured.
	idleShareTime = 10 * time.Second
	// minIdleExpected is the number of calls that must have been expected while the
	// server was idle before a route counts as nested. If its calls came from callers,
	// two or fewer would be seen in one case of 70.
	minIdleExpected = 8
	// maxIdleRatio is the ratio of seen to expected calls up to which a route counts as
	// nested. It is not 0, since servers finish their work after a caller has disconnected.
	maxIdleRatio = 0.2
	// maxIdleExpected bounds the memory of a route, so that it follows changes.
	maxIdleExpected = 64
)

// NestedRoutes finds the routes that only the backend servers of this host call, for
// requests that they run. No header tells these calls from those of callers, but they
// arrive only while a server is busy, and calls of callers also while it is idle, in
// proportion to the idle time. It has no clock and is not safe for concurrent use.
type NestedRoutes struct {
	routes    map[document.RouteName]*idleCalls
	idleShare float64 // moving share of the time in which the servers were idle
	idleTime  time.Duration
	updatedAt time.Time
}

// idleCalls are the calls of a route that arrived while the servers were idle.
type idleCalls struct{ expected, seen float64 }

// Arrival records a call at the entry. idleTime is the total time for which the servers
// of this host have been idle so far. It reports whether the call belongs to a request
// that a server of this host runs.
func (n *NestedRoutes) Arrival(now time.Time, route document.RouteName, busy bool, idleTime time.Duration) bool {
	n.measure(now, idleTime)
	c := n.routes[route]
	if c == nil {
		if n.routes == nil || len(n.routes) >= maxRoutes {
			n.routes = make(map[document.RouteName]*idleCalls)
		}
		c = &idleCalls{}
		n.routes[route] = c
	}
	c.expected += n.idleShare
	if !busy {
		c.seen++
	}
	if c.expected+c.seen > maxIdleExpected {
		c.expected, c.seen = c.expected/2, c.seen/2
	}
	return busy && c.expected >= minIdleExpected && c.seen <= maxIdleRatio*c.expected
}

// measure updates the share of idle time.
func (n *NestedRoutes) measure(now time.Time, idleTime time.Duration) {
	elapsed := now.Sub(n.updatedAt)
	switch {
	case n.updatedAt.IsZero():
	case elapsed <= 0:
		return
	default:
		weight := min(1, elapsed.Seconds()/idleShareTime.Seconds())
		share := min(max((idleTime-n.idleTime).Seconds()/elapsed.Seconds(), 0), 1)
		n.idleShare += weight * (share - n.idleShare)
	}
	n.updatedAt, n.idleTime = now, idleTime
}
