package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/rollout"
)

// Rollout is the state of the last roll-out of a service.
type Rollout struct {
	applied rollout.Applied
	active  map[backend.ServerID]bool
	// calls distributes the calls: of any AllCalls consecutive calls, exactly the share
	// goes to the target version. It starts at a random number, so that the entries do
	// not send to the target version at the same time.
	calls *atomic.Uint64
}

// NewRollout returns the state of a roll-out for SetRollouts.
func NewRollout(a rollout.Applied) Rollout {
	r := Rollout{applied: a, active: make(map[backend.ServerID]bool, len(a.Active)), calls: new(atomic.Uint64)}
	for _, id := range a.Active {
		r.active[id] = true
	}
	r.calls.Store(rand.Uint64N(uint64(rollout.AllCalls)))
	return r
}

// SetRollouts replaces the known roll-outs.
func (p *Pool) SetRollouts(all []Rollout) {
	old := p.rollouts.Load()
	next := make(map[backend.ServiceName]*Rollout, len(all))
	for _, r := range all {
		name := r.applied.Row.Service
		if old != nil && (*old)[name] != nil {
			r.calls = (*old)[name].calls
		}
		next[name] = &r
	}
	p.rollouts.Store(&next)
}

// SetInformed records that the roll-outs are known. Before, a daemon that starts sends
// calls only to the version of a service that has been in use for longest: a roll-out may
// be running that permits few calls to the other one.
func (p *Pool) SetInformed() { p.informed.Store(true) }

// setOldest determines whether servers of several versions are ready, and the version
// whose first server started first.
func (s *service) setOldest(ready []*poolServer) {
	var first *poolServer
	for _, server := range ready {
		if first == nil || cmp.Or(cmp.Compare(server.row.Started, first.row.Started), cmp.Compare(server.row.Version, first.row.Version)) < 0 {
			first = server
		}
	}
	if first != nil {
		s.oldest = first.row.Version
		s.mixed = slices.ContainsFunc(ready, func(server *poolServer) bool { return server.row.Version != s.oldest })
	}
}

// chooseOldest chooses a server of the version that has been in use for longest, or
// another one if that has none.
func (p *Pool) chooseOldest(s *service, call Call) (*candidate, *selection) {
	c, sel := p.chooseAmong(s, call, func(server *poolServer) bool { return server.row.Version == s.oldest })
	if c == nil {
		return p.choose(s, call)
	}
	return c, sel
}

// rolloutOf returns the roll-out of a service, or nil.
func (p *Pool) rolloutOf(name backend.ServiceName) *Rollout {
	all := p.rollouts.Load()
	if all == nil {
		return nil
	}
	return (*all)[name]
}

// chooseByVersion chooses a server of the version that the roll-out selects for the
// call. Repeated attempts go to the other versions while these get calls. If the servers
// of the target version are full or ejected, calls go to the others too.
func (p *Pool) chooseByVersion(s *service, call Call, r *Rollout) (*candidate, *selection) {
	now := p.config.Now()
	row := r.applied.Row
	permitted := func(v backend.Version) bool { return r.applied.Permits(v, now) }
	if row.State != rollout.Running {
		return p.chooseAmong(s, call, func(server *poolServer) bool { return permitted(server.row.Version) })
	}
	target := func(server *poolServer) bool {
		return server.row.Version == row.Target && permitted(row.Target) && (row.Share == rollout.AllCalls || r.active[server.row.ID])
	}
	others := func(server *poolServer) bool {
		return server.row.Version != row.Target && permitted(server.row.Version)
	}
	share := r.applied.Share(now)
	if share < rollout.AllCalls && (call.AlreadyCounted || len(call.Tried) > 0) || !r.next(share) {
		c, sel := p.chooseAmong(s, call, others)
		if (c == nil || c.avoided) && row.Share == rollout.AllCalls {
			// The state that this host knows has expired, and the gates of the other
			// versions may have closed since. The gate of the target version decides.
			if t, targetSel := p.chooseAmong(s, call, target); t != nil && (c == nil || !t.avoided) {
				return t, targetSel
			}
		}
		return c, sel
	}
	c, sel := p.chooseAmong(s, call, target)
	if c != nil && !c.avoided && c.wait == 0 {
		return c, sel
	}
	if other, otherSel := p.chooseAmong(s, call, others); other != nil && (c == nil || c.avoided && !other.avoided || !c.avoided && other.wait == 0) {
		return other, otherSel
	}
	return c, sel
}

// next reports whether the next call goes to the target version.
func (r *Rollout) next(share rollout.Share) bool {
	if share == 0 || share >= rollout.AllCalls {
		return share > 0
	}
	return r.calls.Add(1)*uint64(share)%uint64(rollout.AllCalls) < uint64(share)
}

// chooseAmong is choose among the servers that match.
func (p *Pool) chooseAmong(s *service, call Call, match func(*poolServer) bool) (*candidate, *selection) {
	filtered := &service{}
	for tier, servers := range s.tiers {
		filtered.tiers[tier] = filterServers(servers, match)
		filtered.serverCount += len(filtered.tiers[tier])
	}
	filtered.suspect = filterServers(s.suspect, match)
	return p.choose(filtered, call)
}

func filterServers(servers []*poolServer, match func(*poolServer) bool) []*poolServer {
	return slices.DeleteFunc(slices.Clone(servers), func(server *poolServer) bool { return !match(server) })
}
