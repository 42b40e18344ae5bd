package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

// stateAt returns the state of a host in the member table of another host.
func stateAt(h *simHost, id host.ID) host.State { return h.core.hosts.get(id).row.State }

// TestFailedHostsAreFound guards against a failed host that stays alive in some
// table, and against runs of failed hosts that are detected only one after the
// other. A third of a zone fails at once: either scattered hosts or consecutive
// hosts of the ring.
func TestFailedHostsAreFound(t *testing.T) {
	for _, adjacent := range []bool{false, true} {
		n := newSimNetwork(t, 11, 12, nil)
		n.advance(30 * time.Second)
		failed := []*simHost{n.hosts[0], n.hosts[3], n.hosts[6], n.hosts[9]}
		if adjacent {
			for i, e := range n.hosts[0].core.overlay.preferredByZone["pwani-a"][:len(failed)] {
				failed[i] = n.byAddr[e.row.ControlAddr]
			}
		}
		for _, f := range failed {
			n.stop(f)
		}
		n.advance(20 * time.Second)
		for _, h := range n.hosts {
			for _, f := range failed {
				if got := stateAt(h, f.row.ID); h.up && got != host.Dead {
					t.Errorf("adjacent %v: %s in the table of %s: got %v, want dead", adjacent, f.row.ID, h.row.ID, got)
				}
			}
		}
	}
}

// TestPausedHostRefutes guards against a host that stays dead in some table
// after a pause, and against its backend servers remaining missing.
func TestPausedHostRefutes(t *testing.T) {
	n := newSimNetwork(t, 12, 4, nil)
	n.advance(20 * time.Second)
	paused := n.hosts[5]
	n.schedule(paused, 0, ServerAnnounced{Server: backend.Server{ID: "s", Service: "bead-stock", State: backend.Ready}})
	n.advance(5 * time.Second)
	paused.paused = true
	n.advance(20 * time.Second)
	if got := stateAt(n.hosts[0], paused.row.ID); got != host.Dead {
		t.Fatalf("paused host: got %v, want dead", got)
	}
	paused.paused = false
	n.advance(30 * time.Second)
	for _, h := range n.hosts {
		if got := stateAt(h, paused.row.ID); got != host.Alive {
			t.Errorf("resumed host in the table of %s: got %v, want alive", h.row.ID, got)
		}
		if got := len(h.core.Servers()); got != 1 {
			t.Errorf("backend servers known to %s: got %d, want 1", h.row.ID, got)
		}
	}
}

// TestDrainIsKnownWithinThreeSeconds guards against new calls for a draining
// backend server because row updates are not sent, not forwarded, or lost
// without being repaired by an exchange of rows. 40 seeds are needed because
// few of them lose all copies of the update for a host. Seed 13 is checked in
// both regions, the others only in the region of the server, because some of
// them lose the update on the cross-region link, which only the second probe
// over the link repairs, after up to 10 s.
func TestDrainIsKnownWithinThreeSeconds(t *testing.T) {
	for seed := range uint64(40) {
		n := newSimNetwork(t, seed+1, 6, nil)
		n.loss = 0.1
		n.advance(30 * time.Second)
		s := backend.Server{ID: "s", Service: "bead-stock", State: backend.Ready}
		n.schedule(n.hosts[2], 0, ServerAnnounced{Server: s})
		n.advance(10 * time.Second)
		s.State = backend.Draining
		n.schedule(n.hosts[2], 0, ServerAnnounced{Server: s})
		n.advance(3 * time.Second)
		for _, h := range n.hosts {
			if seed+1 != 13 && h.row.Region != n.hosts[2].row.Region {
				continue
			}
			if got := h.core.Servers(); len(got) != 1 || got[0].State != backend.Draining {
				t.Errorf("seed %d: rows at %s: got %+v, want one that is draining", seed+1, h.row.ID, got)
			}
		}
	}
}

// TestIdleFleetLimitsMessages guards against control traffic per daemon that
// grows with the fleet. An idle daemon probes one host, a root a few more.
func TestIdleFleetLimitsMessages(t *testing.T) {
	for _, perZone := range []int{4, 16, 40} {
		n := newSimNetwork(t, 14, perZone, nil)
		n.advance(60 * time.Second)
		before := n.messagesSent
		n.advance(60 * time.Second)
		perSecond := float64(n.messagesSent-before) / 60 / float64(len(n.hosts))
		t.Logf("%d hosts per zone: %.2f messages per second and daemon", perZone, perSecond)
		if want := 3.0; perSecond > want {
			t.Errorf("%d hosts per zone: got %.2f messages per second and daemon, want at most %.1f", perZone, perSecond, want)
		}
	}
}

// TestWholeZoneReturns guards against tables that stay different after all
// hosts of a zone were down and restarted at once, both while the platform
// table is unavailable and after it is available again.
func TestWholeZoneReturns(t *testing.T) {
	n := newSimNetwork(t, 15, 8, nil)
	n.advance(30 * time.Second)
	n.acceptVersion(n.hosts[0], false)
	n.advance(5 * time.Second)
	n.tableDown = true
	for _, h := range n.hosts[8:16] {
		n.stop(h)
	}
	n.advance(30 * time.Second)
	for _, h := range n.hosts[8:16] {
		h.core = nil
		n.start(h)
	}
	n.advance(30 * time.Second)
	wantSameRows(t, n, "during the table outage")
	n.tableDown = false
	n.advance(15 * time.Second)
	n.wantApplied()
	wantSameRows(t, n, "after the table outage")
}

// wantSameRows fails unless all hosts hold the same rows and every host is
// alive.
func wantSameRows(t *testing.T, n *simNetwork, when string) {
	t.Helper()
	for _, h := range n.hosts {
		if got, want := h.core.rowsHash(), n.hosts[0].core.rowsHash(); got != want {
			t.Errorf("%s: row hash of %s: got %x, want %x as at %s", when, h.row.ID, got, want, n.hosts[0].row.ID)
		}
		if got, want := h.core.overlay.liveOthers, len(n.hosts)-1; got != want {
			t.Errorf("%s: other live hosts known to %s: got %d, want %d", when, h.row.ID, got, want)
		}
	}
}

// TestLinkEdgeEndsWithPartition guards against a zone root that keeps an edge
// over the cross-region link, whose traffic is billed, after a temporary
// partition between the zones of its region.
func TestLinkEdgeEndsWithPartition(t *testing.T) {
	n := newSimNetwork(t, 18, 3, nil)
	n.advance(30 * time.Second)
	linkEdges := func() int {
		edges := 0
		for _, h := range n.hosts {
			for _, target := range h.core.probes.targets {
				if target.group.region != "" {
					edges++
				}
			}
		}
		return edges
	}
	want := linkEdges()
	n.partitioned = func(a, b host.Row) bool { return a.Region == b.Region && a.Zone != b.Zone }
	n.advance(30 * time.Second)
	if got := linkEdges(); got <= want {
		t.Fatalf("cross-region edges during the partition: got %d, want more than %d", got, want)
	}
	n.clearFaults()
	n.advance(30 * time.Second)
	if got := linkEdges(); got != want {
		t.Errorf("cross-region edges after the partition: got %d, want %d", got, want)
	}
}

// TestRowHashesAreCurrent guards against row hashes that miss a change, which
// would make daemons exchange rows endlessly, or never.
func TestRowHashesAreCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Config{Self: host.Row{ID: "self", Zone: "a", Region: "r"}, Started: time.Unix(1_800_000_000, 0)})
		ids, zones := []host.ID{"h", "i", "j"}, []host.AvailabilityZone{"a", "b"}
		now := time.Unix(1_800_000_000, 0)
		for range 40 {
			id := rapid.SampledFrom(ids).Draw(t, "host")
			stamp := host.Stamp{Incarnation: host.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation")), Sequence: host.Sequence(rapid.IntRange(0, 9).Draw(t, "sequence"))}
			updates := message.RowUpdate{}
			if rapid.Bool().Draw(t, "host-row") {
				updates.Hosts = []host.Row{{
					ID: id, Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Region: "r", Stamp: stamp,
					ControlAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[0]}), 7000), State: host.State(rapid.IntRange(0, 3).Draw(t, "state")),
				}}
			} else {
				updates.Servers = []backend.Server{{
					ID: rapid.SampledFrom([]backend.ServerID{"s", "t"}).Draw(t, "server"), Host: id, Stamp: stamp,
					State: backend.State(rapid.IntRange(0, 3).Draw(t, "state")),
				}}
			}
			c.mergeUpdates(updates, netip.AddrPort{})
			if rapid.IntRange(0, 5).Draw(t, "purge") == 0 {
				now = now.Add(tombstoneTTL)
				c.Step(now, Tick{})
			}
			want := make(map[host.AvailabilityZone]uint64)
			live := 0
			for _, e := range c.hosts.entries {
				if e.live() {
					live++
					want[e.row.Zone] ^= hashRow(string(e.row.ID), e.row.Stamp, uint8(e.row.State))
				}
			}
			for _, s := range c.servers.rows {
				if e := c.hosts.get(s.Host); e != nil && e.live() && s.State != backend.Gone {
					want[e.row.Zone] ^= hashRow("server "+string(s.ID), s.Stamp, uint8(s.State))
				}
			}
			if got := c.zoneHashes(); !maps.Equal(got, want) {
				t.Fatalf("got %x, want %x", got, want)
			}
			for zone, order := range c.hosts.liveByZone {
				live -= len(order)
				if !slices.IsSortedFunc(order, compareRank) || slices.ContainsFunc(order, func(e *hostEntry) bool { return !e.live() || e.row.Zone != zone }) {
					t.Fatalf("hosts of zone %s are not exactly its live hosts in order", zone)
				}
			}
			if live != 0 {
				t.Fatalf("got %d live hosts that are not listed in their zone, want none", live)
			}
		}
	})
}

// tableCallLimits returns the share of the platform table's capacity for some
// hosts. A fleet of 1,200 hosts gets 2,000 reads and 400 writes per second.
func tableCallLimits(hosts int) (reads, writes int) { return 2000 * hosts / 1200, 400 * hosts / 1200 }

// TestMassRestartReadsTable guards against restarts that overload the platform
// table when half of the daemons start at once.
func TestMassRestartReadsTable(t *testing.T) {
	n := newSimNetwork(t, 16, 30, nil)
	n.advance(60 * time.Second)
	for _, h := range n.hosts[:60] {
		n.stop(h)
	}
	n.advance(5 * time.Second)
	for _, h := range n.hosts[:60] {
		n.start(h)
	}
	reads, _ := tableCallLimits(len(n.hosts))
	for second := range 20 {
		before := n.tableReads
		n.advance(time.Second)
		if got := n.tableReads - before; got > reads {
			t.Errorf("second %d: got %d reads, want at most %d", second, got, reads)
		}
	}
	n.wantApplied()
}

// TestAllStartReadsTable guards against restarts that overload the platform
// table when all daemons start at once, and against hosts that wait long for
// their version floor. The fleet is scaled down to 600 hosts; its zones have
// about as many hosts as in the target fleet.
func TestAllStartReadsTable(t *testing.T) {
	for seed := range uint64(1) {
		n := newSimNetwork(t, 30+seed, 150, nil)
		n.advance(30 * time.Second)
		n.acceptVersion(n.hosts[0], false)
		n.advance(5 * time.Second)
		for _, h := range n.hosts {
			n.stop(h)
		}
		n.advance(5 * time.Second)
		for _, h := range n.hosts {
			n.start(h)
		}
		reads, writes := tableCallLimits(len(n.hosts))
		for second := range 10 {
			read, written := n.tableReads, n.tableWrites
			n.advance(time.Second)
			if got := n.tableReads - read; got > reads {
				t.Errorf("seed %d, second %d: got %d reads, want at most %d", seed, second, got, reads)
			}
			if got := n.tableWrites - written; got > writes {
				t.Errorf("seed %d, second %d: got %d writes, want at most %d", seed, second, got, writes)
			}
			for _, h := range n.hosts {
				if !h.core.join.floorKnown {
					t.Errorf("seed %d, second %d: %s has no version floor, want one after a second", seed, second, h.row.ID)
				}
			}
		}
		n.wantApplied()
	}
}

// TestFloorComesFromLaterRead guards against a version floor from a read that
// began before the starting host sent its request, and from an answer to an
// earlier run of that host. Versions may have been accepted and applied in
// between.
func TestFloorComesFromLaterRead(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	requester := netip.MustParseAddrPort("10.0.0.1:7000")
	c := New(Config{Self: host.Row{ID: "self", Zone: "a", Region: "r", ControlAddr: netip.MustParseAddrPort("10.0.0.2:7000")}, Started: now})
	c.Step(now, Tick{})
	now = now.Add(startJitter + floorTimeout)
	var reads []uint64
	var floors []message.Floor
	step := func(e Event) {
		for _, effect := range c.Step(now, e) {
			switch e := effect.(type) {
			case ReadHead:
				reads = append(reads, e.ReadID)
			case SendMessage:
				if f, ok := e.Message.(message.Floor); ok {
					floors = append(floors, f)
				}
			}
		}
	}
	step(Tick{})
	before := slices.Clone(reads)
	step(MessageReceived{From: requester, Message: message.FloorRequest{Nonce: 7}})
	if len(before) == 0 || len(reads) != len(before)+1 {
		t.Fatalf("got reads %v before and %v after the request, want one more", before, reads)
	}
	for _, read := range before {
		step(ReadHeadResult{ReadID: read, Manifest: version.Manifest{Number: 4}})
	}
	if len(floors) != 0 {
		t.Errorf("got %+v from a read that began before the request, want no answer", floors)
	}
	step(ReadHeadResult{ReadID: reads[len(before)], Manifest: version.Manifest{Number: 5}})
	if want := []message.Floor{{Nonce: 7, Number: 5}}; !slices.Equal(floors, want) {
		t.Errorf("got %+v, want %+v", floors, want)
	}
	// Find a host ID that ranks before this host in its zone.
	first := host.ID("a")
	for hashStrings("a", string(first)) > hashStrings("a", "self") {
		first += "a"
	}
	fresh := New(Config{Self: c.config.Self, Started: now})
	fresh.Step(now, ReadRecordsResult{Records: []HostRecord{{Host: host.Row{ID: first, Zone: "a", Region: "r", ControlAddr: requester}}}})
	for _, nonce := range []uint64{0, 7} {
		fresh.Step(now, MessageReceived{From: requester, Message: message.Floor{Nonce: nonce, Number: 5}})
		if fresh.join.floorKnown {
			t.Errorf("answer with nonce %d: got a floor, want none", nonce)
		}
	}
	fresh.Step(now, MessageReceived{From: requester, Message: message.Floor{Nonce: fresh.floorReads.ownNonce, Number: 5}})
	if !fresh.join.floorKnown || fresh.versions.floor != 5 {
		t.Errorf("answer to the request: got floor known %v, floor %d, want floor 5", fresh.join.floorKnown, fresh.versions.floor)
	}
}

// TestHeadRowIsKnown guards against a status that reports a fleet without a
// version as converged although the head row names a version that no object
// store returns.
func TestHeadRowIsKnown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := New(Config{Self: host.Row{ID: "self", Zone: "a", Region: "r"}, Started: now})
	c.Step(now, ReadHeadResult{Manifest: version.Manifest{Number: 4}})
	c.Step(now, LoadVersionResult{Err: errTableDown})
	if got := c.HighestKnownVersion(); got != 4 {
		t.Errorf("got version %d known, want 4", got)
	}
}

// TestZonesThatStartTogetherFindEachOther guards against hosts that start at
// the same time and form separate fleets that never learn of each other.
func TestZonesThatStartTogetherFindEachOther(t *testing.T) {
	for seed := range uint64(20) {
		n := newSimNetwork(t, seed+1, 12, nil)
		n.advance(40 * time.Second)
		for _, h := range n.hosts {
			if got := len(h.core.Hosts()); got != len(n.hosts) {
				t.Fatalf("seed %d: hosts known to %s: got %d, want %d", seed+1, h.row.ID, got, len(n.hosts))
			}
		}
	}
}

// TestFirstStartReadsRecordsTwice guards against hosts that read the records of
// their zone repeatedly in a first start to find others that start too. One
// read before writing their own record and one after it are enough.
func TestFirstStartReadsRecordsTwice(t *testing.T) {
	for seed := range uint64(20) {
		n := newSimNetwork(t, seed+1, 12, nil)
		n.advance(10 * time.Second)
		if got, want := n.ownZoneReads, 2*len(n.hosts); got > want {
			t.Errorf("seed %d: got %d reads of the own zone, want at most %d", seed+1, got, want)
		}
		for _, h := range n.hosts {
			if got := len(h.core.Hosts()); got != len(n.hosts) {
				t.Fatalf("seed %d: hosts known to %s after 10 s: got %d, want %d", seed+1, h.row.ID, got, len(n.hosts))
			}
		}
	}
}

// TestIdleRootsLimitDiscoveryReads guards against zone roots that search the
// platform table every few seconds, over the cross-region link, when all hosts
// are known.
func TestIdleRootsLimitDiscoveryReads(t *testing.T) {
	n := newSimNetwork(t, 17, 3, nil)
	n.advance(10 * time.Minute)
	before := n.discoveryReads
	n.advance(time.Hour)
	// Four zone roots check every 30 minutes.
	if got, limit := n.discoveryReads-before, 16; got > limit {
		t.Errorf("searches in an hour: got %d, want at most %d", got, limit)
	}
}

// TestFleetFormsUnderLoss guards against a fleet that stays partitioned for
// long because the first join messages between zones were lost.
func TestFleetFormsUnderLoss(t *testing.T) {
	for seed := range uint64(40) {
		n := newSimNetwork(t, seed+1, 3, nil)
		n.loss = 0.95
		n.advance(25 * time.Second)
		n.loss = 0
		n.advance(15 * time.Second)
		for _, h := range n.hosts {
			if got := len(h.core.Hosts()); got != len(n.hosts) {
				t.Fatalf("seed %d: hosts known to %s: got %d, want %d", seed+1, h.row.ID, got, len(n.hosts))
			}
		}
	}
}

// TestUnusableRowsAreSkipped guards against a row of a peer whose id reaches a header of
// calls with a line break in it, or whose address can't be connected to; against such a
// row that keeps others of the same message out; and against a log line for each.
func TestUnusableRowsAreSkipped(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7000")
	valid := backend.Server{ID: "s", Service: "stock", Host: "h", Addr: addr, Stamp: host.Stamp{Incarnation: 1}}
	h := host.Row{ID: "h", Zone: "a", Region: "r", ControlAddr: addr, GateAddr: addr, Stamp: host.Stamp{Incarnation: 1}}
	c := New(Config{Self: host.Row{ID: "self", Zone: "a", Region: "r"}, Started: time.Unix(1_800_000_000, 0)})
	var updates message.RowUpdate
	for _, change := range []func(*backend.Server, *host.Row){
		func(s *backend.Server, h *host.Row) { s.ID, h.ID = "s\r\nX-Other: 1", "h\n" },
		func(s *backend.Server, h *host.Row) { s.ID, h.ID = "s\x00", "h " },
		func(s *backend.Server, h *host.Row) { s.Service, h.Zone = "stock\x7f", "\xff" },
		func(s *backend.Server, h *host.Row) { s.Host, h.Region = "h\n", "r\u2028" },
		func(s *backend.Server, h *host.Row) {
			s.Addr, h.GateAddr = netip.AddrPortFrom(addr.Addr(), 0), netip.MustParseAddrPort("0.0.0.0:1")
		},
		func(s *backend.Server, h *host.Row) { s.State, h.State = 200, 200 },
	} {
		s, r := valid, h
		s.ID, r.ID = "other", "other"
		change(&s, &r)
		updates.Servers, updates.Hosts = append(updates.Servers, s), append(updates.Hosts, r)
	}
	updates.Servers, updates.Hosts = append(updates.Servers, valid), append(updates.Hosts, h)
	refused := 0
	for _, e := range c.Step(time.Unix(1_800_000_000, 0), MessageReceived{From: addr, Message: updates}) {
		if e, ok := e.(TimelineEvent); ok && e.Kind == "row-refused" {
			refused++
		}
	}
	if got := slices.Collect(maps.Keys(c.servers.rows)); !slices.Equal(got, []backend.ServerID{"s"}) || len(c.hosts.entries) != 2 || refused != 1 {
		t.Errorf("got servers %q, %d hosts and %d events, want the server s, this host and h, and one event", got, len(c.hosts.entries), refused)
	}
}
