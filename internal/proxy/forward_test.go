package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/pool"
)

// withoutVersion replaces the entry by one that has no configuration version and
// knows the given daemons, from the nearest to the farthest.
func (m *mesh) withoutVersion(daemons ...netip.AddrPort) {
	hosts := []host.Row{{ID: "near", Zone: "a", Region: "r"}, {ID: "region", Zone: "b", Region: "r"}, {ID: "far", Zone: "c", Region: "s"}}
	for i, addr := range daemons {
		hosts[i].GateAddr = addr
	}
	p := pool.New(pool.Config{Self: "new", Zone: "a", Region: "r"})
	p.Update(pool.View{Hosts: hosts[:len(daemons)]})
	c := Config{Self: "new", Pool: p, ShutdownDeadline: m.config.ShutdownDeadline}
	m.entry = httptest.NewServer(NewEntry(c))
	m.t.Cleanup(m.entry.Close)
}

// gateOf starts the gate listener of a daemon, counts its calls and returns its
// address.
func (m *mesh) gateOf(c Config, calls *atomic.Int64) netip.AddrPort {
	h := NewGate(c)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h.ServeHTTP(w, r)
	}))
	m.t.Cleanup(s.Close)
	return address(s)
}

// Guards against refusing calls at a daemon without a version while another has
// one, against forwarded paid calls that run twice or without a claim, and against
// accepting the forwarded header from callers or passing it to servers.
func TestForwardWithoutVersion(t *testing.T) {
	var runs, asked, passed atomic.Int64
	m := newMesh(t).start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		fmt.Fprint(w, r.Method, r.Header.Get(HeaderForwarded))
	}))
	none := m.gateOf(Config{Self: "near", Pool: pool.New(pool.Config{})}, &asked)
	m.withoutVersion(none, m.gateOf(m.config, &passed))
	for i, c := range []struct {
		method, path, key string
		status            int
		runs              int64
		replayed          string
	}{
		{"GET", "/stock", "", 200, 1, ""},
		{"POST", "/refill", "k", 200, 2, ""},
		{"POST", "/refill", "k", 200, 2, "true"},
		{"POST", "/refill", "", 400, 2, ""},
		{"GET", "/elsewhere", "", 404, 2, ""},
	} {
		got := m.do(c.method, c.path, "", headerIdempotencyKey, c.key, HeaderForwarded, "true", "Connection", headerIdempotencyKey)
		if got.StatusCode != c.status || runs.Load() != c.runs || got.Header.Get(HeaderReplayed) != c.replayed || got.Header.Get(HeaderReason) != "" {
			t.Errorf("case %d: got %d %v %s after %d runs, want %d after %d", i, got.StatusCode, got.Header, got.body, runs.Load(), c.status, c.runs)
		}
		if c.status == 200 && got.body != c.method {
			t.Errorf("case %d: got %q, want %q", i, got.body, c.method)
		}
	}
	if asked.Load() != 1 || passed.Load() != 5 {
		t.Errorf("got %d calls at the daemon without a version and %d at the other, want 1 and 5", asked.Load(), passed.Load())
	}
}

// Guards against forwarding calls in circles among daemons without a version, and
// against refusing them without the not-run header.
func TestForwardHasOneHop(t *testing.T) {
	var asked atomic.Int64
	m := newMesh(t).start()
	p := pool.New(pool.Config{Self: "near"})
	c := Config{Self: "near", Pool: p}
	addr := m.gateOf(c, &asked)
	p.Update(pool.View{Hosts: []host.Row{{ID: "region", GateAddr: addr}, {ID: "far", GateAddr: addr}}})
	m.withoutVersion(addr, addr, closedPort(t))
	for range 3 {
		got := m.do("GET", "/stock", "")
		if got.StatusCode != 503 || got.Header.Get(HeaderNotRun) != "true" {
			t.Errorf("got %d %v, want 503 with the not-run header", got.StatusCode, got.Header)
		}
	}
	if asked.Load() != 2 {
		t.Errorf("got %d forwarded calls, want one to each of two daemons", asked.Load())
	}
}

// Guards against resending a call after the daemon that received it died, with or
// without an idempotency key: the forwarding daemon does not know whether the route
// allows a call to run twice.
func TestDaemonDiesAfterForward(t *testing.T) {
	for _, key := range []string{"", "k"} {
		for _, reused := range []bool{false, true} {
			var sent, passed atomic.Int64
			m := newMesh(t).start(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
			dying := rawServer(t, func(n int64, r *http.Request, conn net.Conn) bool {
				if reused && n == 1 {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderCallID, r.Header.Get(HeaderCallID))
					return true
				}
				sent.Add(1)
				return false
			})
			m.withoutVersion(closedPort(t), dying, m.gateOf(m.config, &passed))
			if reused {
				if got := m.do("GET", "/stock", ""); got.StatusCode != 200 {
					t.Fatalf("first call: got %d %v, want 200", got.StatusCode, got.Header)
				}
			}
			got := m.do("GET", "/stock", "", headerIdempotencyKey, key)
			if sent.Load() != 1 || passed.Load() != 0 || got.StatusCode != 502 || got.Header.Get(HeaderOutcome) != "unknown" {
				t.Errorf("key %q, reused %v: got %d %v, %d calls at the dying daemon and %d at the next", key, reused, got.StatusCode, got.Header, sent.Load(), passed.Load())
			}
		}
	}
}
