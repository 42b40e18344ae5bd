package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// heldVersions is the number of versions kept as bases for deltas.
	heldVersions = 16
	// copiesBeforeSecured is the number of other hosts that must hold a
	// version before any daemon applies it.
	copiesBeforeSecured = 2
	copyRetry           = 300 * time.Millisecond
	copyTimeout         = time.Second
	// otherZoneWait is how long a copy in another zone is insisted on.
	otherZoneWait = 2 * time.Second

	fetchTimeout     = 500 * time.Millisecond
	linkFetchTimeout = 3 * time.Second
	// fullDeltasPerSecond limits the whole versions that one daemon sends in a
	// mass restart.
	fullDeltasPerSecond = 8
	// pushCheck is the time after a push over the region link at which a probe
	// checks that it arrived.
	pushCheck = 300 * time.Millisecond
)

// securing is a version that waits for copies on other hosts.
type securing struct {
	snapshot version.Snapshot
	since    time.Time
	retryAt  time.Time
	asked    map[host.ID]time.Time
	acks     map[host.ID]bool
}

// fetching is a fetch that waits for its delta.
type fetching struct {
	to     netip.AddrPort
	sentAt time.Time
	limit  time.Duration
}

type versionState struct {
	applied  version.Snapshot
	secured  version.Number // highest secured version held
	known    version.Number // highest version heard of as secured
	floor    version.Number // lowest version that may be applied first
	held     map[version.Number]version.Snapshot
	securing *securing
	fetch    *fetching
	tried    map[netip.AddrPort]bool
	heads    map[netip.AddrPort]version.Number // what peers hold
	sources  []netip.AddrPort                  // peers with a newer version, first announcer first
	full     int                               // whole versions sent in the current second
	fullFrom time.Time
}

func (v *versionState) init() {
	v.held = make(map[version.Number]version.Snapshot)
	v.tried = make(map[netip.AddrPort]bool)
	v.heads = make(map[netip.AddrPort]version.Number)
}

// hold keeps a snapshot as a base for deltas and removes the oldest ones.
func (v *versionState) hold(s version.Snapshot) {
	v.held[s.Number()] = s
	for len(v.held) > heldVersions {
		delete(v.held, slices.Min(slices.Collect(maps.Keys(v.held))))
	}
}

// holdForSecuring holds an accepted version and starts to copy it.
func (c *Core) holdForSecuring(s version.Snapshot) {
	v := &c.versions
	if s.Number() <= v.secured || (v.securing != nil && v.securing.snapshot.Number() >= s.Number()) {
		return
	}
	v.hold(s)
	v.securing = &securing{
		snapshot: s, since: c.now, retryAt: c.now,
		asked: make(map[host.ID]time.Time), acks: make(map[host.ID]bool),
	}
	c.record(Record{Kind: "version-held", Version: s.Number()})
}

// runSecuring sends copies until enough other hosts hold the version.
func (c *Core) runSecuring() {
	s := c.versions.securing
	if s == nil {
		return
	}
	if s.snapshot.Number() <= c.versions.secured {
		c.versions.securing = nil
		return
	}
	if c.copiesSuffice(s) {
		c.versions.securing = nil
		c.secure(s.snapshot.Number(), netip.AddrPort{})
		return
	}
	if c.now.Before(s.retryAt) {
		return
	}
	s.retryAt = c.now.Add(copyRetry)
	for _, e := range c.copyTargets(s) {
		s.asked[e.row.ID] = c.now
		d := c.delta(s.snapshot, c.previousHeld(s.snapshot.Number()))
		c.send(e.row.ControlAddr, d)
	}
}

func (c *Core) copiesSuffice(s *securing) bool {
	if len(s.acks) < min(copiesBeforeSecured, c.othersNotLeft()) {
		return false
	}
	if c.now.Sub(s.since) >= otherZoneWait || !c.hasOtherZone() {
		return true
	}
	for id := range s.acks {
		if e := c.hosts.get(id); e != nil && e.row.Zone != c.config.Self.Zone {
			return true
		}
	}
	return false
}

func (c *Core) hasOtherZone() bool {
	for zone := range c.overlay.zones {
		if zone != c.config.Self.Zone {
			return true
		}
	}
	return false
}

// copyTargets chooses hosts that do not hold the version yet: the root of
// another zone of this region, the ring successor, then others at random.
func (c *Core) copyTargets(s *securing) []*hostEntry {
	var preferred []*hostEntry
	for _, zone := range c.overlay.zoneOrder(c.config.Self.Region) {
		if zone != c.config.Self.Zone {
			preferred = append(preferred, c.overlay.zones[zone][0])
			break
		}
	}
	preferred = append(preferred, c.overlay.next...)
	var rest []*hostEntry
	for _, zone := range slices.Sorted(maps.Keys(c.overlay.zones)) {
		rest = append(rest, c.overlay.zones[zone]...)
	}
	c.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	// Hosts of this region first: a copy must not cost bytes on the link.
	slices.SortStableFunc(rest, func(a, b *hostEntry) int { return c.regionRank(a) - c.regionRank(b) })

	pending := len(s.acks)
	for id, at := range s.asked {
		if !s.acks[id] && c.now.Sub(at) < copyTimeout {
			pending++
		}
	}
	var targets []*hostEntry
	for _, e := range append(preferred, rest...) {
		if pending+len(targets) >= copiesBeforeSecured {
			break
		}
		_, asked := s.asked[e.row.ID]
		if e.row.ID == c.config.Self.ID || asked || s.acks[e.row.ID] || slices.Contains(targets, e) {
			continue
		}
		targets = append(targets, e)
	}
	if len(targets) == 0 && pending == len(s.acks) {
		clear(s.asked) // everybody was asked; start over
	}
	return targets
}

func (c *Core) regionRank(e *hostEntry) int {
	if e.row.Region == c.config.Self.Region {
		return 0
	}
	return 1
}

// secure notes that enough hosts hold a version, applies it and announces it.
func (c *Core) secure(n version.Number, from netip.AddrPort) {
	v := &c.versions
	if n <= v.secured {
		return
	}
	v.secured = n
	v.known = max(v.known, n)
	v.fetch = nil
	clear(v.tried)
	c.pruneSources()
	c.record(Record{Kind: "version-secured", Version: n})
	c.applyNewest()
	c.announce(from)
}

// applyNewest applies the newest secured version, never an older one.
func (c *Core) applyNewest() {
	v := &c.versions
	s, ok := v.held[v.secured]
	if !ok || v.secured <= v.applied.Number() || !c.mayApply(v.secured) {
		return
	}
	v.applied = s
	c.emit(Apply{Snapshot: s})
	c.record(Record{Kind: "version-applied", Version: s.Number()})
}

// announce passes the newest secured version on to all neighbours but the one
// it came from.
func (c *Core) announce(from netip.AddrPort) {
	v := &c.versions
	s := v.held[v.secured]
	for _, e := range c.edges() {
		if e.addr == from || v.heads[e.addr] >= v.secured {
			continue
		}
		// Over the region link a push saves the bytes and the delay of
		// announcing; the far root is reached by this edge only.
		if e.link || (e.push && c.config.Distribution == Fast) {
			d := c.delta(s, c.baseFor(e.addr))
			d.Secured = true
			c.send(e.addr, d)
			if e.link {
				c.checkPush(e.addr)
			}
			continue
		}
		c.send(e.addr, message.Announce{Number: v.secured})
	}
}

// checkPush brings the next probe of a target forward.
func (c *Core) checkPush(addr netip.AddrPort) {
	for _, t := range c.probes.targets {
		if t.addr == addr && !t.waiting {
			t.nextAt = c.now.Add(pushCheck)
		}
	}
}

// baseFor returns the version that a peer is known to hold, or else the one
// before the newest.
func (c *Core) baseFor(addr netip.AddrPort) version.Number {
	if n, ok := c.versions.heads[addr]; ok {
		return n
	}
	return c.previousHeld(c.versions.secured)
}

func (c *Core) previousHeld(n version.Number) version.Number {
	var previous version.Number
	for k := range c.versions.held {
		if k < n && k <= c.versions.secured {
			previous = max(previous, k)
		}
	}
	return previous
}

// delta builds the message that brings a snapshot to a holder of base.
func (c *Core) delta(s version.Snapshot, base version.Number) message.Delta {
	b, ok := c.versions.held[base]
	if !ok {
		base = 0
	}
	d := message.Delta{Manifest: s.Manifest(), Base: base}
	for _, ref := range message.Changed(b.Manifest(), s.Manifest()) {
		d.Blobs = append(d.Blobs, s.Blob(ref.Digest))
	}
	return d
}

// assemble builds the snapshot that a delta brings.
func (c *Core) assemble(d message.Delta, base version.Snapshot) (version.Snapshot, error) {
	blobs := make(map[version.Digest][]byte, len(d.Manifest.Sections))
	for _, ref := range base.Manifest().Sections {
		blobs[ref.Digest] = base.Blob(ref.Digest)
	}
	for _, b := range d.Blobs {
		blobs[version.DigestOf(b)] = b
	}
	return version.Assemble(d.Manifest, blobs)
}

func (c *Core) receiveAnnounce(from netip.AddrPort, n version.Number) {
	c.noteHead(from, message.Head{Known: n, Held: n})
}

// noteHead takes note of what a peer knows and holds.
func (c *Core) noteHead(from netip.AddrPort, h message.Head) {
	v := &c.versions
	v.known = max(v.known, h.Known, h.Held)
	v.heads[from] = h.Held
	if h.Held <= v.secured {
		return
	}
	if _, ok := v.held[h.Held]; ok {
		c.secure(h.Held, from)
		return
	}
	if !slices.Contains(v.sources, from) {
		v.sources = append(v.sources, from)
	}
}

func (c *Core) pruneSources() {
	v := &c.versions
	v.sources = slices.DeleteFunc(v.sources, func(a netip.AddrPort) bool { return v.heads[a] <= v.secured })
}

// runFetch asks a peer for a newer version, and another one after a timeout.
func (c *Core) runFetch() {
	v := &c.versions
	if v.fetch != nil && c.now.Sub(v.fetch.sentAt) < v.fetch.limit {
		return
	}
	v.fetch = nil
	c.pruneSources()
	if len(v.sources) == 0 {
		return
	}
	i := slices.IndexFunc(v.sources, func(a netip.AddrPort) bool { return !v.tried[a] })
	if i < 0 {
		clear(v.tried)
		i = 0
	}
	to := v.sources[i]
	v.tried[to] = true
	v.fetch = &fetching{to: to, sentAt: c.now, limit: fetchTimeout}
	if e := c.hosts.byAddr[to]; e != nil && e.row.Region != c.config.Self.Region {
		v.fetch.limit = linkFetchTimeout
	}
	c.send(to, message.Fetch{Number: v.heads[to], Base: v.secured})
}

func (c *Core) receiveFetch(from netip.AddrPort, m message.Fetch) {
	v := &c.versions
	v.heads[from] = m.Base
	if s := v.securing; s != nil && s.snapshot.Number() == m.Number {
		c.send(from, c.delta(s.snapshot, m.Base))
		return
	}
	if v.secured < m.Number || v.secured == 0 {
		return
	}
	d := c.delta(v.held[v.secured], m.Base)
	d.Secured = true
	if d.Base == 0 && !c.takeFull() {
		return
	}
	c.send(from, d)
}

// takeFull counts a whole version against the limit per second.
func (c *Core) takeFull() bool {
	v := &c.versions
	if c.now.Sub(v.fullFrom) >= time.Second {
		v.fullFrom, v.full = c.now, 0
	}
	v.full++
	return v.full <= fullDeltasPerSecond
}

func (c *Core) receiveDelta(from netip.AddrPort, d message.Delta) {
	v := &c.versions
	n := d.Manifest.Number
	if d.Secured {
		v.known = max(v.known, n)
		v.heads[from] = max(v.heads[from], n)
	}
	if _, ok := v.held[n]; ok || n <= v.secured {
		c.acknowledge(from, d)
		return
	}
	base, ok := v.held[d.Base]
	if d.Base != 0 && !ok {
		c.send(from, message.Fetch{Number: n, Base: v.secured})
		return
	}
	s, err := c.assemble(d, base)
	if err != nil {
		c.record(Record{Kind: "delta-refused", Version: n, Detail: err.Error()})
		return
	}
	v.hold(s)
	c.record(Record{Kind: "version-fetched", Version: n})
	c.acknowledge(from, d)
}

// acknowledge confirms a copy, or secures a version that the sender calls
// secured.
func (c *Core) acknowledge(from netip.AddrPort, d message.Delta) {
	if d.Secured {
		c.secure(d.Manifest.Number, from)
		return
	}
	c.send(from, message.Held{Number: d.Manifest.Number})
}

func (c *Core) receiveHeld(from netip.AddrPort, m message.Held) {
	s := c.versions.securing
	e := c.hosts.byAddr[from]
	if s == nil || e == nil || s.snapshot.Number() != m.Number {
		return
	}
	s.acks[e.row.ID] = true
	c.runSecuring()
}
