package fleet

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
)

const (
	// updateFlushInterval is the time over which row updates are collected into
	// one message per neighbor.
	updateFlushInterval = 100 * time.Millisecond
	// syncMismatchThreshold is the number of consecutive hash mismatches that
	// start an exchange of rows. A single mismatch may come from updates that are
	// still in transit.
	syncMismatchThreshold = 2
	// syncCooldownProbes is the number of mismatching probes after an exchange that
	// do not count towards syncMismatchThreshold.
	syncCooldownProbes = 2
	// refusedRowInterval bounds the events about rows that can't be used.
	refusedRowInterval = 10 * time.Second
)

// updateState holds the row updates to forward, with the neighbor that each
// came from.
type updateState struct {
	hosts        map[host.ID]netip.AddrPort
	servers      map[backend.ServerID]netip.AddrPort
	nextFlushAt  time.Time
	lastSequence host.Sequence // last sequence number of this host's rows
	nextPurgeAt  time.Time
	// nextRefusalAt is the time from which a row that can't be used is recorded again.
	nextRefusalAt time.Time
}

func (u *updateState) init() {
	u.hosts = make(map[host.ID]netip.AddrPort)
	u.servers = make(map[backend.ServerID]netip.AddrPort)
}

// queueHost queues a host row for all neighbors except from. The zero value
// stands for no sender.
func (u *updateState) queueHost(id host.ID, from netip.AddrPort) { u.hosts[id] = from }

// queueServer queues a server row in the same way.
func (u *updateState) queueServer(id backend.ServerID, from netip.AddrPort) { u.servers[id] = from }

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

// queueOwnRows queues the rows of this host and its backend servers for all
// neighbors.
func (c *Core) queueOwnRows() {
	c.updates.queueHost(c.config.Self.ID, noSender)
	for _, id := range c.servers.byHost[c.config.Self.ID] {
		c.updates.queueServer(id, noSender)
	}
}

// announceShutdown publishes that this host is shutting down as planned. This
// takes its backend servers out of use until the daemon is running again,
// without changing the state of the servers themselves.
func (c *Core) announceShutdown() {
	row := c.selfRow()
	row.State = host.Left
	row.Stamp = c.nextStamp()
	c.hosts.put(row, c.now)
	c.updates.queueHost(row.ID, netip.AddrPort{})
	c.updates.nextFlushAt = c.now
	// Flush before the overlay is refreshed: it still contains this host, whose
	// edges are needed once more.
	c.flushUpdates()
	c.recordEvent(TimelineEvent{Kind: "host-left", Host: row.ID})
}

// mergeUpdates stores the rows that are newer than the known ones.
func (c *Core) mergeUpdates(updates message.RowUpdate, from netip.AddrPort) {
	changed := false
	for _, row := range updates.Hosts {
		changed = c.mergeHost(row, from) || changed
	}
	for _, s := range updates.Servers {
		changed = c.mergeServer(s, from) || changed
	}
	if changed {
		c.emit(RebuildRoutingTable{})
	}
}

// refuseRow records that a received row is skipped, at most once per
// refusedRowInterval. A peer with an unusable row sends it with each exchange of rows.
func (c *Core) refuseRow(err error, from netip.AddrPort) {
	if c.now.Before(c.updates.nextRefusalAt) {
		return
	}
	c.updates.nextRefusalAt = c.now.Add(refusedRowInterval)
	c.recordEvent(TimelineEvent{Kind: "row-refused", Detail: fmt.Sprintf("from %s: %v", from, err)})
}

func (c *Core) mergeHost(row host.Row, from netip.AddrPort) bool {
	if err := row.Check(); err != nil {
		c.refuseRow(err, from)
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

// markReplacedHost declares the host dead that previously had the control
// address of row.
func (c *Core) markReplacedHost(row host.Row) {
	e := c.hosts.byAddr[row.ControlAddr]
	if e == nil || e.row.ID == row.ID || !e.live() || row.State > host.Suspect || e.row.Stamp.Incarnation >= row.Stamp.Incarnation {
		return
	}
	c.setState(e, host.Dead)
	c.recordEvent(TimelineEvent{Kind: "host-replaced", Host: e.row.ID, Detail: string(row.ID)})
}

// removeStaleServers removes server rows that were published by earlier runs of
// a host's daemon.
func (c *Core) removeStaleServers(id host.ID, inc host.Incarnation) {
	for _, sid := range slices.Clone(c.servers.byHost[id]) {
		if s := c.servers.rows[sid]; s.Stamp.Incarnation < inc {
			c.servers.remove(s)
		}
	}
}

func (c *Core) mergeServer(s backend.Server, from netip.AddrPort) bool {
	err := s.Check()
	if err == nil && s.Host == "" {
		err = fmt.Errorf("backend server %q has no host", s.ID)
	}
	if err != nil {
		c.refuseRow(err, from)
		return false
	}
	if s.Host == c.config.Self.ID {
		c.restoreFromPeer(s)
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

// refute overrides a row about this host that this process did not publish: one
// of an earlier run, or one that declares the host suspect or dead.
func (c *Core) refute(row host.Row) {
	own := c.selfRow()
	if own.State == host.Left || !row.Supersedes(own) {
		return
	}
	own.State = host.Alive
	own.Stamp = host.Stamp{Incarnation: row.Stamp.Incarnation + 1}
	if row.State == host.Dead {
		c.hostRecord.missing = true // the record may have been deleted
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

// flushUpdates sends the collected row updates to all neighbors except the one
// that each row came from.
func (c *Core) flushUpdates() {
	u := &c.updates
	if len(u.hosts)+len(u.servers) == 0 || c.now.Before(u.nextFlushAt) {
		return
	}
	u.nextFlushAt = c.now.Add(updateFlushInterval)
	for _, e := range c.neighbors() {
		if updates := c.updatesFor(e.addr); len(updates.Hosts)+len(updates.Servers) > 0 {
			c.send(e.addr, updates)
			if e.crossRegion {
				c.scheduleUpdateCheck(e.addr)
			}
		}
	}
	clear(u.hosts)
	clear(u.servers)
}

// scheduleUpdateCheck schedules an early probe over the cross-region link,
// which detects whether the updates arrived.
func (c *Core) scheduleUpdateCheck(addr netip.AddrPort) {
	for _, t := range c.probes.targets {
		if t.addr == addr && t.group.region != "" && !t.pending && !t.checkUpdates {
			t.nextProbeAt, t.checkUpdates = c.now.Add(pushCheckDelay), true
		}
	}
}

func (c *Core) updatesFor(addr netip.AddrPort) message.RowUpdate {
	var updates message.RowUpdate
	for _, id := range slices.Sorted(maps.Keys(c.updates.hosts)) {
		if e := c.hosts.get(id); e != nil && c.updates.hosts[id] != addr {
			updates.Hosts = append(updates.Hosts, e.row)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.updates.servers)) {
		s, ok := c.servers.rows[id]
		if !ok || c.updates.servers[id] == addr {
			continue
		}
		updates.Servers = append(updates.Servers, s)
		// A server row is valid only together with the incarnation of the host
		// that published it, so the host row is sent too.
		isOwner := func(r host.Row) bool { return r.ID == s.Host }
		if e := c.hosts.get(s.Host); e != nil && !slices.ContainsFunc(updates.Hosts, isOwner) {
			updates.Hosts = append(updates.Hosts, e.row)
		}
	}
	return updates
}

// compareRowsHash requests an exchange of rows when the tables differ for
// longer than updates take to arrive.
func (c *Core) compareRowsHash(from netip.AddrPort, rows uint64) {
	if rows == c.rowsHash() {
		delete(c.probes.hashMismatches, from)
		return
	}
	c.probes.hashMismatches[from]++
	if c.probes.hashMismatches[from] >= syncMismatchThreshold {
		c.requestSync(from)
	} else {
		c.scheduleUpdateCheck(from)
	}
}

func (c *Core) requestSync(to netip.AddrPort) {
	if c.probes.hashMismatches[to] < 0 {
		return
	}
	c.probes.hashMismatches[to] = -syncCooldownProbes
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
	c.send(from, message.Sync{Rows: c.rowsInZones(func(z host.AvailabilityZone) bool { return zones[z] }), Summary: c.stateSummary()})
	if m.Reply {
		c.send(from, message.SyncRequest{Hashes: own})
	}
}

// rowsInZones returns the rows of the zones that match.
func (c *Core) rowsInZones(match func(host.AvailabilityZone) bool) message.RowUpdate {
	var rows message.RowUpdate
	for _, id := range slices.Sorted(maps.Keys(c.hosts.entries)) {
		if e := c.hosts.entries[id]; match(e.row.Zone) {
			rows.Hosts = append(rows.Hosts, e.row)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.servers.rows)) {
		s := c.servers.rows[id]
		if e := c.hosts.get(s.Host); e != nil && match(e.row.Zone) {
			rows.Servers = append(rows.Servers, s)
		}
	}
	return rows
}
