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
	// viewInterval gathers the changes of a burst into one update of the pool.
	poolUpdateInterval = 50 * time.Millisecond
	// serviceGrace keeps the services of the previous version for calls that
	// were matched against its routes.
	previousServiceTime = 10 * time.Second
)

// callView is what the call path knows: routes, pool and gate. Only the loop
// writes it.
type routingState struct {
	routes   atomic.Pointer[route.Table]
	snapshot atomic.Pointer[version.Snapshot]
	limits   atomic.Pointer[document.Limits] // of callers; nil when none are stated

	services  []document.Service // of the applied version
	previous  map[backend.ServiceName]previousService
	stale     bool
	updatedAt time.Time
}

// previousService is a service that an earlier version had.
type previousService struct {
	document.Service
	until time.Time
}

// apply puts a version into force. The pool learns the services first, and
// keeps the previous ones for a while, so that no route is without its service.
// A version that changes no service leaves pool and gate as they are: updating
// them takes 2 ms and 1.2 MB with 1,200 servers.
func (p *components) apply(c *fleet.Core, s version.Snapshot) {
	v := &p.routing
	services := servicesOf(s.Document())
	if v.stale || v.routes.Load() == nil || !reflect.DeepEqual(services, v.services) {
		v.keepPrevious(services, time.Now().Add(previousServiceTime))
		v.services = services
		p.updateRouting(c)
	}
	v.routes.Store(route.New(s))
	v.limits.Store(limitsOf(s.Document()))
	v.snapshot.Store(&s)
	p.metrics.applied.Set(float64(s.Number()))
	p.metrics.applyDelay.Set(time.Since(time.UnixMilli(s.Manifest().AcceptedMS)).Seconds())
}

// serversChanged updates the call path, at most every viewInterval.
func (p *components) serversChanged(c *fleet.Core) {
	p.routing.stale = true
	if time.Since(p.routing.updatedAt) >= poolUpdateInterval {
		p.updateRouting(c)
	}
}

// refreshView carries out a postponed update.
func (p *components) refreshRouting(c *fleet.Core) {
	v := &p.routing
	if v.expirePrevious(time.Now()) {
		v.stale = true
	}
	if v.stale {
		p.updateRouting(c)
	}
}

func (p *components) updateRouting(c *fleet.Core) {
	v := &p.routing
	v.stale, v.updatedAt = false, time.Now()
	servers := c.Servers()
	services := v.withPrevious()
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
func gateServices(held version.Snapshot, own []backend.Server) []document.Service {
	services := servicesOf(held.Document())
	var announced []document.Service
	for _, s := range own {
		if s.Slots > 0 {
			announced = append(announced, document.Service{Name: s.Service, Slots: s.Slots, Connections: s.Slots})
		}
	}
	return mergeServices(services, announced)
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

// keepPrevious keeps the services of the present version that the next one
// lacks until a time.
func (v *routingState) keepPrevious(next []document.Service, until time.Time) {
	if v.previous == nil {
		v.previous = make(map[backend.ServiceName]previousService)
	}
	for _, s := range mergeServices(next, v.services)[len(next):] {
		v.previous[s.Name] = previousService{Service: s, until: until}
	}
}

// expirePrevious drops services whose grace has ended, and reports whether
// there were any.
func (v *routingState) expirePrevious(now time.Time) bool {
	before := len(v.previous)
	maps.DeleteFunc(v.previous, func(_ backend.ServiceName, s previousService) bool { return now.After(s.until) })
	return len(v.previous) != before
}

// withPrevious returns the services of the present version and those of
// earlier ones that it lacks.
func (v *routingState) withPrevious() []document.Service {
	previous := make([]document.Service, 0, len(v.previous))
	for _, s := range v.previous {
		previous = append(previous, s.Service)
	}
	return mergeServices(v.services, previous)
}

// withMissing adds the services of more that have no namesake.
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
