package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/host"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// TestVersionsUnderFailure guards against a host that goes back to an older
// version, applies a version that was not accepted, or stays behind once all
// failures are over. The failures cross, double, lose and delay messages, kill,
// restart and pause daemons, cut regions and take the table down.
func TestVersionsUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		distribution := rapid.SampledFrom([]Distribution{Economical, Fast}).Draw(t, "distribution")
		n := newSimNetwork(t, rapid.Uint64().Draw(t, "seed"), 2, func(c *Config) { c.Distribution = distribution })
		n.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		n.duplicate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplicate")
		n.advance(15 * time.Second)
		node := rapid.IntRange(0, len(n.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				if nd := n.nodes[node.Draw(t, "node")]; nd.up && !n.tableDown {
					n.acceptVersion(nd, rapid.Bool().Draw(t, "crash"))
				}
			},
			"stop":  func(t *rapid.T) { n.stop(n.nodes[node.Draw(t, "node")]) },
			"pause": func(t *rapid.T) { n.nodes[node.Draw(t, "node")].paused = true },
			"resume": func(*rapid.T) {
				for _, nd := range n.nodes {
					nd.paused = false
				}
			},
			"start": func(t *rapid.T) {
				if nd := n.nodes[node.Draw(t, "node")]; !nd.up {
					n.start(nd)
				}
			},
			"table": func(t *rapid.T) { n.tableDown = rapid.Bool().Draw(t, "down") },
			"link": func(t *rapid.T) {
				parted := rapid.Bool().Draw(t, "parted")
				n.partitioned = func(a, b host.Row) bool { return parted && a.Region != b.Region }
			},
			"run": func(t *rapid.T) {
				n.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		n.clearFaults()
		n.advance(60 * time.Second)
		n.wantApplied()
	})
}

// heal ends all failures.
func (n *simNetwork) clearFaults() {
	n.tableDown, n.loss, n.duplicate = false, 0, 0
	n.partitioned = func(_, _ host.Row) bool { return false }
	n.tableUnreachable = func(host.Row) bool { return false }
	for _, nd := range n.nodes {
		nd.paused = false
		if !nd.up {
			n.start(nd)
		}
	}
}

// TestRootsFailDuringChange guards against a version that waits for the death
// of failed roots to be declared: all zone roots, the region roots among them,
// fail at the moment of acceptance. The promise is 7 s.
func TestRootsFailDuringChange(t *testing.T) {
	for seed := range uint64(20) {
		n := newSimNetwork(t, 100+seed, 8, nil)
		n.advance(40 * time.Second)
		n.acceptVersion(n.nodes[0], false)
		n.advance(5 * time.Second)
		for _, nd := range n.nodes[1:] {
			if nd.core.overlay.isZoneRoot() {
				n.stop(nd)
			}
		}
		n.acceptVersion(n.nodes[0], false)
		took := n.runUntilApplied(7 * time.Second)
		t.Logf("seed %d: in force after %v", seed, took)
	}
}

// TestRegionsPartedForHours guards against a region that stays behind after it
// was parted from the other one and from the table for longer than tombstones
// and the bases of deltas are kept, while versions were accepted and hosts
// restarted on both sides. The promise is 7 s after the link is healed, with the
// table still out of reach. Hosts that restarted without the table apply nothing
// until they have read the head row: 7 s after the table is reachable again.
func TestRegionsPartedForHours(t *testing.T) {
	for seed := range uint64(4) {
		n := newSimNetwork(t, 200+seed, 3, nil)
		n.advance(40 * time.Second)
		n.acceptVersion(n.nodes[0], false)
		n.advance(5 * time.Second)
		n.partitioned = func(a, b host.Row) bool { return a.Region != b.Region }
		n.tableUnreachable = func(r host.Row) bool { return r.Region != "pwani" }
		restart := []*simHost{n.nodes[1], n.nodes[4], n.nodes[7], n.nodes[10]}
		for i := range RetainedVersions + 4 {
			n.acceptVersion(n.nodes[0], false)
			n.advance(tombstoneTTL / 10)
			nd := restart[i%len(restart)]
			n.stop(nd)
			n.advance(30 * time.Second)
			n.start(nd)
		}
		// No news of the last restart may cross the healed link and start the repair.
		n.advance(time.Minute)
		n.partitioned = func(_, _ host.Row) bool { return false }
		n.advance(7 * time.Second)
		for _, nd := range n.nodes {
			if nd.runs == 1 && nd.applied != n.head.Number() {
				t.Errorf("seed %d: %s: got version %d after 7 s, want %d", seed, nd.row.ID, nd.applied, n.head.Number())
			}
		}
		n.clearFaults()
		n.advance(7 * time.Second)
		n.wantApplied()
		wantSameRows(t, n, "after the healing")
	}
}
