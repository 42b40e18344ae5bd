// Package fleet is the decision core of the daemon: membership, distribution
// of versions and reports. It takes events and the time, and returns effects.
package fleet

import (
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Event is an input of the core.
type Event interface{ isEvent() }

// Tick lets time pass. The daemon sends one every 100 ms; every other event
// runs the systems too.
type Tick struct{}

// Received is a message from another daemon. From is its control address.
type Received struct {
	From    netip.AddrPort
	Message message.Message
}

// ServerAnnounced is an announcement or a state change of a backend server on
// this host. The core sets host and stamp of the row. Settled tells when the
// table has the change with the ticket; tickets increase.
type ServerAnnounced struct {
	Server backend.Server
	Ticket uint64
}

// VersionAccepted says that this daemon committed a version.
type VersionAccepted struct{ Snapshot version.Snapshot }

// HeadRead is the answer to ReadHead. Err is not nil when the table did not
// answer; Number zero means that there is no version yet, or none after the
// position that was asked for.
type HeadRead struct {
	Read     uint64 // of ReadHead
	Manifest version.Manifest
	// Snapshot is the version of the manifest when the read gave it whole.
	Snapshot version.Snapshot
	Position version.Position // up to which the changes are known
	Took     time.Duration    // of the read, without its wait for a change
	Err      error
}

// VersionLoaded is the answer to LoadVersion.
type VersionLoaded struct {
	Snapshot version.Snapshot
	Err      error
}

// RecordsRead is the answer to ReadRecords.
type RecordsRead struct {
	Records []Record
	Others  bool          // as asked
	Took    time.Duration // of the read
	Err     error
}

// Published is the answer to Publish.
type Published struct {
	Record Record
	Ticket uint64
	Err    error
}

// Leaving starts a planned stop of this daemon.
type Leaving struct{}

// Effect is an output of the core.
type Effect interface{ isEffect() }

// Send sends a message. It may be lost; the core repairs losses.
type Send struct {
	To      netip.AddrPort
	Message message.Message
}

// Hold keeps a snapshot as a base for deltas. The last HeldVersions are kept.
type Hold struct{ Snapshot version.Snapshot }

// Apply puts a snapshot into force on this host.
type Apply struct{ Snapshot version.Snapshot }

// ServersChanged says that the host or server tables changed, so that the
// routing table has to be rebuilt.
type ServersChanged struct{}

// ReadHead asks for the head row; HeadRead answers with the number of the read.
// With a wait, the answer comes when the head row changes, or after the wait.
type ReadHead struct {
	Read  uint64
	Wait  time.Duration
	After version.Position // only later changes are asked for; zero asks for the row
}

// LoadVersion asks for the version of a manifest from the object store;
// VersionLoaded answers. Have holds the sections that need no reading.
type LoadVersion struct {
	Manifest version.Manifest
	Have     version.Snapshot
}

// ReadRecords asks for the records of the hosts of this zone, or of all other
// zones; RecordsRead answers.
type ReadRecords struct{ Others bool }

// Publish writes the record of this host; Published answers.
type Publish struct {
	Record Record
	Ticket uint64
}

// Settled says that the table has all changes up to a ticket.
type Settled struct{ Ticket uint64 }

// Adopt takes over backend servers that announced themselves to an earlier run
// of this daemon, or have left.
type Adopt struct{ Servers []backend.Server }

// Forget removes the record of a host that is dead.
type Forget struct{ Host host.Row }

// Note adds an event to the time line.
type Note struct {
	Kind    string // kebab case, for example "version-applied"
	Host    host.ID
	Server  backend.ServerID
	Version version.Number
	Detail  string
}

func (Tick) isEvent()            {}
func (Received) isEvent()        {}
func (ServerAnnounced) isEvent() {}
func (VersionAccepted) isEvent() {}
func (HeadRead) isEvent()        {}
func (VersionLoaded) isEvent()   {}
func (RecordsRead) isEvent()     {}
func (Published) isEvent()       {}
func (Leaving) isEvent()         {}

func (Send) isEffect()           {}
func (Hold) isEffect()           {}
func (Apply) isEffect()          {}
func (ServersChanged) isEffect() {}
func (ReadHead) isEffect()       {}
func (LoadVersion) isEffect()    {}
func (ReadRecords) isEffect()    {}
func (Publish) isEffect()        {}
func (Settled) isEffect()        {}
func (Adopt) isEffect()          {}
func (Forget) isEffect()         {}
func (Note) isEffect()           {}

// Distribution selects how a version spreads.
type Distribution uint8

// Ways of spreading a version.
const (
	Economical Distribution = iota // announce, then fetch: fewest bytes
	Fast                           // push the delta at once: fewest delays
)

// Config holds the settings of a core.
type Config struct {
	Self         host.Row         // stamp and state are set by the core
	Started      time.Time        // start of the process; sets the incarnation
	Peers        []netip.AddrPort // first contacts, besides the records of the zone
	Distribution Distribution
	// Watch is the longest wait of one read of the head row for a change; zero
	// takes 2 s. A version is in force about twice as long after the failure of the
	// reader.
	Watch time.Duration
	Seed  uint64 // seeds jitter and choices
}
