package operator

import (
	"context"
	"errors"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/rollout"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
)

// ErrNotFound is returned by a Backend for a version that does not exist.
var ErrNotFound = errors.New("not found")

// PlatformComponent names a service of the platform.
type PlatformComponent string

// Components of the platform.
const (
	Table       PlatformComponent = "table"
	ObjectStore PlatformComponent = "object store"
)

// PlatformError reports that a request to the platform failed. Responses to
// operators name the component; the text of the cause only goes to the log.
type PlatformError struct {
	Component PlatformComponent
	Err       error
}

// Error returns the component and the cause.
func (e *PlatformError) Error() string { return string(e.Component) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Err }

// Backend provides the data and operations of the operator API. The daemon
// implements it. All methods may be called concurrently. Errors other than
// ErrNotFound and submission.ErrNoVersion are reported to operators as a temporary
// failure; those of the platform have a PlatformError in their chain.
type Backend interface {
	// Submit processes a submission until the context ends.
	Submit(ctx context.Context, s submission.Submission) submission.Outcome
	// NewestSnapshot returns the newest version that this daemon holds, or the zero
	// value if it holds none.
	NewestSnapshot(ctx context.Context) (version.Snapshot, error)
	// Version returns one version, or ErrNotFound.
	Version(ctx context.Context, n version.Number) (version.Snapshot, error)
	// History returns up to limit manifests with numbers below before, newest
	// first. Before zero starts at the newest.
	History(ctx context.Context, before version.Number, limit int) ([]version.Manifest, error)
	// Status queries one host of each availability zone.
	Status(ctx context.Context) (Status, error)
	// Servers returns all known backend servers in any order.
	Servers(ctx context.Context) ([]Server, error)
	// Timeline returns matching events of all daemons in the order of stamps.
	Timeline(ctx context.Context, q Query) (Timeline, error)
	// Rollouts returns the last roll-out of each service, as this daemon knows it.
	Rollouts(ctx context.Context) ([]Rollout, error)
	// StartRollout starts a roll-out and returns it when it is stored. The error is
	// ErrRolloutRefused if the target has a verdict, and ErrNoRollouts if the platform
	// has no roll-outs.
	StartRollout(ctx context.Context, o rollout.Order) (Rollout, error)
	// AbortRollout rolls a running roll-out back and returns it when that is stored, or
	// ErrRolloutRefused if there is none.
	AbortRollout(ctx context.Context, service backend.ServiceName) (Rollout, error)
}

// Rollout is the state of a roll-out.
type Rollout struct {
	rollout.Update
	Age time.Duration // since the order
}

// Errors of StartRollout and AbortRollout.
var (
	ErrNoRollouts     = errors.New("this platform has no roll-outs")
	ErrRolloutRefused = errors.New("no change: the version has a verdict, or no roll-out is running")
	ErrRolloutUnknown = errors.New("the roll-out was not stored yet")
)

// Status is the state of the fleet.
type Status struct {
	Head    version.Number // highest version number that this daemon has heard of
	Zones   []Zone
	Traffic Traffic
	// Unreadable has the entries of the applied version that can't be read, and the
	// newest version that can't be read as a whole.
	Unreadable []string
}

// Zone is the state of one availability zone.
type Zone struct {
	Name        host.AvailabilityZone
	Region      host.Region
	Hosts       int                    // hosts that are alive
	Applied     map[version.Number]int // number of hosts by the version they have applied
	Stragglers  []host.ID              // some of the hosts that have not applied the head version
	Unreachable bool                   // no queried host of the zone responded; the daemon then leaves Applied and Stragglers empty
}

// Traffic is the control traffic of the responding daemon since its start.
type Traffic struct {
	SentBytes, SentPackets, ReceivedBytes, ReceivedPackets uint64
}

// Server is a backend server and the state of its host.
type Server struct {
	backend.Server
	Zone      host.AvailabilityZone
	Region    host.Region
	HostState host.State
}

// Query selects events. Zero values select all; filters are combined with "and".
type Query struct {
	Kind    string
	Version version.Number
	Server  backend.ServerID
	CallID  string
	Zone    host.AvailabilityZone
	Since   time.Time
	Limit   int // number of newest matching events to return
}

// Event is one event of the timeline. Time and Counter are its hybrid logical
// clock stamp.
type Event struct {
	Time    time.Time
	Counter uint32
	Kind    string // kebab case, for example "version-applied"
	Host    host.ID
	Zone    host.AvailabilityZone
	Region  host.Region
	Subject host.ID // the host that the event is about, if any
	Version version.Number
	Server  backend.ServerID
	CallID  string
	Detail  string
}

// Timeline is the result of a Query.
type Timeline struct {
	Events     []Event
	Unanswered []host.ID // hosts that did not respond, whose events are missing
	Overflowed []host.ID // hosts that no longer keep all events of the requested time
}
