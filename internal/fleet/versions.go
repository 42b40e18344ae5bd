package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// HeldVersions is the number of versions kept as bases for deltas.
	RetainedVersions        = 16
	fetchTimeout            = 500 * time.Millisecond
	crossRegionFetchTimeout = 3 * time.Second
	// fullDeltasPerSecond limits the whole versions that one daemon sends in a
	// mass restart.
	maxFullDeltasPerSecond = 8
	// pushCheck is the time after a push over the region link at which a probe
	// checks that it arrived, unless the far end has announced it.
	pushCheckDelay = 300 * time.Millisecond
)

// fetching is a fetch that waits for its delta.
type pendingFetch struct {
	to      netip.AddrPort
	sentAt  time.Time
	timeout time.Duration
}

type versionState struct {
	applied               version.Snapshot
	newestNumber          version.Number // highest version held
	highestKnown          version.Number // highest version heard of
	floor                 version.Number // lowest version that may be applied first
	snapshots             map[version.Number]version.Snapshot
	fetch                 *pendingFetch
	triedSources          map[netip.AddrPort]bool
	peerVersions          map[netip.AddrPort]version.Number // what peers hold
	sources               []netip.AddrPort                  // peers with a newer version, first announcer first
	fullDeltasSent        int                               // whole versions sent in the current second
	fullDeltasWindowStart time.Time
}

func (v *versionState) init() {
	v.snapshots = make(map[version.Number]version.Snapshot)
	v.triedSources = make(map[netip.AddrPort]bool)
	v.peerVersions = make(map[netip.AddrPort]version.Number)
}

// hold keeps a snapshot as a base for deltas and removes the oldest ones.
func (v *versionState) retain(s version.Snapshot) {
	v.snapshots[s.Number()] = s
	for len(v.snapshots) > RetainedVersions {
		delete(v.snapshots, slices.Min(slices.Collect(maps.Keys(v.snapshots))))
	}
}

// take holds a version that the table accepted, applies it and announces it to
// all neighbours but the one it came from.
func (c *Core) addVersion(s version.Snapshot, from netip.AddrPort) {
	v := &c.versions
	if s.Number() <= v.newestNumber {
		return
	}
	v.retain(s)
	c.emit(RetainSnapshot{Snapshot: s})
	v.newestNumber = s.Number()
	v.highestKnown = max(v.highestKnown, v.newestNumber)
	v.fetch = nil
	clear(v.triedSources)
	c.pruneSources()
	c.applyNewest()
	c.announceVersion(from)
}

// applyNewest applies the newest version, never an older one.
func (c *Core) applyNewest() {
	v := &c.versions
	s, ok := v.snapshots[v.newestNumber]
	if !ok || v.newestNumber <= v.applied.Number() || !c.mayApply(v.newestNumber) {
		return
	}
	v.applied = s
	c.emit(ApplySnapshot{Snapshot: s})
	c.recordEvent(TimelineEvent{Kind: "version-applied", Version: s.Number()})
}

// announce passes the newest version on to all neighbours but the one it came
// from.
func (c *Core) announceVersion(from netip.AddrPort) {
	v := &c.versions
	for _, e := range c.neighbors() {
		switch {
		case e.addr == from || v.peerVersions[e.addr] >= v.newestNumber:
		case e.crossRegion:
			// A push saves the bytes and the delay of announcing; the far root is
			// reached by this edge only.
			c.send(e.addr, c.delta(v.snapshots[v.newestNumber], v.peerVersions[e.addr]))
			c.schedulePushCheck(e.addr)
		case e.allowPush && c.config.Distribution == Fast:
			c.pushVersion(e.addr)
		default:
			c.send(e.addr, message.Announce{Number: v.newestNumber})
		}
	}
}

// push sends the newest version to a neighbour, against the version that it
// holds as far as is known, or else the one before. An announcement goes with a
// guessed base, so that a neighbour that lacks it fetches; a wrong belief is
// repaired by the next probe.
func (c *Core) pushVersion(addr netip.AddrPort) {
	v := &c.versions
	base, ok := v.peerVersions[addr]
	if !ok {
		base = v.newestNumber - 1
	}
	c.send(addr, c.delta(v.snapshots[v.newestNumber], base))
	if !ok {
		c.send(addr, message.Announce{Number: v.newestNumber})
	}
	v.peerVersions[addr] = v.newestNumber
}

// checkPush brings the next probe of a target forward. The far end announces
// the version back when it arrived, which makes the probe unnecessary.
func (c *Core) schedulePushCheck(addr netip.AddrPort) {
	for _, t := range c.probes.targets {
		if t.addr == addr && !t.pending {
			t.nextProbeAt = c.now.Add(pushCheckDelay)
			t.pushedVersion = c.versions.newestNumber
		}
	}
}

// pushArrived puts off the probe that checkPush brought forward.
func (c *Core) cancelPushCheck(from netip.AddrPort, held version.Number) {
	for _, t := range c.probes.targets {
		if t.addr == from && t.pushedVersion != 0 && held >= t.pushedVersion {
			t.pushedVersion = 0
			t.nextProbeAt = c.now.Add(t.group.interval())
		}
	}
}

// delta builds the message that brings a snapshot to a holder of base.
func (c *Core) delta(s version.Snapshot, base version.Number) message.Delta {
	b, ok := c.versions.snapshots[base]
	if !ok {
		base = 0
	}
	d := message.Delta{Manifest: s.Manifest(), Base: base}
	for _, ref := range message.ChangedSections(b.Manifest(), s.Manifest()) {
		d.Blobs = append(d.Blobs, s.Blob(ref.Digest))
	}
	return d
}

// assemble builds the snapshot that a delta brings.
func (c *Core) assemble(d message.Delta, base version.Snapshot) (version.Snapshot, error) {
	blobs := make(map[version.Digest][]byte, len(d.Blobs))
	for _, b := range d.Blobs {
		blobs[version.DigestOf(b)] = b
	}
	return version.AssembleFromBase(base, d.Manifest, blobs)
}

func (c *Core) receiveAnnounce(from netip.AddrPort, n version.Number) {
	c.recordPeerHead(from, message.StateSummary{Known: n, Held: n})
}

// noteHead takes note of what a peer knows and holds.
func (c *Core) recordPeerHead(from netip.AddrPort, h message.StateSummary) {
	v := &c.versions
	v.highestKnown = max(v.highestKnown, h.Known, h.Held)
	v.peerVersions[from] = h.Held
	c.cancelPushCheck(from, h.Held)
	if h.Held <= v.newestNumber {
		return
	}
	if !slices.Contains(v.sources, from) {
		v.sources = append(v.sources, from)
	}
}

func (c *Core) pruneSources() {
	v := &c.versions
	v.sources = slices.DeleteFunc(v.sources, func(a netip.AddrPort) bool { return v.peerVersions[a] <= v.newestNumber })
}

// runFetch asks a peer for a newer version, and another one after a timeout.
func (c *Core) runFetch() {
	v := &c.versions
	if v.fetch != nil && c.now.Sub(v.fetch.sentAt) < v.fetch.timeout {
		return
	}
	v.fetch = nil
	c.pruneSources()
	if len(v.sources) == 0 {
		return
	}
	i := slices.IndexFunc(v.sources, func(a netip.AddrPort) bool { return !v.triedSources[a] })
	if i < 0 {
		clear(v.triedSources)
		i = 0
	}
	to := v.sources[i]
	v.triedSources[to] = true
	v.fetch = &pendingFetch{to: to, sentAt: c.now, timeout: fetchTimeout}
	if e := c.hosts.byAddr[to]; e != nil && e.row.Region != c.config.Self.Region {
		v.fetch.timeout = crossRegionFetchTimeout
	}
	c.send(to, message.Fetch{Number: v.peerVersions[to], Base: v.newestNumber})
}

func (c *Core) receiveFetch(from netip.AddrPort, m message.Fetch) {
	v := &c.versions
	v.peerVersions[from] = m.Base
	if v.newestNumber < m.Number || v.newestNumber == 0 {
		return
	}
	d := c.delta(v.snapshots[v.newestNumber], m.Base)
	if d.Base == 0 && !c.allowFullDelta() {
		return
	}
	c.send(from, d)
}

// takeFull counts a whole version against the limit per second.
func (c *Core) allowFullDelta() bool {
	v := &c.versions
	if c.now.Sub(v.fullDeltasWindowStart) >= time.Second {
		v.fullDeltasWindowStart, v.fullDeltasSent = c.now, 0
	}
	v.fullDeltasSent++
	return v.fullDeltasSent <= maxFullDeltasPerSecond
}

func (c *Core) receiveDelta(from netip.AddrPort, d message.Delta) {
	v := &c.versions
	n := d.Manifest.Number
	v.highestKnown = max(v.highestKnown, n)
	v.peerVersions[from] = max(v.peerVersions[from], n)
	if n <= v.newestNumber {
		return
	}
	base, ok := v.snapshots[d.Base]
	if d.Base != 0 && !ok {
		c.send(from, message.Fetch{Number: n, Base: v.newestNumber})
		return
	}
	s, err := c.assemble(d, base)
	if err != nil {
		c.recordEvent(TimelineEvent{Kind: "delta-refused", Version: n, Detail: err.Error()})
		return
	}
	c.recordEvent(TimelineEvent{Kind: "version-fetched", Version: n})
	c.addVersion(s, from)
	if e := c.hosts.byAddr[from]; e != nil && e.row.Region != c.config.Self.Region {
		c.send(from, message.Announce{Number: n})
	}
}
