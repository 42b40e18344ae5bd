// Package document parses and checks the operators' document and encodes its
// sections.
package document

import (
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// SectionName names a section. It is unique in the document.
type SectionName string

// TeamName names the team that owns a section.
type TeamName string

// RouteName names a route. It is unique in the document.
type RouteName string

// Document is the whole configuration: sections in the order of their names.
type Document struct {
	Sections []Section
}

// Section is the part of the document that one team owns.
type Section struct {
	Name     SectionName `cbor:"1,keyasint"`
	Team     TeamName    `cbor:"2,keyasint"`
	Services []Service   `cbor:"3,keyasint"`
	Routes   []Route     `cbor:"4,keyasint"`
	// Limits bounds what callers may send. At most one section has it.
	Limits *Limits `cbor:"5,keyasint,omitempty"`
}

// Limits bounds the requests of callers. A zero field leaves the daemon's
// default.
type Limits struct {
	HeaderBytes   uint32        `cbor:"1,keyasint,omitempty"`
	BodyBytes     uint64        `cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"` // to send a request's header
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"` // between requests of a connection
}

// Service is a set of backend servers that answer the same calls.
type Service struct {
	Name           backend.ServiceName `cbor:"1,keyasint"`
	Slots          uint16              `cbor:"2,keyasint"` // concurrent calls per backend server
	Connections    uint16              `cbor:"3,keyasint"` // connections per backend server
	WarmUp         time.Duration       `cbor:"4,keyasint"` // slow start of a cold backend server
	SuspendedHosts []host.ID           `cbor:"5,keyasint"` // hosts whose backend servers get no work
	HealthPath     string              `cbor:"6,keyasint,omitempty"`
}

// Route sends calls that match a path prefix and a method to a service.
type Route struct {
	Name       RouteName           `cbor:"1,keyasint"`
	PathPrefix string              `cbor:"2,keyasint"`
	Methods    []string            `cbor:"3,keyasint"` // empty means every method
	Service    backend.ServiceName `cbor:"4,keyasint"`
	Timeout    time.Duration       `cbor:"5,keyasint"`
	Retries    uint8               `cbor:"6,keyasint"`
	// Paid marks a non-idempotent action that needs an Idempotency-Key header.
	Paid bool `cbor:"7,keyasint"`
	// Authority is the Host header that the route is for; empty means any.
	Authority string `cbor:"8,keyasint,omitempty"`
	// LiteralPrefix compares the path prefix byte by byte, a slash at its end
	// included, instead of by whole segments.
	LiteralPrefix bool `cbor:"9,keyasint,omitempty"`
	// Split divides the calls among services by weight. Service is empty then.
	Split []Share `cbor:"10,keyasint,omitempty"`
	// AtMostOnce marks a non-idempotent action without a key: an attempt of a
	// caller runs at most once, and a repeated attempt is a new action.
	AtMostOnce bool `cbor:"11,keyasint,omitempty"`
	// Target is the time within which a response is useful in full; zero when
	// none is stated.
	Target time.Duration `cbor:"12,keyasint,omitempty"`
	// Priority ranks routes when a service is short of room; 0 is the highest.
	Priority uint8 `cbor:"13,keyasint,omitempty"`
}

// Share is the part of a route's calls that one service gets.
type Share struct {
	Service backend.ServiceName `cbor:"1,keyasint"`
	Weight  uint32              `cbor:"2,keyasint"`
}

// Idempotent reports whether calls of the route may run more than once.
func (r *Route) Idempotent() bool { return !r.Paid && !r.AtMostOnce }

// Services returns the services that calls of the route can go to.
func (r *Route) Services() []backend.ServiceName {
	if len(r.Split) == 0 {
		return []backend.ServiceName{r.Service}
	}
	names := make([]backend.ServiceName, len(r.Split))
	for i, s := range r.Split {
		names[i] = s.Service
	}
	return names
}
