// Package host names hosts, availability zones and regions, and holds the row
// of a host in the member table.
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

// Incarnation numbers the runs of a host's daemon: the start time in Unix
// milliseconds, or one more than the highest known for the host.
type Incarnation uint64

// Sequence numbers the changes of a row within one incarnation.
type Sequence uint64

// State is the membership state of a host.
type State uint8

// States of a host. On equal stamps a higher value wins.
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

// Compare returns -1, 0 or +1, by incarnation and then by sequence.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Sequence, o.Sequence))
}

// Row is the entry of a host in the member table. Only the daemon of that host
// raises the stamp; other daemons may raise the state.
type Row struct {
	_ struct{} `cbor:",toarray"`

	ID          ID
	Zone        AvailabilityZone
	Region      Region
	ControlAddr netip.AddrPort // QUIC between daemons
	GateAddr    netip.AddrPort // calls from entry daemons
	Stamp       Stamp
	State       State
	// NearTable says that the host reads the platform's table without crossing the
	// region link.
	NearTable bool
	Capacity  Capacity
}

// Capacity is the order of magnitude, in powers of two, of what a host can do for
// others. Hosts of little capacity get no duties while there are stronger ones.
type Capacity uint8

// coreMbps is the rate of a link, in Mbit/s, that is worth as much as a core.
const mbpsPerCore = 100

// CapacityOf returns the capacity of a host that may use some processor cores and
// has a link of some Mbit/s. The scarcer of both counts.
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
