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
	defaultWatch = 2 * time.Second
	// staleFactor is the age of the last confirmed head row, in waits, from which
	// on other hosts than the reader read it.
	staleFactor = 1.6
	// confirmFactor is the greatest age of a confirmation, in waits, at the time of
	// the next one. What is left until staleFactor is for the way to the others.
	confirmFactor = 1.4
	// rankStep puts the reads of hosts off by their rank, so that the first one
	// confirms the head row for the others, up to maxRankDelay.
	rankStep     = 120 * time.Millisecond
	maxRankDelay = 500 * time.Millisecond
	// changeSpacing is the least time between reads that bring a change. Several
	// changes within it cost one version.
	changeSpacing = 400 * time.Millisecond
	// acceptedGrace is the time for the accepting daemon to announce its version,
	// and for a starting daemon to get the newest version from a peer.
	acceptedGrace     = 900 * time.Millisecond
	readAnswerTimeout = 2 * time.Second
	loadAnswerTimeout = 10 * time.Second
	readersOrder      = "reader"
	// confirmSpacing is the least difference between confirmations that are passed
	// on.
	confirmSpacing = 200 * time.Millisecond
	// floorMargin covers the errors of the age of a confirmation.
	floorMargin = 100 * time.Millisecond
	// behindFor is the time for which a host knows of a newer version, and no peer
	// gives it, before it reads the head row.
	behindFor  = 500 * time.Millisecond
	behindStep = 50 * time.Millisecond // for each rank
	// quietFactor is the age of the last confirmation, in waits, from which on hosts far
	// from the table ask another region, at linkAskInterval. linkAskers is their number
	// in a zone, and that of the hosts that they ask in turn.
	quietFactor     = 1.3
	linkAskInterval = 400 * time.Millisecond
	linkAskers      = 3
	// nearTook is the time of a read of the table below which a host is near it.
	nearTook = 12 * time.Millisecond
	// overdueAfter is how much longer than asked a read may take before the reader
	// gives up its role to a host that the table answers. It tries again after
	// yieldTime.
	overdueAfter = 400 * time.Millisecond
	yieldTime    = 30 * time.Second
)

// readerState is the watch on the head row.
type readerState struct {
	nextAt      time.Time
	askedAt     time.Time
	askedWait   time.Duration
	waiting     bool
	began       map[uint64]beganRead // reads without an answer, by their number
	head        headState            // as last read here or elsewhere
	failed      bool                 // the last read failed
	seen        version.Number       // newer version in the head row
	seenAt      time.Time
	loading     version.Number
	loadingAt   time.Time
	confirmedAt time.Time     // when the head row was last known to name no newer version
	passedOn    time.Time     // the last confirmation that was passed on
	behindSince time.Time     // since when a newer version is known than is held; zero when none
	took        time.Duration // shortest read; 0 before the first
	linkAskedAt time.Time
	linkAsks    int
	yieldedAt   time.Time // when this host gave up the role of the reader; zero when it has not
}

// headState is what the head row named at a position of its source.
type headState struct {
	position version.Position
	number   version.Number
}

// beganRead is a read of the head row in progress.
type beganRead struct {
	at    time.Time
	wait  time.Duration
	known headState // after which it asks for changes
}

// readAfter is the state after which the next read asks for changes. A version that
// this host does not hold would not come again, so that it asks for the row then.
func (c *Core) readAfter() headState {
	if h := c.reader.head; c.versions.newest >= h.number {
		return h
	}
	return headState{}
}

// asOf is the time at which the head row was as the answer says, at least. A read
// that has waited in vain was answered at the end of its wait.
func (b beganRead) asOf(now time.Time, changed bool) time.Time {
	at := b.at
	if !changed {
		at = at.Add(b.wait)
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
	c.askAcrossLink()
	if r.waiting && c.now.Sub(r.askedAt) > r.askedWait+readAnswerTimeout {
		c.readFailed(errReadTimeout)
	}
	if r.waiting || c.now.Before(r.nextAt) || !c.join.headAsked || !c.mayCall() {
		return
	}
	rank := c.readerRank()
	if !r.yieldedAt.IsZero() && c.now.Sub(r.yieldedAt) >= yieldTime {
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
	if rank > 0 || r.failed {
		c.readHead(0)
		return
	}
	c.readHead(c.nextWait())
}

// nextWait is the wait of the reader's next read. It is shorter after a read that
// brought a change, whose confirmation counts from its beginning.
func (c *Core) nextWait() time.Duration {
	due := c.reader.confirmedAt.Add(time.Duration(confirmFactor * float64(c.watch())))
	return min(max(due.Sub(c.now), 0), c.watch())
}

// askAcrossLink asks another region for a newer version when nothing has confirmed the
// head row for a while: the host that connects this region may be dead, and a read of
// the table from here can take seconds. The first hosts of each zone ask, because a
// dead root cuts its zone off as well, each another host in turn; without a newer
// version they get no answer.
func (c *Core) askAcrossLink() {
	r, v := &c.reader, &c.versions
	if c.self().NearTable || v.newest == 0 || c.now.Sub(r.linkAskedAt) < linkAskInterval {
		return
	}
	rank := c.overlay.rank
	quiet := time.Duration(quietFactor*float64(c.watch())) + time.Duration(rank)*rankStep
	if rank < 0 || rank >= linkAskers || c.now.Sub(r.confirmedAt) < quiet {
		return
	}
	r.linkAskedAt = c.now
	for _, region := range c.overlay.otherRegions(c.config.Self.Region) {
		candidates := c.overlay.linkCandidates(region)
		if len(candidates) == 0 {
			continue
		}
		to := candidates[r.linkAsks%min(len(candidates), linkAskers)].row.ControlAddr
		c.send(to, message.Fetch{Number: v.newest + 1, Base: v.newest})
	}
	r.linkAsks++
}

// isBehind reports whether a newer version has been known for a while without
// arriving. The time grows with the rank, so that a fleet that starts without any
// version does not read it as often as it has hosts.
func (c *Core) isBehind(rank int) bool {
	r := &c.reader
	if c.versions.known <= c.versions.newest {
		r.behindSince = time.Time{}
		return false
	}
	if r.behindSince.IsZero() {
		r.behindSince = c.now
	}
	return c.now.Sub(r.behindSince) >= behindFor+time.Duration(rank)*behindStep
}

func (c *Core) watch() time.Duration { return cmp.Or(c.config.Watch, defaultWatch) }

// staleAfter is the age of a confirmation from which on a host of some rank
// reads the head row itself.
func (c *Core) staleAfter(rank int) time.Duration {
	return time.Duration(staleFactor*float64(c.watch())) + min(time.Duration(rank)*rankStep, maxRankDelay)
}

// readerRank is the number of live hosts that are to read the head row before
// this one: those near the table come first. In another region than theirs they
// count as one, because what they send may be held up on the way here.
func (c *Core) readerRank() int {
	self := c.self()
	rank, elsewhere := 0, 0
	for zone, order := range c.overlay.zones {
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
		return hashOf(readersOrder, string(a.ID)) < hashOf(readersOrder, string(b.ID))
	}
}

// noteTook takes the time of a read. A host that finds that it is near the table
// publishes that.
func (c *Core) noteTook(took time.Duration) {
	r := &c.reader
	if took <= 0 || r.took != 0 && took >= r.took {
		return
	}
	r.took = took
	if took < nearTook {
		c.setNear(true)
	}
}

// setNear publishes whether this host is near the table.
func (c *Core) setNear(near bool) {
	own := c.self()
	if own.NearTable == near || own.State == host.Left {
		return
	}
	own.NearTable = near
	own.Stamp = c.nextStamp()
	c.config.Self.NearTable = near
	c.hosts.put(own, c.now)
	c.news.addHost(own.ID, noPeer)
}

// yieldReading gives up the role of the reader when the table has answered another
// host at a time at which this one was without an answer. Without it, the others
// would wait for this host again after each of their reads.
func (c *Core) yieldReading(answered time.Time) {
	r := &c.reader
	due := r.askedAt.Add(r.askedWait)
	overdue := r.waiting && c.now.Sub(due) > overdueAfter && answered.After(due)
	failed := !c.outage.failedAt.IsZero() && answered.After(c.outage.failedAt)
	if !overdue && !failed || !c.self().NearTable || c.readerRank() > 0 {
		return
	}
	r.took, r.yieldedAt = 0, c.now
	c.setNear(false)
	c.note(Note{Kind: "reading-yielded", Host: c.config.Self.ID})
}

func (c *Core) headRead(e HeadRead) {
	r := &c.reader
	began := r.began[e.Read]
	delete(r.began, e.Read)
	if e.Err != nil {
		c.readFailed(e.Err)
		return
	}
	r.waiting = false
	c.callDone(nil)
	if e.Took > 0 && r.askedWait == 0 {
		c.noteTook(e.Took)
	}
	r.failed, r.yieldedAt = false, time.Time{}
	r.nextAt = c.now
	n := e.Manifest.Number
	if n == 0 {
		n = began.known.number
	}
	if e.Position >= r.head.position {
		r.head = headState{e.Position, n}
	}
	asOf := began.asOf(c.now, n > c.versions.known)
	if n > c.versions.known {
		r.nextAt = c.now.Add(changeSpacing)
	}
	// Status compares with this version, also while no object store gives it.
	c.versions.known = max(c.versions.known, n)
	c.settle(n)
	c.answerFloors(e.Read, n)
	c.confirm(asOf, n, noPeer)
	if n <= c.versions.newest {
		return
	}
	if e.Snapshot.Number() == n {
		c.take(e.Snapshot, noPeer)
		return
	}
	if r.seen != n {
		r.seen, r.seenAt = n, c.now
	}
	if c.now.Sub(r.seenAt) < acceptedGrace {
		return
	}
	c.loadVersion(e)
}

// errReadTimeout says that a read of the head row has no result.
var errReadTimeout = errors.New("the read of the head row has no result")

// readFailed ends a read without a result.
func (c *Core) readFailed(err error) {
	c.floors.waiting = nil // they read the row themselves
	c.reader.waiting, c.reader.failed = false, true
	c.callDone(err)
}

// confirm notes that the head row named version n at a time, and passes that on
// along the tree.
func (c *Core) confirm(at time.Time, n version.Number, from netip.AddrPort) {
	r := &c.reader
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	c.versions.known = max(c.versions.known, n)
	if at.Sub(r.passedOn) < confirmSpacing {
		return
	}
	r.passedOn = at
	age := uint32(max(0, c.now.Sub(at).Milliseconds()))
	var position version.Position
	if r.head.number == n {
		position = r.head.position
	}
	sender := c.hosts.byAddr[from]
	for _, e := range c.edges() {
		if e.push && e.addr != from && c.needsConfirm(e, sender) {
			c.send(e.addr, message.Confirm{Number: n, AgeMS: age, Position: position})
		}
	}
}

// needsConfirm reports whether a neighbour gets a confirmation from this host. One
// that came from another zone goes on within the own zone, and over the region
// link when it came from the own region; the other zones got it from the sender.
func (c *Core) needsConfirm(to edge, sender *hostEntry) bool {
	if sender == nil || sender.row.Zone == c.config.Self.Zone {
		return true
	}
	e := c.hosts.byAddr[to.addr]
	switch {
	case e == nil:
		return false
	case to.link:
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
	at := c.now.Add(-time.Duration(m.AgeMS)*time.Millisecond - c.transit(from))
	if at.After(c.config.Started.Add(floorMargin)) {
		c.settle(m.Number)
	}
	if m.Position > c.reader.head.position {
		c.reader.head = headState{m.Position, m.Number}
	}
	c.yieldReading(at)
	if at.After(c.reader.confirmedAt) {
		c.confirm(at, m.Number, from)
	}
}

// linkTransit and zoneTransit are the assumed times that a message takes from
// another region and from another host of the region.
const (
	linkTransit = 15 * time.Millisecond
	zoneTransit = 2 * time.Millisecond
)

func (c *Core) transit(from netip.AddrPort) time.Duration {
	if e := c.hosts.byAddr[from]; e != nil && e.row.Region != c.config.Self.Region {
		return linkTransit
	}
	return zoneTransit
}

// loadVersion takes over a version whose accepting daemon did not announce it.
func (c *Core) loadVersion(e HeadRead) {
	r := &c.reader
	n := e.Manifest.Number
	if r.loading == n && c.now.Sub(r.loadingAt) < loadAnswerTimeout {
		return
	}
	r.loading, r.loadingAt = n, c.now
	c.emit(LoadVersion{Manifest: e.Manifest, Have: c.versions.held[c.versions.newest]})
}

func (c *Core) versionLoaded(e VersionLoaded) {
	c.reader.loading = 0
	if e.Err != nil {
		c.note(Note{Kind: "load-failed", Detail: e.Err.Error()})
		return
	}
	c.note(Note{Kind: "version-loaded", Version: e.Snapshot.Number()})
	c.take(e.Snapshot, noPeer)
}
