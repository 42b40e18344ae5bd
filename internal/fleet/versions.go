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
	HeldVersions     = 16
	fetchTimeout     = 500 * time.Millisecond
	linkFetchTimeout = 3 * time.Second
	// fullDeltasPerSecond limits the whole versions that one daemon sends in a
	// mass restart.
	fullDeltasPerSecond = 8
	// pushCheck is the time after a push over the region link at which a probe
	// checks that it arrived, unless the far end has announced it.
	pushCheck = 300 * time.Millisecond
)

// fetching is a fetch that waits for its delta.
type fetching struct {
	to     netip.AddrPort
	sentAt time.Time
	limit  time.Duration
}

type versionState struct {
	applied  version.Snapshot
	newest   version.Number // highest version held
	known    version.Number // highest version heard of
	floor    version.Number // lowest version that may be applied first
	held     map[version.Number]version.Snapshot
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
	for len(v.held) > HeldVersions {
		delete(v.held, slices.Min(slices.Collect(maps.Keys(v.held))))
	}
}

// take holds a version that the table accepted, applies it and announces it to
// all neighbours but the one it came from.
func (c *Core) take(s version.Snapshot, from netip.AddrPort) {
	v := &c.versions
	if s.Number() <= v.newest {
		return
	}
	v.hold(s)
	c.emit(Hold{Snapshot: s})
	v.newest = s.Number()
	v.known = max(v.known, v.newest)
	v.fetch = nil
	clear(v.tried)
	c.pruneSources()
	c.applyNewest()
	c.announce(from)
}

// applyNewest applies the newest version, never an older one.
func (c *Core) applyNewest() {
	v := &c.versions
	s, ok := v.held[v.newest]
	if !ok || v.newest <= v.applied.Number() || !c.mayApply(v.newest) {
		return
	}
	v.applied = s
	c.emit(Apply{Snapshot: s})
	c.note(Note{Kind: "version-applied", Version: s.Number()})
}

// announce passes the newest version on to all neighbours but the one it came
// from.
func (c *Core) announce(from netip.AddrPort) {
	v := &c.versions
	for _, e := range c.edges() {
		switch {
		case e.addr == from || v.heads[e.addr] >= v.newest:
		case e.link:
			// A push saves the bytes and the delay of announcing; the far root is
			// reached by this edge only.
			c.send(e.addr, c.delta(v.held[v.newest], v.heads[e.addr]))
			c.checkPush(e.addr)
		case e.push && c.config.Distribution == Fast:
			c.push(e.addr)
		default:
			c.send(e.addr, message.Announce{Number: v.newest})
		}
	}
}

// push sends the newest version to a neighbour, against the version that it
// holds as far as is known, or else the one before. An announcement goes with a
// guessed base, so that a neighbour that lacks it fetches; a wrong belief is
// repaired by the next probe.
func (c *Core) push(addr netip.AddrPort) {
	v := &c.versions
	base, ok := v.heads[addr]
	if !ok {
		base = v.newest - 1
	}
	c.send(addr, c.delta(v.held[v.newest], base))
	if !ok {
		c.send(addr, message.Announce{Number: v.newest})
	}
	v.heads[addr] = v.newest
}

// checkPush brings the next probe of a target forward. The far end announces
// the version back when it arrived, which makes the probe unnecessary.
func (c *Core) checkPush(addr netip.AddrPort) {
	for _, t := range c.probes.targets {
		if t.addr == addr && !t.waiting {
			t.nextAt = c.now.Add(pushCheck)
			t.checks = c.versions.newest
		}
	}
}

// pushArrived puts off the probe that checkPush brought forward.
func (c *Core) pushArrived(from netip.AddrPort, held version.Number) {
	for _, t := range c.probes.targets {
		if t.addr == from && t.checks != 0 && held >= t.checks {
			t.checks = 0
			t.nextAt = c.now.Add(t.group.interval())
		}
	}
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
	blobs := make(map[version.Digest][]byte, len(d.Blobs))
	for _, b := range d.Blobs {
		blobs[version.DigestOf(b)] = b
	}
	return version.AssembleFromBase(base, d.Manifest, blobs)
}

func (c *Core) receiveAnnounce(from netip.AddrPort, n version.Number) {
	c.noteHead(from, message.Head{Known: n, Held: n})
}

// noteHead takes note of what a peer knows and holds.
func (c *Core) noteHead(from netip.AddrPort, h message.Head) {
	v := &c.versions
	v.known = max(v.known, h.Known, h.Held)
	v.heads[from] = h.Held
	c.pushArrived(from, h.Held)
	if h.Held <= v.newest {
		return
	}
	if !slices.Contains(v.sources, from) {
		v.sources = append(v.sources, from)
	}
}

func (c *Core) pruneSources() {
	v := &c.versions
	v.sources = slices.DeleteFunc(v.sources, func(a netip.AddrPort) bool { return v.heads[a] <= v.newest })
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
	c.send(to, message.Fetch{Number: v.heads[to], Base: v.newest})
}

func (c *Core) receiveFetch(from netip.AddrPort, m message.Fetch) {
	v := &c.versions
	v.heads[from] = m.Base
	if v.newest < m.Number || v.newest == 0 {
		return
	}
	d := c.delta(v.held[v.newest], m.Base)
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
	v.known = max(v.known, n)
	v.heads[from] = max(v.heads[from], n)
	if n <= v.newest {
		return
	}
	base, ok := v.held[d.Base]
	if d.Base != 0 && !ok {
		c.send(from, message.Fetch{Number: n, Base: v.newest})
		return
	}
	s, err := c.assemble(d, base)
	if err != nil {
		c.note(Note{Kind: "delta-refused", Version: n, Detail: err.Error()})
		return
	}
	c.note(Note{Kind: "version-fetched", Version: n})
	c.take(s, from)
	if e := c.hosts.byAddr[from]; e != nil && e.row.Region != c.config.Self.Region {
		c.send(from, message.Announce{Number: n})
	}
}
