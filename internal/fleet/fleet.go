// Package fleet implements the decision logic of the daemon: membership,
// distribution of configuration versions, and reporting. It performs no I/O:
// each event and the current time produce a list of effects that the daemon
// executes.
package fleet

import (
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/rollout"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Event is an input of the core.
type Event interface{ isEvent() }

// Tick tells the core the current time. The daemon sends one every 100 ms.
// Every other event also runs the periodic tasks.
type Tick struct{}

// MessageReceived is a message from another daemon. From is the control address
// of the sender.
type MessageReceived struct {
	From    netip.AddrPort
	Message message.Message
}

// ServerAnnounced reports that a backend server on this host announced itself
// or changed state. The core sets the host and the stamp of the row.
// ConfirmTicket reports when the platform table contains the change with this
// ticket. Tickets increase.
type ServerAnnounced struct {
	Server backend.Server
	Ticket uint64
}

// VersionAccepted reports that this daemon committed a version.
type VersionAccepted struct{ Snapshot version.Snapshot }

// ReadHeadResult is the result of ReadHead. Err is not nil when the platform
// table did not answer. Manifest.Number is zero when there is no version yet,
// or none after the requested position.
type ReadHeadResult struct {
	ReadID   uint64 // ReadHead.ReadID of the request
	Manifest version.Manifest
	// Snapshot is the version that the manifest describes, if the read returned
	// its content too.
	Snapshot version.Snapshot
	Position version.Position // position up to which the changes are known
	// Orders are the orders of roll-outs that changed after the requested position.
	// OrdersMissing is set if the read did not return them.
	Orders        []rollout.Order
	OrdersMissing bool
	Latency       time.Duration // of the read, not counting the wait for a change
	Err           error
}

// LoadVersionResult is the result of LoadVersion.
type LoadVersionResult struct {
	Snapshot version.Snapshot
	Err      error
}

// ReadRecordsResult is the result of ReadRecords.
type ReadRecordsResult struct {
	Records    []HostRecord
	OtherZones bool          // as in the request
	Latency    time.Duration // of the read
	Err        error
}

// WriteRecordResult is the result of WriteRecord.
type WriteRecordResult struct {
	Record HostRecord
	Ticket uint64
	Err    error
}

// ServersRestored reports that a RestoreServers effect was executed. It follows the
// announcements that the effect caused.
type ServersRestored struct{}

// EvidenceCollected contains the evidence of the gate of this host about roll-outs,
// without host and incarnation.
type EvidenceCollected struct{ Evidence []rollout.Evidence }

// RolloutRequested contains an order from the operator API, without a number.
type RolloutRequested struct{ Order rollout.Order }

// ReadRolloutsResult is the result of ReadRollouts: all orders and rows.
type ReadRolloutsResult struct {
	Orders []rollout.Order
	Rows   []rollout.Stored
	Err    error
}

// WriteRolloutResult is the result of WriteRollout.
type WriteRolloutResult struct {
	Row      rollout.Row
	Outcome  WriteOutcome
	Revision rollout.Revision // of the written row; 0 unless Outcome is Written
}

// WriteOutcome is the outcome of a conditional write.
type WriteOutcome uint8

// Outcomes of a conditional write.
const (
	WriteUnknown WriteOutcome = iota // it may have been applied, now or later
	Written
	Conflict   // the row has another revision
	NotWritten // it was not applied for another reason
)

// ShutdownRequested starts a planned shutdown of this daemon.
type ShutdownRequested struct{}

// Effect is an output of the core.
type Effect interface{ isEffect() }

// SendMessage sends a message. Delivery is not guaranteed; the core recovers
// from lost messages.
type SendMessage struct {
	To      netip.AddrPort
	Message message.Message
}

// RetainSnapshot keeps a snapshot as a base for deltas. The last
// RetainedVersions snapshots are kept.
type RetainSnapshot struct{ Snapshot version.Snapshot }

// ApplySnapshot puts a snapshot into effect on this host.
type ApplySnapshot struct{ Snapshot version.Snapshot }

// RebuildRoutingTable requests a rebuild of the routing table, because host or
// server rows may have changed.
type RebuildRoutingTable struct{}

// ReadHead reads the head row, the row of the platform table that names the
// newest version. ReadHeadResult returns the result with the same ReadID. If
// MaxWait is not zero, the read is a long poll: it returns when the head row
// changes, or after MaxWait.
type ReadHead struct {
	ReadID  uint64
	MaxWait time.Duration
	After   version.Position // return only later changes; zero returns the row itself
}

// LoadVersion loads the version of a manifest from the object store.
// LoadVersionResult returns the result. Sections that Base contains need not be
// read.
type LoadVersion struct {
	Manifest version.Manifest
	Base     version.Snapshot
}

// ReadRecords reads the records of the hosts of this zone, or of all other
// zones. ReadRecordsResult returns the result.
type ReadRecords struct{ OtherZones bool }

// WriteRecord writes the record of this host to the platform table.
// WriteRecordResult returns the result.
type WriteRecord struct {
	Record HostRecord
	Ticket uint64
}

// ConfirmTicket reports that the platform table contains all changes up to a
// ticket.
type ConfirmTicket struct{ Ticket uint64 }

// RestoreServers restores backend servers that an earlier run of this daemon
// recorded or published, including those that are gone. ServersRestored must follow.
type RestoreServers struct{ Servers []backend.Server }

// DeleteRecord deletes the record of a dead host.
type DeleteRecord struct{ Host host.Row }

// ReadRollouts reads all orders of roll-outs and all their rows. ReadRolloutsResult
// returns the result.
type ReadRollouts struct{}

// WriteRollout writes the row of a roll-out if it has the given revision; 0 requires
// that there is none. WriteRolloutResult returns the result.
type WriteRollout struct {
	Row        rollout.Row
	IfRevision rollout.Revision
}

// ApplyRollouts puts the known roll-outs into effect on this host.
type ApplyRollouts struct{ Rollouts []rollout.Applied }

// TimelineEvent adds an event to the timeline.
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
func (ServersRestored) isEvent()   {}
func (VersionAccepted) isEvent()   {}
func (ReadHeadResult) isEvent()    {}
func (LoadVersionResult) isEvent() {}
func (ReadRecordsResult) isEvent() {}
func (WriteRecordResult) isEvent() {}
func (ShutdownRequested) isEvent() {}

func (EvidenceCollected) isEvent()  {}
func (RolloutRequested) isEvent()   {}
func (ReadRolloutsResult) isEvent() {}
func (WriteRolloutResult) isEvent() {}

func (ReadRollouts) isEffect()  {}
func (WriteRollout) isEffect()  {}
func (ApplyRollouts) isEffect() {}

func (SendMessage) isEffect()         {}
func (RetainSnapshot) isEffect()      {}
func (ApplySnapshot) isEffect()       {}
func (RebuildRoutingTable) isEffect() {}
func (ReadHead) isEffect()            {}
func (LoadVersion) isEffect()         {}
func (ReadRecords) isEffect()         {}
func (WriteRecord) isEffect()         {}
func (ConfirmTicket) isEffect()       {}
func (RestoreServers) isEffect()      {}
func (DeleteRecord) isEffect()        {}
func (TimelineEvent) isEffect()       {}

// Distribution selects how a version spreads between daemons.
type Distribution uint8

// Distribution modes.
const (
	Economical Distribution = iota // announce, then fetch: fewest bytes
	Fast                           // push the delta at once: lowest latency
)

// Config holds the settings of a core.
type Config struct {
	Self    host.Row  // the core sets stamp and state
	Started time.Time // start of the process; determines the incarnation
	// Peers are the control addresses to send a join to: alone until the records of
	// the zone are read, then together with the hosts of the zone.
	Peers        []netip.AddrPort
	Distribution Distribution
	// HeadPollWait is the longest wait of one read of the head row for a change;
	// zero means 2 s. If the reader fails, a new version is applied after about
	// twice this time.
	HeadPollWait time.Duration
	// Rollouts enables roll-outs; it is nil if the environment has no orders.
	Rollouts *rollout.Limits
	Seed     uint64 // seeds the generator for jitter and random choices
}
