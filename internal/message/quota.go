package message

import (
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

// QuotaRequest asks the owner of a group of quotas for tokens, and lends it the share of
// the sender in these quotas. Package quota describes the protocol.
type QuotaRequest struct {
	_ struct{} `cbor:",toarray"`

	Group  uint8
	Host   host.ID // the sender
	Run    uint64  // run of the sender; later runs have higher numbers
	SentAt uint64  // microseconds since the sender started
	// OwnerRun and OwnerSentAt repeat the last answer that the sender has received from
	// the owner. LeaseUS is for how long after OwnerSentAt, in microseconds, the owner
	// has the share of the sender. Zero lends nothing and ends an earlier lease.
	OwnerRun    uint64
	OwnerSentAt uint64
	LeaseUS     uint32
	FleetSize   uint32 // number of hosts among which the sender divides a quota
	Demands     []QuotaDemand
}

// QuotaDemand is the number of tokens that a host needs for one organisation.
type QuotaDemand struct {
	_ struct{} `cbor:",toarray"`

	Organisation document.OrganisationName
	Tokens       uint32
}

// QuotaAnswer answers a QuotaRequest.
type QuotaAnswer struct {
	_ struct{} `cbor:",toarray"`

	Group     uint8
	Host      host.ID // the owner
	Run       uint64  // run of the owner
	SentAt    uint64  // microseconds since the owner started
	RequestAt uint64  // QuotaRequest.SentAt
	Grants    []QuotaGrant
}

// QuotaGrant grants tokens for one organisation. They expire LifeUS microseconds after
// the request was sent.
type QuotaGrant struct {
	_ struct{} `cbor:",toarray"`

	Organisation document.OrganisationName
	Tokens       uint32
	LifeUS       uint32
	// RetryUS is the time in microseconds until further tokens can be expected, if fewer
	// than demanded were granted.
	RetryUS uint32
}

func (QuotaRequest) isMessage() {}
func (QuotaAnswer) isMessage()  {}
