package daemon

import (
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/route"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// viewInterval gathers the changes of a burst into one update of the pool.
	viewInterval = 50 * time.Millisecond
	// serviceGrace keeps the services of the previous version for calls that
	// were matched against its routes.
	serviceGrace = 10 * time.Second
)

// callView is what the call path knows: routes, pool and gate. Only the loop
// writes it.
type callView struct {
	routes   atomic.Pointer[route.Table]
	snapshot atomic.Pointer[version.Snapshot]

	services  []document.Service // of the applied version
	previous  []document.Service // of the version before, until the grace ends
	graceEnds time.Time
	stale     bool
	updatedAt time.Time
}

// apply puts a version into force. The pool learns the services first, and
// keeps the previous ones for a while, so that no route is without its service.
func (p *parts) apply(c *fleet.Core, s version.Snapshot) {
	v := &p.calls
	v.previous = v.services
	v.services = servicesOf(s.Document())
	v.graceEnds = time.Now().Add(serviceGrace)
	p.updateView(c)
	v.routes.Store(route.New(s))
	v.snapshot.Store(&s)
	p.meters.applied.Set(float64(s.Number()))
}

// serversChanged updates the call path, at most every viewInterval.
func (p *parts) serversChanged(c *fleet.Core) {
	p.calls.stale = true
	if time.Since(p.calls.updatedAt) >= viewInterval {
		p.updateView(c)
	}
}

// refreshView carries out a postponed update.
func (p *parts) refreshView(c *fleet.Core) {
	v := &p.calls
	if v.previous != nil && time.Now().After(v.graceEnds) {
		v.previous, v.stale = nil, true
	}
	if v.stale {
		p.updateView(c)
	}
}

func (p *parts) updateView(c *fleet.Core) {
	v := &p.calls
	v.stale, v.updatedAt = false, time.Now()
	servers := c.Servers()
	services := withPrevious(v.services, v.previous)
	hosts := c.Hosts()
	p.regions.update(hosts)
	p.pool.Update(pool.View{Services: services, Hosts: hosts, Servers: servers})
	var own []backend.Server
	for _, s := range servers {
		if s.Host == p.settings.HostID {
			own = append(own, s)
		}
	}
	if v.routes.Load() == nil && len(services) == 0 {
		services = gateServices(p.held.newest(), own)
	}
	p.gate.Update(services, own)
}

// gateServices are the services of a gate whose daemon has applied no version:
// those of the newest version held, which only sets limits here and routes
// nothing. A server of a service that it lacks gets the slots that the server
// announced.
func gateServices(held *version.Snapshot, own []backend.Server) []document.Service {
	var services []document.Service
	if held != nil {
		services = servicesOf(held.Document())
	}
	var announced []document.Service
	for _, s := range own {
		if s.Slots > 0 {
			announced = append(announced, document.Service{Name: s.Service, Slots: s.Slots, Connections: s.Slots})
		}
	}
	return withPrevious(services, announced)
}

func servicesOf(d document.Document) []document.Service {
	var services []document.Service
	for _, s := range d.Sections {
		services = append(services, s.Services...)
	}
	return services
}

// withPrevious adds the previous services that the present version lacks.
func withPrevious(services, previous []document.Service) []document.Service {
	have := make(map[backend.ServiceName]bool, len(services))
	for _, s := range services {
		have[s.Name] = true
	}
	all := services[:len(services):len(services)]
	for _, s := range previous {
		if !have[s.Name] {
			all = append(all, s)
		}
	}
	return all
}
