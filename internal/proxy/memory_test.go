package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/connection"
)

// Guards against a call that fails, or has an unknown outcome, because the gate that was
// asked first has no memory for it: it was not run and can be sent to another gate, also
// on a route that must not run it twice.
func TestRefusalForMemoryIsRetriedElsewhere(t *testing.T) {
	memories := map[string]*connection.Memory{
		"too costly": connection.NewMemory(connection.MemoryConfig{Limit: 40 << 10}),
		"memory":     connection.NewMemory(connection.MemoryConfig{Limit: 100 << 10}),
	}
	for name, memory := range memories {
		m := newMesh(t)
		m.routes[0].AtMostOnce, m.routes[0].Retries = true, 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }))
		t.Cleanup(server.Close)
		full := serveConnections(t, NewGateServer(ServerConfig{
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Errorf("%s: a refused call reached the handler", name) }),
			Memory:  memory,
		}, nil))
		if name == "memory" {
			holdMemory(t, full, memory)
		}
		rows := []backend.Server{m.row(0, server), m.row(1, server)}
		m.startRows(rows, map[backend.ServerID]netip.AddrPort{rows[0].ID: full})
		for range 20 {
			if r := m.do("POST", "/stock", "body"); r.StatusCode != http.StatusOK || r.body != "done" {
				t.Errorf("%s: got %d %q, want 200 done", name, r.StatusCode, r.body)
			}
		}
		if memory.Refused(connection.RequestTooCostly)+memory.Refused(connection.ConnectionAtLimit) == 0 {
			t.Errorf("%s: the full gate was not asked", name)
		}
	}
}

// holdMemory sends a request whose body does not arrive.
func holdMemory(t *testing.T, addr netip.AddrPort, memory *connection.Memory) {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, head(100)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); memory.Use().Used < 25<<10; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request holds no memory")
		}
	}
}

// Guards against a refusal for lack of memory at the entry that lacks what callers need
// to repeat the call safely.
func TestRefusalForMemoryAtEntry(t *testing.T) {
	memory := connection.NewMemory(connection.MemoryConfig{Limit: 100 << 10})
	addr := serveConnections(t, NewEntryServer(ServerConfig{Handler: http.NotFoundHandler(), Memory: memory}))
	holdMemory(t, addr, memory)
	r, err := http.Post("http://"+addr.String()+"/stock", "text/plain", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get(HeaderNotRun) != "true" || r.Header.Get("Retry-After") != "1.00" {
		t.Errorf("got %d %v, want 503 with the not-run header and Retry-After", r.StatusCode, r.Header)
	}
}
