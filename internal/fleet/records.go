package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/version"
)

// HostRecord is what the platform table stores about a host, so that the fleet
// finds the host and its backend servers again after daemons were down. Only
// the daemon of the host writes it. Its rows have no stamps and no host state.
type HostRecord struct {
	Host    host.Row
	Servers []backend.Server
}

const (
	// maxGoneServers is the number of rows of gone servers that are kept for each
	// host, so that a late announcement does not restore those servers.
	maxGoneServers = 8
	// writeRetryDelay is the average time after which a failed write of the record
	// is repeated, for example after a revision conflict.
	writeRetryDelay = 300 * time.Millisecond
	// deleteRecordAfter is how long a host has been dead before the root of its
	// zone deletes its record, so that starting daemons do not try to contact it.
	// A host that was only disconnected writes its record again.
	deleteRecordAfter = time.Minute
)

// hostRecordState tracks the record of this host in the platform table.
type hostRecordState struct {
	loaded          bool       // the stored record is known
	stored          HostRecord // last known content
	missing         bool       // the table has no record
	rewrite         bool       // the table may have lost the record
	writePending    bool
	retryAt         time.Time
	lastTicket      uint64 // ticket of the last change that the record must contain
	confirmedTicket uint64 // ticket of the last change that the table contains
	serversRestored bool   // the stored backend servers of an earlier run were handled
	restoring       int    // RestoreServers effects without a ServersRestored event yet
}

// ownRecord returns the record that the platform table should contain.
func (c *Core) ownRecord() HostRecord {
	self := c.selfRow()
	r := HostRecord{Host: host.Row{ID: self.ID, Zone: self.Zone, Region: self.Region, ControlAddr: self.ControlAddr, GateAddr: self.GateAddr, Capacity: self.Capacity}}
	for _, id := range slices.Sorted(slices.Values(c.servers.byHost[self.ID])) {
		s := c.servers.rows[id]
		s.Stamp = host.Stamp{}
		r.Servers = append(r.Servers, s)
	}
	return r
}

func (r HostRecord) equal(o HostRecord) bool {
	return r.Host == o.Host && slices.Equal(r.Servers, o.Servers)
}

// runWriteRecord writes the record if it differs from the stored one.
func (c *Core) runWriteRecord() {
	r := &c.hostRecord
	if !r.loaded || r.restoring > 0 || r.writePending || c.now.Before(r.retryAt) || !c.mayCallTable() {
		return
	}
	own := c.ownRecord()
	if !r.missing && !r.rewrite && own.equal(r.stored) {
		c.confirmTickets()
		return
	}
	r.writePending, r.rewrite = true, false
	c.tableCallStarted()
	c.emit(WriteRecord{Record: own, Ticket: r.lastTicket})
}

// rewriteSpread is the time over which the hosts write their records again after the
// platform table has lost changes.
const rewriteSpread = time.Second

// checkEra notices that the platform has lost changes, and writes the record of this host
// again: the lost one may have held departures that were acknowledged.
func (c *Core) checkEra(p version.Position) {
	last := c.reader.lastHead.position
	if last == 0 || p.Era() <= last.Era() {
		return
	}
	c.recordEvent(TimelineEvent{Kind: "platform-changes-lost", Detail: fmt.Sprintf("era %d after era %d", p.Era(), last.Era())})
	c.hostRecord.rewrite = true
	c.hostRecord.retryAt = c.now.Add(c.jitter(rewriteSpread))
	for _, e := range c.hosts.dead {
		e.recordDeletionRequested = false // a deleted record may be back
	}
}

// confirmTickets reports that the platform table contains all changes of this
// host.
func (c *Core) confirmTickets() {
	r := &c.hostRecord
	if r.confirmedTicket < r.lastTicket {
		r.confirmedTicket = r.lastTicket
		c.emit(ConfirmTicket{Ticket: r.lastTicket})
	}
}

func (c *Core) handleWriteRecordResult(e WriteRecordResult) {
	r := &c.hostRecord
	r.writePending = false
	c.tableCallDone(e.Err)
	if e.Err != nil {
		r.rewrite = true // whether the table has the stored record is not known any more
		r.retryAt = c.now.Add(writeRetryDelay/2 + c.jitter(writeRetryDelay))
		c.recordEvent(TimelineEvent{Kind: "record-not-written", Detail: e.Err.Error()})
		return
	}
	r.retryAt = time.Time{}
	r.stored, r.missing = e.Record, false
	c.join.scheduleReread(c.now)
	r.confirmedTicket = max(r.confirmedTicket, e.Ticket)
	c.emit(ConfirmTicket{Ticket: e.Ticket})
}

// setStoredRecord records what the platform table stores about this host, and
// restores the backend servers of an earlier run. Until that is done, the record is
// not written: a late announcement that arrived before must not replace what is
// stored.
func (c *Core) setStoredRecord(r HostRecord, found bool) {
	c.hostRecord.loaded, c.hostRecord.missing, c.hostRecord.stored = true, !found, r
	if c.hostRecord.serversRestored || !found {
		return
	}
	c.hostRecord.serversRestored = true
	c.restoreServers(slices.Clone(r.Servers))
}

// restoreServers restores backend servers that an earlier run of this daemon knew,
// the one that started last at the end: the oldest rows of gone servers are pruned
// first.
func (c *Core) restoreServers(servers []backend.Server) {
	if len(servers) == 0 {
		return
	}
	slices.SortStableFunc(servers, func(a, b backend.Server) int { return cmp.Compare(a.Started, b.Started) })
	c.hostRecord.restoring++
	c.emit(RestoreServers{Servers: servers})
}

// restoreFromPeer restores a backend server of this host that an earlier run of the
// daemon published as leaving. Peers still know that when the platform table can't
// be read. Rows of this run are older than what it knows itself.
func (c *Core) restoreFromPeer(s backend.Server) {
	if s.State < backend.Draining || s.Stamp.Incarnation >= c.firstIncarnation() {
		return
	}
	if own, known := c.servers.rows[s.ID]; known && !leftAfter(s, own) {
		return
	}
	c.restoreServers([]backend.Server{s})
}

// leftAfter reports whether a row with state draining or gone is from after another
// row of the same server. A run that is gone does not return.
func leftAfter(left, row backend.Server) bool {
	switch {
	case left.Started != row.Started:
		return left.Started > row.Started
	case left.State == backend.Gone:
		return row.State != backend.Gone
	default:
		return row.State < backend.Draining && left.Sequence > row.Sequence
	}
}

// addHostFromRecord adds a host that is in the platform table but unknown here,
// and assumes that it is alive. Rows that the host publishes itself replace
// these. It reports whether it added the host.
func (c *Core) addHostFromRecord(r HostRecord) bool {
	row := r.Host
	if row.ID == "" || row.Zone == "" || !row.ControlAddr.IsValid() || c.hosts.get(row.ID) != nil {
		return false
	}
	if c.hosts.byAddr[row.ControlAddr] != nil || row.ControlAddr == c.config.Self.ControlAddr {
		return false // the address belongs to another host now
	}
	row.State, row.Stamp = host.Alive, host.Stamp{}
	c.hosts.put(row, c.now)
	c.updates.queueHost(row.ID, noSender)
	for _, s := range r.Servers {
		s.Host, s.Stamp = row.ID, host.Stamp{}
		if _, known := c.servers.rows[s.ID]; !known {
			c.servers.put(s)
			c.updates.queueServer(s.ID, noSender)
		}
	}
	return true
}

// pruneGoneServers removes the oldest rows of gone servers of a host.
func (c *Core) pruneGoneServers(id host.ID) {
	var gone []backend.Server
	for _, sid := range c.servers.byHost[id] {
		if s := c.servers.rows[sid]; s.State == backend.Gone {
			gone = append(gone, s)
		}
	}
	if len(gone) <= maxGoneServers {
		return
	}
	slices.SortFunc(gone, func(a, b backend.Server) int {
		return cmp.Or(b.Stamp.Compare(a.Stamp), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range gone[maxGoneServers:] {
		c.servers.remove(s)
	}
}

// runDeleteRecords makes the root of a zone delete the records of its dead
// hosts.
func (c *Core) runDeleteRecords() {
	if !c.overlay.isZoneRoot() || !c.hostRecord.loaded || !c.mayCallTable() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.hosts.dead)) {
		e := c.hosts.dead[id]
		if e.row.Zone == c.config.Self.Zone && !e.recordDeletionRequested && c.now.Sub(e.changedAt) >= deleteRecordAfter {
			e.recordDeletionRequested = true
			c.emit(DeleteRecord{Host: e.row})
		}
	}
}
