package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
)

// Verifies that a planned stop of a daemon interrupts and fails no call, and that
// the other daemons do not treat it as a crash.
func TestPlannedStopInterruptsNoCall(t *testing.T) {
	t.Parallel()
	daemons := startFleet(t, "pwani-a", "pwani-a")
	a, b := daemons[0], daemons[1]
	submit(t, a, a, b)
	slow, started := make(chan struct{}), make(chan struct{}, 1)
	finish := sync.OnceFunc(func() { close(slow) })
	defer finish()
	for i, d := range daemons {
		d.announceServer(t, fmt.Sprint("stock-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/stock/slow" {
				started <- struct{}{}
				<-slow
			}
			_, _ = io.WriteString(w, r.URL.RequestURI())
		})
	}
	for _, d := range daemons {
		eventually(t, longWait, "calls through "+string(d.settings.HostID), func() bool {
			servers, err := d.Servers(t.Context())
			status, _, _ := request(t, "GET", d.settings.CallAddress, "/stock/ready", "")
			return err == nil && len(servers) == 2 && status == http.StatusOK
		})
	}
	call := func(at *testDaemon, path string) {
		if status, _, text := request(t, "GET", at.settings.CallAddress, path, ""); status != http.StatusOK || text != path {
			t.Errorf("GET %s: got %d %q, want 200 and its own response", path, status, text)
		}
	}
	var calls sync.WaitGroup
	answered := make(chan struct{})
	calls.Go(func() { defer close(answered); call(b, "/stock/slow") })
	select {
	case <-started:
	case <-answered:
		t.Fatal("the slow call was answered before it reached a server")
	}
	stopped := make(chan struct{})
	for worker := range 4 {
		calls.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
					call(a, fmt.Sprintf("/stock/%d-%d", worker, i))
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	go func() { b.stop(); close(stopped) }()
	eventually(t, longWait, "b left", func() bool { return a.countHosts(t, host.Left) == 1 })
	select {
	case <-stopped:
		t.Error("b stopped while a call was in flight")
	default:
	}
	finish()
	calls.Wait()
	for _, kind := range []string{"host-suspected", "host-dead"} {
		if events := timelineOf(t, a, kind).Events; len(events) > 0 {
			t.Errorf("got %v, want no %s after a planned stop", events, kind)
		}
	}
}

// TestStoppingDaemonAcceptsOnlyCallsThatEnd guards against a daemon with a long drain
// timeout that accepts calls which can outlast it after its callers have been told that
// it stops, and breaks them off at the end.
func TestStoppingDaemonAcceptsOnlyCallsThatEnd(t *testing.T) {
	t.Parallel()
	daemons := startFleet(t, "pwani-a", "pwani-a")
	d := daemons[1]
	d.settings.DrainTimeout = 20 * time.Second
	submitDocument(t, d, strings.Replace(testDocument, "timeout: 5s", "timeout: 18s", 1), d)
	release := make(chan struct{})
	d.announceServer(t, "stock-1", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stock/slow" {
			<-release
		}
	})
	eventually(t, longWait, "calls", func() bool {
		status, _, _ := request(t, "GET", d.settings.CallAddress, "/stock/ready", "")
		return status == http.StatusOK
	})
	// The call in flight keeps the listener for calls open.
	var calls sync.WaitGroup
	defer calls.Wait()
	defer close(release)
	calls.Go(func() { request(t, "GET", d.settings.CallAddress, "/stock/slow", "") })
	eventually(t, longWait, "the slow call in flight", func() bool { return d.gate.Activity().Busy })
	daemons[0].announceServer(t, "stock-0", func(http.ResponseWriter, *http.Request) {})
	eventually(t, longWait, "the other server", func() bool {
		servers, err := d.Servers(t.Context())
		return err == nil && len(servers) == 2
	})
	go d.stop()
	eventually(t, longWait, "the stop", d.leaving.Load)
	if status, _, _ := request(t, "GET", d.settings.CallAddress, "/stock/early", ""); status != http.StatusOK {
		t.Errorf("before callers are told: got %d, want 200", status)
	}
	time.Sleep(callerDrainTime + time.Second)
	if status, h, text := request(t, "GET", d.settings.CallAddress, "/stock/late", ""); status != http.StatusServiceUnavailable || h.Get("Peridotlb-Not-Run") != "true" || !strings.Contains(text, "daemon-stopping") {
		t.Errorf("after callers were told: got %d %s, want a refusal of the stopping daemon", status, text)
	}
}
