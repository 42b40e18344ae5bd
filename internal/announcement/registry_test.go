package announcement

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
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

// Guards against a late announcement, from before the withdrawal of a server, that
// brings the server back, with and without a restart of the daemon in between.
// Also guards against rejecting a later run of the server.
func TestLateAnnouncements(t *testing.T) {
	f := newFixture()
	started := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	_ = f.Renew(ctx, newAnnouncement("a", backend.Ready, started, 5))
	f.check(t, "first", "127.0.0.1:8080 ready")
	_ = f.Renew(ctx, newAnnouncement("a", backend.Draining, started, 7))
	f.check(t, "draining", "127.0.0.1:8080 draining")
	_ = f.Renew(ctx, newAnnouncement("a", backend.Ready, started, 6))
	f.check(t, "late, from before draining")
	_ = f.Withdraw(ctx, "a", time.Time{})
	f.check(t, "withdrawal", "127.0.0.1:8080 gone", "a healthy=true")
	_ = f.Renew(ctx, newAnnouncement("a", backend.Ready, started, 8))
	f.check(t, "late, from before the withdrawal")
	_ = f.Renew(ctx, newAnnouncement("a", backend.Ready, started+1000, 1))
	f.check(t, "a later run", "127.0.0.1:8080 ready")

	restarted := newFixture()
	_ = restarted.Withdraw(ctx, "a", time.Time{})
	restarted.check(t, "withdrawal of a server that is not known", "invalid AddrPort gone")
	_ = restarted.Renew(ctx, newAnnouncement("a", backend.Ready, started, 8))
	restarted.check(t, "late, at a daemon that knows only of the withdrawal")
	restarted.Restore([]backend.Server{storedServer("a", backend.Ready, started, 5)})
	restarted.check(t, "record from before the withdrawal", "127.0.0.1:8080 gone")
}

// Guards against a restarted daemon that loses a withdrawal, treats a draining
// server as ready, or prefers its record to a newer announcement of the server.
func TestRestore(t *testing.T) {
	f := newFixture()
	started := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	_ = f.Renew(ctx, newAnnouncement("new", backend.Draining, started, 9))
	f.takeCallbacks()
	f.Restore([]backend.Server{storedServer("new", backend.Ready, started, 5), storedServer("gone", backend.Gone, started, 3)})
	f.check(t, "record", "127.0.0.1:8080 gone")
	_ = f.Renew(ctx, newAnnouncement("gone", backend.Ready, started, 4))
	f.check(t, "late announcement of the withdrawn server")

	drained := newFixture()
	drained.Restore([]backend.Server{storedServer("a", backend.Draining, started, 5)})
	drained.check(t, "draining", "127.0.0.1:8080 draining")
	_ = drained.Renew(ctx, newAnnouncement("a", backend.Ready, started, 4))
	drained.check(t, "late, from before draining")
}

// Guards against calls to a server whose address another one has taken over, caused
// by an announcement that arrives after the takeover.
func TestAddressOfAnotherServer(t *testing.T) {
	f := newFixture()
	started := f.now.UnixMilli() - 60_000
	ctx := t.Context()
	_ = f.Renew(ctx, newAnnouncement("old", backend.Ready, started, 1))
	_ = f.Renew(ctx, newAnnouncement("new", backend.Ready, started+5000, 1))
	f.check(t, "taken over", "127.0.0.1:8080 ready", "127.0.0.1:8080 gone", "old healthy=true", "127.0.0.1:8080 ready")
	_ = f.Renew(ctx, newAnnouncement("old", backend.Ready, started, 2))
	f.check(t, "late announcement of the old server")
	_ = f.Renew(ctx, newAnnouncement("older", backend.Ready, started-5000, 9))
	f.check(t, "late announcement of one that was never known")
}

// Guards against a restart that brings a server back with a late announcement, which
// arrived before the record of the earlier run was read: one from before the
// withdrawal or the drain, or one of an earlier run of the server.
func TestRestoreAfterLateAnnouncement(t *testing.T) {
	const started, ready, draining, gone = 1_700_000_000_000, backend.Ready, backend.Draining, backend.Gone
	for _, c := range []struct {
		name   string
		late   Announcement
		stored backend.Server
		want   []string
	}{
		{"gone", newAnnouncement("a", ready, started, 4), storedServer("a", gone, started, 5), []string{"127.0.0.1:8080 gone", "a healthy=true"}},
		{"gone, announced later", newAnnouncement("a", ready, started, 9), storedServer("a", gone, started, 5), []string{"127.0.0.1:8080 gone", "a healthy=true"}},
		{"draining", newAnnouncement("a", ready, started, 4), storedServer("a", draining, started, 5), []string{"127.0.0.1:8080 draining"}},
		{"draining, announced later", newAnnouncement("a", ready, started, 9), storedServer("a", draining, started, 5), nil},
		{"later run", newAnnouncement("a", draining, started-1, 4), storedServer("a", ready, started, 1), []string{"127.0.0.1:8080 ready"}},
		{"earlier run is gone", newAnnouncement("a", ready, started, 1), storedServer("a", gone, started-1, 5), nil},
		{"earlier run was draining", newAnnouncement("a", ready, started, 1), storedServer("a", draining, started-1, 5), nil},
		{"newer state", newAnnouncement("a", draining, started, 6), storedServer("a", ready, started, 5), nil},
	} {
		f := newFixture()
		_ = f.Renew(t.Context(), c.late)
		f.takeCallbacks()
		f.Restore([]backend.Server{c.stored})
		f.check(t, c.name, c.want...)
		_ = f.Renew(t.Context(), c.late)
		f.check(t, c.name+", announced once more")
	}
}

// Guards against a server that stays out of use because its lease had expired before a
// restart, and whose row does not tell that from a drain that it asked for.
func TestExpiredLeaseIsNotRestoredAsDrain(t *testing.T) {
	f := newFixture()
	const started = 1_700_000_000_000
	f.Restore([]backend.Server{storedServer("a", backend.Draining, started, 5)})
	f.check(t, "record", "127.0.0.1:8080 draining")
	_ = f.Renew(t.Context(), newAnnouncement("a", backend.Ready, started, 4))
	f.check(t, "late announcement")
	_ = f.Renew(t.Context(), newAnnouncement("a", backend.Ready, started, 6))
	f.check(t, "later announcement", "127.0.0.1:8080 ready")
}

// Guards against a server without start times that can't return after a withdrawal
// and a restart, and against a record from before its withdrawal that brings it back.
func TestWithdrawalWithoutStartTimes(t *testing.T) {
	f := newFixture()
	f.Restore([]backend.Server{storedServer("stock-1", backend.Gone, 0, 0)})
	f.check(t, "record", "127.0.0.1:8080 gone")
	f.send("PUT", "/backend-servers/stock-1", readyBody)
	f.check(t, "announcement after the withdrawal", "127.0.0.1:8080 ready")
	f.send("DELETE", "/backend-servers/stock-1", "")
	f.check(t, "withdrawal", "127.0.0.1:8080 gone", "stock-1 healthy=true")
	f.Restore([]backend.Server{storedServer("stock-1", backend.Ready, 0, 0)})
	f.check(t, "record from before the withdrawal", "127.0.0.1:8080 gone")
}

// Guards against acknowledging a drain or a withdrawal before it is persisted: the
// first time, when it is repeated, and when it is announced late; and against not
// reporting that within the time after which a server repeats its request.
func TestWaitsUntilPersisted(t *testing.T) {
	drain := func(a *API) error { return a.Renew(context.Background(), newAnnouncement("a", backend.Draining, 1, 2)) }
	send := func(method, path string) func(*API) error {
		return func(a *API) error {
			w := httptest.NewRecorder()
			a.ServeHTTP(w, httptest.NewRequest(method, path, nil))
			switch {
			case w.Code == http.StatusNoContent:
				return nil
			case w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != "":
				return ErrNotPersisted
			}
			return fmt.Errorf("got status %d", w.Code)
		}
	}
	withdraw := func(a *API) error { return a.Withdraw(context.Background(), "a", time.Time{}) }
	for name, requests := range map[string][]func(*API) error{
		"draining":              {drain, drain},
		"gone":                  {withdraw, withdraw},
		"draining, then gone":   {drain, withdraw, drain},
		"drained by operator":   {send("POST", "/backend-servers/a/drain"), send("POST", "/backend-servers/a/drain")},
		"withdrawn by operator": {send("DELETE", "/backend-servers/a"), send("DELETE", "/backend-servers/a")},
		"unknown server":        {func(a *API) error { return a.Withdraw(context.Background(), "b", time.UnixMilli(5)) }, func(a *API) error { return a.Withdraw(context.Background(), "b", time.UnixMilli(5)) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			var unfinished []chan struct{}
			a := New(Config{Publish: func(backend.Server) <-chan struct{} {
				unfinished = append(unfinished, make(chan struct{}))
				return unfinished[len(unfinished)-1]
			}})
			_ = a.Renew(t.Context(), newAnnouncement("a", backend.Ready, 1, 1))
			for i, request := range requests {
				start := time.Now()
				if err := request(a); !errors.Is(err, ErrNotPersisted) || time.Since(start) != persistTimeout {
					t.Errorf("%s, request %d, not persisted: got %v after %v, want %v after %v", name, i, err, time.Since(start), ErrNotPersisted, persistTimeout)
				}
			}
			const storeDelay = 100 * time.Millisecond
			time.AfterFunc(storeDelay, func() {
				for _, done := range unfinished {
					close(done)
				}
			})
			for i, want := range []time.Duration{storeDelay, 0} {
				start := time.Now()
				if err := requests[len(requests)-1](a); err != nil || time.Since(start) != want {
					t.Errorf("%s, repetition %d: got %v after %v, want an acknowledgement after %v", name, i, err, time.Since(start), want)
				}
			}
		})
	}
}

// Guards against publishing an unchanged row at every renewal.
func TestRenewalChangesNothing(t *testing.T) {
	f := newFixture()
	for sequence := range uint64(5) {
		_ = f.Renew(t.Context(), newAnnouncement("a", backend.Ready, 1000, sequence+1))
	}
	f.check(t, "renewals", fmt.Sprint("127.0.0.1:8080 ", backend.Ready))
}
