// Package backend holds the row of a backend server.
package backend

import (
	"net/netip"

	"github.com/peridotlb/peridotlb/internal/host"
)

// ServerID identifies a backend server, for example "bead-stock-pwani-a-1".
type ServerID string

// ServiceName names a service of the document.
type ServiceName string

// State is the state that a backend server announces.
type State uint8

// States of a backend server.
const (
	Starting State = iota // announced, gets no work yet
	Ready
	Draining // gets no new work, finishes what it has
	Gone     // withdrawn; kept as a tombstone
)

// String returns the name of the state in kebab case.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Server is the row of a backend server. Only the daemon on its host writes it.
type Server struct {
	_ struct{} `cbor:",toarray"`

	ID      ServerID
	Service ServiceName
	Host    host.ID
	Addr    netip.AddrPort
	Slots   uint16 // concurrent calls; 0 takes the document's
	State   State
	// Started and Sequence order what the server says of itself: the start of its
	// process in Unix milliseconds, and a number that it raises with each
	// announcement. They are those of the last change, and zero when the server
	// counts neither.
	Started  int64
	Sequence uint64
	// Stamp is the owner's incarnation and its sequence at the last change.
	Stamp host.Stamp
}

// Supersedes reports whether s replaces o in the server table.
func (s Server) Supersedes(o Server) bool { return s.Stamp.Compare(o.Stamp) > 0 }
