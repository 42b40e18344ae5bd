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
// A leaving server is not chosen again in its present run, whatever its row says: its
// own announcement may be late, and the gate forgets the notice when its daemon
// restarts. Observe reports whether it was not known that the server leaves.
func (c *Choice) Observe(n gate.Notice) bool {
	if !n.Leaving || c.poolServer.state.leaves(c.Server) {
		return false
	}
	l := &leavingServer{row: c.Server, noticed: c.pool.config.Now()}
	c.pool.leaving.Store(c.Server.ID, l)
	c.poolServer.state.leaving.Store(l)
	return true
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
