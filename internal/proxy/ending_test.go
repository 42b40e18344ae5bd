package proxy

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a daemon that takes a call shortly before it stops, and then cuts
// it while its server is at work.
func TestEndingDaemonTakesOnlyShortCalls(t *testing.T) {
	const run = 50 * time.Millisecond
	ran := 0
	m := newMesh(t)
	m.routes[0].Target = time.Second
	m.start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		ran++
		time.Sleep(run)
	}))
	for range 5 {
		m.do("GET", "/stock", "")
	}
	var end time.Time
	m.config.ShutdownDeadline = func() time.Time { return end }
	m.entry.Config.Handler = NewEntry(m.config)

	end = time.Now().Add(time.Minute)
	if r := m.do("GET", "/stock", ""); r.StatusCode != http.StatusOK {
		t.Errorf("long before the end: got %d, want 200", r.StatusCode)
	}
	before := ran
	end = time.Now().Add(2 * run)
	r := m.do("GET", "/stock", "")
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get(HeaderNotRun) != "true" || r.Header.Get("Retry-After") == "" {
		t.Errorf("shortly before the end: got %d, want a refusal that says not run and when to come back", r.StatusCode)
	}
	if ran != before {
		t.Error("the call was run, want it refused")
	}
}
