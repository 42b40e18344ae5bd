package fleet

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
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

// TestPeersKeepDepartures guards against a late announcement that brings a server
// back at a restarted daemon, which can't read its record, although the other daemons
// know that the server has left.
func TestPeersKeepDepartures(t *testing.T) {
	for _, state := range []backend.State{backend.Draining, backend.Gone} {
		for _, planned := range []bool{true, false} {
			n := newSimNetwork(t, 23, 2, nil)
			n.advance(5 * time.Second)
			h := n.hosts[1]
			if planned {
				n.configure = func(c *Config) { c.Peers = []netip.AddrPort{n.hosts[0].row.ControlAddr} }
			}
			s := backend.Server{ID: "s", Service: "bead-stock", State: state, Started: 1, Sequence: 5}
			n.schedule(h, 0, ServerAnnounced{Server: s})
			n.advance(5 * time.Second)
			n.tableDown = true
			if planned {
				n.schedule(h, 0, ShutdownRequested{})
				n.advance(time.Second)
			}
			n.stop(h)
			n.advance(600 * time.Millisecond)
			n.start(h)
			late := s
			late.State, late.Sequence = backend.Ready, 4
			n.schedule(h, 0, ServerAnnounced{Server: late})
			n.advance(5 * time.Second)
			for _, other := range n.hosts {
				if got := other.core.servers.rows["s"].State; got != state {
					t.Errorf("planned %t: got state %v at %s, want %v", planned, got, other.row.ID, state)
				}
			}
		}
	}
}

// TestRecordIsRestoredBeforeItIsWritten guards against a late announcement that
// replaces a stored departure in the record of a restarted daemon.
func TestRecordIsRestoredBeforeItIsWritten(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self := host.Row{ID: "self", Zone: "a", Region: "r", ControlAddr: netip.MustParseAddrPort("10.0.0.1:7000")}
	c := New(Config{Self: self, Started: now})
	step := func(e Event) (effects []Effect) {
		now = now.Add(10 * time.Millisecond)
		return c.Step(now, e)
	}
	written := func(effects []Effect) (rows []backend.Server, confirmed bool) {
		for _, e := range effects {
			switch e := e.(type) {
			case WriteRecord:
				rows = e.Record.Servers
			case ConfirmTicket:
				confirmed = true
			}
		}
		return rows, confirmed
	}
	late := backend.Server{ID: "s", Service: "bead-stock", State: backend.Ready, Started: 1, Sequence: 4}
	gone := backend.Server{ID: "s", Service: "bead-stock", Host: "self", State: backend.Gone, Started: 1, Sequence: 5}
	step(Tick{})
	step(ServerAnnounced{Server: late, Ticket: 1})
	effects := step(ReadRecordsResult{Records: []HostRecord{{Host: self, Servers: []backend.Server{gone}}}})
	restored := false
	for _, e := range effects {
		if r, ok := e.(RestoreServers); ok {
			restored = slices.Equal(r.Servers, []backend.Server{gone})
		}
	}
	if !restored {
		t.Errorf("got effects %v, want the server restored as gone", effects)
	}
	for _, e := range [][]Effect{effects, step(Tick{}), step(ServerAnnounced{Server: gone, Ticket: 2})} {
		if rows, confirmed := written(e); rows != nil || confirmed {
			t.Errorf("before the end of the restore: got %v written, confirmed %t", rows, confirmed)
		}
	}
	if rows, confirmed := written(step(ServersRestored{})); len(rows) > 0 && rows[0].State != backend.Gone || !confirmed && rows == nil {
		t.Errorf("after the restore: got %v written, confirmed %t, want the server gone", rows, confirmed)
	}
}

// TestRecordIsRewrittenInNewEra guards against a departure that was stored and
// acknowledged, and that the platform table forgets when it comes back from an older
// copy, on hosts that read the table and on those that learn of it from others.
func TestRecordIsRewrittenInNewEra(t *testing.T) {
	for _, reads := range []bool{true, false} {
		now := time.Unix(1_800_000_000, 0)
		self := host.Row{ID: "self", Zone: "a", Region: "r", ControlAddr: netip.MustParseAddrPort("10.0.0.1:7000")}
		c := New(Config{Self: self, Started: now})
		var written []HostRecord
		step := func(e Event) {
			now = now.Add(10 * time.Millisecond)
			for _, effect := range c.Step(now, e) {
				if w, ok := effect.(WriteRecord); ok {
					written = append(written, w.Record)
					c.Step(now, WriteRecordResult{Record: w.Record, Ticket: w.Ticket})
				}
			}
		}
		wait := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); {
				step(Tick{})
			}
		}
		learn := func(era, sequence uint64) {
			p := version.NewPosition(era, sequence)
			if reads {
				step(ReadHeadResult{Position: p})
				return
			}
			step(MessageReceived{From: netip.MustParseAddrPort("10.0.0.2:7000"), Message: message.HeadConfirmation{Position: p}})
		}
		step(Tick{})
		step(ReadRecordsResult{})
		step(ServerAnnounced{Server: backend.Server{ID: "s", Service: "bead-stock", State: backend.Gone, Started: 1, Sequence: 5}, Ticket: 1})
		learn(3, 500)
		wait(2 * time.Second)
		written = nil
		learn(3, 510)
		wait(2 * time.Second)
		if len(written) > 0 {
			t.Errorf("reads %t, same era: got %d writes, want none", reads, len(written))
		}
		learn(4, 480)
		wait(2 * time.Second)
		if len(written) != 1 || len(written[0].Servers) != 1 || written[0].Servers[0].State != backend.Gone {
			t.Errorf("reads %t, new era: got %v written, want the record with the departure once", reads, written)
		}
	}
}

// TestOwnRowsAreNotRestored guards against a daemon that takes a row which it published
// itself, before a refutation, for one of an earlier run, and withdraws a server that
// has returned since.
func TestOwnRowsAreNotRestored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	addr := netip.MustParseAddrPort("10.0.0.2:7000")
	self := host.Row{ID: "self", Zone: "a", Region: "r", ControlAddr: netip.MustParseAddrPort("10.0.0.1:7000")}
	c := New(Config{Self: self, Started: now})
	first := c.selfRow().Stamp.Incarnation
	c.Step(now, ServerAnnounced{Server: backend.Server{ID: "s", Service: "bead-stock", State: backend.Gone, Started: 1, Sequence: 5}})
	gone := c.servers.rows["s"]
	c.Step(now, ServerAnnounced{Server: backend.Server{ID: "s", Service: "bead-stock", State: backend.Ready, Started: 1, Sequence: 6}})
	dead := self
	dead.State, dead.Stamp = host.Dead, host.Stamp{Incarnation: first, Sequence: 99}
	c.Step(now, MessageReceived{From: addr, Message: message.RowUpdate{Hosts: []host.Row{dead}}})
	if got := c.selfRow().Stamp.Incarnation; got <= first {
		t.Fatalf("got incarnation %d after a refutation, want one above %d", got, first)
	}
	for _, e := range c.Step(now, MessageReceived{From: addr, Message: message.RowUpdate{Servers: []backend.Server{gone}}}) {
		if _, ok := e.(RestoreServers); ok {
			t.Errorf("got %+v, want the server kept", e)
		}
	}
}
