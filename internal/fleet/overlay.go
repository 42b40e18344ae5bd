package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/peridotlb/peridotlb/internal/host"
)

// Shape of the overlay within a zone.
const (
	treeFanOut = 4
	// maxProbed bounds the hosts that one daemon probes when many in a row have
	// failed. With 8, a run of 9 waited 3 s for the first ones to be dead.
	maxProbed = 16
)

// overlay is this daemon's part of the graph that all daemons compute from the
// member table.
type overlay struct {
	zones      map[host.AvailabilityZone][]*hostEntry
	regionOf   map[host.AvailabilityZone]host.Region
	rank       int // in the own zone
	liveOthers int // live hosts other than this one
	parent     *hostEntry
	children   []*hostEntry
	next       []*hostEntry // ring successors, the nearest first, at most maxProbed
	previous   *hostEntry   // ring predecessor
}

// refreshOverlay recomputes the overlay after a change of liveness.
func (c *Core) refreshOverlay() {
	if !c.hosts.dirty {
		return
	}
	c.hosts.dirty = false
	o := overlay{zones: make(map[host.AvailabilityZone][]*hostEntry), regionOf: make(map[host.AvailabilityZone]host.Region)}
	for zone, order := range c.hosts.order {
		o.regionOf[zone] = order[0].row.Region
		o.liveOthers += len(order)
		o.zones[zone] = withoutSuspects(order)
	}
	o.placeSelf(c.config.Self)
	o.placeOnRing(c.hosts.order[c.config.Self.Zone], c.config.Self)
	if o.rank >= 0 {
		o.liveOthers--
	}
	c.overlay = o
	c.refreshProbeTargets()
}

// placeSelf finds this host's tree edges in its zone.
func (o *overlay) placeSelf(self host.Row) {
	order := o.zones[self.Zone]
	o.rank = slices.IndexFunc(order, func(e *hostEntry) bool { return e.row.ID == self.ID })
	if o.rank < 0 {
		return // this host has left
	}
	if o.rank > 0 {
		o.parent = order[(o.rank-1)/treeFanOut]
	}
	for i := treeFanOut*o.rank + 1; i <= treeFanOut*o.rank+treeFanOut && i < len(order); i++ {
		o.children = append(o.children, order[i])
	}
}

// placeOnRing finds this host's ring edges. The ring holds suspects too.
func (o *overlay) placeOnRing(order []*hostEntry, self host.Row) {
	own := slices.IndexFunc(order, func(e *hostEntry) bool { return e.row.ID == self.ID })
	if own < 0 {
		return
	}
	for i := 1; i <= maxProbed && i < len(order); i++ {
		o.next = append(o.next, order[(own+i)%len(order)])
	}
	if len(order) > 1 {
		o.previous = order[(own+len(order)-1)%len(order)]
	}
}

// isRoot reports whether this host is the root of its zone.
func (o *overlay) isRoot() bool { return o.rank == 0 }

// zoneOrder returns the zones of a region in rendezvous order.
func (o *overlay) zoneOrder(region host.Region) []host.AvailabilityZone {
	var zones []host.AvailabilityZone
	for zone, r := range o.regionOf {
		if r == region {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b host.AvailabilityZone) int {
		return cmp.Or(
			cmp.Compare(hashOf(string(region), string(a)), hashOf(string(region), string(b))),
			cmp.Compare(a, b))
	})
	return zones
}

// otherRegions returns the regions other than own, sorted.
func (o *overlay) otherRegions(own host.Region) []host.Region {
	var regions []host.Region
	for _, r := range o.regionOf {
		if r != own && !slices.Contains(regions, r) {
			regions = append(regions, r)
		}
	}
	slices.Sort(regions)
	return regions
}

// linkCandidates returns the hosts of a region that can be the far end of the
// region link: the roots of its zones in order, then the next ranks.
func (o *overlay) linkCandidates(region host.Region) []*hostEntry {
	const ranks = 3
	zones := o.zoneOrder(region)
	var candidates []*hostEntry
	for rank := range ranks {
		for _, zone := range zones {
			if order := o.zones[zone]; rank < len(order) {
				candidates = append(candidates, order[rank])
			}
		}
	}
	return candidates
}

// isRegionRoot reports whether this host is the root of its region: the zone
// root of the first zone that is not unreachable.
func (c *Core) isRegionRoot() bool {
	if !c.overlay.isRoot() {
		return false
	}
	for _, zone := range c.overlay.zoneOrder(c.config.Self.Region) {
		if zone == c.config.Self.Zone {
			return true
		}
		if !c.probes.unreachable(zone) {
			return false
		}
	}
	return false
}

// edge is a neighbour in the overlay.
type edge struct {
	addr netip.AddrPort
	push bool // a version may be pushed, since no other edge brings it
	link bool // crosses the region link
}

// edges returns the neighbours that announcements and news flow to.
func (c *Core) edges() []edge {
	var list []edge
	add := func(e *hostEntry, push bool) {
		if e == nil || e.row.ID == c.config.Self.ID {
			return
		}
		for i := range list {
			if list[i].addr == e.row.ControlAddr {
				list[i].push = list[i].push || push
				return
			}
		}
		list = append(list, edge{addr: e.row.ControlAddr, push: push, link: e.row.Region != c.config.Self.Region})
	}
	o := &c.overlay
	add(o.parent, true)
	for _, e := range o.children {
		add(e, true)
	}
	for _, t := range c.probes.targets {
		if t.group != ringGroup {
			add(c.hosts.get(t.id), true)
		}
	}
	for _, addr := range c.probes.sortedVisitors() {
		add(c.hosts.byAddr[addr], true)
	}
	if len(o.next) > 0 {
		add(o.next[0], false)
	}
	add(o.previous, false)
	return list
}
