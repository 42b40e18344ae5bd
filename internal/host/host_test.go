package host

import "testing"

// TestCapacityOf guards against additional roles on hosts whose processor or
// link is too slow for them.
func TestCapacityOf(t *testing.T) {
	weak, strong := CapacityOf(0.16, 7), CapacityOf(0.8, 140)
	if weak >= strong {
		t.Errorf("got capacity %d for a weak host, want less than %d", weak, strong)
	}
	for _, c := range []struct{ cores, mbps float64 }{{0.8, 7}, {0.05, 1000}} {
		if got := CapacityOf(c.cores, c.mbps); got >= strong {
			t.Errorf("%v cores, %v Mbit/s: got capacity %d, want less than %d", c.cores, c.mbps, got, strong)
		}
	}
	if got := CapacityOf(0.001, 0.01); got != 0 {
		t.Errorf("got capacity %d, want 0", got)
	}
}
