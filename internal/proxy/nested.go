package proxy

import (
	"sync"

	"github.com/peridotlb/peridotlb/internal/capacity"
)

// nestedCalls finds the calls that backend servers of this host make for requests that
// they run.
type nestedCalls struct {
	mu     sync.Mutex
	routes capacity.NestedRoutes
}

// rankNested gives a call of a backend server of this host the highest priority of the
// requests that it runs. Which of them the call belongs to is not known, and if it is
// refused, the request fails and its slot was used for nothing.
func (e *entryHandler) rankNested(x *exchange) {
	if !e.config.RankNestedCalls {
		return
	}
	activity := e.config.Gate.Activity()
	e.nested.mu.Lock()
	nested := e.nested.routes.Arrival(x.start, x.match.Route.Name, activity.Busy, activity.Idle)
	e.nested.mu.Unlock()
	if nested && activity.Priority < x.priority {
		x.priority = activity.Priority
		e.metrics.nested.Inc()
	}
}
