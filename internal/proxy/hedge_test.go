package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
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
	synctest.Test(t, func(t *testing.T) {
		c := &simulation{servers: 2, choose: choicePolicies[2].choose, target: target, handler: server}
		c.start()
		defer c.stop()
		call := func() *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			c.entries[0].ServeHTTP(w, httptest.NewRequest("GET", "/stock", nil))
			return w
		}
		for range 40 {
			call()
		}
		slow.Store(true)
		start := time.Now()
		if r := call(); r.Code != http.StatusOK {
			t.Fatalf("got %d, want 200", r.Code)
		}
		if got := time.Since(start); got > target {
			t.Errorf("got a response after %v, want it within %v", got, target)
		}
		if got := calls.Load(); got != 2 {
			t.Errorf("got %d attempts, want 2", got)
		}
	})
}
