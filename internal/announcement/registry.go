package announcement

import (
	"cmp"
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// persistTimeout limits the wait until a departure is persisted outside this
// process. A backend server that gets no response within a second sends the
// request again.
const persistTimeout = 700 * time.Millisecond

// entry is a backend server of this host.
type entry struct {
	row            backend.Server
	healthPath     string
	renewedAt      time.Time
	renewalLimiter *rate.Limiter
	// requested is the state last requested by the server or an operator. It
	// differs from the state of the row after the lease has expired.
	requested backend.State
	position  position // of the newest announcement
}

// Announcement is an announcement of a backend server. Announcements of one server
// are ordered by start time and then by sequence; one that is older than the
// newest known has no effect. Servers that report neither leave both zero.
type Announcement struct {
	Server     backend.Server // without host, stamp, start and sequence
	HealthPath string
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

// endOfStart returns a position after every announcement of a start of a server.
func endOfRun(started int64) position { return position{started, math.MaxUint64} }

// Renew applies an announcement of a backend server on this host. If the server is
// departing, Renew also waits until this is persisted, for at most persistTimeout.
func (a *API) Renew(ctx context.Context, n Announcement) {
	a.mu.Lock()
	persisted := a.renew(n)
	a.mu.Unlock()
	if n.Server.State >= backend.Draining {
		awaitPersisted(ctx, persisted)
	}
}

// Withdraw withdraws a backend server permanently: only a later start of it is
// accepted again. A zero time withdraws the current start. It waits like Renew
// does for a departure.
func (a *API) Withdraw(ctx context.Context, id backend.ServerID, started time.Time) {
	a.mu.Lock()
	persisted := a.withdraw(id, positionOf(started, 0).started)
	a.mu.Unlock()
	awaitPersisted(ctx, persisted)
}

// awaitPersisted waits until a change is persisted, for at most persistTimeout.
func awaitPersisted(ctx context.Context, persisted <-chan struct{}) {
	if persisted == nil {
		return
	}
	timer := time.NewTimer(persistTimeout)
	defer timer.Stop()
	select {
	case <-persisted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Restore restores the backend servers that an earlier run of this daemon knew. It
// does not change servers that have announced themselves since.
func (a *API) Restore(rows []backend.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, row := range rows {
		pos := position{row.Started, row.Sequence}
		if withdrawn, ok := a.withdrawnUpTo[row.ID]; ok && pos.compare(withdrawn) <= 0 {
			row.State = backend.Gone
		} else if row.State == backend.Gone {
			a.withdrawnUpTo[row.ID] = endOfRun(row.Started)
		}
		if e := a.servers[row.ID]; e != nil || a.addressTakenOver(row, pos) {
			continue
		}
		row.Host = ""
		if row.State == backend.Gone {
			a.config.Publish(row) // keeps the departure known to the fleet
			continue
		}
		a.servers[row.ID] = &entry{row: row, renewedAt: a.config.Now(), requested: row.State, position: pos, renewalLimiter: rate.NewLimiter(renewalsPerSecond, renewalsPerSecond)}
		a.config.Publish(row)
	}
}

// superseded reports whether another server, which started later, has taken over
// the address in row. The server of row is gone then, and its announcement is late.
func (a *API) addressTakenOver(row backend.Server, pos position) bool {
	for _, e := range a.servers {
		if e.row.ID != row.ID && e.row.Addr == row.Addr && e.position.started > pos.started {
			return true
		}
	}
	return false
}

// withdrawSuperseded withdraws the servers whose address a server that started
// later has taken over.
func (a *API) withdrawPreviousAtAddress(row backend.Server, pos position) {
	for id, e := range a.servers {
		if id != row.ID && e.row.Addr == row.Addr && e.position.started < pos.started {
			a.withdraw(id, e.position.started)
		}
	}
}

func (a *API) withdraw(id backend.ServerID, started int64) <-chan struct{} {
	e := a.servers[id]
	if e != nil && started != 0 && started < e.position.started {
		return nil // late message of an earlier start
	}
	if e == nil {
		// The server is not known yet, for example after a restart of this daemon. Its
		// announcements that are still to arrive, and the record of an earlier run, are
		// from before now.
		if started == 0 {
			started = a.config.Now().UnixMilli()
		}
		a.withdrawnUpTo[id] = endOfRun(max(started, a.withdrawnUpTo[id].started))
		return nil
	}
	a.withdrawnUpTo[id] = endOfRun(max(started, e.position.started))
	e.requested = backend.Gone
	return a.advanceState(e, backend.Gone)
}

func (a *API) renew(n Announcement) <-chan struct{} {
	row, pos := n.Server, positionOf(n.Started, n.Sequence)
	if withdrawn, ok := a.withdrawnUpTo[row.ID]; ok && pos.compare(withdrawn) <= 0 || a.addressTakenOver(row, pos) {
		return nil
	}
	e := a.servers[row.ID]
	if e != nil && pos.compare(e.position) < 0 {
		return nil
	}
	a.withdrawPreviousAtAddress(row, pos)
	if e == nil {
		e = &entry{requested: backend.Gone, row: backend.Server{State: backend.Gone}, renewalLimiter: rate.NewLimiter(renewalsPerSecond, renewalsPerSecond)}
		a.servers[row.ID] = e
	}
	if pos.started > e.position.started {
		e.requested = backend.Gone // a new start cancels the state requested for the earlier one
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
	row.Started, row.Sequence = pos.started, e.row.Sequence
	if e.row == row {
		return nil
	}
	row.Sequence = pos.sequence
	e.row = row
	return a.config.Publish(row)
}

// advanceState moves a server to a later state and removes it when it is gone.
func (a *API) advanceState(e *entry, s backend.State) <-chan struct{} {
	var persisted <-chan struct{}
	if e.row.State < s {
		e.row.State, e.row.Sequence = s, e.position.sequence
		persisted = a.config.Publish(e.row)
	}
	if s == backend.Gone {
		delete(a.servers, e.row.ID)
		a.resetHealth(e.row.ID)
	}
	return persisted
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
			a.advanceState(e, backend.Gone)
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
