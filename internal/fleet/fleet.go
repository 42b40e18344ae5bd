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
type MessageReceived struct {
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
type ReadHeadResult struct {
	ReadID   uint64 // of ReadHead
	Manifest version.Manifest
	// Snapshot is the version of the manifest when the read gave it whole.
	Snapshot version.Snapshot
	Position version.Position // up to which the changes are known
	Latency  time.Duration    // of the read, without its wait for a change
	Err      error
}

// VersionLoaded is the answer to LoadVersion.
type LoadVersionResult struct {
	Snapshot version.Snapshot
	Err      error
}

// RecordsRead is the answer to ReadRecords.
type ReadRecordsResult struct {
	Records    []HostRecord
	OtherZones bool          // as asked
	Latency    time.Duration // of the read
	Err        error
}

// Published is the answer to Publish.
type WriteRecordResult struct {
	Record HostRecord
	Ticket uint64
	Err    error
}

// Leaving starts a planned stop of this daemon.
type ShutdownRequested struct{}

// Effect is an output of the core.
type Effect interface{ isEffect() }

// Send sends a message. It may be lost; the core repairs losses.
type SendMessage struct {
	To      netip.AddrPort
	Message message.Message
}

// Hold keeps a snapshot as a base for deltas. The last HeldVersions are kept.
type RetainSnapshot struct{ Snapshot version.Snapshot }

// Apply puts a snapshot into force on this host.
type ApplySnapshot struct{ Snapshot version.Snapshot }

// ServersChanged says that the host or server tables changed, so that the
// routing table has to be rebuilt.
type RebuildRoutingTable struct{}

// ReadHead asks for the head row; HeadRead answers with the number of the read.
// With a wait, the answer comes when the head row changes, or after the wait.
type ReadHead struct {
	ReadID  uint64
	MaxWait time.Duration
	After   version.Position // only later changes are asked for; zero asks for the row
}

// LoadVersion asks for the version of a manifest from the object store;
// VersionLoaded answers. Have holds the sections that need no reading.
type LoadVersion struct {
	Manifest version.Manifest
	Base     version.Snapshot
}

// ReadRecords asks for the records of the hosts of this zone, or of all other
// zones; RecordsRead answers.
type ReadRecords struct{ OtherZones bool }

// Publish writes the record of this host; Published answers.
type WriteRecord struct {
	Record HostRecord
	Ticket uint64
}

// Settled says that the table has all changes up to a ticket.
type ConfirmTicket struct{ Ticket uint64 }

// Adopt takes over backend servers that announced themselves to an earlier run
// of this daemon, or have left.
type AdoptServers struct{ Servers []backend.Server }

// Forget removes the record of a host that is dead.
type DeleteRecord struct{ Host host.Row }

// Note adds an event to the time line.
type TimelineEvent struct {
	Kind    string // kebab case, for example "version-applied"
	Host    host.ID
	Server  backend.ServerID
	Version version.Number
	Detail  string
}

func (Tick) isEvent()              {}
func (MessageReceived) isEvent()   {}
func (ServerAnnounced) isEvent()   {}
func (VersionAccepted) isEvent()   {}
func (ReadHeadResult) isEvent()    {}
func (LoadVersionResult) isEvent() {}
func (ReadRecordsResult) isEvent() {}
func (WriteRecordResult) isEvent() {}
func (ShutdownRequested) isEvent() {}

func (SendMessage) isEffect()         {}
func (RetainSnapshot) isEffect()      {}
func (ApplySnapshot) isEffect()       {}
func (RebuildRoutingTable) isEffect() {}
func (ReadHead) isEffect()            {}
func (LoadVersion) isEffect()         {}
func (ReadRecords) isEffect()         {}
func (WriteRecord) isEffect()         {}
func (ConfirmTicket) isEffect()       {}
func (AdoptServers) isEffect()        {}
func (DeleteRecord) isEffect()        {}
func (TimelineEvent) isEffect()       {}

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
	HeadPollWait time.Duration
	Seed         uint64 // seeds jitter and choices
}
