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

// said is an announcement of a server at an address.
func newAnnouncement(id string, state backend.State, started int64, sequence uint64) Announcement {
	return Announcement{
		Server: backend.Server{
			ID: backend.ServerID(id), Service: "bead-stock", Addr: netip.MustParseAddrPort("127.0.0.1:8080"), Slots: 9, State: state,
		},
		Started: time.UnixMilli(started), Sequence: sequence,
	}
}

// kept is the row of an earlier run of the daemon.
func storedServer(id string, state backend.State, started int64, sequence uint64) backend.Server {
	s := newAnnouncement(id, state, started, sequence).Server
	s.Started, s.Sequence = started, sequence
	return s
}

// Guards against a server that comes back after it has left, by an announcement
// from before its departure that arrives late, before or after a restart of the
// daemon, and against a later start of it that stays out.
func TestLateAnnouncements(t *testing.T) {
	f := newFixture()
	born := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	f.Renew(ctx, newAnnouncement("a", backend.Ready, born, 5))
	f.check(t, "first", "127.0.0.1:8080 ready")
	f.Renew(ctx, newAnnouncement("a", backend.Draining, born, 7))
	f.check(t, "draining", "127.0.0.1:8080 draining")
	f.Renew(ctx, newAnnouncement("a", backend.Ready, born, 6))
	f.check(t, "late, from before draining")
	f.Withdraw(ctx, "a", time.Time{})
	f.check(t, "left", "127.0.0.1:8080 gone", "a healthy=true")
	f.Renew(ctx, newAnnouncement("a", backend.Ready, born, 8))
	f.check(t, "late, from before the departure")
	f.Renew(ctx, newAnnouncement("a", backend.Ready, born+1000, 1))
	f.check(t, "another start", "127.0.0.1:8080 ready")

	restarted := newFixture()
	restarted.Withdraw(ctx, "a", time.Time{})
	restarted.Renew(ctx, newAnnouncement("a", backend.Ready, born, 8))
	restarted.check(t, "late, at a daemon that knows only of the departure")
	restarted.Restore([]backend.Server{storedServer("a", backend.Ready, born, 5)})
	restarted.check(t, "record from before the departure", "127.0.0.1:8080 gone")
}

// Guards against a restarted daemon that forgets a departure, takes a draining
// server for ready, or takes its record for newer than what the server has said
// since.
func TestRestore(t *testing.T) {
	f := newFixture()
	born := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	f.Renew(ctx, newAnnouncement("new", backend.Draining, born, 9))
	f.takeEvents()
	f.Restore([]backend.Server{storedServer("new", backend.Ready, born, 5), storedServer("gone", backend.Gone, born, 3)})
	f.check(t, "record", "127.0.0.1:8080 gone")
	f.Renew(ctx, newAnnouncement("gone", backend.Ready, born, 4))
	f.check(t, "late announcement of the departed server")

	drained := newFixture()
	drained.Restore([]backend.Server{storedServer("a", backend.Draining, born, 5)})
	drained.check(t, "draining", "127.0.0.1:8080 draining")
	drained.Renew(ctx, newAnnouncement("a", backend.Ready, born, 4))
	drained.check(t, "late, from before draining")
}

// Guards against work for a server whose address another one has taken over: its
// announcement was delayed until after that.
func TestAddressOfAnotherServer(t *testing.T) {
	f := newFixture()
	born := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	f.Renew(ctx, newAnnouncement("old", backend.Ready, born, 1))
	f.Renew(ctx, newAnnouncement("new", backend.Ready, born+5000, 1))
	f.check(t, "taken over", "127.0.0.1:8080 ready", "127.0.0.1:8080 gone", "old healthy=true", "127.0.0.1:8080 ready")
	f.Renew(ctx, newAnnouncement("old", backend.Ready, born, 2))
	f.check(t, "late announcement of the old server")
	f.Renew(ctx, newAnnouncement("older", backend.Ready, born-5000, 9))
	f.check(t, "late announcement of one that was never known")
}

// Guards against a departure that is acknowledged before it is kept, and against
// one that is not acknowledged in time because the platform does not answer.
func TestDepartureIsPersisted(t *testing.T) {
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
			t.Errorf("gone, not kept: got an acknowledgement after %v, want %v", got, persistTimeout)
		}
	})
}

// Guards against rows that are published again with every heartbeat.
func TestRenewalChangesNothing(t *testing.T) {
	f := newFixture()
	for sequence := range uint64(5) {
		f.Renew(t.Context(), newAnnouncement("a", backend.Ready, 1000, sequence+1))
	}
	f.check(t, "heartbeats", fmt.Sprint("127.0.0.1:8080 ", backend.Ready))
}
