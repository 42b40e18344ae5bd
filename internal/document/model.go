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
}

// Service is a set of backend servers that answer the same calls.
type Service struct {
	Name           backend.ServiceName `cbor:"1,keyasint"`
	Slots          uint16              `cbor:"2,keyasint"` // concurrent calls per backend server
	Connections    uint16              `cbor:"3,keyasint"` // connections per backend server
	WarmUp         time.Duration       `cbor:"4,keyasint"` // slow start of a cold backend server
	SuspendedHosts []host.ID           `cbor:"5,keyasint"` // hosts whose backend servers get no work
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
}
