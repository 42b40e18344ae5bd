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
type Head struct {
	Known version.Number `cbor:"1,keyasint"` // highest version heard of
	Held  version.Number `cbor:"2,keyasint"` // highest version that the sender holds
	Rows  uint64         `cbor:"3,keyasint"` // hash of the host and server tables
}

// Probe asks a host for a ProbeAnswer with the same Nonce. Its encoding is in
// probe.go.
type Probe struct {
	Nonce uint64
	Stamp host.Stamp // the sender's stamp of its own row
	Head  Head
}

// ProbeAnswer answers a Probe.
type ProbeAnswer struct {
	Nonce uint64
	Stamp host.Stamp
	Head  Head
}

// IndirectProbe asks the receiver to probe Target on behalf of the sender; the
// receiver forwards the answer.
type IndirectProbe struct {
	Nonce  uint64  `cbor:"1,keyasint"`
	Target host.ID `cbor:"2,keyasint"`
}

// IndirectAnswer says that Target answered.
type IndirectAnswer struct {
	Nonce  uint64     `cbor:"1,keyasint"`
	Target host.ID    `cbor:"2,keyasint"`
	Stamp  host.Stamp `cbor:"3,keyasint"`
}

// Announce says that the sender holds an accepted version.
type Announce struct {
	Number version.Number `cbor:"1,keyasint"`
}

// Fetch asks for version Number or a newer one. Base is the version
// that the sender holds, zero for none.
type Fetch struct {
	Number version.Number `cbor:"1,keyasint"`
	Base   version.Number `cbor:"2,keyasint"`
}

// Blob is the canonical encoding of one section.
type Blob []byte

// Delta brings a version: its manifest and the sections that version Base does
// not have, in the order of Changed. Base zero means that all sections are
// present.
type Delta struct {
	Manifest version.Manifest `cbor:"1,keyasint"`
	Base     version.Number   `cbor:"2,keyasint"`
	Blobs    []Blob           `cbor:"3,keyasint"`
}

// News brings changed rows.
type News struct {
	Hosts   []host.Row       `cbor:"1,keyasint"`
	Servers []backend.Server `cbor:"2,keyasint"`
}

// SyncRequest asks for the rows of the zones whose hash differs. Hashes is
// keyed by zone.
type SyncRequest struct {
	Hashes map[host.AvailabilityZone]uint64 `cbor:"1,keyasint"`
	// Reply asks the receiver to answer with a SyncRequest of its own.
	Reply bool `cbor:"2,keyasint"`
}

// Sync brings the rows of the zones that differed.
type Sync struct {
	News News `cbor:"1,keyasint"`
	Head Head `cbor:"2,keyasint"`
}

// Join asks a daemon for its rows and its secured version.
type Join struct {
	Row host.Row `cbor:"1,keyasint"`
}

// JoinAnswer brings the rows of the fleet. A joiner applies nothing older than
// Head.Known.
type JoinAnswer struct {
	News News `cbor:"1,keyasint"`
	Head Head `cbor:"2,keyasint"`
}

// Leave says that the sender's host leaves in a planned way.
type Leave struct {
	Row host.Row `cbor:"1,keyasint"`
}

// Count is the number of hosts of a subtree that applied a version.
type Count struct {
	Number version.Number `cbor:"1,keyasint"`
	Hosts  uint32         `cbor:"2,keyasint"`
}

// Report tells the parent what the sender's subtree applied.
type Report struct {
	Zone       host.AvailabilityZone `cbor:"1,keyasint"`
	Counts     []Count               `cbor:"2,keyasint"`
	Stragglers []host.ID             `cbor:"3,keyasint"` // at most five
}

func (Probe) isMessage()          {}
func (ProbeAnswer) isMessage()    {}
func (IndirectProbe) isMessage()  {}
func (IndirectAnswer) isMessage() {}
func (Announce) isMessage()       {}
func (Fetch) isMessage()          {}
func (Delta) isMessage()          {}
func (News) isMessage()           {}
func (SyncRequest) isMessage()    {}
func (Sync) isMessage()           {}
func (Join) isMessage()           {}
func (JoinAnswer) isMessage()     {}
func (Leave) isMessage()          {}
func (Report) isMessage()         {}

// Changed returns the sections of next whose content base does not have.
func Changed(base, next version.Manifest) []version.SectionRef {
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
