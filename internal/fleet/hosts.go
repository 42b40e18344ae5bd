package fleet

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// tombstoneAge is how long rows of dead and left hosts are kept. A host that
// was cut off for less is told that it was declared dead, and refutes it.
const tombstoneAge = time.Hour

// hostEntry is a host in the member table.
type hostEntry struct {
	row       host.Row
	weight    uint64    // rendezvous order within the zone
	changedAt time.Time // local time of the last change of state or incarnation
}

func (e *hostEntry) live() bool {
	return e.row.State == host.Alive || e.row.State == host.Suspect
}

// hostTable holds all hosts that this daemon knows.
type hostTable struct {
	entries  map[host.ID]*hostEntry
	byAddr   map[netip.AddrPort]*hostEntry
	suspects map[host.ID]*hostEntry
	dirty    bool // liveness changed since the overlay was computed
	hashed   bool // the row hash is current
}

func (t *hostTable) init() {
	t.entries = make(map[host.ID]*hostEntry)
	t.byAddr = make(map[netip.AddrPort]*hostEntry)
	t.suspects = make(map[host.ID]*hostEntry)
}

func (t *hostTable) get(id host.ID) *hostEntry { return t.entries[id] }

// put stores a row without comparing it with the present one.
func (t *hostTable) put(row host.Row, now time.Time) {
	e := t.entries[row.ID]
	if e == nil {
		e = &hostEntry{weight: hashOf(string(row.Zone), string(row.ID))}
		t.entries[row.ID] = e
	} else if t.byAddr[e.row.ControlAddr] == e {
		delete(t.byAddr, e.row.ControlAddr)
	}
	e.row = row
	e.changedAt = now
	t.byAddr[row.ControlAddr] = e
	if row.State == host.Suspect {
		t.suspects[row.ID] = e
	} else {
		delete(t.suspects, row.ID)
	}
	t.dirty = true
	t.hashed = false
}

func (t *hostTable) remove(e *hostEntry) {
	delete(t.entries, e.row.ID)
	delete(t.suspects, e.row.ID)
	if t.byAddr[e.row.ControlAddr] == e {
		delete(t.byAddr, e.row.ControlAddr)
	}
	t.hashed = false
}

// serverTable holds the rows of all backend servers.
type serverTable struct {
	rows   map[backend.ServerID]backend.Server
	hashed bool
}

func (t *serverTable) init() { t.rows = make(map[backend.ServerID]backend.Server) }

func (t *serverTable) put(s backend.Server) {
	t.rows[s.ID] = s
	t.hashed = false
}

// zoneHashes returns the hash of the live rows of each zone. Tombstones are
// left out, because daemons remove them at different times.
func (c *Core) zoneHashes() map[host.AvailabilityZone]uint64 {
	hashes := make(map[host.AvailabilityZone]uint64)
	for _, e := range c.hosts.entries {
		if e.live() {
			r := e.row
			hashes[r.Zone] ^= hashRow(string(r.ID), r.Stamp, uint8(r.State))
		}
	}
	for _, s := range c.servers.rows {
		e := c.hosts.get(s.Host)
		if e == nil || !e.live() || s.State == backend.Gone {
			continue
		}
		hashes[e.row.Zone] ^= hashRow("server "+string(s.ID), s.Stamp, uint8(s.State))
	}
	return hashes
}

// rowsHash returns the hash of all live rows.
func (c *Core) rowsHash() uint64 {
	if c.hosts.hashed && c.servers.hashed {
		return c.news.rowsHash
	}
	var sum uint64
	for _, h := range c.zoneHashes() {
		sum ^= h
	}
	c.news.rowsHash = sum
	c.hosts.hashed, c.servers.hashed = true, true
	return sum
}

func hashRow(id string, stamp host.Stamp, state uint8) uint64 {
	h := hashOf(id)
	h = mix(h ^ uint64(stamp.Incarnation))
	h = mix(h ^ uint64(stamp.Sequence))
	return mix(h ^ uint64(state))
}

// hashOf hashes strings in a way that all daemons share.
func hashOf(parts ...string) uint64 {
	f := fnv.New64a()
	for _, p := range parts {
		_, _ = f.Write([]byte(p))
		_, _ = f.Write([]byte{0})
	}
	return mix(f.Sum64())
}

// mix is the finalizer of SplitMix64. FNV alone orders similar names alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// liveByZone returns the live hosts of each zone in zone order.
func (t *hostTable) liveByZone() map[host.AvailabilityZone][]*hostEntry {
	zones := make(map[host.AvailabilityZone][]*hostEntry)
	for _, e := range t.entries {
		if e.live() {
			zones[e.row.Zone] = append(zones[e.row.Zone], e)
		}
	}
	for _, order := range zones {
		slices.SortFunc(order, compareOrder)
	}
	return zones
}

// withoutSuspects returns the hosts that are not suspect, or all when all are.
func withoutSuspects(order []*hostEntry) []*hostEntry {
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

func compareOrder(a, b *hostEntry) int {
	return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.row.ID, b.row.ID))
}

// runPurge removes tombstones.
func (c *Core) runPurge() {
	if c.now.Before(c.news.purgeAt) {
		return
	}
	c.news.purgeAt = c.now.Add(time.Minute)
	for _, e := range c.hosts.entries {
		if !e.live() && c.now.Sub(e.changedAt) > tombstoneAge && e.row.ID != c.config.Self.ID {
			c.hosts.remove(e)
		}
	}
	for id, s := range c.servers.rows {
		if c.hosts.get(s.Host) == nil {
			delete(c.servers.rows, id)
		}
	}
}
