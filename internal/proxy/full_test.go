package proxy

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// Guards against a call that keeps asking a gate that has no room: with few
// servers left, such calls take the processor time of the host that is needed most.
func TestFullGateIsAskedTwiceAtMost(t *testing.T) {
	for _, servers := range []int{1, 3} {
		var asked atomic.Int64
		full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			w.Header().Set(HeaderCallID, r.Header.Get(HeaderCallID))
			w.Header().Set(HeaderLoad, "9/9;hold=20;wait=1,1,1")
			w.Header().Set(HeaderNotRun, "true")
			w.Header().Set(HeaderReason, reasonServerFull)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(full.Close)
		m := newMesh(t)
		m.routes[0].Target = 300 * time.Millisecond
		var rows []backend.Server
		gates := map[backend.ServerID]netip.AddrPort{}
		for i := range servers {
			row := m.row(i, full)
			rows = append(rows, row)
			gates[row.ID] = address(full)
		}
		m.startRows(rows, gates)
		if r := m.do("GET", "/stock", ""); r.StatusCode != http.StatusServiceUnavailable || r.Header.Get(HeaderNotRun) != "true" {
			t.Errorf("%d servers: got %d, want a refusal that says not run", servers, r.StatusCode)
		}
		if got := asked.Load(); got < int64(servers) || got > int64(2*servers) {
			t.Errorf("%d servers: got %d questions, want %d to %d", servers, got, servers, 2*servers)
		}
	}
}
