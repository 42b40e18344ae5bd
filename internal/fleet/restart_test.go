package fleet

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
)

// TestServerSurvivesRestarts guards against a backend server that is lost when
// the daemon of its host is restarted, planned or not, and against one that
// reappears after it is gone. All daemons are restarted in turn.
func TestServerSurvivesRestarts(t *testing.T) {
	for _, planned := range []bool{true, false} {
		n := newSimNetwork(t, 19, 3, nil)
		n.advance(5 * time.Second)
		for i, h := range n.hosts {
			s := backend.Server{ID: backend.ServerID(h.row.ID), Service: "bead-stock", State: backend.Ready, Started: 1}
			if i == 0 {
				s.State = backend.Gone
			}
			n.schedule(h, 0, ServerAnnounced{Server: s})
		}
		n.advance(5 * time.Second)
		for _, h := range n.hosts {
			if planned {
				n.schedule(h, 0, ShutdownRequested{})
				n.advance(time.Second)
			}
			n.stop(h)
			n.advance(600 * time.Millisecond)
			n.start(h)
			n.advance(time.Second)
			for _, other := range n.hosts {
				ready := 0
				for _, s := range other.core.Servers() {
					if s.State == backend.Ready {
						ready++
					}
				}
				if want := len(n.hosts) - 1; ready != want {
					t.Errorf("planned %t, 1 s after %s was restarted: %s knows %d ready servers, want %d", planned, h.row.ID, other.row.ID, ready, want)
				}
			}
		}
	}
}

// TestReusedControlAddress guards against a host that stays alive in the tables
// although another host has its address, because it was replaced or its record
// is stale.
func TestReusedControlAddress(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	addr := netip.MustParseAddrPort("10.0.0.9:7000")
	self := host.Row{ID: "self", Zone: "a", Region: "r", ControlAddr: netip.MustParseAddrPort("10.0.0.1:7000")}
	old := host.Row{ID: "old", Zone: "a", Region: "r", ControlAddr: addr, Stamp: host.Stamp{Incarnation: 5}}
	next := host.Row{ID: "next", Zone: "a", Region: "r", ControlAddr: addr, Stamp: host.Stamp{Incarnation: 9}}
	live := func(c *Core) (ids []host.ID) {
		for _, h := range c.Hosts() {
			if h.State <= host.Suspect {
				ids = append(ids, h.ID)
			}
		}
		slices.Sort(ids)
		return ids
	}
	want := []host.ID{"next", "self"}
	replaced := New(Config{Self: self, Started: now})
	for _, row := range []host.Row{old, next} {
		replaced.Step(now, MessageReceived{From: addr, Message: message.RowUpdate{Hosts: []host.Row{row}}})
	}
	if got := live(replaced); !slices.Equal(got, want) {
		t.Errorf("replaced: got live hosts %v, want %v", got, want)
	}
	stale := New(Config{Self: self, Started: now})
	stale.Step(now, MessageReceived{From: addr, Message: message.RowUpdate{Hosts: []host.Row{next}}})
	stale.Step(now, ReadRecordsResult{Records: []HostRecord{{Host: old}, {Host: host.Row{ID: "mine", Zone: "a", Region: "r", ControlAddr: self.ControlAddr}}}})
	if got := live(stale); !slices.Equal(got, want) {
		t.Errorf("stale records: got live hosts %v, want %v", got, want)
	}
	late := New(Config{Self: self, Started: now})
	late.Step(now, ReadRecordsResult{Records: []HostRecord{{Host: old}}})
	late.Step(now, MessageReceived{From: addr, Message: message.RowUpdate{Hosts: []host.Row{next}}})
	if got := live(late); !slices.Equal(got, want) {
		t.Errorf("record read first: got live hosts %v, want %v", got, want)
	}
}
