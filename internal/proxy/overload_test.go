package proxy

import (
	"testing"
	"time"
)

// TestCallsWaitWhenManyGatesAreFull guards against calls that are refused with most of
// their time left because they ask one full gate after another for a short wait,
// while each of these gates would have a slot in time. The load is a short burst above
// the capacity of a service with many servers.
func TestCallsWaitWhenManyGatesAreFull(t *testing.T) {
	const (
		load  = 1.4 // of the capacity
		burst = 600 * time.Millisecond
	)
	c := &simulation{servers: 4 * simServers, choose: choicePolicies[2].choose, target: 400 * time.Millisecond}
	f := c.measure(t, load, burst, nil)
	t.Logf("load %.1f: %v", load, f)
	// No server idles during the burst, and each slot still has some calls in its queue
	// at the end.
	const queuedPerSlot = 4
	possible := float64(burst + queuedPerSlot*simServiceTime)
	if got, want := float64(f.good)/float64(f.calls), possible/(load*float64(burst)); got < want {
		t.Errorf("served %.3f of the calls, want at least %.3f", got, want)
	}
}
