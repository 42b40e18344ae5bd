package proxy

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/gate"
)

// TestLimitHeader guards against a limit that is read from a value that is not a
// decimal number, and against one of another server at the same address.
func TestLimitHeader(t *testing.T) {
	for value, want := range map[string]float64{"12.5": 12.5, "0": 0, "0.25": 0.25, "1000000": 1e6} {
		if got, err := (Dialect{}).notice(http.Header{HeaderLimit: {value}}); err != nil || got != (gate.Notice{Limited: true, Limit: want}) {
			t.Errorf("limit %q: got %+v, %v, want %v", value, got, err, want)
		}
	}
	huge := strings.Repeat("9", 400)
	for _, values := range [][]string{{"-1"}, {"+1"}, {"NaN"}, {"Inf"}, {"1e3"}, {"0x10"}, {"1_0"}, {"1,5"}, {""}, {"many"}, {"1000000.5"}, {huge}, {"1", "2"}} {
		if got, err := (Dialect{}).notice(http.Header{HeaderLimit: values}); err == nil || got != (gate.Notice{}) {
			t.Errorf("limit %.40q: got %+v, %v, want an error only", values, got, err)
		}
	}
}

// TestLimitIsLogged guards against limits that begin, change, end or can't be read
// without a log line, and against a line for each response.
func TestLimitIsLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	var limit string
	m := newMesh(t)
	m.log = zap.New(core)
	m.start(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if limit != "" {
			w.Header().Set(HeaderLimit, limit)
		}
	}))
	for _, step := range []struct{ limit, want string }{
		{"", ""},
		{"50", "A backend server limits its calls."},
		{"50", ""},
		{"-50", "Ignored the limit of a backend server."},
		{"1e999", ""},
		{"50", ""},
		{"40.5", "A backend server limits its calls."},
		{"nothing", "Ignored the limit of a backend server."},
		{"", "A backend server no longer limits its calls."},
		{"", ""},
	} {
		limit = step.limit
		if r := m.do("GET", "/stock", ""); r.StatusCode != http.StatusOK {
			t.Errorf("limit %q: got status %d %s, want 200", step.limit, r.StatusCode, r.body)
		}
		var got []string
		for _, e := range logs.TakeAll() {
			got = append(got, e.Message)
		}
		if strings.Join(got, " ") != step.want {
			t.Errorf("limit %q: got lines %q, want %q", step.limit, got, step.want)
		}
	}
}

// TestLeavingHeader guards against calls to a server that has stated in a response
// that it leaves, also at an entry whose own gate is not the server's.
func TestLeavingHeader(t *testing.T) {
	for _, local := range []bool{true, false} {
		core, logs := observer.New(zapcore.InfoLevel)
		m := newMesh(t)
		m.local, m.log = local, zap.New(core)
		calls := 0
		m.start(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if calls++; calls == 2 {
				w.Header().Set(HeaderLeaving, "1")
			}
		}))
		for call, want := range []int{http.StatusOK, http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable} {
			if r := m.do("GET", "/stock", ""); r.StatusCode != want {
				t.Errorf("local %v, call %d: got status %d, want %d", local, call, r.StatusCode, want)
			}
		}
		if got, want := calls, 2; got != want {
			t.Errorf("local %v: got %d calls at the server, want %d", local, got, want)
		}
		for _, text := range []string{"A backend server of this host leaves and gets no more calls.", "A backend server leaves and gets no more calls from this host."} {
			if got := logs.FilterMessage(text).Len(); got != 1 {
				t.Errorf("local %v: got %d lines %q, want 1", local, got, text)
			}
		}
	}
}

// TestEntryTellsGateTheLimit guards against a gate that has forgotten the limit of
// its server and learns it from no entry, and against a caller that names one.
func TestEntryTellsGateTheLimit(t *testing.T) {
	var got []string
	fake := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Header.Get(HeaderNoticedLimit))
		w.Header().Set(HeaderCallID, r.Header.Get(HeaderCallID))
		if len(got) != 3 {
			w.Header().Set(HeaderLimit, "2.5")
		}
	}))
	t.Cleanup(fake.Close)
	m := newMesh(t)
	m.startRows([]backend.Server{m.row(0, fake)}, map[backend.ServerID]netip.AddrPort{"stock-0": address(fake)})
	for range 4 {
		m.do("GET", "/stock", "", HeaderNoticedLimit, "7")
	}
	if want := []string{"", "2.5", "2.5", ""}; !slices.Equal(got, want) {
		t.Errorf("got limits %q at the gate, want %q", got, want)
	}
}

// TestGateAdoptsLimitOfEntry guards against a gate that ignores the limit that an
// entry knows.
func TestGateAdoptsLimitOfEntry(t *testing.T) {
	m := newMesh(t).start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("got a call at the server, want none")
	}))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+m.view.Hosts[1].GateAddr.String()+"/stock", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{HeaderCallID: "1", HeaderServer: "stock-0", HeaderTimeoutMS: "1000", HeaderNoticedLimit: "0.5"} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderReason); got != reasonServerLimited {
		t.Errorf("got reason %q, want %q", got, reasonServerLimited)
	}
}
