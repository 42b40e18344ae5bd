package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against missing the latency target of a call although a hedged attempt
// that starts in time would meet it.
func TestSlowCallMeetsTarget(t *testing.T) {
	const target = 400 * time.Millisecond
	var slow atomic.Bool
	var calls atomic.Int64
	server := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if slow.Load() && calls.Add(1) == 1 {
			select {
			case <-time.After(5 * target):
			case <-r.Context().Done():
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	})
	m := newMesh(t)
	m.routes[0].Target = target
	m.start(server, server)
	for range 40 {
		m.do("GET", "/stock", "")
	}
	slow.Store(true)
	start := time.Now()
	if r := m.do("GET", "/stock", ""); r.StatusCode != http.StatusOK {
		t.Fatalf("got %d, want 200", r.StatusCode)
	}
	if got := time.Since(start); got > target {
		t.Errorf("got a response after %v, want it within %v", got, target)
	}
	if got := calls.Load(); got != 2 {
		t.Errorf("got %d attempts, want 2", got)
	}
}
