package rollout

import (
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
)

// trackerAt returns a tracker with a running roll-out to v2, and a function that begins a
// call to a server of a version.
func trackerAt(now time.Time, change func(*Update)) (*Tracker, func(backend.Version, time.Time) (*TrackedCall, bool)) {
	t := new(Tracker)
	u := Update{Row: Row{Service: "stock", Target: "v2", State: Running, Share: 300}, Revision: 1, FailureLimit: initialFailureLimit}
	change(&u)
	t.Apply([]Applied{{Update: u, At: now}})
	return t, func(v backend.Version, at time.Time) (*TrackedCall, bool) {
		row := backend.Server{ID: backend.ServerID("s-" + v), Service: "stock", Version: v}
		return t.Begin(at, row, func() document.RouteName { return "r" })
	}
}

// Guards against a gate that goes on sending calls to a failing server until the leader,
// whose messages may be late, has decided.
func TestGateStopsByItself(t *testing.T) {
	now := time.Unix(1000, 0)
	_, begin := trackerAt(now, func(*Update) {})
	for i := range initialFailureLimit {
		call, ok := begin("v2", now)
		if !ok {
			t.Fatalf("call %d: got a refusal, want none before %d failures", i, initialFailureLimit)
		}
		call.End(now, true)
	}
	if _, ok := begin("v2", now); ok {
		t.Errorf("got a call after %d failures, want a refusal", initialFailureLimit)
	}
	if _, ok := begin("v1", now); !ok {
		t.Error("got a refusal of the former version, want none")
	}
}

// Guards against calls to a version that the state of the roll-out excludes.
func TestGateFollowsRollout(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name           string
		change         func(*Update)
		after          time.Duration
		former, target bool
	}{
		{"running", func(*Update) {}, 0, true, true},
		{"held", func(u *Update) { u.Hold = true }, 0, true, false},
		{"share 0", func(u *Update) { u.Row.Share = 0 }, 0, true, false},
		{"no refreshes", func(*Update) {}, Expiry, true, false},
		{"closing", func(u *Update) { u.Row.Share, u.Row.Closing = AllCalls, true }, Expiry, false, true},
		{"closing without refreshes", func(u *Update) { u.Row.Share, u.Row.Closing = AllCalls, true }, ClosedExpiry + time.Second, true, false},
		{"completed", func(u *Update) { u.Row.State, u.Row.Barred = Completed, []backend.Version{"v1"} }, time.Hour, false, true},
		{"rolled back", func(u *Update) { u.Row.State, u.Row.Barred = RolledBack, []backend.Version{"v2"} }, time.Hour, true, false},
	} {
		_, begin := trackerAt(now, c.change)
		_, former := begin("v1", now.Add(c.after))
		_, target := begin("v2", now.Add(c.after))
		_, other := begin("v7", now.Add(c.after))
		if former != c.former || target != c.target || !other && c.former {
			t.Errorf("%s: got calls to the former version %v, the target %v, another %v, want %v, %v", c.name, former, target, other, c.former, c.target)
		}
	}
}

// Guards against an order for the version that is in use already, whose roll-back would
// leave the service without servers.
func TestOrderForOnlyVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	leader := New(DefaultLimits(), "a", Stored{Row: Row{Service: "stock", Target: "v2", State: Running, DurationMS: 15000, Leader: "a"}, Revision: 1}, start, start)
	servers := []Server{{Row: backend.Server{ID: "i-1", Host: "a", Service: "stock", Version: "v2", State: backend.Ready}, Alive: true}}
	if got, _ := leader.Next(start.Add(soleTime-1), servers); got.State != Running {
		t.Errorf("before the servers are known: got %v, want running", got)
	}
	if got, _ := leader.Next(start.Add(soleTime), servers); got.State != Completed {
		t.Errorf("got %v, want completed", got)
	}
}

// Guards against a completion, by which the former servers are stopped, before their
// gates have confirmed that they are closed and idle.
func TestCompletionWaitsForGates(t *testing.T) {
	start := time.Unix(1000, 0)
	row := Row{Service: "stock", Target: "v2", State: Running, Share: AllCalls, Closing: true, DurationMS: 15000, Leader: "a"}
	servers := []Server{
		{Row: backend.Server{ID: "i-1", Host: "a", Service: "stock", Version: "v1", State: backend.Ready}, Alive: true},
		{Row: backend.Server{ID: "i-2", Host: "b", Service: "stock", Version: "v1", State: backend.Draining}, Alive: true},
		{Row: backend.Server{ID: "i-3", Host: "c", Service: "stock", Version: "v2", State: backend.Ready}, Alive: true},
	}
	now := start.Add(12 * time.Second)
	for _, c := range []struct {
		name     string
		evidence ServerEvidence // of the second server
		revision Revision
		age      time.Duration
		want     State
	}{
		{"closed and idle", ServerEvidence{ID: "i-2", Version: "v1", Closed: true}, 5, 0, Completed},
		{"calls in flight", ServerEvidence{ID: "i-2", Version: "v1", Closed: true, InFlight: 1}, 5, 0, Running},
		{"open", ServerEvidence{ID: "i-2", Version: "v1"}, 5, 0, Running},
		{"evidence of an earlier step", ServerEvidence{ID: "i-2", Version: "v1", Closed: true}, 4, 0, Running},
		{"old evidence", ServerEvidence{ID: "i-2", Version: "v1", Closed: true}, 5, evidenceLifetime + time.Millisecond, Running},
		{"no evidence about the server", ServerEvidence{ID: "i-9", Version: "v1", Closed: true}, 5, 0, Running},
	} {
		leader := New(DefaultLimits(), "a", Stored{Row: row, Revision: 5}, start, start)
		leader.Report(now, Evidence{Host: "a", Revision: 5, Sequence: 1, Servers: []ServerEvidence{{ID: "i-1", Version: "v1", Closed: true}}})
		leader.Report(now.Add(-c.age), Evidence{Host: "b", Revision: c.revision, Sequence: 1, Servers: []ServerEvidence{c.evidence}})
		if got, _ := leader.Next(now, servers); got.State != c.want {
			t.Errorf("%s: got state %v, want %v", c.name, got.State, c.want)
		}
	}
}
