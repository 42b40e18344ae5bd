package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/organisation"
	"github.com/peridotlb/peridotlb/internal/quota"
)

// fakeQuotas returns its decisions in turn, the last one forever.
type fakeQuotas struct {
	mu        sync.Mutex
	decisions []func() quota.Decision
	taken     int
}

func (f *fakeQuotas) Take(context.Context, document.OrganisationName) quota.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.decisions[min(f.taken, len(f.decisions)-1)]
	f.taken++
	return d()
}

func grantedFor(d time.Duration) func() quota.Decision {
	return func() quota.Decision { return quota.Decision{Granted: true, RunBy: time.Now().Add(d)} }
}

func refusedAfter(d time.Duration, overQuota bool) func() quota.Decision {
	return func() quota.Decision { return quota.Decision{OverQuota: overQuota, RetryAfter: d} }
}

// withQuota adds an organisation with a quota, whose calls go to /stock, and a public
// route.
func (m *mesh) withQuota(decisions ...func() quota.Decision) *fakeQuotas {
	m.withOrganisation()
	m.organisations[0].RatePerSecond = 1
	m.organisations = append(m.organisations, document.Organisation{Name: "free", KeyDigests: []document.KeyDigest{organisation.DigestOf("f")}})
	q := &fakeQuotas{decisions: decisions}
	m.quotas = q
	return q
}

// Guards against a call over the quota that runs or whose body is read, against a
// refusal without the not-run header or an accurate Retry-After, and against tokens for
// calls that need none.
func TestCallsOverTheQuota(t *testing.T) {
	m := newMesh(t)
	q := m.withQuota(grantedFor(time.Second), refusedAfter(1234*time.Millisecond, true), refusedAfter(400*time.Millisecond, false))
	m.start(echoIdentity)
	for _, c := range []struct {
		path, key  string
		status     int
		retryAfter string
		taken      int
	}{
		{"/stock", "x", 401, "", 0},
		{"/open", "", 200, "", 0},
		{"/stock", "f", 200, "", 0},
		{"/stock", testKey, 200, "", 1},
		{"/stock", testKey, 429, "1.23", 2},
		{"/stock", testKey, 503, "0.40", 3},
	} {
		got := m.do("GET", c.path, "", "Authorization", "Bearer "+c.key)
		if got.StatusCode != c.status || got.Header.Get("Retry-After") != c.retryAfter || q.taken != c.taken {
			t.Errorf("%s with key %q: got %d, Retry-After %q and %d tokens, want %d, %q and %d", c.path, c.key, got.StatusCode, got.Header.Get("Retry-After"), q.taken, c.status, c.retryAfter, c.taken)
		}
		if c.status >= 429 && got.Header.Get(HeaderNotRun) != "true" {
			t.Errorf("%s: got no not-run header: %v", c.path, got.Header)
		}
	}
	r := httptest.NewRequest("POST", "/stock", io.NopCloser(bodyReaderFunc(func([]byte) (int, error) {
		t.Error("got a read of the body, want none")
		return 0, io.EOF
	})))
	r.Header.Set("Authorization", "Bearer "+testKey)
	NewEntry(m.config).ServeHTTP(httptest.NewRecorder(), r)
}

// Guards against a call that runs after its token has expired, here and at the gate of
// another host, and against one that is lost although it could get another token.
func TestExpiredToken(t *testing.T) {
	for _, local := range []bool{false, true} {
		m := newMesh(t)
		m.local = local
		q := m.withQuota(grantedFor(-time.Second), grantedFor(time.Minute), grantedFor(-time.Second), refusedAfter(time.Second, true))
		m.start(echoIdentity)
		for i, want := range []int{200, 503} {
			if got := m.do("GET", "/stock", "", "Authorization", "Bearer "+testKey); got.StatusCode != want {
				t.Errorf("local %v, call %d: got %d %s, want %d", local, i, got.StatusCode, got.body, want)
			}
		}
		if q.taken < 4 {
			t.Errorf("local %v: got %d tokens, want at least 4", local, q.taken)
		}
	}
	m := newMesh(t)
	m.start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("got a run after the token expired") }))
	for _, within := range []string{"0", "x"} {
		r := httptest.NewRequest("GET", "/stock", nil)
		for name, value := range map[string]string{HeaderCallID: "c", HeaderServer: "stock-0", HeaderTimeoutMS: "1000", HeaderRunWithin: within} {
			r.Header.Set(name, value)
		}
		w := httptest.NewRecorder()
		c := m.config
		c.Gate = m.gate
		NewGate(c).ServeHTTP(w, r)
		if w.Header().Get(HeaderReason) != reasonTokenExpired || w.Header().Get(HeaderNotRun) != "true" {
			t.Errorf("within %s: got %d %v", within, w.Code, w.Header())
		}
	}
}

// Guards against a retry of a call that may have run without a token of its own: the
// servers would run more calls than the quota has tokens.
func TestRepeatedRunNeedsToken(t *testing.T) {
	m := newMesh(t)
	var mu sync.Mutex
	runs := 0
	failing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		runs++
		w.WriteHeader(http.StatusInternalServerError)
	})
	q := m.withQuota(grantedFor(time.Minute), refusedAfter(time.Second, true))
	m.start(failing, failing)
	got := m.do("GET", "/stock", "", "Authorization", "Bearer "+testKey)
	if runs != 1 || q.taken < 2 || got.StatusCode == http.StatusTooManyRequests || got.Header.Get(HeaderNotRun) != "" {
		t.Errorf("got %s with %v after %d runs and %d tokens, want 1 run, 2 tokens and no claim that the call was not run", fmt.Sprint(got.StatusCode), got.Header, runs, q.taken)
	}
}
