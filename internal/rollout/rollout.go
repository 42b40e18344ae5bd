// Package rollout decides how the calls of a service move to backend servers of
// another version: which share of the calls they get, and whether the roll-out is
// completed or rolled back. It has no sockets, goroutines or clock.
package rollout

import (
	"cmp"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

// OrderNumber orders the orders of a service: a later order has a greater number.
type OrderNumber uint64

// Order is an operator's order to move the calls of a service to a version.
type Order struct {
	Service   backend.ServiceName
	Target    backend.Version
	Duration  time.Duration
	Number    OrderNumber
	Withdrawn bool // the operator has withdrawn the order
	Direct    bool // from the operator API
}

// State is the state of a roll-out. Completed and RolledBack are verdicts, which never
// change.
type State uint8

// States of a roll-out.
const (
	Running State = iota + 1
	Completed
	RolledBack
)

// String returns the name of the state in kebab case.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled-back"
	default:
		return "unknown"
	}
}

// Share is a share of the calls of a service in thousandths.
type Share uint16

// AllCalls is the share of a version that gets all calls.
const AllCalls Share = 1000

// part returns the share as a number from 0 to 1.
func (s Share) part() float64 { return float64(s) / float64(AllCalls) }

// Revision is the revision of the stored row of a roll-out. Each write increases it.
type Revision uint64

// Row is the durable state of the last roll-out of a service.
type Row struct {
	_ struct{} `cbor:",toarray"`

	Service    backend.ServiceName
	Target     backend.Version
	Order      OrderNumber
	Started    int64 // when the order was first read, Unix milliseconds
	DurationMS uint32
	State      State
	Step       uint16 // number of changes of the share
	Share      Share  // of the target version
	// Closing is set when the gates of the other versions refuse calls, so that none is
	// in flight there when the roll-out is completed.
	Closing bool
	// Barred lists the versions that get no calls: after a completed roll-out the
	// former versions, after one that was rolled back its target.
	Barred []backend.Version
	Leader host.ID // host that wrote the row
	Reason string  // figures that decided the step, or the reason of the verdict
	// Calls and Used are the numbers of calls of the service, and of those to the target
	// version, when the row was written. They count if the gates have lost their counters.
	Calls, Used uint32
	// Direct is set if the roll-out was started through the operator API, so that there
	// is no order in the store.
	Direct bool
}

// Duration returns the duration of the order.
func (r Row) Duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// Stored is a row with the revision that it has in the store.
type Stored struct {
	Row      Row
	Revision Revision
}

// Update is the state of a roll-out as hosts get it: the stored row, and what the
// leader decides without a write, since it only lowers the share.
type Update struct {
	_ struct{} `cbor:",toarray"`

	Row      Row
	Revision Revision
	Refresh  uint32 // number of the refresh of this revision
	AgeMS    uint32 // milliseconds since the order was first read
	// Hold stops the calls to the target version.
	Hold bool
	// Active lists the servers of the target version that get its share. It is empty if
	// the target version gets all calls, which go to all its servers.
	Active []backend.ServerID
	// FailureLimit is the number of failures of a server of the target version from
	// which its gate refuses further calls.
	FailureLimit uint32
	// Provisional is set while the row is not stored yet. Then its share is 0, so that
	// hosts know of an order while the store does not take the row.
	Provisional bool
	// Stuck is set while the writes of the leader fail, so that a host that reaches the
	// store takes over.
	Stuck bool
}

// Supersedes reports whether u replaces o. The revision comes first, so that a leader
// that was paused cannot replace what its successor has written.
func (u Update) Supersedes(o Update) bool {
	return cmp.Or(cmp.Compare(u.Revision, o.Revision), cmp.Compare(u.Refresh, o.Refresh)) > 0
}

// RouteEvidence holds counters of the calls of one route to one server since its gate
// learned of the roll-out. They only increase, except for the time of calls in flight.
type RouteEvidence struct {
	_ struct{} `cbor:",toarray"`

	Route    document.RouteName
	Calls    uint32 // sent to the server
	Failures uint32 // responses that are failures
	// WarmDone, WarmInFlight and WarmUS count the calls that began after the server had
	// warmed up: those that have ended, those in flight, and the run time of all, in
	// microseconds. The run time includes that of the calls in flight so far, so that
	// calls that never end count.
	WarmDone     uint32
	WarmInFlight uint32
	WarmUS       uint64
}

// ServerEvidence is the evidence of a gate about one of its servers.
type ServerEvidence struct {
	_ struct{} `cbor:",toarray"`

	ID       backend.ServerID
	Version  backend.Version
	Closed   bool // the gate refuses calls to the server because of the roll-out
	Warm     bool // the server has warmed up
	InFlight uint32
	Routes   []RouteEvidence
}

// Evidence is a report of the gate of one host about the servers of one service.
type Evidence struct {
	_ struct{} `cbor:",toarray"`

	Host        host.ID
	Incarnation host.Incarnation // of the daemon; counters start again with it
	Service     backend.ServiceName
	Revision    Revision // of the row that the gate follows
	Sequence    uint64   // increases with each report of an incarnation
	Servers     []ServerEvidence
}

// Server is a backend server of the service as the leader knows it.
type Server struct {
	Row   backend.Server
	Alive bool // the host is neither suspect nor dead
}

// Limits are the limits of a roll-out.
type Limits struct {
	// ExposureShare and ExposureSlack limit the calls to a bad version: the share of all
	// calls of the service between the order and its deadline, plus the slack.
	ExposureShare float64
	ExposureSlack float64
}

// DefaultLimits returns the limits of deployments that set none.
func DefaultLimits() Limits { return Limits{ExposureShare: 0.1, ExposureSlack: 50} }
