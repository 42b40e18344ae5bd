package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/organisation"
	"github.com/peridotlb/peridotlb/internal/pool"
)

const testKey = "k3y-of-the-bead-house"

// withOrganisation adds an organisation and a public route. The gates fail the test if
// a request carries a key, unless it is forwarded to an entry.
func (m *mesh) withOrganisation() *mesh {
	priority := uint8(7)
	m.organisations = []document.Organisation{{Name: "Bead_House", KeyDigests: []document.KeyDigest{organisation.DigestOf(testKey)}, Priority: &priority}}
	m.routes[0].Target = time.Second
	m.routes = append(m.routes, document.Route{Name: "open", PathPrefix: "/open", Service: "stock", Timeout: 5 * time.Second, Public: true, Priority: 3, Target: time.Second})
	m.dialect.Organisation = "X-Tenant"
	return m
}

// echoIdentity responds with what a server learns of the caller, in headers and
// trailers.
var echoIdentity = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	fmt.Fprintf(w, "%q %q %q %q", r.Header["X-Tenant"], r.Header["Authorization"], r.Trailer["X-Tenant"], r.Trailer["Authorization"])
})

// Guards against a call that runs without a valid key, against a key or a forged
// organisation that reaches a server, and against a key in a log line, an event, a
// metric or a response.
func TestOrganisationOfCall(t *testing.T) {
	for _, local := range []bool{false, true} {
		m := newMesh(t).withOrganisation()
		var logs bytes.Buffer
		m.log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&logs), zapcore.DebugLevel))
		m.local = local
		m.serveGate = func(h http.Handler) netip.AddrPort {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				want := map[bool]string{true: "3", false: "7"}[r.URL.Path == "/open"]
				if got, _, _ := strings.Cut(r.Header.Get(HeaderQueue), ","); got != want {
					t.Errorf("%s: got priority %q at the gate, want %q", r.URL.Path, got, want)
				}
				if got := fmt.Sprint(r.Header); strings.Contains(got, testKey) {
					t.Errorf("%s: got a key between daemons: %s", r.URL.Path, got)
				}
				h.ServeHTTP(w, r)
			}))
			t.Cleanup(s.Close)
			return address(s)
		}
		m.start(echoIdentity)
		for _, c := range []struct {
			path, credentials, connection string
			status                        int
			want                          string
		}{
			{"/stock", "Bearer " + testKey, "", 200, `["Bead_House"] [] [] []`},
			{"/stock", "bearer  " + testKey, "Authorization", 200, `["Bead_House"] [] [] []`},
			{"/stock", "Bearer " + testKey + "x", "", 401, ""},
			{"/stock", "Bearer " + testKey[:5], "", 401, ""},
			{"/stock", testKey, "", 401, ""},
			{"/stock", "", "", 401, ""},
			{"/elsewhere", "Bearer x", "", 401, ""},
			{"/elsewhere", "Bearer " + testKey, "", 404, ""},
			{"/open", "", "", 200, `[] [] [] []`},
			{"/open", "Bearer " + testKey, "", 200, `[] [] [] []`},
			{"/open", "Bearer removed", "", 200, `[] [] [] []`},
			{"/open", "Basic abc", "", 200, `[] ["Basic abc"] [] []`},
		} {
			header := []string{"X-Tenant", "forged", "Connection", c.connection}
			if c.credentials != "" {
				header = append(header, "Authorization", c.credentials)
			}
			got := m.do("GET", c.path, "", header...)
			if got.StatusCode != c.status || c.status == 200 && got.body != c.want {
				t.Errorf("%s with %q: got %d %s, want %d %s", c.path, c.credentials, got.StatusCode, got.body, c.status, c.want)
			}
			if unauthorised := c.status == 401; unauthorised != (got.Header.Get("WWW-Authenticate") == "Bearer") {
				t.Errorf("%s with %q: got %d with header %v", c.path, c.credentials, got.StatusCode, got.Header)
			}
			if strings.Contains(got.body, testKey) {
				t.Errorf("%s: got a response that holds the key: %s", c.path, got.body)
			}
		}
		var text bytes.Buffer
		m.set.WritePrometheus(&text)
		if all := text.String() + logs.String() + fmt.Sprint(m.events); strings.Contains(all, testKey) {
			t.Errorf("got a key in a log line, event or metric: %s", all)
		}
	}
}

// TestLastOrganisationIsRemoved guards against a version that requires keys, has no
// organisation any more and lets every call with a removed, unknown or missing key run.
func TestLastOrganisationIsRemoved(t *testing.T) {
	m := newMesh(t).withOrganisation()
	m.organisations, m.keysRequired = nil, true
	m.start(echoIdentity)
	for _, c := range []struct {
		path, credentials string
		status            int
	}{
		{"/stock", "Bearer " + testKey, 401},
		{"/stock", "Bearer x", 401},
		{"/stock", "", 401},
		{"/open", "Bearer " + testKey, 200},
	} {
		got := m.do("GET", c.path, "", "Authorization", c.credentials)
		if got.StatusCode != c.status || strings.Contains(got.body, testKey) {
			t.Errorf("%s with %q: got %d %s, want %d without the key", c.path, c.credentials, got.StatusCode, got.body, c.status)
		}
	}
}

// TestQueuedCallOfRemovedKey guards against a call that waits for a slot while its key is
// removed, and runs afterwards.
func TestQueuedCallOfRemovedKey(t *testing.T) {
	for _, local := range []bool{false, true} {
		for _, removed := range []bool{true, false} {
			running, release := make(chan struct{}, 2), make(chan struct{})
			var runs atomic.Int64
			m := newMesh(t).withOrganisation()
			m.local, m.service.Slots = local, 1
			m.start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				runs.Add(1)
				running <- struct{}{}
				<-release
			}))
			key := []string{"Authorization", "Bearer " + testKey}
			var calls sync.WaitGroup
			calls.Go(func() { m.do("GET", "/stock/first", "", key...) })
			<-running
			var got response
			calls.Go(func() { got = m.do("GET", "/stock/second", "", key...) })
			for m.set.GetOrCreateGauge(`peridotlb_in_flight{side="entry"}`, nil).Get() < 2 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond) // until it is in the queue of the gate
			want, wantRuns := http.StatusOK, int64(2)
			if removed {
				m.organisations[0].KeyDigests = nil
				want, wantRuns = http.StatusUnauthorized, 1
			}
			m.setVersion(2)
			close(release)
			calls.Wait()
			if got.StatusCode != want || runs.Load() != wantRuns {
				t.Errorf("local %t, key removed %t: got %d after %d runs, want %d after %d", local, removed, got.StatusCode, runs.Load(), want, wantRuns)
			}
			if removed && got.Header.Get(HeaderNotRun) != "true" {
				t.Errorf("local %t: got %v, want the not-run header", local, got.Header)
			}
		}
	}
}

// TestUnreadableEntryRefusesCalls guards against a call whose route or key may be an entry
// of the version that can't be read, and that runs by another route, gets 404, or is told
// that its key is not valid.
func TestUnreadableEntryRefusesCalls(t *testing.T) {
	for _, c := range []struct {
		path, credentials string
		unplaced          []string
		status            int
	}{
		{"/stock/odd/x", "Bearer " + testKey, nil, 503}, // not the route of /stock
		{"/stock/x", "Bearer " + testKey, nil, 200},
		{"/elsewhere", "Bearer " + testKey, nil, 404},
		{"/elsewhere", "Bearer " + testKey, []string{"route in row 3"}, 503},
		{"/stock/x", "Bearer unknown", nil, 401},
		{"/stock/x", "Bearer unknown", []string{"tenant in row 3"}, 503},
		{"/stock/x", "", []string{"tenant in row 3"}, 401},
		{"/stock/x", "Bearer " + testKey, []string{"tenant in row 3"}, 200},
	} {
		m := newMesh(t).withOrganisation()
		m.routes = append(m.routes, document.Route{Name: "odd", PathPrefix: "/stock/odd/", Unreadable: "field kind"})
		m.unreadable = c.unplaced
		m.start(echoIdentity)
		got := m.do("GET", c.path, "", "Authorization", c.credentials)
		if got.StatusCode != c.status {
			t.Errorf("%s with %q, unplaced %q: got %d, want %d", c.path, c.credentials, c.unplaced, got.StatusCode, c.status)
		}
		if got.StatusCode == 503 && (got.Header.Get(HeaderNotRun) != "true" || got.Header.Get("Retry-After") == "") {
			t.Errorf("%s: got %v, want a refusal with the not-run and Retry-After headers", c.path, got.Header)
		}
	}
}

// Guards against trailers that name an organisation or hold a key, which servers may
// merge into the header, whether they are announced or not.
func TestTrailersCarryNoIdentity(t *testing.T) {
	m := newMesh(t).withOrganisation().start(echoIdentity)
	for _, size := range []int{1, 3 * bufferLimit} {
		for _, announced := range []string{"", "Trailer: X-Tenant, Authorization\r\n"} {
			conn, err := net.Dial("tcp", m.entry.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "POST /stock HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Tenant: forged\r\nAuthorization: Bearer %s\r\n\r\n", testKey, announced, size, strings.Repeat("x", size), testKey)
			got, _ := io.ReadAll(conn)
			_ = conn.Close()
			if want := `["Bead_House"] [] [] []`; !strings.Contains(string(got), want) {
				t.Errorf("size %d, announced %q: got %s, want %s", size, announced, got, want)
			}
		}
	}
}

// Guards against reading the body of a call that is refused for its key.
func TestUnauthorisedBodyIsNotRead(t *testing.T) {
	m := newMesh(t).withOrganisation().start(echoIdentity)
	r := httptest.NewRequest("POST", "/stock", io.NopCloser(bodyReaderFunc(func([]byte) (int, error) {
		t.Error("got a read of the body, want none")
		return 0, io.EOF
	})))
	w := httptest.NewRecorder()
	NewEntry(m.config).ServeHTTP(w, r)
	if w.Code != http.StatusUnauthorized {
		t.Errorf("got %d, want 401", w.Code)
	}
}

type bodyReaderFunc func([]byte) (int, error)

func (f bodyReaderFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a forged organisation where the configuration has none, and against
// withholding Authorization there, which belongs to the servers then.
func TestNoOrganisations(t *testing.T) {
	for dialect, header := range map[string]string{"X-Tenant": "X-Tenant", "": HeaderOrganisation} {
		m := newMesh(t)
		m.dialect.Organisation = dialect
		m.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, "%q %q", r.Header[header], r.Header["Authorization"])
		}))
		got := m.do("GET", "/stock", "", header, "forged", "Authorization", "Bearer x")
		if want := `[] ["Bearer x"]`; got.body != want {
			t.Errorf("header %s: got %s, want %s", header, got.body, want)
		}
	}
}

// Guards against a daemon without a version that loses the key, lets a caller name its
// organisation, or passes calls on that the other daemon must refuse.
func TestForwardedCallIsAuthenticated(t *testing.T) {
	var asked atomic.Int64
	m := newMesh(t).withOrganisation().start(echoIdentity)
	gate := m.gateOf(m.config, &asked)
	hosts := m.view.Hosts
	hosts[0].GateAddr = gate
	p := pool.New(pool.Config{Self: "new", Zone: "a", Region: "r"})
	p.Update(pool.View{Hosts: hosts[:1]})
	m.entry = httptest.NewServer(NewEntry(Config{Self: "new", Pool: p, Dialect: m.dialect}))
	t.Cleanup(m.entry.Close)
	for credentials, want := range map[string]string{"Bearer " + testKey: `200 ["Bead_House"] [] [] []`, "Bearer x": "401 "} {
		got := m.do("GET", "/stock", "", "Authorization", credentials, "X-Tenant", "forged", "Connection", "Authorization")
		if text := fmt.Sprint(got.StatusCode, " ", got.body); !strings.HasPrefix(text, want) || got.StatusCode == 401 && got.Header.Get("WWW-Authenticate") == "" {
			t.Errorf("%s: got %s %v, want %s", credentials, text, got.Header, want)
		}
	}
	if asked.Load() != 2 {
		t.Errorf("got %d forwarded calls, want 2", asked.Load())
	}
}

// Guards against organisations that choose the same idempotency key and get each
// other's responses.
func TestClaimsAreSeparateByOrganisation(t *testing.T) {
	m := newMesh(t).withOrganisation()
	m.organisations = append(m.organisations, document.Organisation{Name: "other", KeyDigests: []document.KeyDigest{organisation.DigestOf("b")}})
	m.start(echoIdentity)
	for _, idempotencyKey := range []string{"k", strings.Repeat("k", maxKeyBytes)} {
		for _, key := range []string{testKey, "b", testKey} {
			got := m.do("POST", "/refill", "", "Authorization", "Bearer "+key, headerIdempotencyKey, idempotencyKey)
			want := map[string]string{testKey: "Bead_House", "b": "other"}[key]
			if got.StatusCode != 200 || !strings.Contains(got.body, want) {
				t.Errorf("got %d %s, want the response to %s", got.StatusCode, got.body, want)
			}
		}
	}
}
