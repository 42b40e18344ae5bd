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
	// defaultWatch is the longest wait of one read of the head row for a change.
	defaultHeadPollWait = 2 * time.Second
	// staleFactor is the age of the last confirmed head row, in waits, from which
	// on other hosts than the reader read it.
	staleFactor = 1.6
	// confirmFactor is the greatest age of a confirmation, in waits, at the time of
	// the next one. What is left until staleFactor is for the way to the others.
	confirmFactor = 1.4
	// rankStep puts the reads of hosts off by their rank, so that the first one
	// confirms the head row for the others, up to maxRankDelay.
	readDelayPerRank = 120 * time.Millisecond
	maxReadDelay     = 500 * time.Millisecond
	// changeSpacing is the least time between reads that bring a change. Several
	// changes within it cost one version.
	minChangeInterval = 400 * time.Millisecond
	// acceptedGrace is the time for the accepting daemon to announce its version,
	// and for a starting daemon to get the newest version from a peer.
	announceGrace     = 900 * time.Millisecond
	readAnswerTimeout = 2 * time.Second
	loadAnswerTimeout = 10 * time.Second
	readerHashLabel   = "reader"
	// confirmSpacing is the least difference between confirmations that are passed
	// on.
	minConfirmInterval = 200 * time.Millisecond
	// floorMargin covers the errors of the age of a confirmation.
	confirmAgeMargin = 100 * time.Millisecond
	// behindFor is the time for which a host knows of a newer version, and no peer
	// gives it, before it reads the head row.
	behindReadDelay        = 500 * time.Millisecond
	behindReadDelayPerRank = 50 * time.Millisecond // for each rank
	// quietFactor is the age of the last confirmation, in waits, from which on hosts far
	// from the table ask another region, at linkAskInterval. linkAskers is their number
	// in a zone, and that of the hosts that they ask in turn.
	regionQueryFactor   = 1.3
	regionQueryInterval = 400 * time.Millisecond
	regionQueryHosts    = 3
	// nearTook is the time of a read of the table below which a host is near it.
	nearTableLatency = 12 * time.Millisecond
	// overdueAfter is how much longer than asked a read may take before the reader
	// gives up its role to a host that the table answers. It tries again after
	// yieldTime.
	readOverdueAfter    = 400 * time.Millisecond
	readerRetryInterval = 30 * time.Second
)

// readerState is the watch on the head row.
type readerState struct {
	nextReadAt      time.Time
	readStartedAt   time.Time
	readMaxWait     time.Duration
	readPending     bool
	pendingReads    map[uint64]pendingRead // reads without an answer, by their number
	lastHead        headState              // as last read here or elsewhere
	lastReadFailed  bool                   // the last read failed
	missingVersion  version.Number         // newer version in the head row
	missingSince    time.Time
	loadingVersion  version.Number
	loadStartedAt   time.Time
	confirmedAt     time.Time     // when the head row was last known to name no newer version
	lastForwarded   time.Time     // the last confirmation that was passed on
	behindSince     time.Time     // since when a newer version is known than is held; zero when none
	minLatency      time.Duration // shortest read; 0 before the first
	regionQueriedAt time.Time
	regionQueries   int
	yieldedAt       time.Time // when this host gave up the role of the reader; zero when it has not
}

// headState is what the head row named at a position of its source.
type headState struct {
	position version.Position
	number   version.Number
}

// beganRead is a read of the head row in progress.
type pendingRead struct {
	startedAt time.Time
	maxWait   time.Duration
	after     headState // after which it asks for changes
}

// readAfter is the state after which the next read asks for changes. A version that
// this host does not hold would not come again, so that it asks for the row then.
func (c *Core) readPosition() headState {
	if h := c.reader.lastHead; c.versions.newestNumber >= h.number {
		return h
	}
	return headState{}
}

// asOf is the time at which the head row was as the answer says, at least. A read
// that has waited in vain was answered at the end of its wait.
func (b pendingRead) currentAsOf(now time.Time, changed bool) time.Time {
	at := b.startedAt
	if !changed {
		at = at.Add(b.maxWait)
	}
	if at.After(now) {
		return now
	}
	return at
}

// runReader reads the head row when this host is the reader, or when nobody has
// confirmed it for too long.
func (c *Core) runReader() {
	r := &c.reader
	c.queryOtherRegions()
	if r.readPending && c.now.Sub(r.readStartedAt) > r.readMaxWait+readAnswerTimeout {
		c.readFailed(errReadTimeout)
	}
	if r.readPending || c.now.Before(r.nextReadAt) || !c.join.headRequested || !c.mayCallTable() {
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
			r.behindSince = c.now // the next one comes after the same time
		}
		return
	}
	if rank > 0 || r.lastReadFailed {
		c.readHead(0)
		return
	}
	c.readHead(c.nextPollWait())
}

// nextWait is the wait of the reader's next read. It is shorter after a read that
// brought a change, whose confirmation counts from its beginning.
func (c *Core) nextPollWait() time.Duration {
	due := c.reader.confirmedAt.Add(time.Duration(confirmFactor * float64(c.headPollWait())))
	return min(max(due.Sub(c.now), 0), c.headPollWait())
}

// askAcrossLink asks another region for a newer version when nothing has confirmed the
// head row for a while: the host that connects this region may be dead, and a read of
// the table from here can take seconds. The first hosts of each zone ask, because a
// dead root cuts its zone off as well, each another host in turn; without a newer
// version they get no answer.
func (c *Core) queryOtherRegions() {
	r, v := &c.reader, &c.versions
	if c.selfRow().NearTable || v.newestNumber == 0 || c.now.Sub(r.regionQueriedAt) < regionQueryInterval {
		return
	}
	rank := c.overlay.zoneRank
	quiet := time.Duration(regionQueryFactor*float64(c.headPollWait())) + time.Duration(rank)*readDelayPerRank
	if rank < 0 || rank >= regionQueryHosts || c.now.Sub(r.confirmedAt) < quiet {
		return
	}
	r.regionQueriedAt = c.now
	for _, region := range c.overlay.otherRegions(c.config.Self.Region) {
		candidates := c.overlay.linkCandidates(region)
		if len(candidates) == 0 {
			continue
		}
		to := candidates[r.regionQueries%min(len(candidates), regionQueryHosts)].row.ControlAddr
		c.send(to, message.Fetch{Number: v.newestNumber + 1, Base: v.newestNumber})
	}
	r.regionQueries++
}

// isBehind reports whether a newer version has been known for a while without
// arriving. The time grows with the rank, so that a fleet that starts without any
// version does not read it as often as it has hosts.
func (c *Core) isBehind(rank int) bool {
	r := &c.reader
	if c.versions.highestKnown <= c.versions.newestNumber {
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

// staleAfter is the age of a confirmation from which on a host of some rank
// reads the head row itself.
func (c *Core) staleAfter(rank int) time.Duration {
	return time.Duration(staleFactor*float64(c.headPollWait())) + min(time.Duration(rank)*readDelayPerRank, maxReadDelay)
}

// readerRank is the number of live hosts that are to read the head row before
// this one: those near the table come first. In another region than theirs they
// count as one, because what they send may be held up on the way here.
func (c *Core) readerRank() int {
	self := c.selfRow()
	rank, elsewhere := 0, 0
	for zone, order := range c.overlay.hostsByZone {
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
				elsewhere = 1
			default:
				rank++
			}
		}
	}
	return rank + elsewhere
}

// readsBefore reports whether host a comes before host b in the order of readers.
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

// noteTook takes the time of a read. A host that finds that it is near the table
// publishes that.
func (c *Core) recordReadLatency(took time.Duration) {
	r := &c.reader
	if took <= 0 || r.minLatency != 0 && took >= r.minLatency {
		return
	}
	r.minLatency = took
	if took < nearTableLatency {
		c.setNearTable(true)
	}
}

// setNear publishes whether this host is near the table.
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

// yieldReading gives up the role of the reader when the table has answered another
// host at a time at which this one was without an answer. Without it, the others
// would wait for this host again after each of their reads.
func (c *Core) yieldReaderRole(answered time.Time) {
	r := &c.reader
	due := r.readStartedAt.Add(r.readMaxWait)
	overdue := r.readPending && c.now.Sub(due) > readOverdueAfter && answered.After(due)
	failed := !c.backoff.failedAt.IsZero() && answered.After(c.backoff.failedAt)
	if !overdue && !failed || !c.selfRow().NearTable || c.readerRank() > 0 {
		return
	}
	r.minLatency, r.yieldedAt = 0, c.now
	c.setNearTable(false)
	c.recordEvent(TimelineEvent{Kind: "reading-yielded", Host: c.config.Self.ID})
}

func (c *Core) handleReadHeadResult(e ReadHeadResult) {
	r := &c.reader
	began := r.pendingReads[e.ReadID]
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
	r.lastReadFailed, r.yieldedAt = false, time.Time{}
	r.nextReadAt = c.now
	n := e.Manifest.Number
	if n == 0 {
		n = began.after.number
	}
	if e.Position >= r.lastHead.position {
		r.lastHead = headState{e.Position, n}
	}
	asOf := began.currentAsOf(c.now, n > c.versions.highestKnown)
	if n > c.versions.highestKnown {
		r.nextReadAt = c.now.Add(minChangeInterval)
	}
	// Status compares with this version, also while no object store gives it.
	c.versions.highestKnown = max(c.versions.highestKnown, n)
	c.setFloor(n)
	c.answerFloorRequests(e.ReadID, n)
	c.confirmHead(asOf, n, noSender)
	if n <= c.versions.newestNumber {
		return
	}
	if e.Snapshot.Number() == n {
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

// errReadTimeout says that a read of the head row has no result.
var errReadTimeout = errors.New("the read of the head row has no result")

// readFailed ends a read without a result.
func (c *Core) readFailed(err error) {
	c.floorReads.pendingRequests = nil // they read the row themselves
	c.reader.readPending, c.reader.lastReadFailed = false, true
	c.tableCallDone(err)
}

// confirm notes that the head row named version n at a time, and passes that on
// along the tree.
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
		if e.allowPush && e.addr != from && c.needsConfirm(e, sender) {
			c.send(e.addr, message.Confirm{Number: n, AgeMS: age, Position: position})
		}
	}
}

// needsConfirm reports whether a neighbour gets a confirmation from this host. One
// that came from another zone goes on within the own zone, and over the region
// link when it came from the own region; the other zones got it from the sender.
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

// receiveConfirm takes the confirmation of another host. One of a read that began
// after this daemon did is a floor as well.
func (c *Core) receiveConfirm(from netip.AddrPort, m message.Confirm) {
	at := c.now.Add(-time.Duration(m.AgeMS)*time.Millisecond - c.estimatedTransit(from))
	if at.After(c.config.Started.Add(confirmAgeMargin)) {
		c.setFloor(m.Number)
	}
	if m.Position > c.reader.lastHead.position {
		c.reader.lastHead = headState{m.Position, m.Number}
	}
	c.yieldReaderRole(at)
	if at.After(c.reader.confirmedAt) {
		c.confirmHead(at, m.Number, from)
	}
}

// linkTransit and zoneTransit are the assumed times that a message takes from
// another region and from another host of the region.
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

// loadVersion takes over a version whose accepting daemon did not announce it.
func (c *Core) loadVersion(e ReadHeadResult) {
	r := &c.reader
	n := e.Manifest.Number
	if r.loadingVersion == n && c.now.Sub(r.loadStartedAt) < loadAnswerTimeout {
		return
	}
	r.loadingVersion, r.loadStartedAt = n, c.now
	c.emit(LoadVersion{Manifest: e.Manifest, Base: c.versions.snapshots[c.versions.newestNumber]})
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
