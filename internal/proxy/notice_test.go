package proxy

import (
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

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
			t.Errorf("limit %q: got status %d, want 200", step.limit, r.StatusCode)
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
