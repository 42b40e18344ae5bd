// Package message defines the messages between daemons and their encoding.
package message

import (
	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Message is a one-way message between two daemons.
type Message interface{ isMessage() }

// Head is what a daemon knows about versions. It rides on probes so that a
// lost announcement is found by the next probe.
type StateSummary struct {
	_ struct{} `cbor:",toarray"`

	Known    version.Number // highest version heard of
	Held     version.Number // highest version that the sender holds
	RowsHash uint64         // hash of the host and server tables
}

// Probe asks a host for a ProbeAnswer with the same Nonce. Its encoding is in
// probe.go.
type Probe struct {
	Nonce   uint64
	Stamp   host.Stamp // the sender's stamp of its own row
	Summary StateSummary
}

// ProbeAnswer answers a Probe.
type ProbeAnswer struct {
	Nonce   uint64
	Stamp   host.Stamp
	Summary StateSummary
}

// IndirectProbe asks the receiver to probe Target on behalf of the sender; the
// receiver forwards the answer.
type IndirectProbe struct {
	_ struct{} `cbor:",toarray"`

	Nonce  uint64
	Target host.ID
}

// IndirectAnswer says that Target answered.
type IndirectAnswer struct {
	_ struct{} `cbor:",toarray"`

	Nonce  uint64
	Target host.ID
	Stamp  host.Stamp
}

// Announce says that the sender holds an accepted version.
type Announce struct {
	_ struct{} `cbor:",toarray"`

	Number version.Number
}

// Fetch asks for version Number or a newer one. Base is the version
// that the sender holds, zero for none.
type Fetch struct {
	_ struct{} `cbor:",toarray"`

	Number version.Number
	Base   version.Number
}

// Blob is the canonical encoding of one section.
type Blob []byte

// Delta brings a version: its manifest and the sections that version Base does
// not have, in the order of Changed. Base zero means that all sections are
// present.
type Delta struct {
	_ struct{} `cbor:",toarray"`

	Manifest version.Manifest
	Base     version.Number
	Blobs    []Blob
}

// News brings changed rows.
type RowUpdate struct {
	_ struct{} `cbor:",toarray"`

	Hosts   []host.Row
	Servers []backend.Server
}

// SyncRequest asks for the rows of the zones whose hash differs. Hashes is
// keyed by zone.
type SyncRequest struct {
	_ struct{} `cbor:",toarray"`

	Hashes map[host.AvailabilityZone]uint64
	// Reply asks the receiver to answer with a SyncRequest of its own.
	Reply bool
}

// Sync brings the rows of the zones that differed.
type Sync struct {
	_ struct{} `cbor:",toarray"`

	Rows    RowUpdate
	Summary StateSummary
}

// Join asks a daemon for its rows and its head.
type Join struct {
	_ struct{} `cbor:",toarray"`

	Row     host.Row
	Servers []backend.Server // on the host
}

// JoinAnswer brings the rows of the fleet. A joiner applies nothing older than
// Head.Known.
type JoinAnswer struct {
	_ struct{} `cbor:",toarray"`

	Rows    RowUpdate
	Summary StateSummary
}

// FloorRequest asks a daemon to read the head row and to answer with Floor.
type FloorRequest struct {
	_ struct{} `cbor:",toarray"`

	Nonce uint64
}

// Floor brings the number of the head row, from a read that began after the
// request with the nonce had arrived.
type Floor struct {
	_ struct{} `cbor:",toarray"`

	Nonce  uint64
	Number version.Number
}

// Confirm says that the head row named version Number a while ago.
type Confirm struct {
	_ struct{} `cbor:",toarray"`

	Number version.Number
	AgeMS  uint32 // milliseconds since the row was read
	// Position is up to where the changes of the row are known; zero when its source
	// has none.
	Position version.Position
}

// Count is the number of hosts of a subtree that applied a version.
type Count struct {
	_ struct{} `cbor:",toarray"`

	Number version.Number
	Hosts  uint32
}

// Report tells the parent what the sender's subtree applied.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Zone       host.AvailabilityZone
	Counts     []Count
	Stragglers []host.ID // at most five
}

func (Probe) isMessage()          {}
func (ProbeAnswer) isMessage()    {}
func (IndirectProbe) isMessage()  {}
func (IndirectAnswer) isMessage() {}
func (Announce) isMessage()       {}
func (Fetch) isMessage()          {}
func (Delta) isMessage()          {}
func (RowUpdate) isMessage()      {}
func (SyncRequest) isMessage()    {}
func (Sync) isMessage()           {}
func (Join) isMessage()           {}
func (JoinAnswer) isMessage()     {}
func (Report) isMessage()         {}
func (FloorRequest) isMessage()   {}
func (Floor) isMessage()          {}
func (Confirm) isMessage()        {}

// Changed returns the sections of next whose content base does not have.
func ChangedSections(base, next version.Manifest) []version.SectionRef {
	have := make(map[document.SectionName]version.Digest, len(base.Sections))
	for _, ref := range base.Sections {
		have[ref.Name] = ref.Digest
	}
	var changed []version.SectionRef
	for _, ref := range next.Sections {
		if have[ref.Name] != ref.Digest {
			changed = append(changed, ref)
		}
	}
	return changed
}
