// Package backend defines the row of a backend server in the server table.
package backend

import (
	"net/netip"

	"github.com/peridotlb/peridotlb/internal/host"
)

// ServerID identifies a backend server, for example "bead-stock-pwani-a-1".
type ServerID string

// ServiceName names a service of the document.
type ServiceName string

// Version names the version of a service that a backend server runs, for example
// "v2". It is empty if the server states none.
type Version string

// State is the state that a backend server announces.
type State uint8

// States of a backend server.
const (
	Starting State = iota // announced; receives no calls yet
	Ready
	Draining // receives no new calls; finishes the calls in flight
	Gone     // withdrawn; the row is kept so that older rows do not bring the server back
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

// Server is the row of a backend server. Only the daemon on the server's host
// writes it.
type Server struct {
	ID      ServerID
	Service ServiceName
	Host    host.ID
	Addr    netip.AddrPort
	Slots   uint16 // maximum number of concurrent calls; 0 uses the value of the document
	State   State
	// Started and Sequence order the announcements of the server: the start of its
	// process in Unix milliseconds, and a number that increases with each
	// announcement. They are from the announcement of the last change, and zero when
	// the server reports neither.
	Started  int64
	Sequence uint64
	// Stamp is the incarnation and the sequence of the owning daemon at the last
	// change.
	Stamp   host.Stamp
	Version Version
}

// SameRun reports whether both rows describe the same run of a server. Without start
// times, each change of the row counts as a new run.
func (s Server) SameRun(o Server) bool {
	return s.ID == o.ID && s.Started == o.Started && (s.Started != 0 || s.Stamp == o.Stamp)
}

// Supersedes reports whether s replaces o in the server table.
func (s Server) Supersedes(o Server) bool { return s.Stamp.Compare(o.Stamp) > 0 }
