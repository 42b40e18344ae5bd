package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

// maxOutageCalls returns the maximum number of calls to the platform table per
// second during an outage: the hosts' share of 500 for 1,200 hosts, and 7 that
// do not depend on their number.
func maxOutageCalls(hosts int) int { return 500*hosts/1200 + 7 }

// TestOutageSpacesCalls guards against hosts that call the unavailable platform
// table separately for each purpose, and against hosts that detect late that it
// is available again.
func TestOutageSpacesCalls(t *testing.T) {
	for seed := range uint64(5) {
		n := newSimNetwork(t, 70+seed, 3, nil)
		n.advance(30 * time.Second)
		n.tableDown = true
		n.advance(time.Second)
		restarted := n.hosts[:6]
		for _, h := range restarted {
			n.stop(h)
		}
		n.advance(3 * time.Second)
		for _, h := range restarted {
			n.start(h)
		}
		for range 3 {
			before := n.tableCalls
			n.advance(10 * time.Second)
			if got, want := n.tableCalls-before, 10*maxOutageCalls(len(n.hosts)); got > want {
				t.Errorf("seed %d: got %d calls in 10 s, want at most %d", seed, got, want)
			}
		}
		n.tableDown = false
		n.advance(2 * time.Second)
		for _, h := range n.hosts {
			if !h.core.hostRecord.loaded || !h.core.join.floorKnown {
				t.Errorf("seed %d: %s has not read its record or the head row 2 s after the end of the outage", seed, h.row.ID)
			}
		}
		n.wantApplied()
	}
}

// TestHostWithoutTableWaits guards against a disconnected host that calls the
// platform table whenever others confirm that it answers them, and against a
// host that detects late that the table answers it again.
func TestHostWithoutTableWaits(t *testing.T) {
	n := newSimNetwork(t, 80, 3, nil)
	n.advance(30 * time.Second)
	disconnected := n.hosts[0]
	before := n.tableCalls
	n.advance(20 * time.Second)
	others := n.tableCalls - before
	n.tableUnreachable = func(r host.Row) bool { return r.ID == disconnected.row.ID }
	n.stop(disconnected)
	n.advance(time.Second)
	n.start(disconnected)
	n.advance(time.Second)
	before = n.tableCalls
	n.advance(20 * time.Second)
	// One call in 2 s, and half as many more because of the jitter.
	if got, want := n.tableCalls-before-others, 15; got > want {
		t.Errorf("got %d calls in 20 s in addition to those of the other hosts, want at most %d", got, want)
	}
	n.tableUnreachable = func(host.Row) bool { return false }
	n.advance(2500 * time.Millisecond)
	if !disconnected.core.hostRecord.loaded {
		t.Error("got no record 2.5 s after the table is reachable again")
	}
}

// TestDisconnectedReaderYieldsRole guards against versions that are repeatedly
// delayed while the reader is disconnected from the platform table.
func TestDisconnectedReaderYieldsRole(t *testing.T) {
	for seed := range uint64(5) {
		n := newSimNetwork(t, 120+seed, 3, func(c *Config) { c.HeadPollWait = 700 * time.Millisecond })
		n.headWithSnapshot = true
		n.advance(30 * time.Second)
		n.callTimeout = 1500 * time.Millisecond
		var reader *simHost
		for _, h := range n.hosts {
			if h.core.readerRank() == 0 {
				reader = h
			}
		}
		n.tableUnreachable = func(r host.Row) bool { return r.ID == reader.row.ID }
		committed := make(map[version.Number]time.Time)
		before := n.tableCalls
		const duration = 10 * time.Second
		for start := n.now; n.now.Sub(start) < duration; {
			if len(committed) == 0 || n.now.Sub(committed[n.head.Number()]) >= 300*time.Millisecond {
				n.commitVersion()
				committed[n.head.Number()] = n.now
			}
			n.advance(20 * time.Millisecond)
			// In the first seconds, the others detect that the reader is gone.
			limit := 2 * time.Second
			if n.now.Sub(start) > 4*time.Second {
				limit = minChangeInterval + 500*time.Millisecond
			}
			for _, h := range n.hosts {
				if at, ok := committed[h.applied+1]; ok && n.now.Sub(at) > limit {
					t.Fatalf("seed %d: %s has version %d %v after the next one was accepted, want at most %v", seed, h.row.ID, h.applied, n.now.Sub(at), limit)
				}
			}
		}
		// The new reader makes one call for each change, at most one in 0.4 s.
		if got, want := n.tableCalls-before, int(duration/minChangeInterval)+maxOutageCalls(len(n.hosts)); got > want {
			t.Errorf("seed %d: got %d calls, want at most %d", seed, got, want)
		}
	}
}

// TestReadsAskForLaterChanges guards against hosts that, when they replace the
// reader, read all changes of the head row since their own last read, although
// they received those versions from others.
func TestReadsAskForLaterChanges(t *testing.T) {
	n := newSimNetwork(t, 140, 3, func(c *Config) { c.HeadPollWait = 700 * time.Millisecond })
	n.headWithSnapshot = true
	n.advance(30 * time.Second)
	for range 10 {
		n.acceptVersion(n.hosts[0], false)
		n.advance(time.Second)
	}
	for _, h := range n.hosts {
		if h.core.readerRank() == 0 {
			n.stop(h)
		}
	}
	reads := 0
	n.onReadHead = func(e ReadHead) {
		reads++
		if got, want := uint64(e.After), uint64(n.head.Number()); got != want {
			t.Errorf("got a read of the changes after %d, want after %d", got, want)
		}
	}
	n.advance(3 * time.Second)
	if reads == 0 {
		t.Error("got no read by a host that replaces the reader")
	}
}

// TestConfirmationIsAsOldAsItsRead guards against a slow read that counts as
// current when it ends. The others would keep waiting although the head row has
// changed since the read began.
func TestConfirmationIsAsOldAsItsRead(t *testing.T) {
	n := newSimNetwork(t, 130, 3, nil)
	n.advance(30 * time.Second)
	core := n.hosts[0].core
	core.readHead(0)
	read, began := core.floorReads.lastReadID, core.now
	core.readHead(0) // on behalf of other hosts; its result comes later
	n.now = n.now.Add(1500 * time.Millisecond)
	core.reader.lastForwarded = time.Time{}
	sent := 0
	for _, e := range core.Step(n.now, ReadHeadResult{ReadID: read, Manifest: n.head.Manifest()}) {
		if s, ok := e.(SendMessage); ok {
			if m, ok := s.Message.(message.HeadConfirmation); ok {
				sent++
				if got, want := time.Duration(m.AgeMS)*time.Millisecond, n.now.Sub(began).Truncate(time.Millisecond); got < want {
					t.Errorf("got a confirmation %v old, want at least %v", got, want)
				}
			}
		}
	}
	if sent == 0 {
		t.Error("got no confirmation")
	}
}

// TestRegionReadsVersionBlockedOnLink guards against a region that waits for a
// version blocked on the cross-region link although its hosts know of the
// version and can reach the platform table.
func TestRegionReadsVersionBlockedOnLink(t *testing.T) {
	n := newSimNetwork(t, 90, 40, func(c *Config) { c.HeadPollWait = 700 * time.Millisecond })
	n.headWithSnapshot = true
	n.advance(60 * time.Second)
	n.acceptVersion(n.hosts[0], false)
	n.runUntilApplied(7 * time.Second)
	n.blockedOnLink = func(s SendMessage) bool {
		_, ok := s.Message.(message.Delta)
		return ok
	}
	before := n.tableCalls
	n.acceptVersion(n.hosts[0], false)
	if got, want := n.runUntilApplied(7*time.Second), 2*time.Second; got > want {
		t.Errorf("got the version on all hosts after %v, want at most %v", got, want)
	}
	// The reader makes 3 calls in this time, and a few hosts of the region one
	// each.
	if got, want := n.tableCalls-before, 10; got > want {
		t.Errorf("got %d calls to the table, want at most %d", got, want)
	}
}

// TestStrongHostsGetRoles guards against hosts with a slow processor or link
// that act as reader or connect the zones while there are stronger hosts.
func TestStrongHostsGetRoles(t *testing.T) {
	const strong = 4
	n := newSimNetwork(t, 95, 5, func(c *Config) {
		if strings.HasSuffix(string(c.Self.ID), "-4") {
			c.Self.Capacity = strong
		}
	})
	n.advance(30 * time.Second)
	for _, h := range n.hosts {
		isStrong := h.core.selfRow().Capacity == strong
		if got := h.core.overlay.isZoneRoot(); got != isStrong {
			t.Errorf("%s: got root %v, want %v", h.row.ID, got, isStrong)
		}
		if h.core.readerRank() == 0 && !isStrong {
			t.Errorf("%s is the reader, want a strong host", h.row.ID)
		}
	}
}

// TestRegionQueriesOtherRegion guards against a region that gets a version
// seconds late when the host that connects the region has died and its reads of
// the platform table get no answer.
func TestRegionQueriesOtherRegion(t *testing.T) {
	for seed := range uint64(3) {
		n := newSimNetwork(t, 110+seed, 4, func(c *Config) { c.HeadPollWait = 700 * time.Millisecond })
		n.advance(60 * time.Second)
		n.acceptVersion(n.hosts[0], false)
		n.runUntilApplied(7 * time.Second)
		n.tableUnreachable = func(r host.Row) bool { return r.Region == "kaskazini" }
		for _, h := range n.hosts {
			if h.row.Region == "kaskazini" && h.core.isRegionRoot() {
				n.stop(h)
			}
		}
		n.advance(100 * time.Millisecond)
		n.acceptVersion(n.hosts[0], false)
		if got, want := n.runUntilApplied(7*time.Second), 2*time.Second; got > want {
			t.Errorf("seed %d: got the version on all hosts after %v, want at most %v", seed, got, want)
		}
	}
}

// TestOutageIsRecorded guards against logs of an outage that do not tell whether
// a host called the platform table, why the call failed and when it calls next.
func TestOutageIsRecorded(t *testing.T) {
	n := newSimNetwork(t, 150, 3, nil)
	n.advance(30 * time.Second)
	events := make(map[string][]TimelineEvent)
	n.onEvent = func(_ *simHost, e TimelineEvent) { events[e.Kind] = append(events[e.Kind], e) }
	n.tableDown = true
	n.advance(10 * time.Second)
	n.tableDown = false
	n.advance(10 * time.Second)
	lost, answers := len(events["table-lost"]), len(events["table-answers"])
	if lost == 0 || lost > len(n.hosts) {
		t.Errorf("got %d events that the table was lost, want one for each host that called it", lost)
	}
	if answers == 0 || answers > lost {
		t.Errorf("got %d events that the table answers again, want at least 1 and at most %d", answers, lost)
	}
	failures := events["table-call-failed"]
	if len(failures) < 2 {
		t.Fatalf("got %d events of failed calls in 10 s, want at least 2", len(failures))
	}
	for _, e := range failures {
		if !strings.Contains(e.Detail, errTableDown.Error()) || !strings.Contains(e.Detail, "next call in") {
			t.Errorf("got detail %q, want the error and the time until the next call", e.Detail)
		}
	}
}

// TestFewHostsAreServedAfterOutage guards against a version that comes late
// because the only hosts that the platform table answers wait too long after an
// outage before they call it again.
func TestFewHostsAreServedAfterOutage(t *testing.T) {
	const wait = 700 * time.Millisecond
	for i := range 24 {
		n := newSimNetwork(t, uint64(160+i), 3, func(c *Config) { c.HeadPollWait = wait })
		n.headWithSnapshot = true
		n.acceptVersion(n.hosts[0], false)
		n.advance(30 * time.Second)
		if i >= 12 {
			n.callTimeout = 1500 * time.Millisecond // calls get no answer instead of an error
		}
		n.tableDown = true
		n.advance(8 * time.Second)
		served := n.hosts[i%12].row.ID
		n.tableUnreachable = func(r host.Row) bool { return r.ID != served }
		n.tableDown = false
		n.advance(time.Second)
		n.commitVersion()
		if got, want := n.runUntilApplied(7*time.Second), 2*time.Second; got > want {
			t.Errorf("only %s is served after calls that took %v: got the version on all hosts after %v, want at most %v", served, n.callTimeout, got, want)
		}
	}
}

// TestServedHostChanges guards against a version that comes late because the
// table, which answered one host that confirmed the head row to the others, now
// answers only one that waits after a failed call.
func TestServedHostChanges(t *testing.T) {
	const wait = 700 * time.Millisecond
	for i := range 12 {
		n := newSimNetwork(t, uint64(180+i), 3, func(c *Config) { c.HeadPollWait = wait })
		n.headWithSnapshot = true
		n.acceptVersion(n.hosts[0], false)
		n.advance(30 * time.Second)
		served := n.hosts[(i+5)%12].row.ID
		n.tableUnreachable = func(r host.Row) bool { return r.ID != served }
		n.advance(10 * time.Second)
		served = "" // none for a while
		n.advance(time.Duration(i) * 400 * time.Millisecond)
		served = n.hosts[i].row.ID
		n.advance(time.Second)
		n.commitVersion()
		if got, want := n.runUntilApplied(7*time.Second), 2*time.Second; got > want {
			t.Errorf("only %s is served: got the version on all hosts after %v, want at most %v", served, got, want)
		}
	}
}

// TestNearRegionQueriesOtherRegion guards against a region near the platform
// table that gets a version seconds late when, after an outage, the table
// answers only a host of the other region and the host that connects the regions
// has died.
func TestNearRegionQueriesOtherRegion(t *testing.T) {
	for seed := range uint64(8) {
		n := newSimNetwork(t, 200+seed, 4, func(c *Config) { c.HeadPollWait = 700 * time.Millisecond })
		n.headWithSnapshot = true
		n.acceptVersion(n.hosts[0], false)
		n.advance(30 * time.Second)
		n.tableDown = true
		n.advance(8 * time.Second)
		served := n.hosts[8+seed].row
		n.tableUnreachable = func(r host.Row) bool { return r.ID != served.ID }
		n.tableDown = false
		n.advance(time.Second)
		for _, h := range n.hosts {
			if h.row.Region == "pwani" && h.core.isRegionRoot() {
				n.stop(h)
			}
		}
		n.commitVersion()
		if got, want := n.runUntilApplied(7*time.Second), 2*time.Second; got > want {
			t.Errorf("only %s is served: got the version on all hosts after %v, want at most %v", served.ID, got, want)
		}
	}
}
