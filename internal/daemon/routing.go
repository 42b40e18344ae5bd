package daemon

import (
	"maps"
	"reflect"
	"slices"
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
	// poolUpdateInterval is the shortest time between two updates of the pool that
	// changes of servers cause; it batches the changes of a burst.
	poolUpdateInterval = 50 * time.Millisecond
	// previousServiceTime is how long the services of the previous version are kept
	// for calls that were matched against its routes.
	previousServiceTime = 10 * time.Second
)

// routingState is the state from which the call path routes calls. Only the loop
// writes it.
type routingState struct {
	routes   atomic.Pointer[route.Table]
	snapshot atomic.Pointer[version.Snapshot]
	limits   atomic.Pointer[document.Limits] // of callers; nil when the document sets none
	skipped  atomic.Pointer[skippedVersion]  // the last version that can't be read as a whole; nil if there was none

	ownServers []backend.Server // of this host

	services  []document.Service // of the applied version
	previous  map[backend.ServiceName]previousService
	stale     bool      // pool and gate lack a change
	updatedAt time.Time // last update of pool and gate
}

// previousService is a service of an earlier version that is kept for a time.
type previousService struct {
	document.Service
	until time.Time
}

// apply routes calls by a version. The pool gets the services before the routes
// change and keeps the previous services for a time, so that it knows the service
// of every route. Pool and gate are only updated if a service or server has
// changed, because an update takes 2 ms and 1.2 MB of memory with 1,200 servers.
func (c *components) apply(core *fleet.Core, s version.Snapshot) {
	r := &c.routing
	services := servicesOf(s.Document())
	if r.stale || r.routes.Load() == nil || !reflect.DeepEqual(services, r.services) {
		r.keepPrevious(services, time.Now().Add(previousServiceTime))
		r.services = services
		c.updateRouting(core)
	}
	c.quotas.apply(s)
	r.routes.Store(route.New(s))
	r.limits.Store(limitsOf(s.Document()))
	r.snapshot.Store(&s)
	c.reportUnreadableEntries(s)
	c.metrics.applied.Set(float64(s.Number()))
	c.metrics.applyDelay.Set(time.Since(time.UnixMilli(s.Manifest().AcceptedMS)).Seconds())
}

// serversChanged updates the call path, at most once per poolUpdateInterval.
func (c *components) serversChanged(core *fleet.Core) {
	c.routing.stale = true
	if time.Since(c.routing.updatedAt) >= poolUpdateInterval {
		c.updateRouting(core)
	}
}

// refreshRouting performs a postponed update and drops expired services.
func (c *components) refreshRouting(core *fleet.Core) {
	r := &c.routing
	if r.expirePrevious(time.Now()) {
		r.stale = true
	}
	if r.stale {
		c.updateRouting(core)
	}
}

func (c *components) updateRouting(core *fleet.Core) {
	r := &c.routing
	r.stale, r.updatedAt = false, time.Now()
	servers := core.Servers()
	services := r.withPrevious()
	hosts := core.Hosts()
	c.regions.update(hosts)
	c.quotas.setHosts(hosts)
	c.pool.Update(pool.View{Services: services, Hosts: hosts, Servers: servers})
	var own []backend.Server
	for _, s := range servers {
		if s.Host == c.settings.HostID {
			own = append(own, s)
		}
	}
	if r.routes.Load() == nil && len(services) == 0 {
		services = gateServices(c.retained.newest(), own)
	}
	c.gate.Update(services, own)
	c.routing.ownServers = own
}

// gateServices returns the services of a gate whose daemon has not applied a
// version yet: those of the newest retained version, which only sets slots and
// connections here and routes no calls. A server whose service is not in that
// version gets the slots that it announced.
func gateServices(retained version.Snapshot, own []backend.Server) []document.Service {
	services := servicesOf(retained.Document())
	var announced []document.Service
	for _, s := range own {
		if s.Slots > 0 {
			announced = append(announced, document.Service{Name: s.Service, Slots: s.Slots, Connections: s.Slots})
		}
	}
	return mergeServices(services, announced)
}

// hasOrganisations reports whether calls need keys.
func (r *routingState) hasOrganisations() bool {
	t := r.routes.Load()
	return t != nil && t.Organisations() != nil
}

func limitsOf(d document.Document) *document.Limits {
	for _, s := range d.Sections {
		if s.Limits != nil {
			return s.Limits
		}
	}
	return nil
}

func servicesOf(d document.Document) []document.Service {
	var services []document.Service
	for _, s := range d.Sections {
		services = append(services, s.Services...)
	}
	return services
}

// keepPrevious keeps the services of the current version that the next one lacks
// until the given time.
func (r *routingState) keepPrevious(next []document.Service, until time.Time) {
	if r.previous == nil {
		r.previous = make(map[backend.ServiceName]previousService)
	}
	for _, s := range mergeServices(next, r.services)[len(next):] {
		r.previous[s.Name] = previousService{Service: s, until: until}
	}
}

// expirePrevious drops the previous services whose time has passed, and reports
// whether there were any.
func (r *routingState) expirePrevious(now time.Time) bool {
	before := len(r.previous)
	maps.DeleteFunc(r.previous, func(_ backend.ServiceName, s previousService) bool { return now.After(s.until) })
	return len(r.previous) != before
}

// withPrevious returns the services of the current version and the kept services
// of earlier versions that it lacks.
func (r *routingState) withPrevious() []document.Service {
	previous := make([]document.Service, 0, len(r.previous))
	for _, s := range r.previous {
		previous = append(previous, s.Service)
	}
	return mergeServices(r.services, previous)
}

// mergeServices returns services and those of more whose names are not among them.
func mergeServices(services, more []document.Service) []document.Service {
	have := make(map[backend.ServiceName]bool, len(services))
	for _, s := range services {
		have[s.Name] = true
	}
	all := slices.Clone(services)
	for _, s := range more {
		if !have[s.Name] {
			have[s.Name] = true
			all = append(all, s)
		}
	}
	return all
}
