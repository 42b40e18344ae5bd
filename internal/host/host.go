// Package host defines the identifiers of hosts, availability zones and
// regions, and the row of a host in the member table.
package host

import (
	"cmp"
	"math"
	"net/netip"
)

// ID identifies a host, for example "pwani-a-1". It is unique in the fleet.
type ID string

// AvailabilityZone identifies an availability zone. It is unique in the fleet.
type AvailabilityZone string

// Region identifies a region.
type Region string

// Incarnation identifies a run of a host's daemon: the start time in Unix
// milliseconds, or one more than the highest incarnation known for the host.
type Incarnation uint64

// Sequence numbers the changes of a row within one incarnation.
type Sequence uint64

// State is the membership state of a host.
type State uint8

// States of a host. If stamps are equal, the higher value takes precedence.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of the state in kebab case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Stamp orders the rows that one host publishes.
type Stamp struct {
	_ struct{} `cbor:",toarray"`

	Incarnation Incarnation
	Sequence    Sequence
}

// Compare returns -1, 0 or +1. It compares the incarnation first, then the
// sequence.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Sequence, o.Sequence))
}

// Row is the entry of a host in the member table. Only the daemon of that host
// increases the stamp; other daemons may increase the state.
type Row struct {
	_ struct{} `cbor:",toarray"`

	ID          ID
	Zone        AvailabilityZone
	Region      Region
	ControlAddr netip.AddrPort // address for QUIC between daemons
	GateAddr    netip.AddrPort // address for calls that other daemons forward to this host
	Stamp       Stamp
	State       State
	// NearTable is set once the host has read the platform table with low latency,
	// and cleared when it yields the reader role.
	NearTable bool
	Capacity  Capacity
}

// Capacity is the base-2 logarithm, rounded down, of the link rate of a host in
// Mbit/s or of its processor cores times mbpsPerCore, whichever is lower, and at
// least 0. Hosts with low capacity get no additional roles while there are hosts
// with higher capacity.
type Capacity uint8

// mbpsPerCore is the link rate, in Mbit/s, that counts as much as one processor
// core.
const mbpsPerCore = 100

// CapacityOf returns the capacity of a host that may use the given number of
// processor cores and has a link of the given rate in Mbit/s.
func CapacityOf(cores, mbps float64) Capacity {
	return Capacity(max(0, math.Floor(math.Log2(min(cores*mbpsPerCore, mbps)))))
}

// Supersedes reports whether r replaces o in the member table.
func (r Row) Supersedes(o Row) bool {
	if c := r.Stamp.Compare(o.Stamp); c != 0 {
		return c > 0
	}
	return r.State > o.State
}
