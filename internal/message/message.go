// Package message defines the messages exchanged between daemons and their
// encoding.
package message

import (
	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/rollout"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Message is a one-way message between two daemons.
type Message interface{ isMessage() }

// StateSummary summarizes the state of a daemon. It is piggybacked on probes, so
// that the next probe reveals a lost announcement.
type StateSummary struct {
	_ struct{} `cbor:",toarray"`

	Known    version.Number // highest version that the sender knows to exist
	Held     version.Number // highest version whose content the sender has
	RowsHash uint64         // hash of all rows of hosts and backend servers
}

// Probe requests a ProbeAnswer with the same Nonce. It is encoded by appendProbe.
type Probe struct {
	Nonce    uint64
	RowStamp host.Stamp // version of the sender's own host row
	Summary  StateSummary
}

// ProbeAnswer answers a Probe.
type ProbeAnswer struct {
	Nonce    uint64
	RowStamp host.Stamp
	Summary  StateSummary
}

// IndirectProbe requests the receiver to probe Target on behalf of the sender. The
// receiver reports a successful probe with an IndirectAnswer.
type IndirectProbe struct {
	_ struct{} `cbor:",toarray"`

	Nonce  uint64
	Target host.ID
}

// IndirectAnswer reports that Target has answered an indirect probe.
type IndirectAnswer struct {
	_ struct{} `cbor:",toarray"`

	Nonce    uint64
	Target   host.ID
	RowStamp host.Stamp
}

// Announce announces that the sender has an accepted version.
type Announce struct {
	_ struct{} `cbor:",toarray"`

	Number version.Number
}

// Fetch requests version Number or a newer one. Base is the version that the
// sender has, or zero if it has none.
type Fetch struct {
	_ struct{} `cbor:",toarray"`

	Number version.Number
	Base   version.Number
}

// Blob is the canonical encoding of one section.
type Blob []byte

// Delta contains a version: its manifest and the sections that differ from version
// Base, in the order of ChangedSections. If Base is zero, it contains all sections.
type Delta struct {
	_ struct{} `cbor:",toarray"`

	Manifest version.Manifest
	Base     version.Number
	Blobs    []Blob
}

// RowUpdate contains changed rows of hosts and backend servers.
type RowUpdate struct {
	_ struct{} `cbor:",toarray"`

	Hosts   []host.Row
	Servers []backend.Server
}

// SyncRequest requests the rows of those zones for which the receiver computes a
// different hash.
type SyncRequest struct {
	_ struct{} `cbor:",toarray"`

	Hashes map[host.AvailabilityZone]uint64
	// Reply requests the receiver to also send a SyncRequest of its own.
	Reply bool
}

// Sync answers a SyncRequest with the rows of the zones whose hashes differ.
type Sync struct {
	_ struct{} `cbor:",toarray"`

	Rows    RowUpdate
	Summary StateSummary
}

// Join announces the sender to a daemon, and requests the rows and the state
// summary of that daemon.
type Join struct {
	_ struct{} `cbor:",toarray"`

	Row     host.Row
	Servers []backend.Server // backend servers on the sender's host
}

// JoinAnswer answers a Join with the rows of the fleet. The joining daemon does not
// apply versions older than Summary.Known.
type JoinAnswer struct {
	_ struct{} `cbor:",toarray"`

	Rows    RowUpdate
	Summary StateSummary
}

// FloorRequest requests a daemon to read the head row, the table row that contains
// the number of the newest version, and to answer with a Floor.
type FloorRequest struct {
	_ struct{} `cbor:",toarray"`

	Nonce uint64
}

// Floor answers a FloorRequest with the version number in the head row, so that the
// receiver applies no older version. The row was read after the request with the
// same nonce had arrived.
type Floor struct {
	_ struct{} `cbor:",toarray"`

	Nonce  uint64
	Number version.Number
}

// HeadConfirmation reports that the head row contained version Number when it was
// read, AgeMS ago.
type HeadConfirmation struct {
	_ struct{} `cbor:",toarray"`

	Number version.Number
	AgeMS  uint32 // milliseconds since the row was read
	// Position is the position in the change feed of the row up to which its changes
	// are known, or zero if that is not known or the source of the row has no
	// positions.
	Position version.Position
}

// Count is the number of hosts in a subtree of the distribution tree that have
// applied a version.
type Count struct {
	_ struct{} `cbor:",toarray"`

	Number version.Number
	Hosts  uint32
}

// Report reports to the parent in the distribution tree which versions the hosts in
// the sender's subtree have applied.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Zone       host.AvailabilityZone
	Counts     []Count
	Stragglers []host.ID // hosts that lag behind; the sender lists at most five
}

// Rollouts contains the state of roll-outs. Hosts forward what is newer than what they
// know.
type Rollouts struct {
	_ struct{} `cbor:",toarray"`

	Updates []rollout.Update
}

// RolloutEvidence reports the calls to the servers of one service to the leader of its
// roll-out.
type RolloutEvidence struct {
	_ struct{} `cbor:",toarray"`

	Evidence rollout.Evidence
}

func (Rollouts) isMessage()         {}
func (RolloutEvidence) isMessage()  {}
func (Probe) isMessage()            {}
func (ProbeAnswer) isMessage()      {}
func (IndirectProbe) isMessage()    {}
func (IndirectAnswer) isMessage()   {}
func (Announce) isMessage()         {}
func (Fetch) isMessage()            {}
func (Delta) isMessage()            {}
func (RowUpdate) isMessage()        {}
func (SyncRequest) isMessage()      {}
func (Sync) isMessage()             {}
func (Join) isMessage()             {}
func (JoinAnswer) isMessage()       {}
func (Report) isMessage()           {}
func (FloorRequest) isMessage()     {}
func (Floor) isMessage()            {}
func (HeadConfirmation) isMessage() {}

// ChangedSections returns the sections of next that are not in base or have
// different content there.
func ChangedSections(base, next version.Manifest) []version.SectionRef {
	baseDigests := make(map[document.SectionName]version.Digest, len(base.Sections))
	for _, ref := range base.Sections {
		baseDigests[ref.Name] = ref.Digest
	}
	var changed []version.SectionRef
	for _, ref := range next.Sections {
		if baseDigests[ref.Name] != ref.Digest {
			changed = append(changed, ref)
		}
	}
	return changed
}
