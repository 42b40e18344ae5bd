package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/host"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// TestVersionsUnderFailure guards against a host that returns to an older
// version, applies a version that was not accepted, or stays behind after all
// failures have ended. The failures reorder, duplicate, lose and delay
// messages, stop, restart and pause daemons, partition regions and make the
// platform table unavailable.
func TestVersionsUnderFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		distribution := rapid.SampledFrom([]Distribution{Economical, Fast}).Draw(t, "distribution")
		n := newSimNetwork(t, rapid.Uint64().Draw(t, "seed"), 2, func(c *Config) { c.Distribution = distribution })
		n.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		n.duplicate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplicate")
		n.advance(15 * time.Second)
		node := rapid.IntRange(0, len(n.hosts)-1)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				if nd := n.hosts[node.Draw(t, "node")]; nd.up && !n.tableDown {
					n.acceptVersion(nd, rapid.Bool().Draw(t, "crash"))
				}
			},
			"stop":  func(t *rapid.T) { n.stop(n.hosts[node.Draw(t, "node")]) },
			"pause": func(t *rapid.T) { n.hosts[node.Draw(t, "node")].paused = true },
			"resume": func(*rapid.T) {
				for _, nd := range n.hosts {
					nd.paused = false
				}
			},
			"start": func(t *rapid.T) {
				if nd := n.hosts[node.Draw(t, "node")]; !nd.up {
					n.start(nd)
				}
			},
			"table": func(t *rapid.T) { n.tableDown = rapid.Bool().Draw(t, "down") },
			"link": func(t *rapid.T) {
				partitioned := rapid.Bool().Draw(t, "partitioned")
				n.partitioned = func(a, b host.Row) bool { return partitioned && a.Region != b.Region }
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

// clearFaults ends all failures.
func (n *simNetwork) clearFaults() {
	n.tableDown, n.loss, n.duplicate = false, 0, 0
	n.partitioned = func(_, _ host.Row) bool { return false }
	n.tableUnreachable = func(host.Row) bool { return false }
	for _, nd := range n.hosts {
		nd.paused = false
		if !nd.up {
			n.start(nd)
		}
	}
}

// TestRootsFailDuringChange guards against a version that is delayed until
// failed roots are declared dead. All zone roots, including region roots, fail
// when the version is accepted. The limit is 7 s.
func TestRootsFailDuringDistribution(t *testing.T) {
	for seed := range uint64(20) {
		n := newSimNetwork(t, 100+seed, 8, nil)
		n.advance(40 * time.Second)
		n.acceptVersion(n.hosts[0], false)
		n.advance(5 * time.Second)
		for _, nd := range n.hosts[1:] {
			if nd.core.overlay.isZoneRoot() {
				n.stop(nd)
			}
		}
		n.acceptVersion(n.hosts[0], false)
		took := n.runUntilApplied(7 * time.Second)
		t.Logf("seed %d: applied after %v", seed, took)
	}
}

// TestRegionsPartedForHours guards against a region that stays behind after it
// was disconnected from the other region and from the platform table for longer
// than tombstones and delta bases are kept, while versions were accepted and
// hosts were restarted on both sides. The limit is 7 s after the link is
// restored while the table is still unreachable. Hosts that restarted without
// the table apply nothing until they have read the head row, at most 7 s after
// the table is reachable again.
func TestRegionsPartitionedForHours(t *testing.T) {
	for seed := range uint64(4) {
		n := newSimNetwork(t, 200+seed, 3, nil)
		n.advance(40 * time.Second)
		n.acceptVersion(n.hosts[0], false)
		n.advance(5 * time.Second)
		n.partitioned = func(a, b host.Row) bool { return a.Region != b.Region }
		n.tableUnreachable = func(r host.Row) bool { return r.Region != "pwani" }
		restart := []*simHost{n.hosts[1], n.hosts[4], n.hosts[7], n.hosts[10]}
		for i := range RetainedVersions + 4 {
			n.acceptVersion(n.hosts[0], false)
			n.advance(tombstoneTTL / 10)
			nd := restart[i%len(restart)]
			n.stop(nd)
			n.advance(30 * time.Second)
			n.start(nd)
		}
		// Wait until no update of the last restart is left that could cross the
		// restored link and start the repair.
		n.advance(time.Minute)
		n.partitioned = func(_, _ host.Row) bool { return false }
		n.advance(7 * time.Second)
		for _, nd := range n.hosts {
			if nd.runs == 1 && nd.applied != n.head.Number() {
				t.Errorf("seed %d: %s: got version %d after 7 s, want %d", seed, nd.row.ID, nd.applied, n.head.Number())
			}
		}
		n.clearFaults()
		n.advance(7 * time.Second)
		n.wantApplied()
		wantSameRows(t, n, "after the link was restored")
	}
}
