package announcement

import (
	"math"

	"golang.org/x/time/rate"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// withdrawal is a server that is gone.
type withdrawal struct {
	row backend.Server // in state gone
	// final is set if the runs of the server that started at endedRun (Unix
	// milliseconds) or earlier do not return. Without it, any further announcement
	// brings the server back.
	final     bool
	endedRun  int64
	persisted <-chan struct{} // closed when row is persisted; nil if it is not persisted at all
}

// includes reports whether an announcement at a position has no effect because the
// run of the server that sent it was withdrawn for good.
func (w withdrawal) includes(p position) bool {
	return w.final && p.compare(endOfRun(w.endedRun)) <= 0
}

// endOfRun returns the position after the last possible announcement of one run of
// a server's process.
func endOfRun(started int64) position { return position{started, math.MaxUint64} }

// withdraw withdraws a run of a server for good, given by its start in Unix
// milliseconds. Zero means the current run.
func (a *API) withdraw(id backend.ServerID, started int64) {
	e := a.servers[id]
	if e != nil && started != 0 && started < e.position.started {
		return // late message of an earlier run
	}
	if e == nil {
		a.withdrawUnannounced(id, started)
		return
	}
	started = max(started, e.position.started)
	e.requested, e.row.Started = backend.Gone, started
	a.remove(e)
	w := a.withdrawn[id]
	w.final, w.endedRun = true, started
	a.withdrawn[id] = w
}

// withdrawUnannounced withdraws a server that is gone already, or not known yet, for
// example after a restart of this daemon.
func (a *API) withdrawUnannounced(id backend.ServerID, started int64) {
	w, known := a.withdrawn[id]
	if w.final && started <= w.endedRun {
		return
	}
	if !known {
		w.row = backend.Server{ID: id, State: backend.Gone}
	}
	if started == 0 {
		started = w.row.Started
	}
	if started == 0 {
		// Announcements that are still to arrive, and the record of an earlier run of
		// this daemon, are from before now.
		started = a.config.Now().UnixMilli()
	}
	w.row.Started = started
	w.final, w.endedRun = true, started
	a.publishWithdrawal(w)
}

// publishWithdrawal publishes the row of a server that is gone, which keeps the
// withdrawal known to the fleet and after a restart of this daemon.
func (a *API) publishWithdrawal(w withdrawal) {
	w.persisted = a.config.Publish(w.row)
	a.withdrawn[w.row.ID] = w
}

// remove withdraws a server until its next announcement.
func (a *API) remove(e *entry) {
	a.advanceState(e, backend.Gone)
	w := a.withdrawn[e.row.ID]
	w.row, w.persisted = e.row, e.persisted
	a.withdrawn[e.row.ID] = w
}

// Restore restores the backend servers that an earlier run of this daemon knew, as
// if it had known them before the first announcement: what a server announced or an
// operator requested later stays in effect, and a late announcement does not.
func (a *API) Restore(rows []backend.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, row := range rows {
		// As in an announcement, the host is empty, so that a renewal without a change
		// compares equal to the row. The host is set when the row is published.
		row.Host = ""
		w, known := a.withdrawn[row.ID]
		switch e := a.servers[row.ID]; {
		case row.State == backend.Gone:
			a.restoreWithdrawal(row)
		case e != nil:
			a.restoreDrain(e, row)
		case known && row.Started <= w.row.Started:
			row.State, row.Started = backend.Gone, w.row.Started
			w.row = row
			a.publishWithdrawal(w)
		default:
			a.restoreServer(row)
		}
	}
}

// restoreWithdrawal restores a server that is gone. Without start times, a server
// that has announced itself since cannot be told from the one that is gone, and stays.
func (a *API) restoreWithdrawal(row backend.Server) {
	if e := a.servers[row.ID]; e != nil {
		if row.Started != 0 {
			a.withdraw(row.ID, row.Started)
		}
		return
	}
	w := a.withdrawn[row.ID]
	if row.Started >= w.row.Started {
		w.row = row
	}
	if row.Started != 0 {
		w.final, w.endedRun = true, max(w.endedRun, row.Started)
	}
	a.publishWithdrawal(w)
}

// restoreServer restores a server that has not announced itself since.
func (a *API) restoreServer(row backend.Server) {
	pos := position{row.Started, row.Sequence}
	if a.addressTakenOver(row, pos) {
		return
	}
	e := &entry{row: row, renewedAt: a.config.Now(), requested: restoredRequest(row), position: pos, renewalLimiter: rate.NewLimiter(renewalsPerSecond, renewalsPerSecond)}
	a.servers[row.ID] = e
	a.publish(e)
}

// restoreDrain restores the state of a server that has announced itself since. The
// announcement may be a late one, from an earlier run of the server or from before
// its drain.
func (a *API) restoreDrain(e *entry, row backend.Server) {
	switch pos := (position{row.Started, row.Sequence}); {
	case pos.started > e.position.started:
		e.row, e.requested, e.position = row, restoredRequest(row), pos
	case pos.compare(e.position) >= 0 && row.State == backend.Draining && e.row.State == backend.Ready && e.row.Addr == row.Addr:
		e.requested, e.position = restoredRequest(row), pos
		e.row.State, e.row.Sequence = backend.Draining, pos.sequence
	default:
		return
	}
	a.publish(e)
}

// restoredRequest returns the state that was requested for a restored server. A server
// that orders its announcements says itself that it drains, and the row does not tell
// that from an expired lease, after which a later announcement as ready counts.
func restoredRequest(row backend.Server) backend.State {
	if row.Started != 0 && row.State == backend.Draining {
		return backend.Ready
	}
	return row.State
}
