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
type Record struct {
	Host    host.Row
	Servers []backend.Server
}

const (
	// keptDepartures is the number of backend servers that have left which a host
	// remembers. A late announcement of one of them must not bring it back.
	keptDepartures = 8
	// publishRetry is the time after which the record is written again when the
	// table had another one than expected.
	publishRetry = 300 * time.Millisecond
	// forgetAfter is the time for which a host is dead before the root of its zone
	// removes its record, so that starting daemons do not look for it. A host that
	// was only cut off writes it again.
	forgetAfter = time.Minute
)

// recordState is the progress of writing this host's record.
type recordState struct {
	read    bool   // the record that the table has is known
	written Record // as far as is known
	absent  bool   // the table has none
	writing bool
	retryAt time.Time
	ticket  uint64 // of the last change that the record must contain
	settled uint64 // of the last change that the table has
	adopted bool   // backend servers of an earlier run were taken over
}

// ownRecord returns the record that the table should have.
func (c *Core) ownRecord() Record {
	self := c.self()
	r := Record{Host: host.Row{ID: self.ID, Zone: self.Zone, Region: self.Region, ControlAddr: self.ControlAddr, GateAddr: self.GateAddr, Capacity: self.Capacity}}
	for _, id := range slices.Sorted(slices.Values(c.servers.byHost[self.ID])) {
		s := c.servers.rows[id]
		s.Stamp = host.Stamp{}
		r.Servers = append(r.Servers, s)
	}
	return r
}

func (r Record) equal(o Record) bool { return r.Host == o.Host && slices.Equal(r.Servers, o.Servers) }

// runPublish writes the record when it differs from that in the table.
func (c *Core) runPublish() {
	r := &c.record
	if !r.read || r.writing || c.now.Before(r.retryAt) || !c.mayCall() {
		return
	}
	own := c.ownRecord()
	if !r.absent && own.equal(r.written) {
		c.settleTickets()
		return
	}
	r.writing = true
	c.beginCall()
	c.emit(Publish{Record: own, Ticket: r.ticket})
}

// settleTickets reports that the table has all changes of this host.
func (c *Core) settleTickets() {
	r := &c.record
	if r.settled < r.ticket {
		r.settled = r.ticket
		c.emit(Settled{Ticket: r.ticket})
	}
}

func (c *Core) published(e Published) {
	r := &c.record
	r.writing = false
	c.callDone(e.Err)
	if e.Err != nil {
		r.retryAt = c.now.Add(publishRetry/2 + c.jitter(publishRetry))
		c.note(Note{Kind: "record-not-written", Detail: e.Err.Error()})
		return
	}
	r.retryAt = time.Time{}
	r.written, r.absent = e.Record, false
	c.join.recordWritten(c.now)
	r.settled = max(r.settled, e.Ticket)
	c.emit(Settled{Ticket: e.Ticket})
}

// takeOwnRecord takes what the table has of this host: its backend servers of an
// earlier run, unless they have announced themselves since.
func (c *Core) takeOwnRecord(r Record, found bool) {
	c.record.read, c.record.absent, c.record.written = true, !found, r
	if c.record.adopted || !found {
		return
	}
	c.record.adopted = true
	var servers []backend.Server
	for _, s := range r.Servers {
		if _, announced := c.servers.rows[s.ID]; !announced {
			servers = append(servers, s)
		}
	}
	if len(servers) > 0 {
		c.emit(Adopt{Servers: servers})
	}
}

// takeRecord takes another host for alive that is in the table and unknown here.
// What it publishes itself replaces these rows.
func (c *Core) takeRecord(r Record) bool {
	row := r.Host
	if row.ID == "" || row.Zone == "" || !row.ControlAddr.IsValid() || c.hosts.get(row.ID) != nil {
		return false
	}
	if c.hosts.byAddr[row.ControlAddr] != nil || row.ControlAddr == c.config.Self.ControlAddr {
		return false // its address belongs to another host now
	}
	row.State, row.Stamp = host.Alive, host.Stamp{}
	c.hosts.put(row, c.now)
	c.news.addHost(row.ID, noPeer)
	for _, s := range r.Servers {
		s.Host, s.Stamp = row.ID, host.Stamp{}
		if _, known := c.servers.rows[s.ID]; !known {
			c.servers.put(s)
			c.news.addServer(s.ID, noPeer)
		}
	}
	return true
}

// dropDepartures forgets the oldest departures of a host.
func (c *Core) dropDepartures(id host.ID) {
	var gone []backend.Server
	for _, sid := range c.servers.byHost[id] {
		if s := c.servers.rows[sid]; s.State == backend.Gone {
			gone = append(gone, s)
		}
	}
	if len(gone) <= keptDepartures {
		return
	}
	slices.SortFunc(gone, func(a, b backend.Server) int {
		return cmp.Or(b.Stamp.Compare(a.Stamp), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range gone[keptDepartures:] {
		c.servers.remove(s)
	}
}

// runForget lets the root of a zone remove the records of its dead hosts.
func (c *Core) runForget() {
	if !c.overlay.isRoot() || !c.record.read || !c.mayCall() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.hosts.dead)) {
		e := c.hosts.dead[id]
		if e.row.Zone == c.config.Self.Zone && !e.forgotten && c.now.Sub(e.changedAt) >= forgetAfter {
			e.forgotten = true
			c.emit(Forget{Host: e.row})
		}
	}
}
