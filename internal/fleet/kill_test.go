package fleet

import (
	"testing"
	"time"
)

// TestThirdFailsDuringChange guards against a version that waits for runs of
// failed hosts to be suspected one after the other, and for a failed far end
// of the region link: 30% of the hosts, roots or not, fail at the moment of
// acceptance. The promise is 7 s. The seeds took 9 to 16 s at first.
func TestThirdFailsDuringChange(t *testing.T) {
	for _, c := range []struct {
		perZone int
		seeds   []uint64
	}{{15, []uint64{1031, 1139}}, {38, []uint64{1018, 1052}}, {150, []uint64{1001}}} {
		for _, seed := range c.seeds {
			n := newSimNetwork(t, seed, c.perZone, nil)
			n.advance(30 * time.Second)
			n.acceptVersion(n.nodes[0], false)
			n.advance(5 * time.Second)
			for _, i := range n.random.Perm(len(n.nodes) - 1)[:len(n.nodes)*3/10] {
				n.stop(n.nodes[i+1])
			}
			n.acceptVersion(n.nodes[0], false)
			took := n.runUntilApplied(7 * time.Second)
			t.Logf("%d hosts, seed %d: in force after %v", len(n.nodes), seed, took)
		}
	}
}
