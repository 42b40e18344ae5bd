package fleet

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/version"
)

// simNetwork delivers the effects of several cores to each other on a virtual
// clock, with message loss, duplication, partitions, pauses and restarts
// derived from one seed. It only fakes the transport and the platform table.
type simNetwork struct {
	t                failer
	random           *rand.Rand
	now              time.Time
	queue            deliveries
	lastSeq          int
	hosts            []*simHost
	byAddr           map[netip.AddrPort]*simHost
	head             version.Snapshot
	tableDown        bool
	tableUnreachable func(host.Row) bool    // hosts that cannot reach the table
	callTimeout      time.Duration          // time after which a call without an answer fails
	headWithSnapshot bool                   // a read of the head row returns the complete version
	blockedOnLink    func(SendMessage) bool // messages that the cross-region link does not deliver
	onReadHead       func(ReadHead)         // called for every read of the head row
	onEvent          func(*simHost, TimelineEvent)
	loss             float64
	duplicate        float64
	partitioned      func(a, b host.Row) bool
	configure        func(*Config)
	messagesSent     int
	tableReads       int // read calls to the table
	tableCalls       int // calls of any kind, including those during an outage
	discoveryReads   int // reads of the records of all other zones
	ownZoneReads     int // reads of the records of the own zone
	tableWrites      int // rows written to the table by the fleet
	records          map[host.ID]HostRecord
	rollouts         *simRollouts // nil without roll-outs
}

// failer is the part of testing.T and rapid.T that the checks need.
type failer interface {
	Fatalf(format string, args ...any)
	Helper()
}

// simHost is one host. Its fields survive restarts of the core.
type simHost struct {
	row            host.Row
	core           *Core
	up             bool
	paused         bool
	highestApplied version.Number // highest version that any run of the core applied
	applied        version.Number
	headSeen       version.Number // version last read from the head row
	runs           int
}

type delivery struct {
	at    time.Time
	seq   int
	to    *simHost
	run   int // deliveries to an earlier run of the core are dropped
	event Event
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const tickInterval = 100 * time.Millisecond

// newSimNetwork starts perZone hosts in each of two zones of two regions.
func newSimNetwork(t failer, seed uint64, perZone int, config func(*Config)) *simNetwork {
	n := &simNetwork{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		byAddr: make(map[netip.AddrPort]*simHost), partitioned: func(_, _ host.Row) bool { return false }, configure: config,
		tableUnreachable: func(host.Row) bool { return false },
		records:          make(map[host.ID]HostRecord),
	}
	for z, zone := range []host.AvailabilityZone{"pwani-a", "pwani-b", "kaskazini-a", "kaskazini-b"} {
		region := host.Region(zone[:len(zone)-2])
		for i := range perZone {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(z + 1), byte((i + 1) >> 8), byte(i + 1)}), 7000)
			h := &simHost{row: host.Row{
				ID: host.ID(fmt.Sprintf("%s-%d", zone, i+1)), Zone: zone, Region: region,
				ControlAddr: addr, GateAddr: netip.AddrPortFrom(addr.Addr(), 7001),
			}}
			n.hosts = append(n.hosts, h)
			n.byAddr[addr] = h
		}
	}
	for _, h := range n.hosts {
		n.start(h)
	}
	return n
}

func (n *simNetwork) start(h *simHost) {
	h.runs++
	c := Config{Self: h.row, Started: n.now, Seed: n.random.Uint64()}
	if n.configure != nil {
		n.configure(&c)
	}
	h.core, h.up, h.paused, h.applied = New(c), true, false, 0
	n.schedule(h, time.Duration(n.random.Int64N(int64(tickInterval))), Tick{})
}

func (n *simNetwork) stop(h *simHost) { h.up = false }

func (n *simNetwork) schedule(to *simHost, delay time.Duration, e Event) {
	n.lastSeq++
	heap.Push(&n.queue, delivery{at: n.now.Add(delay), seq: n.lastSeq, to: to, run: to.runs, event: e})
}

// advance advances the virtual time and delivers the events that are due.
func (n *simNetwork) advance(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(delivery)
		n.now = next.at
		n.deliver(next)
	}
	n.now = end
}

func (n *simNetwork) deliver(d delivery) {
	if !d.to.up || d.run != d.to.runs {
		return
	}
	if d.to.paused {
		n.schedule(d.to, tickInterval, d.event)
		return
	}
	switch e := d.event.(type) {
	case Tick:
		n.schedule(d.to, tickInterval, Tick{})
	case pendingHeadRead:
		n.serveReadHead(d.to, e.read, e.until)
		return
	}
	for _, e := range d.to.core.Step(n.now, d.event) {
		n.executeEffect(d.to, e)
	}
}

var errTableDown = errors.New("table is down")

func (n *simNetwork) executeEffect(h *simHost, effect Effect) {
	tableDelay := n.tableLatency(h)
	tableDown := n.tableDown || n.tableUnreachable(h.row)
	if n.rollouts != nil && n.rollouts.execute(h, effect, tableDown) {
		return
	}
	switch e := effect.(type) {
	case SendMessage:
		n.transmit(h, e)
	case TimelineEvent:
		if n.onEvent != nil {
			n.onEvent(h, e)
		}
	case ApplySnapshot:
		n.checkApply(h, e.Snapshot)
	case ReadHead:
		n.tableReads++
		n.tableCalls++
		if n.onReadHead != nil {
			n.onReadHead(e)
		}
		n.serveReadHead(h, e, n.now.Add(e.MaxWait))
	case LoadVersion:
		answer := LoadVersionResult{Snapshot: n.head}
		if tableDown {
			answer = LoadVersionResult{Err: errTableDown}
		}
		n.schedule(h, tableDelay, answer)
	case ReadRecords:
		n.tableCalls++
		answer := ReadRecordsResult{Err: errTableDown, OtherZones: e.OtherZones}
		if !tableDown {
			answer = ReadRecordsResult{Records: n.recordsFor(h, e.OtherZones), OtherZones: e.OtherZones, Latency: n.tableLatency(h)}
		}
		n.schedule(h, n.tableLatency(h), answer)
	case WriteRecord:
		n.tableCalls++
		answer := WriteRecordResult{Record: e.Record, Ticket: e.Ticket}
		if tableDown {
			answer.Err = errTableDown
		} else {
			n.tableWrites++
			n.records[h.row.ID] = e.Record
		}
		n.schedule(h, n.tableLatency(h), answer)
	case RestoreServers:
		for _, s := range e.Servers {
			n.schedule(h, time.Millisecond, ServerAnnounced{Server: s})
		}
		n.schedule(h, time.Millisecond, ServersRestored{})
	case DeleteRecord:
		if !tableDown {
			n.tableWrites++
			delete(n.records, e.Host.ID)
		}
	}
}

// tableLatency returns the latency of a call. The table is in the region pwani.
func (n *simNetwork) tableLatency(h *simHost) time.Duration {
	if h.row.Region == "pwani" {
		return 5 * time.Millisecond
	}
	return 29 * time.Millisecond
}

// pendingHeadRead is the event of a read that waits for a change.
type pendingHeadRead struct {
	Tick
	read  ReadHead
	until time.Time
}

// serveReadHead answers a read immediately, or when the head row changes, or at
// the given time at the latest.
func (n *simNetwork) serveReadHead(h *simHost, e ReadHead, until time.Time) {
	if n.tableDown || n.tableUnreachable(h.row) {
		n.schedule(h, n.callTimeout+n.tableLatency(h), ReadHeadResult{ReadID: e.ReadID, Err: errTableDown})
		return
	}
	if e.MaxWait > 0 && n.now.Before(until) && n.head.Number() <= h.headSeen {
		n.schedule(h, 10*time.Millisecond, pendingHeadRead{read: e, until: until})
		return
	}
	h.headSeen = n.head.Number()
	answer := ReadHeadResult{ReadID: e.ReadID, Manifest: n.head.Manifest(), Latency: n.tableLatency(h)}
	if n.headWithSnapshot {
		answer = ReadHeadResult{ReadID: e.ReadID, Position: version.Position(n.head.Number()), Latency: n.tableLatency(h)}
		if answer.Position > e.After {
			answer.Manifest, answer.Snapshot = n.head.Manifest(), n.head
		}
	}
	n.schedule(h, n.tableLatency(h), answer)
}

// recordsFor returns the records of the host's zone, or of all other zones.
// Each zone counts as one call.
func (n *simNetwork) recordsFor(h *simHost, others bool) []HostRecord {
	var records []HostRecord
	zones := make(map[host.AvailabilityZone]bool)
	for _, id := range slices.Sorted(maps.Keys(n.records)) {
		if r := n.records[id]; (r.Host.Zone == h.row.Zone) != others {
			records = append(records, r)
			zones[r.Host.Zone] = true
		}
	}
	n.tableReads += max(1, len(zones))
	if others {
		n.discoveryReads++
	} else {
		n.ownZoneReads++
	}
	return records
}

func (n *simNetwork) transmit(from *simHost, s SendMessage) {
	to := n.byAddr[s.To]
	blocked := n.blockedOnLink != nil && to != nil && from.row.Region != to.row.Region && n.blockedOnLink(s)
	if to == nil || blocked || n.partitioned(from.row, to.row) || n.random.Float64() < n.loss {
		return
	}
	n.messagesSent++
	copies := 1
	if n.random.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(n.random.Int64N(int64(3*time.Millisecond)))
		if from.row.Region != to.row.Region {
			delay += 12 * time.Millisecond
		}
		n.schedule(to, delay, MessageReceived{From: from.row.ControlAddr, Message: s.Message})
	}
}

// checkApply verifies that a host never applies an older version, even across
// restarts, and never a version that was not accepted.
func (n *simNetwork) checkApply(h *simHost, s version.Snapshot) {
	n.t.Helper()
	if s.Number() <= h.applied || s.Number() < h.highestApplied {
		n.t.Fatalf("%s applied an older version: got %d, want one above %d", h.row.ID, s.Number(), h.highestApplied)
	}
	if s.Number() > n.head.Number() {
		n.t.Fatalf("%s applied a version that was never accepted: got %d, want at most %d", h.row.ID, s.Number(), n.head.Number())
	}
	h.applied, h.highestApplied = s.Number(), s.Number()
}

// acceptVersion commits the next version and notifies the accepting daemon,
// which may crash right after the commit.
func (n *simNetwork) acceptVersion(h *simHost, crash bool) version.Number {
	n.t.Helper()
	n.commitVersion()
	if crash {
		n.stop(h)
	} else {
		n.schedule(h, 0, VersionAccepted{Snapshot: n.head})
	}
	return n.head.Number()
}

// commitVersion writes the next version to the head row without notifying a
// daemon.
func (n *simNetwork) commitVersion() {
	n.t.Helper()
	number := n.head.Number() + 1
	doc := document.Document{Sections: []document.Section{
		{Name: "stock", Team: "stock-team", Services: []document.Service{{
			Name: "bead-stock", Slots: uint16(number%100 + 1), Connections: 130, WarmUp: 10 * time.Second,
		}}},
	}}
	s, err := version.New(number, version.SubmissionID(fmt.Sprint("s", number)), n.now.UnixMilli(), doc)
	if err != nil {
		n.t.Fatalf("make version %d: %v", number, err)
	}
	n.head = s
}

// wantApplied fails unless every running host applied the version in the head
// row.
func (n *simNetwork) wantApplied() {
	n.t.Helper()
	for _, h := range n.hosts {
		if h.up && h.applied != n.head.Number() {
			n.t.Fatalf("%s: got version %d, want %d", h.row.ID, h.applied, n.head.Number())
		}
	}
}

// runUntilApplied returns the virtual time until every running host applied the
// version in the head row, and fails after the limit.
func (n *simNetwork) runUntilApplied(limit time.Duration) time.Duration {
	n.t.Helper()
	start := n.now
	for n.now.Sub(start) < limit {
		n.advance(10 * time.Millisecond)
		if !slices.ContainsFunc(n.hosts, func(h *simHost) bool { return h.up && h.applied != n.head.Number() }) {
			return n.now.Sub(start)
		}
	}
	n.wantApplied()
	return limit
}

// TestVersionReachesEveryHost guards against a version that does not reach every
// host of a fleet without failures within 500 ms, in either distribution mode.
func TestVersionReachesEveryHost(t *testing.T) {
	for _, d := range []Distribution{Economical, Fast} {
		n := newSimNetwork(t, 7, 5, func(c *Config) { c.Distribution = d })
		n.advance(20 * time.Second)
		for range 5 {
			n.acceptVersion(n.hosts[n.random.IntN(len(n.hosts))], false)
			if got, want := n.runUntilApplied(7*time.Second), 500*time.Millisecond; got > want {
				t.Errorf("distribution %d: got convergence after %v, want at most %v", d, got, want)
			}
			n.advance(3 * time.Second)
		}
	}
}
