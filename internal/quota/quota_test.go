package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/document"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// TestBoundHolds guards against more requests than the bound allows in any window,
// while hosts die, restart, pause, are cut off from each other and believe different
// things about the fleet, and while messages are lost, late and out of order. All
// requests wait for different times before they run.
func TestBoundHolds(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		limits := map[document.OrganisationName]Limit{
			"large": {Rate: document.Rate(rapid.Float64Range(50, 400).Draw(t, "rate")), Burst: rapid.Float64Range(0, 1000).Draw(t, "burst")},
			"small": {Rate: document.Rate(rapid.Float64Range(1, 5).Draw(t, "small rate")), Burst: rapid.Float64Range(0, 50).Draw(t, "small burst")},
		}
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		// A small slack leaves less room for faults to hide in.
		n := newSimNetwork(rapid.Uint64().Draw(t, "seed"), hosts, limits, Bound{Window: 5 * time.Second, Overrun: 0.1, Slack: 2})
		n.loss = rapid.SampledFrom([]float64{0, 0, 0, 0.05, 0.3}).Draw(t, "loss")
		n.queueTime = 1
		usual, late := n.delay, rapid.SampledFrom([]int{10, 100, 1000}).Draw(t, "late")
		n.delay = func(a, b *simHost) time.Duration {
			if n.random.IntN(late) == 0 {
				return time.Duration(n.random.IntN(3000)) * time.Millisecond
			}
			return usual(a, b)
		}
		quiet := false
		var generate func()
		generate = func() {
			for name, l := range limits {
				for range callsIn20ms(l, quiet) {
					n.call(n.hosts[n.random.IntN(hosts)], name, nil)
				}
			}
			n.at(20*time.Millisecond, generate)
		}
		generate()
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			h := n.hosts[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"wait", "wait", "wait", "stop", "restart", "restart", "restart all", "pause", "cut", "heal", "heal", "suspect", "suspect all", "leave", "stall", "quiet"}).Draw(t, "step") {
			case "stop":
				n.stop(h)
			case "restart":
				n.stop(h)
				n.start(h)
			case "pause":
				h.pausedUntil = n.now + time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms"))*time.Millisecond
			case "cut":
				side := rapid.IntRange(1, 3).Draw(t, "zones")
				n.cut = func(a, b *simHost) bool { return (a.zone < side) != (b.zone < side) }
			case "heal":
				n.cut = func(_, _ *simHost) bool { return false }
			case "stall":
				n.stalledUntil = n.now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "stall"))*time.Millisecond
			case "quiet":
				quiet = !quiet
			case "restart all":
				for _, o := range n.hosts {
					n.stop(o)
					n.start(o)
				}
			case "suspect":
				n.believe(h, func(*simHost) bool { return n.random.IntN(2) == 0 })
			case "suspect all":
				for _, o := range n.hosts {
					n.believe(o, func(*simHost) bool { return n.random.IntN(2) == 0 })
				}
			case "leave":
				if h.up {
					n.execute(h, h.core.Leave(n.clock(h)))
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "all learn") > 0 {
				n.updateFleets()
			}
			n.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "advance")) * time.Millisecond)
		}
		for name := range limits {
			granted += len(n.runs[name])
			if excess := n.worstExcess(name); excess > 0 {
				t.Fatalf("%s with %+v on %d hosts: %.1f requests over the bound", name, limits[name], hosts, excess)
			}
		}
	})
	t.Logf("%d requests ran", granted)
}

// callsIn20ms returns the number of requests of an organisation in 20 ms: four times its
// rate.
func callsIn20ms(l Limit, quiet bool) int {
	if quiet {
		return 0
	}
	return 1 + int(float64(l.Rate)*0.02*4)
}
