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

// network carries the effects of a few cores to each other on a virtual clock,
// with losses, duplicates, cuts, pauses and restarts from one seed. It is a
// fake of the transport and of the table, nothing more.
type network struct {
	t         failer
	random    *rand.Rand
	now       time.Time
	queue     deliveries
	order     int
	nodes     []*node
	byAddr    map[netip.AddrPort]*node
	head      version.Snapshot
	tableDown bool
	cutTable  func(host.Row) bool // hosts that cannot reach the table
	silence   time.Duration       // after which a call without an answer is given up
	wholeHead bool                // a read of the head row gives the version whole
	hold      func(Send) bool     // messages that the link between regions holds up
	reading   func(ReadHead)      // sees all reads of the head row
	loss      float64
	duplicate float64
	cut       func(a, b host.Row) bool
	config    func(*Config)
	sent      int
	reads     int // calls that read the table
	calls     int // calls of any kind, also while it is down
	searches  int // searches of all zones
	ownReads  int // reads of the records of the own zone
	writes    int // rows written to the table by the fleet
	records   map[host.ID]Record
}

// failer is the part of testing.T and rapid.T that the checks need.
type failer interface {
	Fatalf(format string, args ...any)
	Helper()
}

// node is one host. Its fields outlive restarts of the core.
type node struct {
	row     host.Row
	core    *Core
	up      bool
	paused  bool
	highest version.Number // highest version that any run of the core applied
	current version.Number
	seen    version.Number // in the head row
	runs    int
}

type delivery struct {
	at    time.Time
	order int
	to    *node
	run   int // deliveries to an earlier run of the core are dropped
	event Event
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const tickInterval = 100 * time.Millisecond

// newNetwork starts perZone hosts in each of two zones of two regions.
func newNetwork(t failer, seed uint64, perZone int, config func(*Config)) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		byAddr: make(map[netip.AddrPort]*node), cut: func(_, _ host.Row) bool { return false }, config: config,
		cutTable: func(host.Row) bool { return false },
		records:  make(map[host.ID]Record),
	}
	for z, zone := range []host.AvailabilityZone{"pwani-a", "pwani-b", "kaskazini-a", "kaskazini-b"} {
		region := host.Region(zone[:len(zone)-2])
		for i := range perZone {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(z + 1), byte((i + 1) >> 8), byte(i + 1)}), 7000)
			nd := &node{row: host.Row{
				ID: host.ID(fmt.Sprintf("%s-%d", zone, i+1)), Zone: zone, Region: region,
				ControlAddr: addr, GateAddr: netip.AddrPortFrom(addr.Addr(), 7001),
			}}
			n.nodes = append(n.nodes, nd)
			n.byAddr[addr] = nd
		}
	}
	for _, nd := range n.nodes {
		n.start(nd)
	}
	return n
}

func (n *network) start(nd *node) {
	nd.runs++
	c := Config{Self: nd.row, Started: n.now, Seed: n.random.Uint64()}
	if n.config != nil {
		n.config(&c)
	}
	nd.core, nd.up, nd.paused, nd.current = New(c), true, false, 0
	n.schedule(nd, time.Duration(n.random.Int64N(int64(tickInterval))), Tick{})
}

func (n *network) stop(nd *node) { nd.up = false }

func (n *network) schedule(to *node, delay time.Duration, e Event) {
	n.order++
	heap.Push(&n.queue, delivery{at: n.now.Add(delay), order: n.order, to: to, run: to.runs, event: e})
}

// run lets virtual time pass.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(delivery)
		n.now = next.at
		n.deliver(next)
	}
	n.now = end
}

func (n *network) deliver(d delivery) {
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
	case headChange:
		n.readHead(d.to, e.read, e.until)
		return
	}
	for _, e := range d.to.core.Step(n.now, d.event) {
		n.carryOut(d.to, e)
	}
}

var errTableDown = errors.New("table is down")

func (n *network) carryOut(nd *node, effect Effect) {
	tableDelay := n.tableTook(nd)
	tableDown := n.tableDown || n.cutTable(nd.row)
	switch e := effect.(type) {
	case Send:
		n.transmit(nd, e)
	case Apply:
		n.checkApply(nd, e.Snapshot)
	case ReadHead:
		n.reads++
		n.calls++
		if n.reading != nil {
			n.reading(e)
		}
		n.readHead(nd, e, n.now.Add(e.Wait))
	case LoadVersion:
		answer := VersionLoaded{Snapshot: n.head}
		if tableDown {
			answer = VersionLoaded{Err: errTableDown}
		}
		n.schedule(nd, tableDelay, answer)
	case ReadRecords:
		n.calls++
		answer := RecordsRead{Err: errTableDown, Others: e.Others}
		if !tableDown {
			answer = RecordsRead{Records: n.recordsFor(nd, e.Others), Others: e.Others, Took: n.tableTook(nd)}
		}
		n.schedule(nd, n.tableTook(nd), answer)
	case Publish:
		n.calls++
		answer := Published{Record: e.Record, Ticket: e.Ticket}
		if tableDown {
			answer.Err = errTableDown
		} else {
			n.writes++
			n.records[nd.row.ID] = e.Record
		}
		n.schedule(nd, n.tableTook(nd), answer)
	case Adopt:
		for _, s := range e.Servers {
			n.schedule(nd, time.Millisecond, ServerAnnounced{Server: s})
		}
	case Forget:
		if !tableDown {
			n.writes++
			delete(n.records, e.Host.ID)
		}
	}
}

// tableTook is the time of a call: the table is in the region pwani.
func (n *network) tableTook(nd *node) time.Duration {
	if nd.row.Region == "pwani" {
		return 5 * time.Millisecond
	}
	return 29 * time.Millisecond
}

// headChange is the event of a read that waits for a change.
type headChange struct {
	Tick
	read  ReadHead
	until time.Time
}

// readHead answers a read at once, when the head row changes, or at a time.
func (n *network) readHead(nd *node, e ReadHead, until time.Time) {
	if n.tableDown || n.cutTable(nd.row) {
		n.schedule(nd, n.silence+n.tableTook(nd), HeadRead{Read: e.Read, Err: errTableDown})
		return
	}
	if e.Wait > 0 && n.now.Before(until) && n.head.Number() <= nd.seen {
		n.schedule(nd, 10*time.Millisecond, headChange{read: e, until: until})
		return
	}
	nd.seen = n.head.Number()
	answer := HeadRead{Read: e.Read, Manifest: n.head.Manifest(), Took: n.tableTook(nd)}
	if n.wholeHead {
		answer = HeadRead{Read: e.Read, Position: version.Position(n.head.Number()), Took: n.tableTook(nd)}
		if answer.Position > e.After {
			answer.Manifest, answer.Snapshot = n.head.Manifest(), n.head
		}
	}
	n.schedule(nd, n.tableTook(nd), answer)
}

// recordsFor returns the records of the host's zone, or of all others. Each zone
// takes a call.
func (n *network) recordsFor(nd *node, others bool) []Record {
	var records []Record
	zones := make(map[host.AvailabilityZone]bool)
	for _, id := range slices.Sorted(maps.Keys(n.records)) {
		if r := n.records[id]; (r.Host.Zone == nd.row.Zone) != others {
			records = append(records, r)
			zones[r.Host.Zone] = true
		}
	}
	n.reads += max(1, len(zones))
	if others {
		n.searches++
	} else {
		n.ownReads++
	}
	return records
}

func (n *network) transmit(from *node, s Send) {
	to := n.byAddr[s.To]
	held := n.hold != nil && to != nil && from.row.Region != to.row.Region && n.hold(s)
	if to == nil || held || n.cut(from.row, to.row) || n.random.Float64() < n.loss {
		return
	}
	n.sent++
	copies := 1
	if n.random.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(n.random.Int64N(int64(3*time.Millisecond)))
		if from.row.Region != to.row.Region {
			delay += 12 * time.Millisecond
		}
		n.schedule(to, delay, Received{From: from.row.ControlAddr, Message: s.Message})
	}
}

// checkApply guards the promises about versions: never backward on a host,
// restarts included, and never anything that was not accepted.
func (n *network) checkApply(nd *node, s version.Snapshot) {
	n.t.Helper()
	if s.Number() <= nd.current || s.Number() < nd.highest {
		n.t.Fatalf("%s went back: got version %d, want one above %d", nd.row.ID, s.Number(), nd.highest)
	}
	if s.Number() > n.head.Number() {
		n.t.Fatalf("%s applied a version that was never accepted: got %d, want at most %d", nd.row.ID, s.Number(), n.head.Number())
	}
	nd.current, nd.highest = s.Number(), s.Number()
}

// accept commits the next version and tells the accepting daemon, which may
// crash right after the commit.
func (n *network) accept(nd *node, crash bool) version.Number {
	n.t.Helper()
	n.commit()
	if crash {
		n.stop(nd)
	} else {
		n.schedule(nd, 0, VersionAccepted{Snapshot: n.head})
	}
	return n.head.Number()
}

// commit puts the next version into the head row, as an operator does who calls
// no daemon.
func (n *network) commit() {
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

// wantApplied fails unless every running host applied the head.
func (n *network) wantApplied() {
	n.t.Helper()
	for _, nd := range n.nodes {
		if nd.up && nd.current != n.head.Number() {
			n.t.Fatalf("%s: got version %d, want %d", nd.row.ID, nd.current, n.head.Number())
		}
	}
}

// runUntilApplied returns the virtual time until every running host applied
// the head, or fails after the limit.
func (n *network) runUntilApplied(limit time.Duration) time.Duration {
	n.t.Helper()
	start := n.now
	for n.now.Sub(start) < limit {
		n.run(10 * time.Millisecond)
		if !slices.ContainsFunc(n.nodes, func(nd *node) bool { return nd.up && nd.current != n.head.Number() }) {
			return n.now.Sub(start)
		}
	}
	n.wantApplied()
	return limit
}

func TestVersionReachesEveryHost(t *testing.T) {
	for _, d := range []Distribution{Economical, Fast} {
		n := newNetwork(t, 7, 5, func(c *Config) { c.Distribution = d })
		n.run(20 * time.Second)
		for range 5 {
			n.accept(n.nodes[n.random.IntN(len(n.nodes))], false)
			if got, want := n.runUntilApplied(7*time.Second), 500*time.Millisecond; got > want {
				t.Errorf("distribution %d: got convergence after %v, want at most %v", d, got, want)
			}
			n.run(3 * time.Second)
		}
	}
}
