package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
)

const (
	// newsInterval gathers the rows of a burst into one message per neighbour.
	updateFlushInterval = 100 * time.Millisecond
	// mismatchesForSync lets news in flight arrive before rows are exchanged.
	syncMismatchThreshold = 2
	// syncBackoff is the number of probes without an exchange after one.
	syncCooldownProbes = 2
)

// newsState holds the rows to pass on, with the neighbour each came from.
type updateState struct {
	hosts        map[host.ID]netip.AddrPort
	servers      map[backend.ServerID]netip.AddrPort
	nextFlushAt  time.Time
	lastSequence host.Sequence // last sequence number of this host's rows
	nextPurgeAt  time.Time
}

func (n *updateState) init() {
	n.hosts = make(map[host.ID]netip.AddrPort)
	n.servers = make(map[backend.ServerID]netip.AddrPort)
}

func (n *updateState) queueHost(id host.ID, from netip.AddrPort) { n.hosts[id] = from }

func (n *updateState) queueServer(id backend.ServerID, from netip.AddrPort) { n.servers[id] = from }

// nextStamp returns the stamp for the next change of a row of this host.
func (c *Core) nextStamp() host.Stamp {
	c.updates.lastSequence++
	return host.Stamp{Incarnation: c.selfRow().Stamp.Incarnation, Sequence: c.updates.lastSequence}
}

// announceServer publishes the row of a backend server on this host.
func (c *Core) announceServer(s backend.Server) {
	s.Host = c.config.Self.ID
	s.Stamp = c.nextStamp()
	c.servers.put(s)
	c.pruneGoneServers(s.Host)
	c.updates.queueServer(s.ID, netip.AddrPort{})
	c.emit(RebuildRoutingTable{})
	c.recordEvent(TimelineEvent{Kind: "server-" + s.State.String(), Server: s.ID, Host: s.Host})
}

// publishRows tells the neighbours of this host and its backend servers.
func (c *Core) queueOwnRows() {
	c.updates.queueHost(c.config.Self.ID, noSender)
	for _, id := range c.servers.byHost[c.config.Self.ID] {
		c.updates.queueServer(id, noSender)
	}
}

// leave publishes that this host stops in a planned way. That takes its backend
// servers out of use until its daemon is back; they are not leaving themselves.
func (c *Core) announceShutdown() {
	row := c.selfRow()
	row.State = host.Left
	row.Stamp = c.nextStamp()
	c.hosts.put(row, c.now)
	c.updates.queueHost(row.ID, netip.AddrPort{})
	c.updates.nextFlushAt = c.now
	// The edges are needed once more, so the overlay keeps this host in it.
	c.flushUpdates()
	c.recordEvent(TimelineEvent{Kind: "host-left", Host: row.ID})
}

// mergeNews takes over the rows that are newer than the present ones.
func (c *Core) mergeUpdates(news message.RowUpdate, from netip.AddrPort) {
	changed := false
	for _, row := range news.Hosts {
		changed = c.mergeHost(row, from) || changed
	}
	for _, s := range news.Servers {
		changed = c.mergeServer(s, from) || changed
	}
	if changed {
		c.emit(RebuildRoutingTable{})
	}
}

func (c *Core) mergeHost(row host.Row, from netip.AddrPort) bool {
	if row.ID == "" || row.Zone == "" || !row.ControlAddr.IsValid() {
		return false
	}
	if row.ID == c.config.Self.ID {
		c.refute(row)
		return false
	}
	e := c.hosts.get(row.ID)
	if e != nil && !row.Supersedes(e.row) {
		return false
	}
	if e != nil && row.Stamp.Incarnation > e.row.Stamp.Incarnation {
		c.removeStaleServers(row.ID, row.Stamp.Incarnation)
	}
	c.markReplacedHost(row)
	c.hosts.put(row, c.now)
	c.updates.queueHost(row.ID, from)
	return true
}

// replaceAt declares the host dead that had the address of another one before.
func (c *Core) markReplacedHost(row host.Row) {
	e := c.hosts.byAddr[row.ControlAddr]
	if e == nil || e.row.ID == row.ID || !e.live() || row.State > host.Suspect || e.row.Stamp.Incarnation >= row.Stamp.Incarnation {
		return
	}
	c.setState(e, host.Dead)
	c.recordEvent(TimelineEvent{Kind: "host-replaced", Host: e.row.ID, Detail: string(row.ID)})
}

// removeServersBefore removes the server rows that an earlier run of a host's
// daemon published.
func (c *Core) removeStaleServers(id host.ID, inc host.Incarnation) {
	for _, sid := range slices.Clone(c.servers.byHost[id]) {
		if s := c.servers.rows[sid]; s.Stamp.Incarnation < inc {
			c.servers.remove(s)
		}
	}
}

func (c *Core) mergeServer(s backend.Server, from netip.AddrPort) bool {
	if s.ID == "" || s.Host == "" || s.Host == c.config.Self.ID {
		return false
	}
	if e := c.hosts.get(s.Host); e != nil && s.Stamp.Incarnation < e.row.Stamp.Incarnation {
		return false
	}
	if old, ok := c.servers.rows[s.ID]; ok && !s.Supersedes(old) {
		return false
	}
	c.servers.put(s)
	c.pruneGoneServers(s.Host)
	c.updates.queueServer(s.ID, from)
	return true
}

// refute answers a row about this host that this process did not publish: one
// of an earlier run, or one that calls it suspect or dead.
func (c *Core) refute(row host.Row) {
	own := c.selfRow()
	if own.State == host.Left || !row.Supersedes(own) {
		return
	}
	own.State = host.Alive
	own.Stamp = host.Stamp{Incarnation: row.Stamp.Incarnation + 1}
	if row.State == host.Dead {
		c.record.missing = true // its record may have been removed
	}
	c.updates.lastSequence = 0
	c.hosts.put(own, c.now)
	c.updates.queueHost(own.ID, netip.AddrPort{})
	c.recordEvent(TimelineEvent{Kind: "host-refuted", Host: own.ID, Detail: row.State.String()})
	for _, id := range slices.Sorted(maps.Keys(c.servers.rows)) {
		s := c.servers.rows[id]
		if s.Host == own.ID {
			s.Stamp = c.nextStamp()
			c.servers.put(s)
			c.updates.queueServer(id, netip.AddrPort{})
		}
	}
	c.emit(RebuildRoutingTable{})
}

// flushNews sends gathered rows to all neighbours but the one they came from.
func (c *Core) flushUpdates() {
	n := &c.updates
	if len(n.hosts)+len(n.servers) == 0 || c.now.Before(n.nextFlushAt) {
		return
	}
	n.nextFlushAt = c.now.Add(updateFlushInterval)
	for _, e := range c.neighbors() {
		if news := c.updatesFor(e.addr); len(news.Hosts)+len(news.Servers) > 0 {
			c.send(e.addr, news)
			if e.crossRegion {
				c.scheduleUpdateCheck(e.addr)
			}
		}
	}
	clear(n.hosts)
	clear(n.servers)
}

// checkNews brings the next probe over the region link forward, which finds out
// whether news arrived.
func (c *Core) scheduleUpdateCheck(addr netip.AddrPort) {
	for _, t := range c.probes.targets {
		if t.addr == addr && t.group.region != "" && !t.pending && !t.checkUpdates {
			t.nextProbeAt, t.checkUpdates = c.now.Add(pushCheckDelay), true
		}
	}
}

func (c *Core) updatesFor(addr netip.AddrPort) message.RowUpdate {
	var news message.RowUpdate
	for _, id := range slices.Sorted(maps.Keys(c.updates.hosts)) {
		if e := c.hosts.get(id); e != nil && c.updates.hosts[id] != addr {
			news.Hosts = append(news.Hosts, e.row)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.updates.servers)) {
		s, ok := c.servers.rows[id]
		if !ok || c.updates.servers[id] == addr {
			continue
		}
		news.Servers = append(news.Servers, s)
		// The row of a server counts with that run of the host's daemon only which
		// published it.
		same := func(r host.Row) bool { return r.ID == s.Host }
		if e := c.hosts.get(s.Host); e != nil && !slices.ContainsFunc(news.Hosts, same) {
			news.Hosts = append(news.Hosts, e.row)
		}
	}
	return news
}

// compareRows starts an exchange of rows when the tables differ for longer
// than news takes to arrive.
func (c *Core) compareRowsHash(from netip.AddrPort, rows uint64) {
	if rows == c.rowsHash() {
		delete(c.probes.mismatches, from)
		return
	}
	c.probes.mismatches[from]++
	if c.probes.mismatches[from] >= syncMismatchThreshold {
		c.requestSync(from)
	} else {
		c.scheduleUpdateCheck(from)
	}
}

func (c *Core) requestSync(to netip.AddrPort) {
	if c.probes.mismatches[to] < 0 {
		return
	}
	c.probes.mismatches[to] = -syncCooldownProbes
	c.send(to, message.SyncRequest{Hashes: c.zoneHashes(), Reply: true})
}

func (c *Core) receiveSyncRequest(from netip.AddrPort, m message.SyncRequest) {
	own := c.zoneHashes()
	zones := make(map[host.AvailabilityZone]bool)
	for zone, h := range own {
		if m.Hashes[zone] != h {
			zones[zone] = true
		}
	}
	for zone, h := range m.Hashes {
		if own[zone] != h {
			zones[zone] = true
		}
	}
	if len(zones) == 0 {
		return
	}
	c.send(from, message.Sync{Rows: c.rowsInZones(func(z host.AvailabilityZone) bool { return zones[z] }), Summary: c.localHead()})
	if m.Reply {
		c.send(from, message.SyncRequest{Hashes: own})
	}
}

// rowsOf returns the rows of the zones that match.
func (c *Core) rowsInZones(match func(host.AvailabilityZone) bool) message.RowUpdate {
	var news message.RowUpdate
	for _, id := range slices.Sorted(maps.Keys(c.hosts.entries)) {
		if e := c.hosts.entries[id]; match(e.row.Zone) {
			news.Hosts = append(news.Hosts, e.row)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.servers.rows)) {
		s := c.servers.rows[id]
		if e := c.hosts.get(s.Host); e != nil && match(e.row.Zone) {
			news.Servers = append(news.Servers, s)
		}
	}
	return news
}
