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
	servers  map[backend.ServerID]*poolServer
}

func (v *view) server(id backend.ServerID) *poolServer { return v.servers[id] }

// service holds the servers of a service that may receive calls.
type service struct {
	tiers              [tierCount][]*poolServer
	subset             []*poolServer // tierSubsetZone and tierSubsetRegion
	suspect            []*poolServer // servers on suspect hosts
	serverCount        int           // number of servers in all tiers
	retryBudget        *retryBudget
	refusedRetryBudget *retryBudget    // for calls that were refused and not run
	ejectMu            *sync.Mutex     // serializes ejections of the service
	mixed              bool            // servers of several versions are ready
	oldest             backend.Version // of these, the one whose first server started first
}

// poolServer is a server in a view.
type poolServer struct {
	row      backend.Server
	gateAddr netip.AddrPort
	zone     host.AvailabilityZone
	region   host.Region
	slots    uint16
	// crossZone is set when the server is outside this availability zone; not set for
	// servers on suspect hosts.
	crossZone bool
	rank      uint64 // rendezvous hash of this host and the server; lower is preferred
	state     *serverState
}

// ejectionGroup returns the group that a server belongs to. At most half of the
// servers of a group are ejected at a time, except that an update does not end
// ejections of servers on suspect hosts.
func (s *service) ejectionGroup(id backend.ServerID) []*poolServer {
	isServer := func(server *poolServer) bool { return server.row.ID == id }
	for _, group := range [][]*poolServer{s.subset, s.tiers[tierRegion], s.tiers[tierRemote], s.suspect} {
		if slices.ContainsFunc(group, isServer) {
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
		servers:  make(map[backend.ServerID]*poolServer, len(v.Servers)),
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
	p.forgetLeaving(next, now)
	p.setRetryBudgets(v.Hosts, next, now)
	p.daemons.update(p.config, v.Hosts)
}

// setRetryBudgets sets the retry budgets to this daemon's part of the fleet's.
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

// buildService builds a service and adds its servers to next.
func (p *Pool) buildService(d document.Service, rows []backend.Server, hosts map[host.ID]host.Row, old, next *view, now time.Time) *service {
	s := &service{retryBudget: newRetryBudget(p.config.RetryBudget, now), refusedRetryBudget: newRetryBudget(p.config.RetryBudget, now), ejectMu: new(sync.Mutex)}
	if previous := old.services[d.Name]; previous != nil {
		s.retryBudget, s.refusedRetryBudget, s.ejectMu = previous.retryBudget, previous.refusedRetryBudget, previous.ejectMu
	}
	var alive []*poolServer
	for _, row := range rows {
		h, ok := hosts[row.Host]
		if !ok || h.State > host.Suspect {
			continue
		}
		server := p.buildServer(row, d, h, old)
		next.servers[row.ID] = server
		if row.State != backend.Ready || slices.Contains(d.SuspendedHosts, row.Host) {
			continue
		}
		if h.State == host.Suspect {
			s.suspect = append(s.suspect, server)
		} else {
			alive = append(alive, server)
		}
	}
	p.assignTiers(s, alive)
	s.setOldest(alive)
	s.ejectMu.Lock()
	defer s.ejectMu.Unlock()
	for _, group := range [][]*poolServer{s.subset, s.tiers[tierRegion], s.tiers[tierRemote]} {
		endExcessEjections(group, now)
	}
	return s
}

func (p *Pool) buildServer(row backend.Server, d document.Service, h host.Row, old *view) *poolServer {
	server := &poolServer{row: row, gateAddr: h.GateAddr, zone: h.Zone, region: h.Region, slots: d.Slots}
	if row.Slots > 0 {
		server.slots = row.Slots
	}
	server.rank = rendezvousHash(p.config.Self, row.ID)
	if previous := old.servers[row.ID]; previous != nil {
		server.state = previous.state
		return server
	}
	server.state = new(serverState)
	_, unhealthy := p.unhealthy.Load(row.ID)
	server.state.unhealthy.Store(unhealthy)
	p.restoreLeaving(server.state, row.ID)
	return server
}

// assignTiers sorts the servers by distance and rank and divides them into tiers.
func (p *Pool) assignTiers(s *service, alive []*poolServer) {
	slices.SortFunc(alive, func(a, b *poolServer) int {
		return cmp.Or(cmp.Compare(p.distance(a), p.distance(b)), cmp.Compare(a.rank, b.rank), cmp.Compare(a.row.ID, b.row.ID))
	})
	for _, server := range alive {
		tier := tierRemote
		switch d := p.distance(server); {
		case d < 2 && len(s.subset) >= SubsetSize:
			tier = tierRegion
		case d == 0:
			tier = tierSubsetZone
		case d == 1:
			tier = tierSubsetRegion
		}
		server.crossZone = p.distance(server) > 0
		s.serverCount++
		if tier <= tierSubsetRegion {
			s.subset = append(s.subset, server)
		}
		s.tiers[tier] = append(s.tiers[tier], server)
	}
}

// distance returns 0 for a server in this availability zone, 1 in this region and
// 2 elsewhere.
func (p *Pool) distance(server *poolServer) int {
	switch {
	case server.region != p.config.Region:
		return 2
	case server.zone != p.config.Zone:
		return 1
	default:
		return 0
	}
}

// endExcessEjections ends ejections, those that expire first, until at most half
// of a group is ejected. The limit can be exceeded when an update shrinks a group.
func endExcessEjections(group []*poolServer, now time.Time) {
	var ejected []*poolServer
	for _, server := range group {
		if server.state.ejected(now) {
			ejected = append(ejected, server)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *poolServer) int {
		return cmp.Compare(a.state.ejectedUntil.Load(), b.state.ejectedUntil.Load())
	})
	for _, server := range ejected[:max(0, len(ejected)-len(group)/2)] {
		server.state.ejectedUntil.Store(0)
	}
}

// rendezvousHash hashes a host and a server with FNV-1a and a final mix. FNV
// alone hardly spreads the last bytes over the high bits.
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
