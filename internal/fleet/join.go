package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// joinJitter spreads the reads of daemons that start at once.
	joinJitter = 50 * time.Millisecond
	// joinInterval is the wait for an answer before the next peer is asked.
	joinInterval = 300 * time.Millisecond
	// floorWait is the wait for a floor from a peer before the head row is read.
	floorWait = 200 * time.Millisecond
	// Time between reads of the zone's records while there is no peer.
	minAloneInterval = 200 * time.Millisecond
	maxAloneInterval = 3 * time.Second
	// meetWait is the time after the first writing of a host's record until the host
	// reads the records of its zone once more: hosts that start at the same time do
	// not find each other in the first read, and most have written theirs by then.
	meetWait = 400 * time.Millisecond
	// Time between searches of a zone root for hosts that it does not know. It
	// doubles up to checkInterval. A search that finds unknown hosts is repeated
	// soon, because a join can be lost, but only a few times, because the table may
	// name hosts that are gone.
	minSearchInterval = 2 * time.Second
	repeatInterval    = 2 * time.Second
	maxRepeats        = 5
	checkInterval     = 30 * time.Minute
	// joinAnswersPerSecond limits the snapshots of rows that one daemon sends
	// in a mass restart; joiners ask another peer.
	joinAnswersPerSecond = 8
)

// noPeer is the source of rows that came from no other daemon.
var noPeer netip.AddrPort

// joinState is the progress of the start of this daemon.
type joinState struct {
	started     bool
	contacts    []netip.AddrPort // peers to ask
	next        int              // position in contacts
	readAt      time.Time        // next read of the zone's records
	reading     bool
	aloneFor    time.Duration // next interval between reads while alone
	fresh       bool          // the table does not have this host's record yet, and no peer has answered
	again       bool          // the records are to be read once more
	readHeadAt  time.Time
	headAsked   bool
	joinAt      time.Time
	joined      bool // rows have arrived from a peer
	searchAt    time.Time
	searchEvery time.Duration
	repeats     int  // searches in a row that found unknown hosts
	settled     bool // the head row was read, so that the floor is final
	served      int  // join answers in the current second
	servedFrom  time.Time
}

// runJoin finds peers, asks them for rows and reads the head row once.
func (c *Core) runJoin() {
	j := &c.join
	if !j.started {
		c.startJoin()
	}
	if !j.headAsked && !c.now.Before(j.readHeadAt) && (j.settled || c.mayCall()) {
		j.headAsked = true
		if !j.settled {
			c.readHead(0)
		}
	}
	wanted := !c.record.read || j.again || !j.fresh && c.alone()
	if wanted && !j.reading && !c.now.Before(j.readAt) && c.mayCall() {
		j.reading = true
		c.beginCall()
		c.emit(ReadRecords{})
	}
	if (!j.joined || c.alone()) && len(j.contacts) > 0 && !c.now.Before(j.joinAt) {
		c.askPeer()
	}
	c.runSearch()
}

func (c *Core) startJoin() {
	j := &c.join
	j.started = true
	j.readAt = c.now.Add(c.jitter(joinJitter))
	// The records tell whom to ask for the floor. Without an answer of the table
	// the head row is tried all the same.
	j.readHeadAt = j.readAt.Add(floorWait)
	j.setContacts(c.config.Peers, c.config.Self.ControlAddr)
	c.note(Note{Kind: "host-started", Host: c.config.Self.ID})
}

func (j *joinState) setContacts(peers []netip.AddrPort, own netip.AddrPort) {
	j.contacts = slices.DeleteFunc(slices.Clone(peers), func(a netip.AddrPort) bool { return a == own })
}

func (c *Core) askPeer() {
	j := &c.join
	j.joinAt = c.now.Add(joinInterval)
	c.send(j.contacts[j.next%len(j.contacts)], c.joinMessage())
	j.next++
}

func (c *Core) joinMessage() message.Join {
	m := message.Join{Row: c.self()}
	for _, id := range slices.Sorted(slices.Values(c.servers.byHost[c.config.Self.ID])) {
		m.Servers = append(m.Servers, c.servers.rows[id])
	}
	return m
}

// runSearch lets zone roots look for hosts that they do not know. Other hosts
// learn of those from their root.
func (c *Core) runSearch() {
	j := &c.join
	c.refreshOverlay()
	if !c.record.read || !c.overlay.isRoot() || c.now.Before(j.searchAt) || !c.mayCall() {
		return
	}
	c.beginCall()
	j.searchEvery = min(max(2*j.searchEvery, minSearchInterval), checkInterval)
	j.searchAt = c.now.Add(j.searchEvery/2 + c.jitter(j.searchEvery))
	c.emit(ReadRecords{Others: true})
}

// alone reports whether no other live host is known.
func (c *Core) alone() bool {
	c.refreshOverlay()
	return c.overlay.liveOthers == 0
}

func (c *Core) recordsRead(e RecordsRead) {
	c.callDone(e.Err)
	if e.Others {
		c.othersRead(e)
		return
	}
	j := &c.join
	j.reading = false
	if e.Err != nil {
		return
	}
	first := !c.record.read
	j.again = false
	c.noteTook(e.Took)
	found, unknown := false, false
	for _, r := range e.Records {
		if r.Host.ID == c.config.Self.ID {
			found = true
			if first {
				c.takeOwnRecord(r, true)
			}
		} else {
			unknown = c.takeRecord(r) || unknown
		}
	}
	if first && !found {
		c.takeOwnRecord(Record{}, false)
		j.fresh = true
	}
	if unknown && !first {
		// Of two hosts that start together, the one that wrote its record last finds
		// the other one.
		c.publishRows()
	}
	j.aloneFor = min(max(2*j.aloneFor, minAloneInterval), maxAloneInterval)
	j.readAt = c.now.Add(j.aloneFor/2 + c.jitter(j.aloneFor))
	c.emit(ServersChanged{})
	if first {
		c.meetZone()
	}
}

// recordWritten lets a host that has written its record for the first time look
// for others that have done so meanwhile.
func (j *joinState) recordWritten(now time.Time) {
	if j.fresh {
		j.fresh, j.again = false, true
		j.readAt = now.Add(meetWait)
	}
}

// meetZone asks the hosts of the zone for their rows, and the first of them for
// the floor, so that the requests of hosts that start together meet at one host.
func (c *Core) meetZone() {
	j := &c.join
	c.refreshOverlay()
	peers := slices.Clone(c.config.Peers)
	order := c.overlay.zones[c.config.Self.Zone]
	for _, e := range order {
		peers = append(peers, e.row.ControlAddr)
	}
	j.setContacts(peers, c.config.Self.ControlAddr)
	c.random.Shuffle(len(j.contacts), func(a, b int) { j.contacts[a], j.contacts[b] = j.contacts[b], j.contacts[a] })
	j.readHeadAt = c.now
	if len(order) > 0 && order[0].row.ID != c.config.Self.ID {
		c.askFloor(order[0].row.ControlAddr)
		j.readHeadAt = c.now.Add(floorWait)
	}
	j.searchAt = c.now
}

// othersRead takes the hosts of other zones and joins one of each zone that has
// unknown ones.
func (c *Core) othersRead(e RecordsRead) {
	if e.Err != nil {
		return
	}
	c.noteTook(e.Took)
	joined := make(map[host.AvailabilityZone]bool)
	for _, r := range e.Records {
		if c.takeRecord(r) && !joined[r.Host.Zone] && r.Host.Region == c.config.Self.Region {
			joined[r.Host.Zone] = true
			c.send(r.Host.ControlAddr, c.joinMessage())
		}
	}
	j := &c.join
	if len(joined) == 0 {
		j.repeats = 0
		return
	}
	c.joinRegions()
	c.emit(ServersChanged{})
	if j.repeats++; j.repeats <= maxRepeats {
		j.searchAt = c.now.Add(repeatInterval/2 + c.jitter(repeatInterval))
	}
}

// joinRegions lets the root of a region tell the other regions that this host is
// there, whose rows they would otherwise get with the second probe over the link.
func (c *Core) joinRegions() {
	c.refreshOverlay()
	if !c.isRegionRoot() {
		return
	}
	for _, region := range c.overlay.otherRegions(c.config.Self.Region) {
		if candidates := c.overlay.linkCandidates(region); len(candidates) > 0 {
			c.send(candidates[0].row.ControlAddr, c.joinMessage())
		}
	}
}

func (c *Core) receiveJoin(from netip.AddrPort, m message.Join) {
	j := &c.join
	if c.now.Sub(j.servedFrom) >= time.Second {
		j.servedFrom, j.served = c.now, 0
	}
	if c.self().State == host.Left {
		return
	}
	c.mergeNews(message.RowUpdate{Hosts: []host.Row{m.Row}, Servers: m.Servers}, from)
	if j.served >= joinAnswersPerSecond {
		return
	}
	j.served++
	all := func(host.AvailabilityZone) bool { return true }
	c.send(from, message.JoinAnswer{Rows: c.rowsOf(all), Summary: c.head()})
}

func (c *Core) receiveJoinAnswer(from netip.AddrPort, m message.JoinAnswer) {
	// Of the hosts that start together, those that found another one leave the second
	// read to those that found none.
	c.join.joined, c.join.fresh, c.join.again = true, false, false
	c.mergeNews(m.Rows, from)
	c.noteHead(from, m.Summary)
}

// settle takes the head row as the floor: the lowest version that this daemon
// may apply first. Every version that an earlier run of this host applied had
// been accepted, so that it is not above the head row. Peers cannot give the
// floor: those that knew the newest version may be down as well.
func (c *Core) settle(head version.Number) {
	if c.join.settled {
		return
	}
	c.join.settled = true
	c.versions.floor = head
	c.applyNewest()
}

// mayApply reports whether a version is not older than what an earlier run of
// this host can have applied.
func (c *Core) mayApply(n version.Number) bool {
	return c.join.settled && n >= c.versions.floor
}
