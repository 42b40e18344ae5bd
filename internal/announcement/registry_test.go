package announcement

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// newAnnouncement returns an announcement of a server at a fixed address.
func newAnnouncement(id string, state backend.State, started int64, sequence uint64) Announcement {
	return Announcement{
		Server: backend.Server{
			ID: backend.ServerID(id), Service: "bead-stock", Addr: netip.MustParseAddrPort("127.0.0.1:8080"), Slots: 9, State: state,
		},
		Started: time.UnixMilli(started), Sequence: sequence,
	}
}

// storedServer returns a row as stored by an earlier run of the daemon.
func storedServer(id string, state backend.State, started int64, sequence uint64) backend.Server {
	s := newAnnouncement(id, state, started, sequence).Server
	s.Started, s.Sequence = started, sequence
	return s
}

// Guards against a late announcement, from before the departure of a server, that
// brings the server back, with and without a restart of the daemon in between.
// Also guards against rejecting a later start of the server.
func TestLateAnnouncements(t *testing.T) {
	f := newFixture()
	started := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	f.Renew(ctx, newAnnouncement("a", backend.Ready, started, 5))
	f.check(t, "first", "127.0.0.1:8080 ready")
	f.Renew(ctx, newAnnouncement("a", backend.Draining, started, 7))
	f.check(t, "draining", "127.0.0.1:8080 draining")
	f.Renew(ctx, newAnnouncement("a", backend.Ready, started, 6))
	f.check(t, "late, from before draining")
	f.Withdraw(ctx, "a", time.Time{})
	f.check(t, "left", "127.0.0.1:8080 gone", "a healthy=true")
	f.Renew(ctx, newAnnouncement("a", backend.Ready, started, 8))
	f.check(t, "late, from before the departure")
	f.Renew(ctx, newAnnouncement("a", backend.Ready, started+1000, 1))
	f.check(t, "another start", "127.0.0.1:8080 ready")

	restarted := newFixture()
	restarted.Withdraw(ctx, "a", time.Time{})
	restarted.Renew(ctx, newAnnouncement("a", backend.Ready, started, 8))
	restarted.check(t, "late, at a daemon that knows only of the departure")
	restarted.Restore([]backend.Server{storedServer("a", backend.Ready, started, 5)})
	restarted.check(t, "record from before the departure", "127.0.0.1:8080 gone")
}

// Guards against a restarted daemon that loses a departure, treats a draining
// server as ready, or prefers its record to a newer announcement of the server.
func TestRestore(t *testing.T) {
	f := newFixture()
	started := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	f.Renew(ctx, newAnnouncement("new", backend.Draining, started, 9))
	f.takeCallbacks()
	f.Restore([]backend.Server{storedServer("new", backend.Ready, started, 5), storedServer("gone", backend.Gone, started, 3)})
	f.check(t, "record", "127.0.0.1:8080 gone")
	f.Renew(ctx, newAnnouncement("gone", backend.Ready, started, 4))
	f.check(t, "late announcement of the departed server")

	drained := newFixture()
	drained.Restore([]backend.Server{storedServer("a", backend.Draining, started, 5)})
	drained.check(t, "draining", "127.0.0.1:8080 draining")
	drained.Renew(ctx, newAnnouncement("a", backend.Ready, started, 4))
	drained.check(t, "late, from before draining")
}

// Guards against calls to a server whose address another one has taken over, caused
// by an announcement that arrives after the takeover.
func TestAddressOfAnotherServer(t *testing.T) {
	f := newFixture()
	started := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	f.Renew(ctx, newAnnouncement("old", backend.Ready, started, 1))
	f.Renew(ctx, newAnnouncement("new", backend.Ready, started+5000, 1))
	f.check(t, "taken over", "127.0.0.1:8080 ready", "127.0.0.1:8080 gone", "old healthy=true", "127.0.0.1:8080 ready")
	f.Renew(ctx, newAnnouncement("old", backend.Ready, started, 2))
	f.check(t, "late announcement of the old server")
	f.Renew(ctx, newAnnouncement("older", backend.Ready, started-5000, 9))
	f.check(t, "late announcement of one that was never known")
}

// Guards against acknowledging a departure before it is persisted, and against not
// acknowledging it in time when the platform does not answer.
func TestWaitsUntilPersisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := make(chan struct{})
		a := New(Config{Publish: func(backend.Server) <-chan struct{} { return done }})
		a.Renew(t.Context(), newAnnouncement("a", backend.Ready, 1, 1))
		acknowledged := make(chan time.Duration, 2)
		depart := func(f func(context.Context)) {
			start := time.Now()
			f(t.Context())
			acknowledged <- time.Since(start)
		}
		go depart(func(ctx context.Context) { a.Renew(ctx, newAnnouncement("a", backend.Draining, 1, 2)) })
		time.Sleep(100 * time.Millisecond)
		close(done)
		if got := <-acknowledged; got != 100*time.Millisecond {
			t.Errorf("draining: got an acknowledgement after %v, want 100ms", got)
		}
		done = make(chan struct{})
		go depart(func(ctx context.Context) { a.Withdraw(ctx, "a", time.Time{}) })
		if got := <-acknowledged; got != persistTimeout {
			t.Errorf("gone, not persisted: got an acknowledgement after %v, want %v", got, persistTimeout)
		}
	})
}

// Guards against publishing an unchanged row with every heartbeat.
func TestRenewalChangesNothing(t *testing.T) {
	f := newFixture()
	for sequence := range uint64(5) {
		f.Renew(t.Context(), newAnnouncement("a", backend.Ready, 1000, sequence+1))
	}
	f.check(t, "heartbeats", fmt.Sprint("127.0.0.1:8080 ", backend.Ready))
}
