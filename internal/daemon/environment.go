package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotlb/peridotlb/internal/announcement"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/proxy"
	"github.com/peridotlb/peridotlb/internal/rollout"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Environment adapts a daemon to an environment with protocols of its own. The
// zero value selects the product's own protocols.
type Environment struct {
	// Versions provides versions that operators write outside the product; nil
	// when versions come from submissions.
	Versions VersionSource
	// Rollouts stores the orders and the rows of roll-outs; nil if there are none.
	Rollouts RolloutStore
	// Dialect sets the names of the call headers.
	Dialect proxy.Dialect
	// Announcements returns the handler for announcements of backend servers;
	// nil selects the product's own API.
	Announcements func(*announcement.API) http.Handler
	// Readiness wraps the handler that reports whether callers may use this daemon;
	// nil leaves it unwrapped.
	Readiness func(http.Handler) http.Handler
}

// VersionSource provides versions that are accepted outside the product.
type VersionSource interface {
	// Newest returns the newest version after a position, and the position to pass
	// as after in the next call. Position zero asks for the newest of all.
	// Version zero means that none appeared within the wait. An UnreadableError is
	// returned together with what can be read.
	Newest(ctx context.Context, after version.Position, wait time.Duration) (Changes, error)
}

// Changes is what a VersionSource returns about the time since a position.
type Changes struct {
	Version  version.Snapshot // the newest
	Position version.Position // to pass as after in the next call
	// Orders are the orders of roll-outs that changed. OrdersMissing is set if there may
	// be others.
	Orders        []rollout.Order
	OrdersMissing bool
}

// RolloutStore keeps the orders of operators and the rows of roll-outs.
type RolloutStore interface {
	// ReadRollouts returns all orders and all rows. It must read the rows first, since a
	// running roll-out without an order counts as withdrawn.
	ReadRollouts(ctx context.Context) ([]rollout.Order, []rollout.Stored, error)
	// WriteRollout writes a row, and what operators see of it, if the row has the given
	// revision; zero requires that there is none. The outcome is as for
	// platform.Table.Commit.
	WriteRollout(ctx context.Context, row rollout.Row, ifRevision rollout.Revision) (platform.Result, error)
}

// UnreadableError reports that a VersionSource returned a version that can't be
// read. The previous version stays applied.
type UnreadableError struct {
	Row string // row that holds the version
	Err error
}

// Error returns the row and the cause.
func (e *UnreadableError) Error() string { return "version in row " + e.Row + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }
