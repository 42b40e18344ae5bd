package pool

import (
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/rollout"
)

// rolloutPool returns a pool that knows no roll-outs yet, with four servers of version v1
// and four of v2, which started later.
func rolloutPool() (*Pool, *clock) {
	p, c := newPool(1)
	v := viewOf(9, 8, 0, 0)
	for i := range v.Servers {
		v.Servers[i].Version, v.Servers[i].Started = "v1", int64(100+i)
		if i%2 == 1 {
			v.Servers[i].Version, v.Servers[i].Started = "v2", int64(500-i)
		}
	}
	p.Update(v)
	return p, c
}

// count returns the number of calls to each version, and to each server of v2.
func count(t *testing.T, p *Pool, calls int, tried ...backend.ServerID) (versions map[backend.Version]int, target map[backend.ServerID]int) {
	t.Helper()
	versions, target = make(map[backend.Version]int), make(map[backend.ServerID]int)
	for range calls {
		c := pick(t, p, tried...)
		versions[c.Server.Version]++
		if c.Server.Version == "v2" {
			target[c.Server.ID]++
		}
		c.Done(Result{})
	}
	return versions, target
}

// Guards against an entry that gives a version more calls than its share, sends calls to
// servers that get none, or repeats attempts at the target version.
func TestShareOfVersions(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*rollout.Update)
		age     time.Duration
		target  int // of 1,000 calls
		servers int // of the target version that get calls
	}{
		{"share", func(u *rollout.Update) { u.Row.Share = 37 }, 0, 37, 1},
		{"held", func(u *rollout.Update) { u.Row.Share, u.Hold = 37, true }, 0, 0, 0},
		{"expired", func(u *rollout.Update) { u.Row.Share = 37 }, rollout.Expiry + 1, 0, 0},
		{"raised share expired", func(u *rollout.Update) { u.Row.Share = 350 }, rollout.RaisedExpiry + 1, 0, 0},
		{"all calls", func(u *rollout.Update) { u.Row.Share, u.Active = rollout.AllCalls, nil }, 0, 1000, 4},
		{"all calls expired", func(u *rollout.Update) { u.Row.Share, u.Active = rollout.AllCalls, nil }, rollout.RaisedExpiry + 1, 0, 0},
		{"closing", func(u *rollout.Update) { u.Row.Share, u.Row.Closing, u.Active = rollout.AllCalls, true, nil }, rollout.Expiry + 1, 1000, 4},
		{"completed", func(u *rollout.Update) { u.Row.State, u.Row.Barred = rollout.Completed, []backend.Version{"v1"} }, time.Hour, 1000, 4},
		{"rolled back", func(u *rollout.Update) { u.Row.State, u.Row.Barred = rollout.RolledBack, []backend.Version{"v2"} }, time.Hour, 0, 0},
	} {
		p, now := rolloutPool()
		u := rollout.Update{Row: rollout.Row{Service: "stock", Target: "v2", State: rollout.Running}, Active: []backend.ServerID{"a-1"}}
		c.change(&u)
		p.SetRollouts([]Rollout{NewRollout(rollout.Applied{Update: u, At: now.Time})})
		now.Time = now.Add(c.age)
		versions, servers := count(t, p, 1000)
		if versions["v2"] != c.target || len(servers) != c.servers {
			t.Errorf("%s: got %d of 1000 calls to %d servers of the target version, want %d to %d", c.name, versions["v2"], len(servers), c.target, c.servers)
		}
		if repeated, _ := count(t, p, 100, "a-0"); c.name == "share" && repeated["v2"] > 0 {
			t.Errorf("got %d repeated attempts at the target version, want none", repeated["v2"])
		}
	}
}

// Guards against a daemon that starts during a roll-out and sends calls to both versions
// alike before it knows the share.
func TestOldestVersionBeforeRolloutsAreKnown(t *testing.T) {
	p, _ := rolloutPool()
	if versions, _ := count(t, p, 200); versions["v1"] != 200 {
		t.Errorf("before the roll-outs are known: got calls %v, want all to v1", versions)
	}
	p.SetInformed()
	if versions, _ := count(t, p, 200); versions["v1"] == 0 || versions["v2"] == 0 {
		t.Errorf("without a roll-out: got calls %v, want some to both versions", versions)
	}
}
