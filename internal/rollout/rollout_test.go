package rollout

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// faults are the kinds of bad versions of the tests.
var faults = map[string]fault{
	"fails":               {failing: 0.25},
	"slow":                {slow: 1, factor: 4},
	"fails later":         {failing: 0.3, after: 5 * time.Second},
	"half slow later":     {slow: 0.5, factor: 6, after: 5 * time.Second},
	"fails under load":    {failing: 0.3, inFlight: 3},
	"slow under load":     {slow: 1, factor: 4, inFlight: 3},
	"fails on one route":  {failing: 0.5, route: 2},
	"slow on one route":   {slow: 1, factor: 6, route: 2},
	"all failing at once": {failing: 1},
}

// drawWorld draws a fleet whose messages are late or lost, and whose leaders change.
func drawWorld(t *rapid.T) worldConfig {
	return worldConfig{
		Seed: rapid.Uint64().Draw(t, "seed"), Hosts: rapid.IntRange(3, 13).Draw(t, "hosts"), Servers: rapid.IntRange(3, 13).Draw(t, "servers"),
		Rate: rapid.Float64Range(40, 200).Draw(t, "rate"), Duration: time.Duration(rapid.IntRange(13, 18).Draw(t, "duration")) * time.Second,
		RunTime: 50 * time.Millisecond, Cold: time.Duration(rapid.IntRange(0, 4).Draw(t, "cold")) * time.Second,
		Loss: rapid.Float64Range(0, 0.05).Draw(t, "loss"), Delay: time.Duration(rapid.IntRange(1, 150).Draw(t, "delay")) * time.Millisecond,
		Write: time.Duration(rapid.IntRange(1, 250).Draw(t, "write")) * time.Millisecond, ChangeLeaders: rapid.Bool().Draw(t, "change leaders"),
	}
}

// checkWorld verifies what holds for every roll-out: at most one verdict, and no call in
// flight at a server that is stopped after the completion.
func checkWorld(t *rapid.T, w *world) {
	if len(w.verdicts) > 1 {
		t.Fatalf("got verdicts %v, want at most one\n%v", w.verdicts, w.steps)
	}
	if w.lost > 0 {
		t.Fatalf("got %d calls without a server or at a stopped one, want none\n%v", w.lost, w.steps)
	}
}

// Guards against a bad version that gets more than the permitted calls, a verdict that
// changes, and leaders that replace what a successor has written, for any interleaving
// of late and lost messages and changes of the leader.
func TestExposureOfBadVersionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawWorld(t)
		kind := rapid.SampledFrom([]string{"fails", "slow", "fails later", "half slow later", "fails on one route", "all failing at once"}).Draw(t, "fault")
		c.Fault = faults[kind]
		w := newWorld(c)
		w.run()
		checkWorld(t, w)
		limits := DefaultLimits()
		if limit := limits.ExposureShare*float64(w.calls) + limits.ExposureSlack; float64(w.exposed) > limit {
			t.Fatalf("%s: got %d of %d calls to the bad version, want at most %.0f\n%v", kind, w.exposed, w.calls, limit, w.steps)
		}
	})
}

// Guards against a good version that is not completed by its deadline although messages
// and writes are late and some messages are lost.
func TestGoodVersionCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawWorld(t)
		c.Steady, c.ChangeLeaders, c.Loss = true, false, c.Loss/2
		w := newWorld(c)
		w.run()
		checkWorld(t, w)
		if len(w.verdicts) != 1 || w.verdicts[0] != Completed || w.verdictAt.After(w.start.Add(w.Duration)) {
			t.Fatalf("got verdicts %v at %v, want a completion within %v\n%v", w.verdicts, w.verdictAt.Sub(w.start), w.Duration, w.steps)
		}
	})
}

// Guards against bad versions that are only noticed in small fleets or at low rates: the
// exposure in fleets of up to 92 servers of a version and 1,500 calls/s.
func TestExposureInLargeFleets(t *testing.T) {
	if testing.Short() {
		t.Skip("models fleets with 1,500 calls/s")
	}
	for kind, f := range faults {
		for i, c := range []worldConfig{{Servers: 4, Rate: 120}, {Servers: 20, Rate: 500}, {Servers: 92, Rate: 1500}} {
			if normal := c.Rate * 0.06 / float64(c.Servers); normal < float64(f.inFlight) {
				continue // the load at which the fault shows is never reached
			}
			t.Run(fmt.Sprintf("%s at %.0f calls per s", kind, c.Rate), func(t *testing.T) {
				t.Parallel()
				c.Seed, c.Hosts, c.Duration, c.RunTime, c.Cold = uint64(i+1), max(13, c.Servers), 15*time.Second, 60*time.Millisecond, 4*time.Second
				c.Fault, c.Loss, c.Delay, c.Write = f, 0.02, 60*time.Millisecond, 40*time.Millisecond
				w := newWorld(c)
				w.run()
				if limit := 0.1*float64(w.calls) + 50; float64(w.exposed) > limit {
					t.Errorf("got %d of %d calls to the bad version, want at most %.0f\n%v", w.exposed, w.calls, limit, w.steps)
				}
			})
		}
	}
}

var trials = flag.Int("trials", 0, "number of roll-outs of good versions with varying run times; prints how many are completed")

// TestTrialsOfGoodVersions measures how many good versions are rolled back by chance. It
// only runs with -trials.
func TestTrialsOfGoodVersions(t *testing.T) {
	if *trials == 0 {
		t.Skip("only with -trials")
	}
	verdicts := make(map[string]int)
	for i := range *trials {
		w := newWorld(worldConfig{
			Seed: uint64(i), Hosts: 13, Servers: 4 + i%10, Rate: float64(20 + i*37%300), Duration: time.Duration(12+i%7) * time.Second,
			RunTime: 60 * time.Millisecond, Cold: 4 * time.Second, Loss: 0.02, Delay: 60 * time.Millisecond, Write: 40 * time.Millisecond,
		})
		w.run()
		verdicts[fmt.Sprint(w.verdicts)]++
		if w.stored.Row.State != Completed {
			t.Logf("%v calls/s, %v servers, %v: %v", w.Rate, w.Servers, w.Duration, w.stored.Row)
		}
	}
	t.Logf("verdicts: %v", verdicts)
}

// Guards against verdicts that change because an order is repeated, and against orders
// that are lost when they are changed or withdrawn halfway.
func TestFollow(t *testing.T) {
	now := time.Unix(1000, 0)
	order := Order{Service: "stock", Target: "v2", Duration: 15 * time.Second, Number: 7}
	running, _ := Follow(Row{}, order, now)
	completed, rolledBack := running, running
	completed.State, completed.Barred = Completed, []backend.Version{"v1"}
	rolledBack.State, rolledBack.Barred = RolledBack, []backend.Version{"v2"}
	for _, c := range []struct {
		name    string
		current Row
		change  func(*Order)
		want    string // state, target, barred versions; empty if nothing changes
	}{
		{"same row read again", running, func(*Order) {}, ""},
		{"repeated while running", running, func(o *Order) { o.Number = 9 }, ""},
		{"repeated after a completion", completed, func(o *Order) { o.Number = 9 }, ""},
		{"repeated after a roll-back", rolledBack, func(o *Order) { o.Number = 9 }, ""},
		{"longer", running, func(o *Order) { o.Number, o.Duration = 9, time.Minute }, "running v2 []"},
		{"another target halfway", running, func(o *Order) { o.Number, o.Target = 9, "v3" }, "running v3 [v2]"},
		{"another target after a completion", completed, func(o *Order) { o.Number, o.Target = 9, "v3" }, "running v3 [v1]"},
		{"back to the former version", completed, func(o *Order) { o.Number, o.Target = 9, "v1" }, "running v1 []"},
		{"another target after a roll-back", rolledBack, func(o *Order) { o.Number, o.Target = 9, "v3" }, "running v3 [v2]"},
		{"withdrawn halfway", running, func(o *Order) { o.Number, o.Withdrawn = 9, true }, "rolled-back v2 [v2]"},
		{"withdrawn after a completion", completed, func(o *Order) { o.Number, o.Withdrawn = 9, true }, ""},
	} {
		o := order
		c.change(&o)
		got, changed := Follow(c.current, o, now.Add(5*time.Second))
		text := ""
		if changed {
			text = fmt.Sprintf("%v %s %v", got.State, got.Target, got.Barred)
		}
		if text != c.want {
			t.Errorf("%s: got %q, want %q", c.name, text, c.want)
		}
	}
}
