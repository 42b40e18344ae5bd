package fleet

import (
	"cmp"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// tombstoneTTL is how long rows of hosts that are dead or have left are kept. A
// host that was disconnected for less time learns that it was declared dead,
// and refutes it.
const tombstoneTTL = time.Hour

// hostEntry is a host in the member table.
type hostEntry struct {
	row                     host.Row
	rendezvousHash          uint64    // order within the zone among hosts of equal capacity
	changedAt               time.Time // local time of the last change of state or incarnation
	recordDeletionRequested bool      // the record of the dead host was deleted
}

func (e *hostEntry) live() bool {
	return e.row.State == host.Alive || e.row.State == host.Suspect
}

// hostTable holds all hosts that this daemon knows.
type hostTable struct {
	entries  map[host.ID]*hostEntry
	byAddr   map[netip.AddrPort]*hostEntry
	suspects map[host.ID]*hostEntry
	dead     map[host.ID]*hostEntry
	// liveByZone holds the live hosts of each zone, ordered by compareRank. A
	// change replaces the slice because earlier overlays still use the old one.
	liveByZone   map[host.AvailabilityZone][]*hostEntry
	overlayStale bool // an input of the overlay changed since it was last computed
	staleHashes  map[host.ID]bool
}

func (t *hostTable) init() {
	t.entries = make(map[host.ID]*hostEntry)
	t.byAddr = make(map[netip.AddrPort]*hostEntry)
	t.suspects = make(map[host.ID]*hostEntry)
	t.dead = make(map[host.ID]*hostEntry)
	t.liveByZone = make(map[host.AvailabilityZone][]*hostEntry)
	t.staleHashes = make(map[host.ID]bool)
}

func (t *hostTable) get(id host.ID) *hostEntry { return t.entries[id] }

// put stores a row unconditionally, without comparing stamps.
func (t *hostTable) put(row host.Row, now time.Time) {
	e := t.entries[row.ID]
	if e == nil {
		e = &hostEntry{}
		t.entries[row.ID] = e
	} else if t.byAddr[e.row.ControlAddr] == e {
		delete(t.byAddr, e.row.ControlAddr)
	}
	if !sameOverlayInputs(e.row, row) {
		t.overlayStale = true
		t.removeFromRanking(e)
		e.row, e.rendezvousHash = row, hashStrings(string(row.Zone), string(row.ID))
		t.addToRanking(e)
	}
	e.row = row
	e.changedAt = now
	t.byAddr[row.ControlAddr] = e
	if row.State == host.Suspect {
		t.suspects[row.ID] = e
	} else {
		delete(t.suspects, row.ID)
	}
	if row.State == host.Dead {
		t.dead[row.ID] = e
	} else {
		delete(t.dead, row.ID)
		e.recordDeletionRequested = false
	}
	t.staleHashes[row.ID] = true
}

// sameOverlayInputs reports whether both rows lead to the same overlay.
func sameOverlayInputs(a, b host.Row) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.Region == b.Region && a.State == b.State && a.ControlAddr == b.ControlAddr && a.Capacity == b.Capacity
}

func (t *hostTable) removeFromRanking(e *hostEntry) {
	order := t.liveByZone[e.row.Zone]
	i := slices.Index(order, e)
	switch {
	case i < 0:
	case len(order) == 1:
		delete(t.liveByZone, e.row.Zone)
	default:
		t.liveByZone[e.row.Zone] = slices.Concat(order[:i], order[i+1:])
	}
}

func (t *hostTable) addToRanking(e *hostEntry) {
	if e.live() {
		order := t.liveByZone[e.row.Zone]
		i, _ := slices.BinarySearchFunc(order, e, compareRank)
		t.liveByZone[e.row.Zone] = slices.Concat(order[:i], []*hostEntry{e}, order[i:])
	}
}

func (t *hostTable) remove(e *hostEntry) {
	t.removeFromRanking(e)
	delete(t.entries, e.row.ID)
	delete(t.suspects, e.row.ID)
	delete(t.dead, e.row.ID)
	if t.byAddr[e.row.ControlAddr] == e {
		delete(t.byAddr, e.row.ControlAddr)
	}
	t.staleHashes[e.row.ID] = true
}

// serverTable holds the rows of all backend servers.
type serverTable struct {
	rows        map[backend.ServerID]backend.Server
	byHost      map[host.ID][]backend.ServerID
	staleHashes map[host.ID]bool
}

func (t *serverTable) init(hosts *hostTable) {
	t.rows = make(map[backend.ServerID]backend.Server)
	t.byHost = make(map[host.ID][]backend.ServerID)
	t.staleHashes = hosts.staleHashes
}

func (t *serverTable) put(s backend.Server) {
	old, ok := t.rows[s.ID]
	if ok && old.Host != s.Host {
		t.remove(old)
	}
	if !ok || old.Host != s.Host {
		t.byHost[s.Host] = append(t.byHost[s.Host], s.ID)
	}
	t.rows[s.ID] = s
	t.staleHashes[s.Host] = true
}

func (t *serverTable) remove(s backend.Server) {
	delete(t.rows, s.ID)
	t.byHost[s.Host] = slices.DeleteFunc(t.byHost[s.Host], func(id backend.ServerID) bool { return id == s.ID })
	if len(t.byHost[s.Host]) == 0 {
		delete(t.byHost, s.Host)
	}
	t.staleHashes[s.Host] = true
}

// rowHashes holds hashes of the live rows. Only hosts whose rows changed are
// hashed again: hashing all rows of 1,200 hosts took 0.2 ms for each changed
// row.
type rowHashes struct {
	hosts map[host.ID]hostHash
	zones map[host.AvailabilityZone]uint64
	total uint64
}

// hostHash is the hash of a live host's row and the rows of its servers.
type hostHash struct {
	zone host.AvailabilityZone
	hash uint64
}

func (h *rowHashes) init() {
	h.hosts = make(map[host.ID]hostHash)
	h.zones = make(map[host.AvailabilityZone]uint64)
}

// refreshHashes recomputes the hashes of hosts whose rows changed.
func (c *Core) refreshHashes() {
	h := &c.hashes
	for id := range c.hosts.staleHashes {
		if old, ok := h.hosts[id]; ok {
			h.toggle(old)
			delete(h.hosts, id)
		}
		if e := c.hosts.get(id); e != nil && e.live() {
			h.hosts[id] = hostHash{zone: e.row.Zone, hash: c.hashHost(e.row)}
			h.toggle(h.hosts[id])
		}
	}
	if len(c.hosts.staleHashes) > 0 {
		maps.DeleteFunc(h.zones, func(z host.AvailabilityZone, _ uint64) bool { return len(c.hosts.liveByZone[z]) == 0 })
		clear(c.hosts.staleHashes)
	}
}

// toggle adds a hash to the XOR sums, or removes one that was added before.
func (h *rowHashes) toggle(r hostHash) {
	h.zones[r.zone] ^= r.hash
	h.total ^= r.hash
}

func (c *Core) hashHost(r host.Row) uint64 {
	sum := hashRow(string(r.ID), r.Stamp, uint8(r.State))
	for _, id := range c.servers.byHost[r.ID] {
		if s := c.servers.rows[id]; s.State != backend.Gone {
			sum ^= hashRow("server "+string(s.ID), s.Stamp, uint8(s.State))
		}
	}
	return sum
}

// zoneHashes returns the hash of the live rows of each zone. Tombstones are
// excluded because daemons remove them at different times.
func (c *Core) zoneHashes() map[host.AvailabilityZone]uint64 {
	c.refreshHashes()
	return maps.Clone(c.hashes.zones)
}

// rowsHash returns the hash of all live rows.
func (c *Core) rowsHash() uint64 {
	c.refreshHashes()
	return c.hashes.total
}

func hashRow(id string, stamp host.Stamp, state uint8) uint64 {
	h := hashStrings(id)
	h = mixBits(h ^ uint64(stamp.Incarnation))
	h = mixBits(h ^ uint64(stamp.Sequence))
	return mixBits(h ^ uint64(state))
}

// hashStrings returns a hash that is the same on all daemons.
func hashStrings(parts ...string) uint64 {
	f := fnv.New64a()
	for _, p := range parts {
		_, _ = f.Write([]byte(p))
		_, _ = f.Write([]byte{0})
	}
	return mixBits(f.Sum64())
}

// mixBits is the SplitMix64 finalizer. With FNV alone, similar names have
// correlated hashes and would rank in the same order.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// preferAlive returns the hosts that are not suspect, or all of them if all are
// suspect.
func preferAlive(order []*hostEntry) []*hostEntry {
	if !slices.ContainsFunc(order, func(e *hostEntry) bool { return e.row.State != host.Alive }) {
		return order
	}
	alive := make([]*hostEntry, 0, len(order))
	for _, e := range order {
		if e.row.State == host.Alive {
			alive = append(alive, e)
		}
	}
	if len(alive) == 0 {
		return order
	}
	return alive
}

func compareRank(a, b *hostEntry) int {
	return cmp.Or(cmp.Compare(b.row.Capacity, a.row.Capacity), cmp.Compare(a.rendezvousHash, b.rendezvousHash), cmp.Compare(a.row.ID, b.row.ID))
}

// runPurge removes expired tombstones.
func (c *Core) runPurge() {
	if c.now.Before(c.updates.nextPurgeAt) {
		return
	}
	c.updates.nextPurgeAt = c.now.Add(time.Minute)
	for _, e := range c.hosts.entries {
		if !e.live() && c.now.Sub(e.changedAt) > tombstoneTTL && e.row.ID != c.config.Self.ID {
			c.hosts.remove(e)
		}
	}
	for _, s := range c.servers.rows {
		if c.hosts.get(s.Host) == nil {
			c.servers.remove(s)
		}
	}
}
