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
	// RetainedVersions is the number of versions kept as bases for deltas.
	RetainedVersions        = 16
	fetchTimeout            = 500 * time.Millisecond
	crossRegionFetchTimeout = 3 * time.Second
	// maxFullDeltasPerSecond limits the complete versions that one daemon sends in
	// a mass restart.
	maxFullDeltasPerSecond = 8
	// pushCheckDelay is the time after a push over the inter-region link at which
	// a probe verifies the arrival, unless the receiver has announced the version
	// by then.
	pushCheckDelay = 300 * time.Millisecond
)

// pendingFetch is a fetch that waits for its delta.
type pendingFetch struct {
	to      netip.AddrPort
	sentAt  time.Time
	timeout time.Duration
}

type versionState struct {
	applied               version.Snapshot
	highestRetained       version.Number // highest retained version
	highestKnown          version.Number // highest version learned of
	floor                 version.Number // lowest version that may be applied first
	snapshots             map[version.Number]version.Snapshot
	fetch                 *pendingFetch
	triedSources          map[netip.AddrPort]bool
	peerVersions          map[netip.AddrPort]version.Number // newest version that each peer holds
	sources               []netip.AddrPort                  // peers with a newer version, in the order of announcement
	fullDeltasSent        int                               // complete versions sent in the current second
	fullDeltasWindowStart time.Time
}

func (v *versionState) init() {
	v.snapshots = make(map[version.Number]version.Snapshot)
	v.triedSources = make(map[netip.AddrPort]bool)
	v.peerVersions = make(map[netip.AddrPort]version.Number)
}

// retain keeps a snapshot as a base for deltas and removes the oldest ones.
func (v *versionState) retain(s version.Snapshot) {
	v.snapshots[s.Number()] = s
	for len(v.snapshots) > RetainedVersions {
		delete(v.snapshots, slices.Min(slices.Collect(maps.Keys(v.snapshots))))
	}
}

// addVersion retains an accepted version, applies it and announces it to all
// neighbors except the one it came from.
func (c *Core) addVersion(s version.Snapshot, from netip.AddrPort) {
	v := &c.versions
	if s.Number() <= v.highestRetained {
		return
	}
	v.retain(s)
	c.emit(RetainSnapshot{Snapshot: s})
	v.highestRetained = s.Number()
	v.highestKnown = max(v.highestKnown, v.highestRetained)
	v.fetch = nil
	clear(v.triedSources)
	c.pruneSources()
	c.applyNewest()
	c.announceVersion(from)
}

// applyNewest applies the newest version, never an older one.
func (c *Core) applyNewest() {
	v := &c.versions
	s, ok := v.snapshots[v.highestRetained]
	if !ok || v.highestRetained <= v.applied.Number() || !c.mayApply(v.highestRetained) {
		return
	}
	v.applied = s
	c.emit(ApplySnapshot{Snapshot: s})
	c.recordEvent(TimelineEvent{Kind: "version-applied", Version: s.Number()})
}

// announceVersion announces or pushes the newest version to all neighbors
// except the one it came from.
func (c *Core) announceVersion(from netip.AddrPort) {
	v := &c.versions
	for _, e := range c.neighbors() {
		switch {
		case e.addr == from || v.peerVersions[e.addr] >= v.highestRetained:
		case e.crossRegion:
			// A push avoids the bytes and the latency of an announcement. No other
			// edge leads to the remote root.
			c.send(e.addr, c.delta(v.snapshots[v.highestRetained], v.peerVersions[e.addr]))
			c.schedulePushCheck(e.addr)
		case e.spanning && c.config.Distribution == Fast:
			c.pushVersion(e.addr)
		default:
			c.send(e.addr, message.Announce{Number: v.highestRetained})
		}
	}
}

// pushVersion sends the newest version to a neighbor as a delta from the
// version that it is known to hold, or else from the previous version. In the
// latter case an announcement is sent as well, so that a neighbor without that
// base fetches the version. If a recorded peer version is wrong, the next probe
// corrects it.
func (c *Core) pushVersion(addr netip.AddrPort) {
	v := &c.versions
	base, ok := v.peerVersions[addr]
	if !ok {
		base = v.highestRetained - 1
	}
	c.send(addr, c.delta(v.snapshots[v.highestRetained], base))
	if !ok {
		c.send(addr, message.Announce{Number: v.highestRetained})
	}
	v.peerVersions[addr] = v.highestRetained
}

// schedulePushCheck schedules an early probe that verifies the arrival of a
// push. If the version arrives, the receiver announces it back, which makes the
// probe unnecessary.
func (c *Core) schedulePushCheck(addr netip.AddrPort) {
	for _, t := range c.probes.targets {
		if t.addr == addr && !t.pending {
			t.nextProbeAt = c.now.Add(pushCheckDelay)
			t.pushedVersion = c.versions.highestRetained
		}
	}
}

// cancelPushCheck postpones the probe that schedulePushCheck scheduled.
func (c *Core) cancelPushCheck(from netip.AddrPort, held version.Number) {
	for _, t := range c.probes.targets {
		if t.addr == from && t.pushedVersion != 0 && held >= t.pushedVersion {
			t.pushedVersion = 0
			t.nextProbeAt = c.now.Add(t.group.interval())
		}
	}
}

// delta builds the message that updates a holder of base to a snapshot.
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

// assemble builds a snapshot from a delta and its base.
func (c *Core) assemble(d message.Delta, base version.Snapshot) (version.Snapshot, error) {
	blobs := make(map[version.Digest][]byte, len(d.Blobs))
	for _, b := range d.Blobs {
		blobs[version.DigestOf(b)] = b
	}
	return version.AssembleFromBase(base, d.Manifest, blobs)
}

func (c *Core) receiveAnnounce(from netip.AddrPort, n version.Number) {
	c.recordPeerSummary(from, message.StateSummary{Known: n, Held: n})
}

// recordPeerHead records which versions a peer knows and holds.
func (c *Core) recordPeerSummary(from netip.AddrPort, h message.StateSummary) {
	v := &c.versions
	v.highestKnown = max(v.highestKnown, h.Known, h.Held)
	v.peerVersions[from] = h.Held
	c.cancelPushCheck(from, h.Held)
	if h.Held <= v.highestRetained {
		return
	}
	if !slices.Contains(v.sources, from) {
		v.sources = append(v.sources, from)
	}
}

func (c *Core) pruneSources() {
	v := &c.versions
	v.sources = slices.DeleteFunc(v.sources, func(a netip.AddrPort) bool { return v.peerVersions[a] <= v.highestRetained })
}

// runFetch requests a newer version from a peer, and from another one after a
// timeout.
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
	c.send(to, message.Fetch{Number: v.peerVersions[to], Base: v.highestRetained})
}

func (c *Core) receiveFetch(from netip.AddrPort, m message.Fetch) {
	v := &c.versions
	v.peerVersions[from] = m.Base
	if v.highestRetained < m.Number || v.highestRetained == 0 {
		return
	}
	d := c.delta(v.snapshots[v.highestRetained], m.Base)
	if d.Base == 0 && !c.allowFullDelta() {
		return
	}
	c.send(from, d)
}

// allowFullDelta counts a complete version and reports whether it is within the
// limit per second.
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
	if n <= v.highestRetained {
		return
	}
	base, ok := v.snapshots[d.Base]
	if d.Base != 0 && !ok {
		c.send(from, message.Fetch{Number: n, Base: v.highestRetained})
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
