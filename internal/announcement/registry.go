package announcement

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// persistTimeout limits the wait until a drain or withdrawal is persisted outside
// this process. A backend server that gets no response within a second sends the
// request again.
const persistTimeout = 700 * time.Millisecond

// ErrNotPersisted is returned for a drain or withdrawal that is in effect, but not
// yet persisted outside this process. A restart could still undo it, so it must not
// be acknowledged.
var ErrNotPersisted = errors.New("the change is in effect but not stored yet; repeat the request")

// entry is a backend server of this host.
type entry struct {
	row            backend.Server
	healthPath     string
	renewedAt      time.Time
	renewalLimiter *rate.Limiter
	probeMalformed bool // the response to the last probe was malformed
	// requested is the state last requested by the server or an operator. It
	// differs from the state of the row after the lease has expired.
	requested backend.State
	position  position        // of the newest announcement
	persisted <-chan struct{} // closed when row is persisted; nil if it is not persisted at all
}

// Announcement is an announcement of a backend server. Announcements of one server
// are ordered by start time and then by sequence; one that is older than the
// newest known has no effect. Servers that report neither leave both zero.
type Announcement struct {
	Server     backend.Server // without host, stamp, start time and sequence
	HealthPath string
	WarmUp     time.Duration // remaining time for which the server is slow; 0 if it is not, or states none
	Started    time.Time
	Sequence   uint64
}

// position is the position of an announcement in the order of its server.
type position struct {
	started  int64 // Unix milliseconds
	sequence uint64
}

func positionOf(started time.Time, sequence uint64) position {
	if started.IsZero() {
		return position{sequence: sequence}
	}
	return position{started.UnixMilli(), sequence}
}

func (p position) compare(o position) int {
	return cmp.Or(cmp.Compare(p.started, o.started), cmp.Compare(p.sequence, o.sequence))
}

// Renew applies an announcement of a backend server on this host, or returns an error
// if it can't be used. If the state is draining or gone, Renew waits until that is
// persisted. If it is not persisted within persistTimeout, the announcement is in
// effect, and Renew returns an error that wraps ErrNotPersisted.
func (a *API) Renew(ctx context.Context, n Announcement) error {
	if err := n.Server.Check(); err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	if err := host.CheckAddr(n.Server.Addr); err != nil {
		return fmt.Errorf("announcement: address %s %w", n.Server.Addr, err)
	}
	a.mu.Lock()
	a.renew(n)
	if a.config.OnWarmUp != nil && n.WarmUp > 0 {
		a.config.OnWarmUp(n.Server.ID, n.WarmUp)
	}
	var persisted <-chan struct{}
	if n.Server.State >= backend.Draining {
		persisted = a.leavingPersisted(n.Server.ID)
	}
	a.mu.Unlock()
	return awaitPersisted(ctx, persisted)
}

// Withdraw withdraws a run of a backend server: only announcements of a later run
// are accepted afterwards. A zero time means the current run. Like Renew, it waits
// until that is persisted, and returns an error that wraps ErrNotPersisted.
func (a *API) Withdraw(ctx context.Context, id backend.ServerID, started time.Time) error {
	if err := id.Check(); err != nil {
		return fmt.Errorf("withdrawal: %w", err)
	}
	a.mu.Lock()
	a.withdraw(id, positionOf(started, 0).started)
	persisted := a.leavingPersisted(id)
	a.mu.Unlock()
	return awaitPersisted(ctx, persisted)
}

// leavingPersisted returns a channel that is closed when the departure of a server
// is persisted; nil if the server is not leaving, or nothing is persisted.
func (a *API) leavingPersisted(id backend.ServerID) <-chan struct{} {
	if e := a.servers[id]; e == nil {
		return a.withdrawn[id].persisted
	} else if e.row.State == backend.Draining {
		return e.persisted
	}
	return nil // a later announcement has replaced the one that is acknowledged
}

// awaitPersisted waits until a change is persisted, for at most persistTimeout. A
// nil channel needs no wait.
func awaitPersisted(ctx context.Context, persisted <-chan struct{}) error {
	if persisted == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	select {
	case <-persisted:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the store: %w", ErrNotPersisted)
	}
}

// addressTakenOver reports whether another server, which started later, has taken
// over the address in row. The server of row is gone then, and its announcement is
// late.
func (a *API) addressTakenOver(row backend.Server, pos position) bool {
	for _, e := range a.servers {
		if e.row.ID != row.ID && e.row.Addr == row.Addr && e.position.started > pos.started {
			return true
		}
	}
	return false
}

// withdrawPreviousAtAddress withdraws the servers whose address the server of row,
// which started later, has taken over.
func (a *API) withdrawPreviousAtAddress(row backend.Server, pos position) {
	for id, e := range a.servers {
		if id != row.ID && e.row.Addr == row.Addr && e.position.started < pos.started {
			a.withdraw(id, e.position.started)
		}
	}
}

func (a *API) renew(n Announcement) {
	row, pos := n.Server, positionOf(n.Started, n.Sequence)
	if a.withdrawn[row.ID].includes(pos) || a.addressTakenOver(row, pos) {
		return
	}
	e := a.servers[row.ID]
	if e != nil && pos.compare(e.position) < 0 {
		return
	}
	a.withdrawPreviousAtAddress(row, pos)
	if e == nil {
		e = &entry{requested: backend.Gone, row: backend.Server{State: backend.Gone}, renewalLimiter: rate.NewLimiter(renewalsPerSecond, renewalsPerSecond)}
		a.servers[row.ID] = e
	}
	if pos.started > e.position.started {
		e.requested = backend.Gone // a new run cancels the state requested for the earlier one
	}
	if e.healthPath != "" && n.HealthPath == "" {
		a.resetHealth(row.ID)
	}
	// A server whose drain was requested keeps draining when it renews as ready. A
	// new address or the state starting means that it restarted. The expiry of a
	// lease requests no state, because the process may have been paused.
	if e.requested == backend.Draining && row.State == backend.Ready && e.row.Addr == row.Addr {
		row.State = backend.Draining
	}
	e.renewedAt, e.healthPath, e.requested, e.position = a.config.Now(), n.HealthPath, row.State, pos
	// A higher sequence alone is not a change of the row.
	row.Started, row.Sequence = pos.started, e.row.Sequence
	if e.row == row {
		return
	}
	row.Sequence = pos.sequence
	e.row = row
	a.publish(e)
}

// publish publishes the row of a server.
func (a *API) publish(e *entry) { e.persisted = a.config.Publish(e.row) }

// advanceState moves a server to a later state and removes it when it is gone.
func (a *API) advanceState(e *entry, s backend.State) {
	if e.row.State < s {
		e.row.State, e.row.Sequence = s, e.position.sequence
		a.publish(e)
	}
	if s == backend.Gone {
		delete(a.servers, e.row.ID)
		a.resetHealth(e.row.ID)
	}
}

// expireLeases drains servers whose lease has expired and withdraws them after
// withdrawAfterLeases.
func (a *API) expireLeases() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Now()
	for _, e := range a.servers {
		switch age := now.Sub(e.renewedAt); {
		case age > withdrawAfterLeases*a.config.Lease:
			a.remove(e)
		case age > a.config.Lease:
			a.advanceState(e, backend.Draining)
		}
	}
}

// resetHealth reports a server as healthy when it is no longer probed.
func (a *API) resetHealth(id backend.ServerID) {
	if a.config.OnHealth != nil {
		a.config.OnHealth(id, true)
	}
}
