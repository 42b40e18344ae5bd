package capacity

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/document"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

const modelSeconds = 60

// runs returns the mean goodput of some runs and the widest range of the number in
// any of them.
func runs(l load) (goodput float64, low, high int) {
	const seeds = 4
	low, high = modelSlots, modelSlots
	for seed := range uint64(seeds) {
		o := simulate(l, New(Config{Slots: modelSlots, Seed: seed}), modelSeconds, seed)
		goodput += o.goodput / seeds
		if from, to := spread(o); to-from > high-low || to-from == high-low && from < low {
			low, high = from, to
		}
	}
	return goodput, low, high
}

// compare runs a load and reports the goodput that is less than a share of that of the
// best fixed number.
func compare(t *testing.T, l load, share float64) {
	best, n := bestFixed(l, modelSeconds)
	goodput, low, high := runs(l)
	t.Logf("%.2f of the best fixed number %d, number %d to %d", goodput/best.goodput, n, low, high)
	if goodput < share*best.goodput {
		t.Errorf("got %.1f calls/s in time, want %v of the %.1f with %d slots", goodput, share, best.goodput, n)
	}
}

func eachLoad(t *testing.T, loads []load, f func(t *testing.T, l load)) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			f(t, l)
		})
	}
}

// Guards against a learned number that gives less than 90% of the goodput of the best
// fixed number while nothing changes.
func TestSteadyLoad(t *testing.T) {
	steady, _, _ := modelLoads()
	eachLoad(t, steady, func(t *testing.T, l load) { compare(t, l, 0.9) })
}

// Guards against the same while the machine is slowed down for short times.
func TestSlowdowns(t *testing.T) {
	_, slowed, _ := modelLoads()
	eachLoad(t, slowed, func(t *testing.T, l load) { compare(t, l, 0.9) })
}

// Guards against a learned number that does not follow changes: it must give more
// goodput than the best fixed number.
func TestChangingLoad(t *testing.T) {
	_, _, changing := modelLoads()
	eachLoad(t, changing, func(t *testing.T, l load) { compare(t, l, 1) })
}

// Guards against a number that moves by more than one slot while nothing changes.
func TestSteadyNumber(t *testing.T) {
	steady, _, _ := modelLoads()
	eachLoad(t, steady, func(t *testing.T, l load) {
		if _, low, high := runs(l); high > low+1 {
			t.Errorf("got from %d to %d slots, want no change by more than one", low, high)
		}
	})
}

// Guards against slots that are withheld from a server that takes all of them well,
// and against less goodput than with the announced slots.
func TestNoWorseThanAnnounced(t *testing.T) {
	steady, slowed, changing := modelLoads()
	eachLoad(t, append(append(steady, slowed...), changing...), func(t *testing.T, l load) {
		announced := simulate(l, fixed(modelSlots), modelSeconds, 1).goodput
		goodput, low, _ := runs(l)
		if l.decline == 0 && low < modelSlots-1 {
			t.Errorf("got down to %d slots for a server that takes %d well", low, modelSlots)
		}
		// At most one slot may be withheld.
		if goodput < announced*(modelSlots-1)/modelSlots {
			t.Errorf("got %.1f calls/s in time, want about the %.1f with the announced slots", goodput, announced)
		}
	})
}

// Guards against a number outside of 1 to the announced slots, whatever the run times
// are.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		l := New(Config{Slots: slots, Seed: rapid.Uint64().Draw(t, "seed")})
		now, running := time.Unix(1000, 0), []Call{}
		factor := rapid.IntRange(0, 100).Draw(t, "factor")
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 200).Draw(t, "announce") == 0 {
				slots = rapid.IntRange(1, 20).Draw(t, "slots")
				l.SetSlots(slots)
			}
			if len(running) < l.Limit(now) {
				running = append(running, l.Start(now))
			} else {
				run := Run{Route: document.RouteName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route")), RunTime: time.Duration(1+factor*len(running)) * time.Millisecond}
				l.End(now, running[0], run)
				running = running[1:]
			}
			if n, limit := l.Learned(), l.Limit(now); n < 1 || n > slots || limit < 1 || limit > slots {
				t.Fatalf("got %d learned, %d admitted, want 1 to %d", n, limit, slots)
			}
		}
	})
}

// Guards against a slow dependency that is taken for contention: a route that does not
// slow down shows that the server is not overloaded.
func TestSlowDependency(t *testing.T) {
	contended := sums{calls: 100, logRun: 50, logConcurrency: 250}
	few := sums{calls: 100, logRun: 0, logConcurrency: 200}
	level := sums{calls: 100, logRun: 0, logConcurrency: 250}
	for name, c := range map[string]struct {
		other *sums
		want  verdict
	}{"all routes slow down": {&contended, fewer}, "one route does not": {&level, undecided}} {
		x := &trial{low: 9, high: 18, evidence: make(map[document.RouteName]*evidence)}
		for range 6 {
			x.add(&pair{
				low:  interval{routes: map[document.RouteName]*sums{"a": &few, "b": {calls: 20, logConcurrency: 40}}},
				high: interval{routes: map[document.RouteName]*sums{"a": &contended, "b": {calls: 20, logRun: 20 * c.other.logRun / 100, logConcurrency: 50}}},
			}, defaultVariance)
		}
		if got := x.verdict(); got != c.want {
			t.Errorf("%s: got verdict %d, want %d", name, got, c.want)
		}
	}
}
