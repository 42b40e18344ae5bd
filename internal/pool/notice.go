package pool

import (
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/gate"
)

// leavingRetention is the time for which the pool remembers a leaving server that
// is missing from the view: its host may be taken for dead and return.
const leavingRetention = 10 * time.Minute

// leavingServer is a server that stated in a response that it leaves.
type leavingServer struct {
	row     backend.Server // as of the call; only this run of the server leaves
	noticed time.Time
}

// Observe records what the server stated about itself in the response to the call.
// Later calls to the server carry its limit. A leaving server is not chosen again in its present run, whatever its row says: its
// own announcement may be late, and the gate forgets the notice when its daemon
// restarts. Observe reports whether it was not known that the server leaves.
func (c *Choice) Observe(n gate.Notice) bool {
	c.poolServer.state.setLimit(c.Server, n)
	if !n.Leaving || c.poolServer.state.leaves(c.Server) {
		return false
	}
	l := &leavingServer{row: c.Server, noticed: c.pool.config.Now()}
	c.pool.leaving.Store(c.Server.ID, l)
	c.poolServer.state.leaving.Store(l)
	return true
}

// namedLimit is the limit that a server named last.
type namedLimit struct {
	row   backend.Server // as of the call
	limit float64        // calls per second
}

// setLimit records the limit that a run of the server named, or that it named none.
func (s *serverState) setLimit(row backend.Server, n gate.Notice) {
	switch {
	case n.Limited:
		s.limit.Store(&namedLimit{row: row, limit: n.Limit})
	case s.limit.Load() != nil:
		s.limit.Store(nil)
	}
}

// notice returns the limit that the run described by a row named last.
func (s *serverState) notice(row backend.Server) gate.Notice {
	l := s.limit.Load()
	if l == nil || !l.row.SameRun(row) {
		return gate.Notice{}
	}
	return gate.Notice{Limited: true, Limit: l.limit}
}

// leaves reports whether the server stated that the run described by a row leaves.
func (s *serverState) leaves(row backend.Server) bool {
	l := s.leaving.Load()
	return l != nil && l.row.SameRun(row)
}

// restoreLeaving sets the leaving server of a new state to the remembered one.
func (p *Pool) restoreLeaving(s *serverState, id backend.ServerID) {
	if l, ok := p.leaving.Load(id); ok {
		s.leaving.Store(l.(*leavingServer))
	}
}

// forgetLeaving drops remembered servers that are neither in the view nor were
// noticed within leavingRetention.
func (p *Pool) forgetLeaving(v *view, now time.Time) {
	p.leaving.Range(func(key, value any) bool {
		if v.servers[key.(backend.ServerID)] == nil && now.Sub(value.(*leavingServer).noticed) >= leavingRetention {
			p.leaving.Delete(key)
		}
		return true
	})
}
