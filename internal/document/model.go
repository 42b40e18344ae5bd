// Package document parses and validates the configuration document that
// operators write, and encodes its sections.
package document

import (
	"fmt"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// SectionName is the name of a section, unique in the document.
type SectionName string

// TeamName is the name of the team that owns a section.
type TeamName string

// RouteName is the name of a route, unique in the document.
type RouteName string

// Document is the whole configuration, as a list of sections. In canonical order
// they are sorted by name.
type Document struct {
	Sections []Section
}

// NeedsKeys reports whether calls need the key of an organisation.
func (d Document) NeedsKeys() bool {
	return slices.ContainsFunc(d.Sections, func(s Section) bool { return s.KeysRequired || len(s.Organisations) > 0 })
}

// Section is the part of the document that one team owns.
type Section struct {
	Name     SectionName `cbor:"1,keyasint"`
	Team     TeamName    `cbor:"2,keyasint"`
	Services []Service   `cbor:"3,keyasint"`
	Routes   []Route     `cbor:"4,keyasint"`
	// Limits restricts the requests of all callers. At most one section has it.
	Limits *Limits `cbor:"5,keyasint,omitempty"`
	// Organisations restrict who may use the routes that are not public. Without any
	// organisation in the document, nobody needs a key unless KeysRequired is set.
	Organisations []Organisation `cbor:"6,keyasint,omitempty"`
	// KeysRequired makes calls of all sections need a key even if the document has no
	// organisation. Without it, a version that takes the last organisation away would
	// open all routes to everybody.
	KeysRequired bool `cbor:"7,keyasint,omitempty"`
	// Unreadable names the entries that the source of the document holds and that could
	// not be read, with the reason. While there are any, a call without a route and a
	// call with an unknown key are refused as not run, since an entry may be for them.
	Unreadable []string `cbor:"8,keyasint,omitempty"`
}

// UnreadableEntries returns all entries of the document that can't be read, with the
// reasons.
func (d Document) UnreadableEntries() []string {
	var all []string
	for _, s := range d.Sections {
		all = append(all, s.Unreadable...)
		for _, r := range s.Routes {
			if r.Unreadable != "" {
				all = append(all, fmt.Sprintf("route %s: %s", r.Name, r.Unreadable))
			}
		}
	}
	return all
}

// Complete reports whether every entry was read, or at least its place is known.
func (d Document) Complete() bool {
	return !slices.ContainsFunc(d.Sections, func(s Section) bool { return len(s.Unreadable) > 0 })
}

// Limits restricts the requests of callers. A zero field means the default of the
// daemon.
type Limits struct {
	HeaderBytes   uint32        `cbor:"1,keyasint,omitempty"`
	BodyBytes     uint64        `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"` // time to send the header of a request
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"` // time between two requests of a connection
}

// Service is a set of backend servers that serve the same calls.
type Service struct {
	Name        backend.ServiceName `cbor:"1,keyasint"`
	Slots       uint16              `cbor:"2,keyasint"` // concurrent calls per backend server
	Connections uint16              `cbor:"3,keyasint"` // connections per backend server
	// WarmUp is the time in which the usable slots grow from one to all after a
	// backend server became ready.
	WarmUp         time.Duration `cbor:"4,keyasint"`
	SuspendedHosts []host.ID     `cbor:"5,keyasint"` // hosts whose backend servers receive no calls
	// HealthPath is the path of the health check. Daemons use the path that a backend
	// server announces instead.
	HealthPath string `cbor:"6,keyasint,omitempty"`
}

// Route sends calls that match a path prefix and a method to a service.
type Route struct {
	Name       RouteName           `cbor:"1,keyasint"`
	PathPrefix string              `cbor:"2,keyasint"`
	Methods    []string            `cbor:"3,keyasint"` // empty means every method
	Service    backend.ServiceName `cbor:"4,keyasint"`
	Timeout    time.Duration       `cbor:"5,keyasint"`
	Retries    uint8               `cbor:"6,keyasint"`
	// Paid marks calls that are not idempotent and need an Idempotency-Key header.
	Paid bool `cbor:"7,keyasint"`
	// Authority is the Host header that a call must have; empty matches any.
	Authority string `cbor:"8,keyasint,omitempty"`
	// LiteralPrefix compares the path prefix byte by byte, including a trailing
	// slash, instead of by whole path segments.
	LiteralPrefix bool `cbor:"9,keyasint,omitempty"`
	// Split distributes the calls among several services by weight. Service is
	// empty in that case.
	Split []Share `cbor:"10,keyasint,omitempty"`
	// AtMostOnce marks calls that are not idempotent and have no idempotency key:
	// each request of a caller runs at most once, and a repeated request is a new
	// call.
	AtMostOnce bool `cbor:"11,keyasint,omitempty"`
	// Target is the target latency. Among queued calls of the same priority, those
	// that can no longer meet it are served last. Zero means no target.
	Target time.Duration `cbor:"12,keyasint,omitempty"`
	// Priority decides which routes are served first when a service is
	// overloaded; 0 is the highest.
	Priority uint8 `cbor:"13,keyasint,omitempty"`
	// Public routes need no key of an organisation.
	Public bool `cbor:"14,keyasint,omitempty"`
	// Unreadable says why the rest of the route can't be read; empty if it can. Calls of
	// such a route are refused: neither an older version of it nor another route with a
	// shorter prefix may be taken for it.
	Unreadable string `cbor:"15,keyasint,omitempty"`
}

// Share is the weight of one service in a split route.
type Share struct {
	Service backend.ServiceName `cbor:"1,keyasint"`
	Weight  uint32              `cbor:"2,keyasint"`
}

// Idempotent reports whether calls of the route may run more than once.
func (r *Route) Idempotent() bool { return !r.Paid && !r.AtMostOnce }

// Services returns the services that the route can send calls to.
func (r *Route) Services() []backend.ServiceName {
	if r.Unreadable != "" {
		return nil
	}
	if len(r.Split) == 0 {
		return []backend.ServiceName{r.Service}
	}
	names := make([]backend.ServiceName, len(r.Split))
	for i, s := range r.Split {
		names[i] = s.Service
	}
	return names
}
