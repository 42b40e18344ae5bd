package fleet

import (
	"cmp"
	"errors"
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// defaultHeadPollWait is the longest wait of one read of the head row for a
	// change.
	defaultHeadPollWait = 2 * time.Second
	// staleFactor is the age of the last confirmation, as a multiple of the poll
	// wait, from which hosts other than the reader read the head row.
	staleFactor = 1.6
	// confirmFactor is the age of the last confirmation, as a multiple of the poll
	// wait, by which the reader ends its next read. The remaining time up to
	// staleFactor allows for delivery to the other hosts.
	confirmFactor = 1.4
	// readDelayPerRank delays the reads of each host by its reader rank, up to
	// maxReadDelay, so that the first host confirms the head row for the others. It
	// also delays the queries of a host to other regions by its zone rank.
	readDelayPerRank = 120 * time.Millisecond
	maxReadDelay     = 500 * time.Millisecond
	// minChangeInterval is the minimum time between reads that return a change.
	// Of several versions accepted within it, the reader distributes only the
	// newest.
	minChangeInterval = 400 * time.Millisecond
	// announceGrace is how long this host waits for a version that the head row
	// names to arrive from a peer, before it loads the version from the object
	// store. In this time, the accepting daemon announces its version, and a
	// starting daemon gets the newest version from a peer.
	announceGrace     = 900 * time.Millisecond
	readAnswerTimeout = 2 * time.Second
	loadAnswerTimeout = 10 * time.Second
	readerHashLabel   = "reader"
	// minConfirmInterval is the minimum difference between the times of two
	// forwarded confirmations.
	minConfirmInterval = 200 * time.Millisecond
	// confirmAgeMargin allows for errors in the age of a confirmation.
	confirmAgeMargin = 100 * time.Millisecond
	// behindReadDelay is how long a host knows of a newer version that no peer
	// delivers before it reads the head row.
	behindReadDelay        = 500 * time.Millisecond
	behindReadDelayPerRank = 50 * time.Millisecond // added for each reader rank
	// regionQueryFactor is the age of the last confirmation, as a multiple of the
	// poll wait, from which hosts that are not near the platform table, or get no
	// answer from it, query another region every regionQueryInterval.
	// regionQueryHosts is both the number of such hosts in a zone and the number of
	// hosts that they query in turn.
	regionQueryFactor   = 1.3
	regionQueryInterval = 400 * time.Millisecond
	regionQueryHosts    = 3
	// nearTableLatency is the read latency below which a host counts as near the
	// platform table.
	nearTableLatency = 12 * time.Millisecond
	// readOverdueAfter is how long a read may be overdue before the reader yields
	// its role to a host that gets answers from the platform table. It tries again
	// after readerRetryInterval.
	readOverdueAfter    = 400 * time.Millisecond
	readerRetryInterval = 30 * time.Second
)

// readerState tracks the polling of the head row. The reader is the host of
// reader rank 0. It polls the head row and confirms its content to the others.
type readerState struct {
	nextReadAt     time.Time
	readStartedAt  time.Time
	readMaxWait    time.Duration
	readPending    bool
	pendingReads   map[uint64]pendingRead // reads in progress by ID
	lastHead       headState              // last content read by this or another host
	lastReadFailed bool                   // the last read failed
	missingVersion version.Number         // newer version named by the head row but not retained yet
	missingSince   time.Time
	loadingVersion version.Number
	loadStartedAt  time.Time
	confirmedAt    time.Time // latest time at which the head row is known to have named no newer version
	lastForwarded  time.Time // time of the last confirmation that was forwarded
	// behindSince is the start of the delay before the head row is read because a
	// known newer version is not retained; zero if there is no such version.
	behindSince     time.Time
	minLatency      time.Duration // lowest read latency; 0 before the first read
	regionQueriedAt time.Time
	regionQueries   int
	yieldedAt       time.Time // when this host yielded the reader role; zero if it has not
}

// headState is the version that the head row named, and the position of that
// content in the sequence of changes.
type headState struct {
	position version.Position
	number   version.Number
}

// pendingRead is a read of the head row in progress.
type pendingRead struct {
	startedAt time.Time
	maxWait   time.Duration
	after     headState // the read returns only changes after this state
}

// readPosition returns the state after which the next read requests changes. If
// this host does not hold that version, it requests the row itself because the
// change would not be returned again.
func (c *Core) readPosition() headState {
	if h := c.reader.lastHead; c.versions.highestRetained >= h.number {
		return h
	}
	return headState{}
}

// currentAsOf returns the latest time at which the head row certainly matched
// the result. A long poll without a change was answered at the end of its wait.
func (p pendingRead) currentAsOf(now time.Time, changed bool) time.Time {
	at := p.startedAt
	if !changed {
		at = at.Add(p.maxWait)
	}
	if at.After(now) {
		return now
	}
	return at
}

// runReader reads the head row if this host is the reader, if no host has
// confirmed it for too long, if a known newer version does not arrive, or to try
// again after yielding the role.
func (c *Core) runReader() {
	r := &c.reader
	c.queryOtherRegions()
	if r.readPending && c.now.Sub(r.readStartedAt) > r.readMaxWait+readAnswerTimeout {
		c.readFailed(errReadTimeout)
	}
	if r.readPending || c.now.Before(r.nextReadAt) || !c.join.initialReadDone || !c.mayCallTable() {
		return
	}
	rank := c.readerRank()
	if !r.yieldedAt.IsZero() && c.now.Sub(r.yieldedAt) >= readerRetryInterval {
		r.yieldedAt = c.now
		c.readHead(0)
		return
	}
	if rank > 0 && c.now.Sub(r.confirmedAt) < c.staleAfter(rank) {
		if c.isBehind(rank) {
			c.readHead(0)
			r.behindSince = c.now // the next such read follows after the same delay
		}
		return
	}
	if rank > 0 || r.lastReadFailed {
		c.readHead(0)
		return
	}
	c.readHead(c.nextPollWait())
}

// nextPollWait returns the wait of the reader's next read. It is shorter after
// a read that returned a change, since that confirmation counts from the start
// of the read.
func (c *Core) nextPollWait() time.Duration {
	due := c.reader.confirmedAt.Add(time.Duration(confirmFactor * float64(c.headPollWait())))
	return min(max(due.Sub(c.now), 0), c.headPollWait())
}

// queryOtherRegions requests a newer version from other regions when the head
// row has not been confirmed for a while: the host that connects this region
// may be dead, and the platform table may be far away or not answer. The
// first hosts of each zone do this because a dead root disconnects its zone as
// well. Each query goes to a different host, which does not answer if it has no
// newer version.
func (c *Core) queryOtherRegions() {
	r, v := &c.reader, &c.versions
	tableNear := c.selfRow().NearTable && c.backoff.failedAt.IsZero()
	if tableNear || v.highestRetained == 0 || c.now.Sub(r.regionQueriedAt) < regionQueryInterval {
		return
	}
	rank := c.overlay.zoneRank
	maxAge := time.Duration(regionQueryFactor*float64(c.headPollWait())) + time.Duration(rank)*readDelayPerRank
	if rank < 0 || rank >= regionQueryHosts || c.now.Sub(r.confirmedAt) < maxAge {
		return
	}
	r.regionQueriedAt = c.now
	for _, region := range c.overlay.otherRegions(c.config.Self.Region) {
		candidates := c.overlay.linkCandidates(region)
		if len(candidates) == 0 {
			continue
		}
		to := candidates[r.regionQueries%min(len(candidates), regionQueryHosts)].row.ControlAddr
		c.send(to, message.Fetch{Number: v.highestRetained + 1, Base: v.highestRetained})
	}
	r.regionQueries++
}

// isBehind reports whether a newer version has been known for a while without
// arriving. The time grows with the reader rank, so that not every host reads
// the head row in a fleet that starts without any version.
func (c *Core) isBehind(rank int) bool {
	r := &c.reader
	if c.versions.highestKnown <= c.versions.highestRetained {
		r.behindSince = time.Time{}
		return false
	}
	if r.behindSince.IsZero() {
		r.behindSince = c.now
	}
	return c.now.Sub(r.behindSince) >= behindReadDelay+time.Duration(rank)*behindReadDelayPerRank
}

func (c *Core) headPollWait() time.Duration {
	return cmp.Or(c.config.HeadPollWait, defaultHeadPollWait)
}

// staleAfter returns the age of a confirmation from which a host of the given
// reader rank reads the head row itself.
func (c *Core) staleAfter(rank int) time.Duration {
	return time.Duration(staleFactor*float64(c.headPollWait())) + min(time.Duration(rank)*readDelayPerRank, maxReadDelay)
}

// readerRank returns the number of live hosts that should read the head row
// before this one. Hosts near the platform table come first. Those in another
// region count as one because their messages may be delayed on the way to this
// region.
func (c *Core) readerRank() int {
	self := c.selfRow()
	rank, otherRegion := 0, 0
	for zone, order := range c.overlay.preferredByZone {
		if zone != self.Zone && c.probes.unreachable(zone) {
			continue
		}
		for _, e := range order {
			if e.row.State != host.Alive || e.row.ID == self.ID {
				continue
			}
			switch {
			case !readsBefore(e.row, self):
			case e.row.NearTable && e.row.Region != self.Region:
				otherRegion = 1
			default:
				rank++
			}
		}
	}
	return rank + otherRegion
}

// readsBefore reports whether host a precedes host b in the order of readers.
func readsBefore(a, b host.Row) bool {
	switch {
	case a.NearTable != b.NearTable:
		return a.NearTable
	case a.Capacity != b.Capacity:
		return a.Capacity > b.Capacity
	default:
		return hashStrings(readerHashLabel, string(a.ID)) < hashStrings(readerHashLabel, string(b.ID))
	}
}

// recordReadLatency records the latency of a read. If it shows that this host
// is near the platform table, the host publishes that.
func (c *Core) recordReadLatency(latency time.Duration) {
	r := &c.reader
	if latency <= 0 || r.minLatency != 0 && latency >= r.minLatency {
		return
	}
	r.minLatency = latency
	if latency < nearTableLatency {
		c.setNearTable(true)
	}
}

// setNearTable publishes whether this host is near the platform table.
func (c *Core) setNearTable(near bool) {
	own := c.selfRow()
	if own.NearTable == near || own.State == host.Left {
		return
	}
	own.NearTable = near
	own.Stamp = c.nextStamp()
	c.config.Self.NearTable = near
	c.hosts.put(own, c.now)
	c.updates.queueHost(own.ID, noSender)
}

// yieldReaderRole gives up the reader role if the platform table has answered
// another host while this one had no answer. Otherwise the others would wait
// for this host again after each of their reads.
func (c *Core) yieldReaderRole(answeredAt time.Time) {
	r := &c.reader
	due := r.readStartedAt.Add(r.readMaxWait)
	overdue := r.readPending && c.now.Sub(due) > readOverdueAfter && answeredAt.After(due)
	failed := !c.backoff.failedAt.IsZero() && answeredAt.After(c.backoff.failedAt)
	if !overdue && !failed || !c.selfRow().NearTable || c.readerRank() > 0 {
		return
	}
	r.minLatency, r.yieldedAt = 0, c.now
	c.setNearTable(false)
	c.recordEvent(TimelineEvent{Kind: "reading-yielded", Host: c.config.Self.ID})
}

func (c *Core) handleReadHeadResult(e ReadHeadResult) {
	r := &c.reader
	request := r.pendingReads[e.ReadID]
	delete(r.pendingReads, e.ReadID)
	if e.Err != nil {
		c.readFailed(e.Err)
		return
	}
	r.readPending = false
	c.tableCallDone(nil)
	if e.Latency > 0 && r.readMaxWait == 0 {
		c.recordReadLatency(e.Latency)
	}
	c.receiveOrders(e, r.lastReadFailed)
	r.lastReadFailed, r.yieldedAt = false, time.Time{}
	r.nextReadAt = c.now
	n := e.Manifest.Number
	if n == 0 {
		n = request.after.number
	}
	if e.Position >= r.lastHead.position {
		c.checkEra(e.Position)
		r.lastHead = headState{e.Position, n}
	}
	asOf := request.currentAsOf(c.now, n > c.versions.highestKnown)
	if n > c.versions.highestKnown {
		r.nextReadAt = c.now.Add(minChangeInterval)
	}
	// The fleet status compares applied versions with this one, even if no object
	// store returns it.
	c.versions.highestKnown = max(c.versions.highestKnown, n)
	c.setFloor(n)
	c.answerFloorRequests(e.ReadID, n)
	c.confirmHead(asOf, n, noSender)
	if n <= c.versions.highestRetained {
		return
	}
	if e.Snapshot.Number() == n {
		c.recordEvent(TimelineEvent{Kind: "version-read", Version: n})
		c.addVersion(e.Snapshot, noSender)
		return
	}
	if r.missingVersion != n {
		r.missingVersion, r.missingSince = n, c.now
	}
	if c.now.Sub(r.missingSince) < announceGrace {
		return
	}
	c.loadVersion(e)
}

// errReadTimeout is the error of a read of the head row that returned no result
// in time.
var errReadTimeout = errors.New("read of the head row timed out")

// readFailed ends a read without a result.
func (c *Core) readFailed(err error) {
	c.floorReads.pendingRequests = nil // the requesting hosts read the head row themselves
	c.reader.readPending, c.reader.lastReadFailed = false, true
	c.tableCallDone(err)
}

// confirmHead records that the head row named version n at the given time and
// forwards the confirmation along the tree.
func (c *Core) confirmHead(at time.Time, n version.Number, from netip.AddrPort) {
	r := &c.reader
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	c.versions.highestKnown = max(c.versions.highestKnown, n)
	if at.Sub(r.lastForwarded) < minConfirmInterval {
		return
	}
	r.lastForwarded = at
	age := uint32(max(0, c.now.Sub(at).Milliseconds()))
	var position version.Position
	if r.lastHead.number == n {
		position = r.lastHead.position
	}
	sender := c.hosts.byAddr[from]
	for _, e := range c.neighbors() {
		if e.spanning && e.addr != from && c.needsConfirm(e, sender) {
			c.send(e.addr, message.HeadConfirmation{Number: n, AgeMS: age, Position: position})
		}
	}
}

// needsConfirm reports whether a neighbor gets a confirmation from this host. A
// confirmation from another zone is forwarded within this zone, and to other
// regions if it came from this region. The other zones got it from the sender.
func (c *Core) needsConfirm(to neighbor, sender *hostEntry) bool {
	if sender == nil || sender.row.Zone == c.config.Self.Zone {
		return true
	}
	e := c.hosts.byAddr[to.addr]
	switch {
	case e == nil:
		return false
	case to.crossRegion:
		return sender.row.Region == c.config.Self.Region
	case sender.row.Region != c.config.Self.Region:
		return true
	default:
		return e.row.Zone == c.config.Self.Zone
	}
}

// receiveConfirm handles a confirmation by another host. If the read began
// after this daemon started, the confirmed version also sets the version floor.
func (c *Core) receiveConfirm(from netip.AddrPort, m message.HeadConfirmation) {
	at := c.now.Add(-time.Duration(m.AgeMS)*time.Millisecond - c.estimatedTransit(from))
	if at.After(c.config.Started.Add(confirmAgeMargin)) {
		c.setFloor(m.Number)
	}
	if m.Position > c.reader.lastHead.position {
		c.checkEra(m.Position)
		c.rollouts.ordersMissing = true // this host did not read the changes in between
		c.reader.lastHead = headState{m.Position, m.Number}
	}
	c.yieldReaderRole(at)
	if at.After(c.reader.confirmedAt) {
		c.confirmHead(at, m.Number, from)
	}
}

// crossRegionTransit and sameRegionTransit are the assumed delivery times of a
// message from another region and from another host of the same region.
const (
	crossRegionTransit = 15 * time.Millisecond
	sameRegionTransit  = 2 * time.Millisecond
)

func (c *Core) estimatedTransit(from netip.AddrPort) time.Duration {
	if e := c.hosts.byAddr[from]; e != nil && e.row.Region != c.config.Self.Region {
		return crossRegionTransit
	}
	return sameRegionTransit
}

// loadVersion loads a version that the accepting daemon did not announce.
func (c *Core) loadVersion(e ReadHeadResult) {
	r := &c.reader
	n := e.Manifest.Number
	if r.loadingVersion == n && c.now.Sub(r.loadStartedAt) < loadAnswerTimeout {
		return
	}
	r.loadingVersion, r.loadStartedAt = n, c.now
	c.emit(LoadVersion{Manifest: e.Manifest, Base: c.versions.snapshots[c.versions.highestRetained]})
}

func (c *Core) handleLoadVersionResult(e LoadVersionResult) {
	c.reader.loadingVersion = 0
	if e.Err != nil {
		c.recordEvent(TimelineEvent{Kind: "load-failed", Detail: e.Err.Error()})
		return
	}
	c.recordEvent(TimelineEvent{Kind: "version-loaded", Version: e.Snapshot.Number()})
	c.addVersion(e.Snapshot, noSender)
}
