package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/claim"
)

// Guards against paid calls that run without a claim or twice, and against repeated
// calls that do not get the recorded response.
func TestPaidCall(t *testing.T) {
	var runs atomic.Int64
	m := newMesh(t).start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Location", "/order/1")
		w.Header().Set(HeaderNotRun, "true") // of a call further down the chain
		w.WriteHeader(http.StatusCreated)
		if r.URL.RawQuery == "large" {
			fmt.Fprint(w, strings.Repeat("x", claim.MaxRecordedBodyBytes+1))
		} else {
			fmt.Fprint(w, "booked")
		}
	}))
	for i, c := range []struct {
		path, key, body string
		status          int
		runs            int64
		header, value   string
	}{
		{"/refill", "", "x", 400, 0, HeaderNotRun, "true"},
		{"/refill", "k", strings.Repeat("x", bufferLimit+1), 413, 0, HeaderNotRun, "true"},
		{"/refill", "k", "x", 201, 1, HeaderNotRun, ""},
		{"/refill", "k", "x", 201, 1, HeaderReplayed, "true"},
		{"/refill", "k", "x", 201, 1, "Location", "/order/1"},
		{"/refill", "k", "y", 422, 1, HeaderNotRun, "true"},
		{"/refill?large", "l", "x", 201, 2, HeaderReplayed, ""},
		{"/refill?large", "l", "x", 410, 2, HeaderReplayed, "true"},
	} {
		got := m.do("POST", c.path, c.body, headerIdempotencyKey, c.key)
		if got.StatusCode != c.status || runs.Load() != c.runs || got.Header.Get(c.header) != c.value {
			t.Errorf("case %d: got %d, %d runs, %v; want %d, %d runs, %s=%q", i, got.StatusCode, runs.Load(), got.Header, c.status, c.runs, c.header, c.value)
		}
		if c.status == 400 && !strings.Contains(got.body, headerIdempotencyKey) {
			t.Errorf("got %q, want the name of the missing header", got.body)
		}
	}
}

// Guards against running paid calls whose claim is unconfirmed or already taken.
func TestClaimNotGranted(t *testing.T) {
	for _, c := range []struct {
		decision        claim.Decision
		status          int
		notRun, outcome string
	}{
		{claim.Unconfirmed{Err: errors.New("table is down")}, 503, "true", ""},
		{claim.Pending{}, 409, "", "unknown"},
	} {
		m := newMesh(t)
		m.claims = fixedClaims{c.decision}
		m.start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the call was run") }))
		got := m.do("POST", "/refill", "", headerIdempotencyKey, "k")
		if got.StatusCode != c.status || got.Header.Get(HeaderNotRun) != c.notRun || got.Header.Get(HeaderOutcome) != c.outcome {
			t.Errorf("%T: got %d %v, want %d", c.decision, got.StatusCode, got.Header, c.status)
		}
	}
}

// Guards against claims that block a key although the call provably was not run,
// and against releasing the claim of a call that may have run.
func TestClaimRelease(t *testing.T) {
	table, m := newReleaseCounter(), newMesh(t)
	m.claims = table.claims()
	m.start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	row := m.row(0, m.entry)
	row.State, row.Stamp.Sequence = backend.Draining, 2
	ready := row
	ready.State, ready.Stamp.Sequence = backend.Ready, 3
	ready.Addr = m.backends[0]
	for _, c := range []struct {
		row      backend.Server
		released int
		status   int
	}{{row, 1, 503}, {ready, 1, 502}, {ready, 1, 409}} {
		m.gate.Update(m.services(), []backend.Server{c.row})
		got := m.do("POST", "/refill", "", headerIdempotencyKey, "k")
		if got.StatusCode != c.status || int(table.released.Load()) != c.released {
			t.Errorf("%v: got %d and %d releases, want %d and %d", c.row.State, got.StatusCode, int(table.released.Load()), c.status, c.released)
		}
	}
}

// Guards against treating a server that sheds load as one that ran the call: the
// call would not be retried elsewhere and its key would stay blocked. With other
// statuses, the header proves nothing.
func TestServerReportsNotRun(t *testing.T) {
	for _, c := range []struct{ first, second, want, released int }{
		{503, 429, 503, 1}, {429, 200, 200, 0}, {500, 500, 500, 0}, {200, 200, 200, 0},
	} {
		for _, local := range []bool{false, true} {
			var runs atomic.Int64
			table, m := newReleaseCounter(), newMesh(t)
			m.claims, m.local = table.claims(), local
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				status := c.first
				if runs.Add(1) > 1 {
					status = c.second
				}
				w.Header().Set(HeaderNotRun, "true")
				w.WriteHeader(status)
				fmt.Fprint(w, strings.Repeat("x", 2*bufferLimit))
			})
			m.start(h, h)
			got := m.do("POST", "/refill", "", headerIdempotencyKey, "k")
			proof := got.Header.Get(HeaderNotRun) == "true"
			wantRuns := int64(1)
			if c.first == 503 || c.first == 429 {
				wantRuns = 2
			}
			if got.StatusCode != c.want || proof != (c.released == 1) || int(table.released.Load()) != c.released || runs.Load() != wantRuns {
				t.Errorf("%v: got %d %v, %d releases, %d requests", c, got.StatusCode, got.Header, int(table.released.Load()), runs.Load())
			}
		}
	}
}

// Guards against cancelling a paid call and losing its response when its caller
// disconnects, and against continuing other calls without a caller.
func TestCallerDisconnects(t *testing.T) {
	started, cancelled, finish := make(chan bool, 1), make(chan bool, 1), make(chan bool)
	table, m := newReleaseCounter(), newMesh(t)
	m.claims = table.claims()
	m.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- true
		if r.URL.Path == "/stock" {
			<-r.Context().Done()
			cancelled <- true
			return
		}
		<-finish
		fmt.Fprint(w, "booked")
	}))
	m.cancelCall("GET", "/stock", started)
	<-cancelled
	m.cancelCall("POST", "/refill", started)
	close(finish)
	for {
		if got := m.do("POST", "/refill", "", headerIdempotencyKey, "k"); got.body == "booked" {
			break
		}
		time.Sleep(time.Millisecond)
	}
}
