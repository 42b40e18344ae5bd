package pool

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

// view is an immutable set of services and their servers.
type view struct {
	services map[backend.ServiceName]*service
	members  map[backend.ServerID]*member
}

func (v *view) member(id backend.ServerID) *member { return v.members[id] }

// service holds the servers of a service that may get work.
type service struct {
	tiers              [tierCount][]*member
	subset             []*member // tierZone and tierSubset
	suspect            []*member // servers on suspect hosts
	memberCount        int       // servers in all tiers
	retryBudget        *retryBudget
	refusedRetryBudget *retryBudget // of retries of calls that were not run
	ejectMu            *sync.Mutex  // serialises ejections of the service
}

// member is a server in a view.
type member struct {
	row      backend.Server
	gateAddr netip.AddrPort
	zone     host.AvailabilityZone
	region   host.Region
	slots    uint16
	// foreign says that the server is in another availability zone.
	crossZone bool
	rank      uint64 // rendezvous hash of this host and the server
	state     *serverState
}

// peers returns the group of a server within which at most half are ejected.
func (s *service) ejectionGroup(id backend.ServerID) []*member {
	has := func(m *member) bool { return m.row.ID == id }
	for _, group := range [][]*member{s.subset, s.tiers[tierRegion], s.tiers[tierRemote], s.suspect} {
		if slices.ContainsFunc(group, has) {
			return group
		}
	}
	return nil
}

// Update replaces the view.
func (p *Pool) Update(v View) {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	now := p.config.Now()
	old := p.view.Load()
	next := &view{
		services: make(map[backend.ServiceName]*service, len(v.Services)),
		members:  make(map[backend.ServerID]*member, len(v.Servers)),
	}
	hosts := make(map[host.ID]host.Row, len(v.Hosts))
	for _, h := range v.Hosts {
		hosts[h.ID] = h
	}
	rows := make(map[backend.ServiceName][]backend.Server)
	for _, row := range v.Servers {
		rows[row.Service] = append(rows[row.Service], row)
	}
	for _, s := range v.Services {
		next.services[s.Name] = p.buildService(s, rows[s.Name], hosts, old, next, now)
	}
	p.view.Store(next)
	p.setRetryBudgets(v.Hosts, next, now)
	p.daemons.update(p.config, v.Hosts)
}

// share sets the budgets to this daemon's share of the fleet's.
func (p *Pool) setRetryBudgets(rows []host.Row, v *view, now time.Time) {
	if p.config.FleetRetryBudget.Window == 0 {
		return
	}
	daemons := 0
	for _, h := range rows {
		if h.State <= host.Suspect {
			daemons++
		}
	}
	b := p.config.FleetRetryBudget.PerDaemon(daemons)
	for _, s := range v.services {
		s.retryBudget.reconfigure(b, now)
		s.refusedRetryBudget.reconfigure(b, now)
	}
}

// service builds a service and adds its members to next.
func (p *Pool) buildService(d document.Service, rows []backend.Server, hosts map[host.ID]host.Row, old, next *view, now time.Time) *service {
	s := &service{retryBudget: newRetryBudget(p.config.RetryBudget, now), refusedRetryBudget: newRetryBudget(p.config.RetryBudget, now), ejectMu: new(sync.Mutex)}
	if o := old.services[d.Name]; o != nil {
		s.retryBudget, s.refusedRetryBudget, s.ejectMu = o.retryBudget, o.refusedRetryBudget, o.ejectMu
	}
	var alive []*member
	for _, row := range rows {
		h, ok := hosts[row.Host]
		if !ok || h.State > host.Suspect {
			continue
		}
		m := p.buildMember(row, d, h, old)
		next.members[row.ID] = m
		if row.State != backend.Ready || slices.Contains(d.SuspendedHosts, row.Host) {
			continue
		}
		if h.State == host.Suspect {
			s.suspect = append(s.suspect, m)
		} else {
			alive = append(alive, m)
		}
	}
	p.assignTiers(s, alive)
	s.ejectMu.Lock()
	defer s.ejectMu.Unlock()
	for _, group := range [][]*member{s.subset, s.tiers[tierRegion], s.tiers[tierRemote]} {
		endExcessEjections(group, now)
	}
	return s
}

func (p *Pool) buildMember(row backend.Server, d document.Service, h host.Row, old *view) *member {
	m := &member{row: row, gateAddr: h.GateAddr, zone: h.Zone, region: h.Region, slots: d.Slots}
	if row.Slots > 0 {
		m.slots = row.Slots
	}
	m.rank = rendezvousHash(p.config.Self, row.ID)
	if o := old.members[row.ID]; o != nil {
		m.state = o.state
		return m
	}
	m.state = new(serverState)
	_, unhealthy := p.unhealthy.Load(row.ID)
	m.state.unhealthy.Store(unhealthy)
	return m
}

// arrange sorts the members by distance and rank and divides them into tiers.
func (p *Pool) assignTiers(s *service, alive []*member) {
	slices.SortFunc(alive, func(a, b *member) int {
		return cmp.Or(cmp.Compare(p.distance(a), p.distance(b)), cmp.Compare(a.rank, b.rank), cmp.Compare(a.row.ID, b.row.ID))
	})
	for _, m := range alive {
		tier := tierRemote
		switch d := p.distance(m); {
		case d < 2 && len(s.subset) >= SubsetSize:
			tier = tierRegion
		case d == 0:
			tier = tierSubsetZone
		case d == 1:
			tier = tierSubsetRegion
		}
		m.crossZone = p.distance(m) > 0
		s.memberCount++
		if tier <= tierSubsetRegion {
			s.subset = append(s.subset, m)
		}
		s.tiers[tier] = append(s.tiers[tier], m)
	}
}

// distance is 0 in this zone, 1 in this region and 2 elsewhere.
func (p *Pool) distance(m *member) int {
	switch {
	case m.region != p.config.Region:
		return 2
	case m.zone != p.config.Zone:
		return 1
	default:
		return 0
	}
}

// liftExcess ends ejections, the soonest to expire first, until at most half of
// a group is ejected. A group that got smaller may hold more than that.
func endExcessEjections(group []*member, now time.Time) {
	var ejected []*member
	for _, m := range group {
		if m.state.ejected(now) {
			ejected = append(ejected, m)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *member) int {
		return cmp.Compare(a.state.ejectedUntil.Load(), b.state.ejectedUntil.Load())
	})
	for _, m := range ejected[:max(0, len(ejected)-len(group)/2)] {
		m.state.ejectedUntil.Store(0)
	}
}

// rendezvous hashes a host and a server (FNV-1a with a final mix, because FNV
// alone spreads the last bytes badly over the high bits).
func rendezvousHash(self host.ID, id backend.ServerID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(self) {
		h = (h ^ uint64(self[i])) * 1099511628211
	}
	h *= 1099511628211 // separates the two names
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
