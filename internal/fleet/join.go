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
	startJitter = 50 * time.Millisecond
	// joinInterval is the wait for an answer before the next peer is asked.
	joinRetryInterval = 300 * time.Millisecond
	// floorWait is the wait for a floor from a peer before the head row is read.
	floorTimeout = 200 * time.Millisecond
	// Time between reads of the zone's records while there is no peer.
	minIsolatedReadInterval = 200 * time.Millisecond
	maxIsolatedReadInterval = 3 * time.Second
	// meetWait is the time after the first writing of a host's record until the host
	// reads the records of its zone once more: hosts that start at the same time do
	// not find each other in the first read, and most have written theirs by then.
	recordsRereadDelay = 400 * time.Millisecond
	// Time between searches of a zone root for hosts that it does not know. It
	// doubles up to checkInterval. A search that finds unknown hosts is repeated
	// soon, because a join can be lost, but only a few times, because the table may
	// name hosts that are gone.
	minDiscoveryInterval    = 2 * time.Second
	discoveryRepeatInterval = 2 * time.Second
	maxDiscoveryRepeats     = 5
	maxDiscoveryInterval    = 30 * time.Minute
	// joinAnswersPerSecond limits the snapshots of rows that one daemon sends
	// in a mass restart; joiners ask another peer.
	maxJoinAnswersPerSecond = 8
)

// noPeer is the source of rows that came from no other daemon.
var noSender netip.AddrPort

// joinState is the progress of the start of this daemon.
type joinState struct {
	started            bool
	peers              []netip.AddrPort // peers to ask
	nextPeer           int              // position in contacts
	nextReadAt         time.Time        // next read of the zone's records
	readPending        bool
	readInterval       time.Duration // next interval between reads while alone
	firstStart         bool          // the table does not have this host's record yet, and no peer has answered
	reread             bool          // the records are to be read once more
	readHeadAt         time.Time
	headRequested      bool
	nextJoinAt         time.Time
	joined             bool // rows have arrived from a peer
	nextDiscoveryAt    time.Time
	discoveryInterval  time.Duration
	discoveryRepeats   int  // searches in a row that found unknown hosts
	floorKnown         bool // the head row was read, so that the floor is final
	answersSent        int  // join answers in the current second
	answersWindowStart time.Time
}

// runJoin finds peers, asks them for rows and reads the head row once.
func (c *Core) runJoin() {
	j := &c.join
	if !j.started {
		c.startJoin()
	}
	if !j.headRequested && !c.now.Before(j.readHeadAt) && (j.floorKnown || c.mayCallTable()) {
		j.headRequested = true
		if !j.floorKnown {
			c.readHead(0)
		}
	}
	wanted := !c.record.loaded || j.reread || !j.firstStart && c.isIsolated()
	if wanted && !j.readPending && !c.now.Before(j.nextReadAt) && c.mayCallTable() {
		j.readPending = true
		c.tableCallStarted()
		c.emit(ReadRecords{})
	}
	if (!j.joined || c.isIsolated()) && len(j.peers) > 0 && !c.now.Before(j.nextJoinAt) {
		c.sendJoin()
	}
	c.runDiscovery()
}

func (c *Core) startJoin() {
	j := &c.join
	j.started = true
	j.nextReadAt = c.now.Add(c.jitter(startJitter))
	// The records tell whom to ask for the floor. Without an answer of the table
	// the head row is tried all the same.
	j.readHeadAt = j.nextReadAt.Add(floorTimeout)
	j.setPeers(c.config.Peers, c.config.Self.ControlAddr)
	c.recordEvent(TimelineEvent{Kind: "host-started", Host: c.config.Self.ID})
}

func (j *joinState) setPeers(peers []netip.AddrPort, own netip.AddrPort) {
	j.peers = slices.DeleteFunc(slices.Clone(peers), func(a netip.AddrPort) bool { return a == own })
}

func (c *Core) sendJoin() {
	j := &c.join
	j.nextJoinAt = c.now.Add(joinRetryInterval)
	c.send(j.peers[j.nextPeer%len(j.peers)], c.joinMessage())
	j.nextPeer++
}

func (c *Core) joinMessage() message.Join {
	m := message.Join{Row: c.selfRow()}
	for _, id := range slices.Sorted(slices.Values(c.servers.byHost[c.config.Self.ID])) {
		m.Servers = append(m.Servers, c.servers.rows[id])
	}
	return m
}

// runSearch lets zone roots look for hosts that they do not know. Other hosts
// learn of those from their root.
func (c *Core) runDiscovery() {
	j := &c.join
	c.refreshOverlay()
	if !c.record.loaded || !c.overlay.isZoneRoot() || c.now.Before(j.nextDiscoveryAt) || !c.mayCallTable() {
		return
	}
	c.tableCallStarted()
	j.discoveryInterval = min(max(2*j.discoveryInterval, minDiscoveryInterval), maxDiscoveryInterval)
	j.nextDiscoveryAt = c.now.Add(j.discoveryInterval/2 + c.jitter(j.discoveryInterval))
	c.emit(ReadRecords{OtherZones: true})
}

// alone reports whether no other live host is known.
func (c *Core) isIsolated() bool {
	c.refreshOverlay()
	return c.overlay.liveOthers == 0
}

func (c *Core) handleReadRecordsResult(e ReadRecordsResult) {
	c.tableCallDone(e.Err)
	if e.OtherZones {
		c.handleOtherZoneRecords(e)
		return
	}
	j := &c.join
	j.readPending = false
	if e.Err != nil {
		return
	}
	first := !c.record.loaded
	j.reread = false
	c.recordReadLatency(e.Latency)
	found, unknown := false, false
	for _, r := range e.Records {
		if r.Host.ID == c.config.Self.ID {
			found = true
			if first {
				c.loadOwnRecord(r, true)
			}
		} else {
			unknown = c.addHostFromRecord(r) || unknown
		}
	}
	if first && !found {
		c.loadOwnRecord(HostRecord{}, false)
		j.firstStart = true
	}
	if unknown && !first {
		// Of two hosts that start together, the one that wrote its record last finds
		// the other one.
		c.queueOwnRows()
	}
	j.readInterval = min(max(2*j.readInterval, minIsolatedReadInterval), maxIsolatedReadInterval)
	j.nextReadAt = c.now.Add(j.readInterval/2 + c.jitter(j.readInterval))
	c.emit(RebuildRoutingTable{})
	if first {
		c.joinZone()
	}
}

// recordWritten lets a host that has written its record for the first time look
// for others that have done so meanwhile.
func (j *joinState) scheduleReread(now time.Time) {
	if j.firstStart {
		j.firstStart, j.reread = false, true
		j.nextReadAt = now.Add(recordsRereadDelay)
	}
}

// meetZone asks the hosts of the zone for their rows, and the first of them for
// the floor, so that the requests of hosts that start together meet at one host.
func (c *Core) joinZone() {
	j := &c.join
	c.refreshOverlay()
	peers := slices.Clone(c.config.Peers)
	order := c.overlay.hostsByZone[c.config.Self.Zone]
	for _, e := range order {
		peers = append(peers, e.row.ControlAddr)
	}
	j.setPeers(peers, c.config.Self.ControlAddr)
	c.rng.Shuffle(len(j.peers), func(a, b int) { j.peers[a], j.peers[b] = j.peers[b], j.peers[a] })
	j.readHeadAt = c.now
	if len(order) > 0 && order[0].row.ID != c.config.Self.ID {
		c.requestFloor(order[0].row.ControlAddr)
		j.readHeadAt = c.now.Add(floorTimeout)
	}
	j.nextDiscoveryAt = c.now
}

// othersRead takes the hosts of other zones and joins one of each zone that has
// unknown ones.
func (c *Core) handleOtherZoneRecords(e ReadRecordsResult) {
	if e.Err != nil {
		return
	}
	c.recordReadLatency(e.Latency)
	joined := make(map[host.AvailabilityZone]bool)
	for _, r := range e.Records {
		if c.addHostFromRecord(r) && !joined[r.Host.Zone] && r.Host.Region == c.config.Self.Region {
			joined[r.Host.Zone] = true
			c.send(r.Host.ControlAddr, c.joinMessage())
		}
	}
	j := &c.join
	if len(joined) == 0 {
		j.discoveryRepeats = 0
		return
	}
	c.joinRegions()
	c.emit(RebuildRoutingTable{})
	if j.discoveryRepeats++; j.discoveryRepeats <= maxDiscoveryRepeats {
		j.nextDiscoveryAt = c.now.Add(discoveryRepeatInterval/2 + c.jitter(discoveryRepeatInterval))
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
	if c.now.Sub(j.answersWindowStart) >= time.Second {
		j.answersWindowStart, j.answersSent = c.now, 0
	}
	if c.selfRow().State == host.Left {
		return
	}
	c.mergeUpdates(message.RowUpdate{Hosts: []host.Row{m.Row}, Servers: m.Servers}, from)
	if j.answersSent >= maxJoinAnswersPerSecond {
		return
	}
	j.answersSent++
	all := func(host.AvailabilityZone) bool { return true }
	c.send(from, message.JoinAnswer{Rows: c.rowsInZones(all), Summary: c.localHead()})
}

func (c *Core) receiveJoinAnswer(from netip.AddrPort, m message.JoinAnswer) {
	// Of the hosts that start together, those that found another one leave the second
	// read to those that found none.
	c.join.joined, c.join.firstStart, c.join.reread = true, false, false
	c.mergeUpdates(m.Rows, from)
	c.recordPeerHead(from, m.Summary)
}

// settle takes the head row as the floor: the lowest version that this daemon
// may apply first. Every version that an earlier run of this host applied had
// been accepted, so that it is not above the head row. Peers cannot give the
// floor: those that knew the newest version may be down as well.
func (c *Core) setFloor(head version.Number) {
	if c.join.floorKnown {
		return
	}
	c.join.floorKnown = true
	c.versions.floor = head
	c.applyNewest()
}

// mayApply reports whether a version is not older than what an earlier run of
// this host can have applied.
func (c *Core) mayApply(n version.Number) bool {
	return c.join.floorKnown && n >= c.versions.floor
}
