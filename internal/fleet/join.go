package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// startJitter spreads the reads of daemons that start at the same time.
	startJitter = 50 * time.Millisecond
	// joinRetryInterval is how long to wait for an answer before asking the next
	// peer.
	joinRetryInterval = 300 * time.Millisecond
	// floorTimeout is how long to wait for the version floor from a peer before
	// reading the head row.
	floorTimeout = 200 * time.Millisecond
	// Interval between reads of the zone's records while no other host is known.
	minIsolatedReadInterval = 200 * time.Millisecond
	maxIsolatedReadInterval = 3 * time.Second
	// recordsRereadDelay is the time between the first write of a host's record
	// and a second read of the records of its zone. Hosts that start at the same
	// time do not find each other in the first read; by the second one, most have
	// written their records.
	recordsRereadDelay = 400 * time.Millisecond
	// Interval between searches of a zone root for unknown hosts. It doubles up to
	// maxDiscoveryInterval. A search that finds unknown hosts in this region is
	// repeated soon because a join message can be lost, but only a few times
	// because the table may list hosts that no longer exist.
	minDiscoveryInterval    = 2 * time.Second
	discoveryRepeatInterval = 2 * time.Second
	maxDiscoveryRepeats     = 5
	maxDiscoveryInterval    = 30 * time.Minute
	// maxJoinAnswersPerSecond limits the full copies of the rows that one daemon
	// sends in a mass restart. Hosts without an answer ask another peer.
	maxJoinAnswersPerSecond = 8
)

// noSender, the zero value, is the source of rows, versions and confirmations
// that did not come from another daemon.
var noSender netip.AddrPort

// joinState tracks the startup of this daemon.
type joinState struct {
	started            bool
	peers              []netip.AddrPort // peers to send a join to
	nextPeer           int              // index into peers
	nextReadAt         time.Time        // next read of the zone's records
	readPending        bool
	readInterval       time.Duration // next interval between reads while isolated
	firstStart         bool          // the platform table has no record of this host yet, and no peer has answered the join
	reread             bool          // the records must be read once more
	readHeadAt         time.Time     // earliest time of the initial read of the head row
	initialReadDone    bool          // the initial read of the head row was started or is not needed
	nextJoinAt         time.Time
	joined             bool // a peer has sent its rows
	nextDiscoveryAt    time.Time
	discoveryInterval  time.Duration
	discoveryRepeats   int  // consecutive searches that found unknown hosts in this region
	floorKnown         bool // the version floor is final
	answersSent        int  // join answers in the current second
	answersWindowStart time.Time
}

// runJoin finds peers, requests their rows and reads the head row once.
func (c *Core) runJoin() {
	j := &c.join
	if !j.started {
		c.startJoin()
	}
	if !j.initialReadDone && !c.now.Before(j.readHeadAt) && (j.floorKnown || c.mayCallTable()) {
		j.initialReadDone = true
		if !j.floorKnown {
			c.readHead(0)
		}
	}
	needRecords := !c.hostRecord.loaded || j.reread || !j.firstStart && c.isIsolated()
	if needRecords && !j.readPending && !c.now.Before(j.nextReadAt) && c.mayCallTable() {
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
	// The records determine which peer to ask for the floor. If the platform table
	// does not return them, the head row is read anyway.
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

// runDiscovery makes zone roots search for unknown hosts. Other hosts learn of
// those from their root.
func (c *Core) runDiscovery() {
	j := &c.join
	c.refreshOverlay()
	if !c.hostRecord.loaded || !c.overlay.isZoneRoot() || c.now.Before(j.nextDiscoveryAt) || !c.mayCallTable() {
		return
	}
	c.tableCallStarted()
	j.discoveryInterval = min(max(2*j.discoveryInterval, minDiscoveryInterval), maxDiscoveryInterval)
	j.nextDiscoveryAt = c.now.Add(j.discoveryInterval/2 + c.jitter(j.discoveryInterval))
	c.emit(ReadRecords{OtherZones: true})
}

// isIsolated reports whether no other live host is known.
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
	first := !c.hostRecord.loaded
	j.reread = false
	c.recordReadLatency(e.Latency)
	ownFound, hostAdded := false, false
	for _, r := range e.Records {
		if r.Host.ID == c.config.Self.ID {
			ownFound = true
			if first {
				c.setStoredRecord(r, true)
			}
		} else {
			hostAdded = c.addHostFromRecord(r) || hostAdded
		}
	}
	if first && !ownFound {
		c.setStoredRecord(HostRecord{}, false)
		j.firstStart = true
	}
	if hostAdded && !first {
		// If two hosts start together, only the one that wrote its record last
		// finds the other, so it publishes its rows.
		c.queueOwnRows()
	}
	j.readInterval = min(max(2*j.readInterval, minIsolatedReadInterval), maxIsolatedReadInterval)
	j.nextReadAt = c.now.Add(j.readInterval/2 + c.jitter(j.readInterval))
	c.emit(RebuildRoutingTable{})
	if first {
		c.joinZone()
	}
}

// scheduleReread makes a host that has written its record for the first time
// look for others that have done so in the meantime.
func (j *joinState) scheduleReread(now time.Time) {
	if j.firstStart {
		j.firstStart, j.reread = false, true
		j.nextReadAt = now.Add(recordsRereadDelay)
	}
}

// joinZone chooses the peers that runJoin asks for their rows, and requests the
// version floor from the first host of the zone, so that the floor requests of
// hosts that start together go to the same host.
func (c *Core) joinZone() {
	j := &c.join
	c.refreshOverlay()
	peers := slices.Clone(c.config.Peers)
	order := c.overlay.preferredByZone[c.config.Self.Zone]
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

// handleOtherZoneRecords adds the hosts of other zones and sends a join to one
// host of each zone in this region that has unknown hosts.
func (c *Core) handleOtherZoneRecords(e ReadRecordsResult) {
	if e.Err != nil {
		return
	}
	c.recordReadLatency(e.Latency)
	joinedZones := make(map[host.AvailabilityZone]bool)
	for _, r := range e.Records {
		if c.addHostFromRecord(r) && !joinedZones[r.Host.Zone] && r.Host.Region == c.config.Self.Region {
			joinedZones[r.Host.Zone] = true
			c.send(r.Host.ControlAddr, c.joinMessage())
		}
	}
	j := &c.join
	if len(joinedZones) == 0 {
		j.discoveryRepeats = 0
		return
	}
	c.joinRegions()
	c.emit(RebuildRoutingTable{})
	if j.discoveryRepeats++; j.discoveryRepeats <= maxDiscoveryRepeats {
		j.nextDiscoveryAt = c.now.Add(discoveryRepeatInterval/2 + c.jitter(discoveryRepeatInterval))
	}
}

// joinRegions makes the root of a region announce this host to the other
// regions. Otherwise they would only get its rows with the second cross-region
// probe.
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
	// The merge removes what an earlier run of the host has published.
	earlier := c.leavingServers(m.Row.ID)
	c.mergeUpdates(message.RowUpdate{Hosts: []host.Row{m.Row}, Servers: m.Servers}, from)
	if j.answersSent >= maxJoinAnswersPerSecond {
		return
	}
	j.answersSent++
	all := func(host.AvailabilityZone) bool { return true }
	rows := c.rowsInZones(all)
	rows.Servers = append(rows.Servers, earlier...)
	c.send(from, message.JoinAnswer{Rows: rows, Summary: c.stateSummary()})
	c.sendRollouts(from)
}

// leavingServers returns the rows of the backend servers of a host that are draining
// or gone.
func (c *Core) leavingServers(id host.ID) []backend.Server {
	var rows []backend.Server
	for _, sid := range slices.Sorted(slices.Values(c.servers.byHost[id])) {
		if s := c.servers.rows[sid]; s.State >= backend.Draining {
			rows = append(rows, s)
		}
	}
	return rows
}

func (c *Core) receiveJoinAnswer(from netip.AddrPort, m message.JoinAnswer) {
	// Among hosts that start together, those that found a peer skip the second
	// read of the records; only those that found none do it.
	c.join.joined, c.join.firstStart, c.join.reread = true, false, false
	c.mergeUpdates(m.Rows, from)
	c.recordPeerSummary(from, m.Summary)
}

// setFloor sets the version floor, which is the lowest version that this run of
// the daemon may apply, to the version in the head row. Every version that an
// earlier run of this host applied was accepted before, so it is not above the
// head row. The versions of peers cannot serve as the floor because the hosts
// that knew the newest version may be down as well.
func (c *Core) setFloor(head version.Number) {
	if c.join.floorKnown {
		return
	}
	c.join.floorKnown = true
	c.versions.floor = head
	c.applyNewest()
}

// mayApply reports whether a version is at least as new as any that an earlier
// run of this host can have applied.
func (c *Core) mayApply(n version.Number) bool {
	return c.join.floorKnown && n >= c.versions.floor
}
