package proxy

import (
	"context"
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

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/claim"
	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/route"
	"github.com/peridotlb/peridotlb/internal/version"
)

// mesh is an entry on host "entry" and one host with a gate per backend server.
type mesh struct {
	t             testing.TB
	service       document.Service
	routes        []document.Route
	organisations []document.Organisation
	keysRequired  bool
	table         atomic.Pointer[route.Table]
	unreadable    []string
	claims        Claims
	quotas        Quotas
	local         bool // the servers are on the host of the entry
	// serveGate serves the gate of another host; nil uses net/http, which reads a
	// request to its end before it responds.
	serveGate func(http.Handler) netip.AddrPort
	now       func() time.Time

	transports *Transports
	dialect    Dialect
	log        *zap.Logger

	backends []netip.AddrPort
	set      *metrics.Set
	events   []Event
	mu       sync.Mutex
	pool     *pool.Pool
	view     pool.View
	gate     *gate.Gate // of the entry, or of the first server's host
	entry    *httptest.Server
	config   Config // of the entry
}

func newMesh(t testing.TB) *mesh {
	return &mesh{
		t:       t,
		service: document.Service{Name: "stock", Slots: 9, Connections: 130},
		routes: []document.Route{
			{Name: "read", PathPrefix: "/stock", Service: "stock", Timeout: 5 * time.Second, Retries: 2},
			{Name: "refill", PathPrefix: "/refill", Service: "stock", Timeout: 5 * time.Second, Retries: 2, Paid: true},
		},
		claims: newReleaseCounter().claims(), set: metrics.NewSet(),
	}
}

func (m *mesh) recordEvent(e Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, e)
}

// start builds the mesh with a gate in front of each backend server.
func (m *mesh) start(servers ...http.Handler) *mesh {
	var rows []backend.Server
	for i, h := range servers {
		s := httptest.NewServer(h)
		m.t.Cleanup(s.Close)
		rows = append(rows, m.row(i, s))
		m.backends = append(m.backends, address(s))
	}
	return m.startRows(rows, nil)
}

func (m *mesh) services() []document.Service { return []document.Service{m.service} }

func (m *mesh) row(i int, s *httptest.Server) backend.Server {
	return backend.Server{
		ID: backend.ServerID(fmt.Sprintf("stock-%d", i)), Service: "stock", Host: host.ID(fmt.Sprintf("host-%d", i)),
		Addr: address(s), State: backend.Ready, Stamp: host.Stamp{Incarnation: 1, Sequence: 1},
	}
}

func address(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// setVersion puts the current routes and organisations in force as a version.
func (m *mesh) setVersion(n version.Number) {
	m.table.Store(route.FromDocument(n, document.Document{Sections: []document.Section{{Name: "s", Services: m.services(), Routes: m.routes, Organisations: m.organisations, KeysRequired: m.keysRequired, Unreadable: m.unreadable}}}))
}

// startRows builds the mesh. gates overrides the gate addresses of individual
// servers.
func (m *mesh) startRows(rows []backend.Server, gates map[backend.ServerID]netip.AddrPort) *mesh {
	services := m.services()
	m.setVersion(1)
	m.pool = pool.New(pool.Config{Self: "entry", Zone: "a", Region: "r", Now: m.now})
	base := Config{Transports: m.transports, Routes: m.table.Load, Claims: m.claims, Quotas: m.quotas, Events: m.recordEvent, Now: m.now, Dialect: m.dialect, Log: m.log}
	hosts := []host.Row{{ID: "entry", Zone: "a", Region: "r"}}
	for i, row := range rows {
		if m.local {
			rows[i].Host = "entry"
			continue
		}
		addr, ok := gates[row.ID]
		if !ok {
			c := base
			c.Self, c.Gate = row.Host, gate.New(gate.Config{Self: row.Host, Now: m.now})
			c.Gate.Update(services, rows)
			if m.gate == nil {
				m.gate = c.Gate
			}
			if m.serveGate != nil {
				addr = m.serveGate(NewGate(c))
			} else {
				s := httptest.NewServer(NewGate(c))
				m.t.Cleanup(s.Close)
				addr = address(s)
			}
		}
		hosts = append(hosts, host.Row{ID: row.Host, Zone: "a", Region: "r", GateAddr: addr})
	}
	m.view = pool.View{Services: services, Hosts: hosts, Servers: rows}
	m.pool.Update(m.view)
	c := base
	c.Self, c.Pool, c.Gate, c.Metrics = "entry", m.pool, gate.New(gate.Config{Self: "entry", Now: m.now}), m.set
	c.Gate.Update(services, rows)
	if m.local {
		m.gate = c.Gate
	}
	m.config = c
	m.entry = httptest.NewServer(NewEntry(c))
	m.t.Cleanup(m.entry.Close)
	return m
}

// response is a response whose body was read.
type response struct {
	*http.Response
	body string
	err  error // from reading the body
}

func (m *mesh) do(method, path, body string, header ...string) response {
	m.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, m.entry.URL+path, strings.NewReader(body))
	if err != nil {
		m.t.Fatal(err)
	}
	if len(body) > 4*bufferLimit {
		req.ContentLength = -1 // sent in chunks
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		m.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp, string(data), err}
}

// releaseCounter is a table that counts released claims.
type releaseCounter struct {
	*platform.Memory
	released atomic.Int64
}

func newReleaseCounter() *releaseCounter { return &releaseCounter{Memory: platform.NewMemory()} }

func (r *releaseCounter) claims() Claims {
	return claim.New(claim.Config{Table: r, BatchDelay: time.Microsecond})
}

func (r *releaseCounter) Commit(ctx context.Context, writes ...platform.Write) (platform.Result, error) {
	const released = 3 // state of a claim row
	for _, w := range writes {
		var row struct {
			State int `cbor:"1,keyasint"`
		}
		if cbor.Unmarshal(w.Value, &row) == nil && row.State == released {
			r.released.Add(1)
		}
	}
	return r.Memory.Commit(ctx, writes...)
}

// fixedClaims returns the same decision for every Take.
type fixedClaims struct{ decision claim.Decision }

func (f fixedClaims) Take(context.Context, claim.Key, claim.Fingerprint) (claim.Decision, error) {
	return f.decision, nil
}

// Guards against losing the method, path, headers or body of a call, locally and
// through a gate.
func TestCallReachesServer(t *testing.T) {
	for _, local := range []bool{false, true} {
		m := newMesh(t)
		m.local = local
		m.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Answer", r.Header.Get("X-Question"))
			if r.Header.Get("X-Hop") != "" {
				t.Error("hop-by-hop header was passed on")
			}
			fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
		}))
		for _, method := range []string{"GET", "POST", "DELETE"} {
			got := m.do(method, "/stock/a%2Fb?x=1", "beads", "X-Question", "42", "X-Hop", "1", "Connection", "X-Hop")
			if want := method + " /stock/a%2Fb?x=1 beads"; got.StatusCode != 200 || got.body != want {
				t.Errorf("got %d %q, want 200 %q", got.StatusCode, got.body, want)
			}
			if got.Header.Get("X-Answer") != "42" || got.Header.Get(HeaderCallID) == "" {
				t.Errorf("got headers %v, want X-Answer and a call id", got.Header)
			}
		}
	}
}

// Guards against load values that change on the way to the entry, and against
// parsing an unknown load header as a load.
func TestLoadHeader(t *testing.T) {
	type load struct {
		gate.Load
		gate.Forecast
	}
	for text, want := range map[string]load{
		"3/9":                {Load: gate.Load{InFlight: 3, Slots: 9}},
		"3/9;health=failing": {Load: gate.Load{InFlight: 3, Slots: 9, ProbeFailing: true}},
		"9/9;wait=0,40,120":  {Load: gate.Load{InFlight: 9, Slots: 9}, Forecast: gate.Forecast{Wait: waits(0, 40, 120)}},
		"9/9;hold=360;wait=40,40,50;health=failing": {
			Load:     gate.Load{InFlight: 9, Slots: 9, ProbeFailing: true},
			Forecast: gate.Forecast{Wait: waits(40, 40, 50), ExpectedSlotTime: 360 * time.Millisecond},
		},
		"9/9;wait=0,40,120;link=250;health=failing": {
			Load:     gate.Load{InFlight: 9, Slots: 9, ProbeFailing: true},
			Forecast: gate.Forecast{Wait: waits(0, 40, 120), LinkWait: 250 * time.Millisecond},
		},
		"": {}, "3/9;link=x": {}, "3": {}, "-3/9": {}, "3/9;other": {}, "3/9;wait=-1": {}, "3/9;hold=x": {}, "3/9;wait=1,x": {},
	} {
		var got load
		got.Load, got.Forecast = parseLoad(text)
		if got != want || want.Slots > 0 && formatLoad(got.Load, got.Forecast) != text {
			t.Errorf("%q: got %+v, written as %q, want %+v", text, got, formatLoad(got.Load, got.Forecast), want)
		}
	}
}

func waits(ms ...int) (w [gate.PriorityBands]time.Duration) {
	for i := range w {
		w[i] = time.Duration(ms[i]) * time.Millisecond
	}
	return w
}

// Guards against queue values that change on the way to the gate, and against
// parsing an unknown queue header as a queue position.
func TestQueueHeader(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, want := range []gate.Call{{}, {Priority: 2, Target: now.Add(350 * time.Millisecond), MaxWait: 120 * time.Millisecond, ExpectedRunTime: 55 * time.Millisecond}, {Target: now.Add(-time.Second), MaxWait: time.Millisecond, ExpectedRunTime: time.Millisecond}} {
		if got := parseQueue(formatQueue(want, now), now); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	for _, text := range []string{"", "1", "1,2", "1,2,3", "1,2,-3,4", "300,2,3,4", "1,x,3,4", "1,2,3,4,5"} {
		if got := parseQueue(text, now); got != (gate.Call{}) {
			t.Errorf("%q: got %+v, want none", text, got)
		}
	}
}

// freezeClock stops the clock of the mesh.
func (m *mesh) freezeClock() time.Time {
	now := time.Now()
	m.now = func() time.Time { return now }
	return now
}

// TestSpellingsOfAPath guards against two spellings of one path that reach different routes,
// and against a route that the server would not see in the path that it gets.
func TestSpellingsOfAPath(t *testing.T) {
	m := newMesh(t)
	m.routes = append(m.routes, document.Route{Name: "inner", PathPrefix: "/stock/inner/", LiteralPrefix: true, Service: "stock", Timeout: 5 * time.Second, Paid: true})
	m.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.RequestURI) }))
	// Calls of the inner route without an idempotency key get 400.
	for path, want := range map[string]int{
		"/stock/inner/x": 400, "/stock/%69nner/x": 400, "/stock/inner%2Fx": 200, "/stock%2finner/x": 404, "/stock/inner%5Cx": 200,
		"/stock/%2e%2e/inner/x": 400, "/stock/..%2finner/x": 400, "/stock/%252e%252e/x": 200, "/stock/inner%252Fx": 200, "/stock/a%20b": 200,
	} {
		conn, err := net.Dial("tcp", m.entry.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", path)
		text, _ := io.ReadAll(conn)
		_ = conn.Close()
		if got := string(text); !strings.HasPrefix(got, fmt.Sprint("HTTP/1.1 ", want)) || want == 200 && !strings.HasSuffix(got, path) {
			t.Errorf("%s: got %q, want %d, with the path unchanged at the server", path, got, want)
		}
	}
}

// TestLargeHeaderReachesOtherHosts guards against a header within the limit of the
// configuration that the gate of another host refuses.
func TestLargeHeaderReachesOtherHosts(t *testing.T) {
	limits := func() connection.Limits {
		l := connection.DefaultLimits()
		l.HeaderBytes = 128 << 10
		return l
	}
	m := newMesh(t)
	m.serveGate = func(h http.Handler) netip.AddrPort {
		return serveConnections(t, NewGateServer(ServerConfig{Handler: h, Limits: limits}, nil))
	}
	m.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, len(r.Header.Get("X-Large"))) }))
	for _, size := range []int{1 << 10, 100 << 10, 127 << 10} {
		if got := m.do("GET", "/stock", "", "X-Large", strings.Repeat("x", size)); got.StatusCode != http.StatusOK || got.body != fmt.Sprint(size) {
			t.Errorf("header of %d bytes: got %d %s, want 200", size, got.StatusCode, got.body)
		}
	}
}
