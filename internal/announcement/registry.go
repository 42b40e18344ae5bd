package announcement

import (
	"cmp"
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// keepTime bounds the wait until a departure is kept where it outlives this
// process. A backend server that gets no answer within a second asks again.
const persistTimeout = 700 * time.Millisecond

// entry is a backend server of this host.
type entry struct {
	row            backend.Server
	healthPath     string
	renewedAt      time.Time
	renewalLimiter *rate.Limiter
	// asked is the state last asked for by the server or an operator. It
	// differs from the state of the row after the lease has ended.
	requested backend.State
	position  position // of the newest announcement
}

// Announcement is what a backend server says of itself. Announcements of one
// server are ordered by its start and then by sequence; an older one than the
// newest known changes nothing. Servers that count neither leave both zero.
type Announcement struct {
	Server     backend.Server // without host, stamp, start and sequence
	HealthPath string
	Started    time.Time
	Sequence   uint64
}

// mark is the position of an announcement in the order of its server.
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

func (m position) compare(o position) int {
	return cmp.Or(cmp.Compare(m.started, o.started), cmp.Compare(m.sequence, o.sequence))
}

// departed is later than every announcement of one start of a server.
func endOfStart(started int64) position { return position{started, math.MaxUint64} }

// Renew takes an announcement of a backend server on this host. It returns when
// the announcement is in force here and a departure is kept, or after keepTime.
func (a *API) Renew(ctx context.Context, n Announcement) {
	a.mu.Lock()
	kept := a.renew(n)
	a.mu.Unlock()
	if n.Server.State >= backend.Draining {
		awaitPersisted(ctx, kept)
	}
}

// Withdraw takes a backend server off for good: only a later start of it can
// come back. A zero time withdraws the start that is known. It returns like
// Renew.
func (a *API) Withdraw(ctx context.Context, id backend.ServerID, started time.Time) {
	a.mu.Lock()
	kept := a.withdraw(id, positionOf(started, 0).started)
	a.mu.Unlock()
	awaitPersisted(ctx, kept)
}

// await waits until a change is kept.
func awaitPersisted(ctx context.Context, kept <-chan struct{}) {
	if kept == nil {
		return
	}
	timer := time.NewTimer(persistTimeout)
	defer timer.Stop()
	select {
	case <-kept:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Adopt takes over backend servers that an earlier run of this daemon knew. One
// that has announced itself since is left as it is.
func (a *API) Restore(rows []backend.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, row := range rows {
		at := position{row.Started, row.Sequence}
		if left, ok := a.withdrawn[row.ID]; ok && at.compare(left) <= 0 {
			row.State = backend.Gone
		} else if row.State == backend.Gone {
			a.withdrawn[row.ID] = endOfStart(row.Started)
		}
		if e := a.servers[row.ID]; e != nil || a.superseded(row, at) {
			continue
		}
		row.Host = ""
		if row.State == backend.Gone {
			a.config.Publish(row) // it stays known to the fleet
			continue
		}
		a.servers[row.ID] = &entry{row: row, renewedAt: a.config.Now(), requested: row.State, position: at, renewalLimiter: rate.NewLimiter(renewalsPerSecond, renewalsPerSecond)}
		a.config.Publish(row)
	}
}

// superseded reports whether a later start has taken over the address of a
// server, so that the server is gone and its announcement is late.
func (a *API) superseded(row backend.Server, at position) bool {
	for _, e := range a.servers {
		if e.row.ID != row.ID && e.row.Addr == row.Addr && e.position.started > at.started {
			return true
		}
	}
	return false
}

// supersede withdraws the servers whose address a later start has taken over.
func (a *API) withdrawSuperseded(row backend.Server, at position) {
	for id, e := range a.servers {
		if id != row.ID && e.row.Addr == row.Addr && e.position.started < at.started {
			a.withdraw(id, e.position.started)
		}
	}
}

func (a *API) withdraw(id backend.ServerID, started int64) <-chan struct{} {
	e := a.servers[id]
	if e != nil && started != 0 && started < e.position.started {
		return nil // a late message of an earlier start
	}
	if e == nil {
		// Unknown so far, as after a restart of this daemon. Its announcements that
		// are still to come, and the record of an earlier run, are from before now.
		if started == 0 {
			started = a.config.Now().UnixMilli()
		}
		a.withdrawn[id] = endOfStart(max(started, a.withdrawn[id].started))
		return nil
	}
	a.withdrawn[id] = endOfStart(max(started, e.position.started))
	e.requested = backend.Gone
	return a.advanceState(e, backend.Gone)
}

func (a *API) renew(n Announcement) <-chan struct{} {
	row, at := n.Server, positionOf(n.Started, n.Sequence)
	if left, ok := a.withdrawn[row.ID]; ok && at.compare(left) <= 0 || a.superseded(row, at) {
		return nil
	}
	e := a.servers[row.ID]
	if e != nil && at.compare(e.position) < 0 {
		return nil
	}
	a.withdrawSuperseded(row, at)
	if e == nil {
		e = &entry{requested: backend.Gone, row: backend.Server{State: backend.Gone}, renewalLimiter: rate.NewLimiter(renewalsPerSecond, renewalsPerSecond)}
		a.servers[row.ID] = e
	}
	if at.started > e.position.started {
		e.requested = backend.Gone // another start: what the earlier one asked for is void
	}
	if e.healthPath != "" && n.HealthPath == "" {
		a.resetHealth(row.ID)
	}
	// A server that was asked to drain stays so when it renews as ready. A new
	// address or the state starting is a restart. The end of a lease asks for
	// nothing: the holder may have been paused.
	if e.requested == backend.Draining && row.State == backend.Ready && e.row.Addr == row.Addr {
		row.State = backend.Draining
	}
	e.renewedAt, e.healthPath, e.requested, e.position = a.config.Now(), n.HealthPath, row.State, at
	row.Started, row.Sequence = at.started, e.row.Sequence
	if e.row == row {
		return nil
	}
	row.Sequence = at.sequence
	e.row = row
	return a.config.Publish(row)
}

// change moves a server on to a later state, and forgets it when it is gone.
func (a *API) advanceState(e *entry, s backend.State) <-chan struct{} {
	var kept <-chan struct{}
	if e.row.State < s {
		e.row.State, e.row.Sequence = s, e.position.sequence
		kept = a.config.Publish(e.row)
	}
	if s == backend.Gone {
		delete(a.servers, e.row.ID)
		a.resetHealth(e.row.ID)
	}
	return kept
}

// expire drains servers whose lease has ended, and withdraws them later.
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

// forgetHealth takes back an earlier result of a server that is probed no more.
func (a *API) resetHealth(id backend.ServerID) {
	if a.config.OnHealth != nil {
		a.config.OnHealth(id, true)
	}
}
