package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

// Guards against nested calls that are not found, and against calls of callers that are
// taken for them, also while the server is busy most of the time, at the start, and
// when callers begin to use a route.
func TestNestedRoutes(t *testing.T) {
	for _, busyShare := range []float64{0.3, 0.9} {
		random := rand.New(rand.NewPCG(1, 2))
		var n NestedRoutes
		now, idle := time.Unix(1000, 0), time.Duration(0)
		var found, wrong, nested, callers int
		arrive := func(route document.RouteName, busy bool) bool { return n.Arrival(now, route, busy, idle) }
		for step := range 60_000 {
			now = now.Add(time.Millisecond)
			busy := float64(step%100) < 100*busyShare // for 100 ms each
			if !busy {
				idle += time.Millisecond
			}
			if busy && random.IntN(20) == 0 {
				nested++
				if arrive("inner", true) {
					found++
				}
			}
			if random.IntN(20) == 0 {
				callers++
				if arrive("outer", busy) {
					wrong++
				}
			}
		}
		if found < nested*8/10 || wrong > callers/100 {
			t.Errorf("busy %v: got %d of %d nested calls and %d of %d calls of callers, want most of the first and none of the others", busyShare, found, nested, wrong, callers)
		}
		last := true
		for range 100 {
			last = arrive("inner", false) || arrive("inner", true)
		}
		if last {
			t.Errorf("busy %v: a route that callers use still counts as nested", busyShare)
		}
	}
	var unknown NestedRoutes
	for i := range 1000 {
		if unknown.Arrival(time.Unix(1000, int64(i)*1e6), "r", true, 0) {
			t.Fatal("got a nested route although the server was never idle")
		}
	}
}
