package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// Record is what the table keeps of a host, so that the fleet finds it and its
// backend servers again after daemons were down. Only the daemon of the host
// writes it. Rows in it have no stamps and no state of the host.
type HostRecord struct {
	Host    host.Row
	Servers []backend.Server
}

const (
	// keptDepartures is the number of backend servers that have left which a host
	// remembers. A late announcement of one of them must not bring it back.
	maxGoneServers = 8
	// publishRetry is the time after which the record is written again when the
	// table had another one than expected.
	writeRetryDelay = 300 * time.Millisecond
	// forgetAfter is the time for which a host is dead before the root of its zone
	// removes its record, so that starting daemons do not look for it. A host that
	// was only cut off writes it again.
	deleteRecordAfter = time.Minute
)

// recordState is the progress of writing this host's record.
type recordState struct {
	loaded          bool       // the record that the table has is known
	stored          HostRecord // as far as is known
	missing         bool       // the table has none
	writePending    bool
	retryAt         time.Time
	lastTicket      uint64 // of the last change that the record must contain
	confirmedTicket uint64 // of the last change that the table has
	serversAdopted  bool   // backend servers of an earlier run were taken over
}

// ownRecord returns the record that the table should have.
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

// runPublish writes the record when it differs from that in the table.
func (c *Core) runWriteRecord() {
	r := &c.record
	if !r.loaded || r.writePending || c.now.Before(r.retryAt) || !c.mayCallTable() {
		return
	}
	own := c.ownRecord()
	if !r.missing && own.equal(r.stored) {
		c.confirmTickets()
		return
	}
	r.writePending = true
	c.tableCallStarted()
	c.emit(WriteRecord{Record: own, Ticket: r.lastTicket})
}

// settleTickets reports that the table has all changes of this host.
func (c *Core) confirmTickets() {
	r := &c.record
	if r.confirmedTicket < r.lastTicket {
		r.confirmedTicket = r.lastTicket
		c.emit(ConfirmTicket{Ticket: r.lastTicket})
	}
}

func (c *Core) handleWriteRecordResult(e WriteRecordResult) {
	r := &c.record
	r.writePending = false
	c.tableCallDone(e.Err)
	if e.Err != nil {
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

// takeOwnRecord takes what the table has of this host: its backend servers of an
// earlier run, unless they have announced themselves since.
func (c *Core) loadOwnRecord(r HostRecord, found bool) {
	c.record.loaded, c.record.missing, c.record.stored = true, !found, r
	if c.record.serversAdopted || !found {
		return
	}
	c.record.serversAdopted = true
	var servers []backend.Server
	for _, s := range r.Servers {
		if _, announced := c.servers.rows[s.ID]; !announced {
			servers = append(servers, s)
		}
	}
	if len(servers) > 0 {
		c.emit(AdoptServers{Servers: servers})
	}
}

// takeRecord takes another host for alive that is in the table and unknown here.
// What it publishes itself replaces these rows.
func (c *Core) addHostFromRecord(r HostRecord) bool {
	row := r.Host
	if row.ID == "" || row.Zone == "" || !row.ControlAddr.IsValid() || c.hosts.get(row.ID) != nil {
		return false
	}
	if c.hosts.byAddr[row.ControlAddr] != nil || row.ControlAddr == c.config.Self.ControlAddr {
		return false // its address belongs to another host now
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

// dropDepartures forgets the oldest departures of a host.
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

// runForget lets the root of a zone remove the records of its dead hosts.
func (c *Core) runDeleteRecords() {
	if !c.overlay.isZoneRoot() || !c.record.loaded || !c.mayCallTable() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.hosts.dead)) {
		e := c.hosts.dead[id]
		if e.row.Zone == c.config.Self.Zone && !e.recordDeleted && c.now.Sub(e.changedAt) >= deleteRecordAfter {
			e.recordDeleted = true
			c.emit(DeleteRecord{Host: e.row})
		}
	}
}
