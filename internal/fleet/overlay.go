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
	maxRingSuccessors = 16
)

// overlay is this daemon's part of the graph that all daemons compute from the
// member table.
type overlay struct {
	hostsByZone map[host.AvailabilityZone][]*hostEntry
	regionOf    map[host.AvailabilityZone]host.Region
	zoneRank    int // in the own zone
	liveOthers  int // live hosts other than this one
	parent      *hostEntry
	children    []*hostEntry
	successors  []*hostEntry // ring successors, the nearest first, at most maxProbed
	predecessor *hostEntry   // ring predecessor
}

// refreshOverlay recomputes the overlay after a change of liveness.
func (c *Core) refreshOverlay() {
	if !c.hosts.overlayStale {
		return
	}
	c.hosts.overlayStale = false
	o := overlay{hostsByZone: make(map[host.AvailabilityZone][]*hostEntry), regionOf: make(map[host.AvailabilityZone]host.Region)}
	for zone, order := range c.hosts.liveByZone {
		o.regionOf[zone] = order[0].row.Region
		o.liveOthers += len(order)
		o.hostsByZone[zone] = preferAlive(order)
	}
	o.setTreeEdges(c.config.Self)
	o.setRingEdges(c.hosts.liveByZone[c.config.Self.Zone], c.config.Self)
	if o.zoneRank >= 0 {
		o.liveOthers--
	}
	c.overlay = o
	c.refreshProbeTargets()
}

// placeSelf finds this host's tree edges in its zone.
func (o *overlay) setTreeEdges(self host.Row) {
	order := o.hostsByZone[self.Zone]
	o.zoneRank = slices.IndexFunc(order, func(e *hostEntry) bool { return e.row.ID == self.ID })
	if o.zoneRank < 0 {
		return // this host has left
	}
	if o.zoneRank > 0 {
		o.parent = order[(o.zoneRank-1)/treeFanOut]
	}
	for i := treeFanOut*o.zoneRank + 1; i <= treeFanOut*o.zoneRank+treeFanOut && i < len(order); i++ {
		o.children = append(o.children, order[i])
	}
}

// placeOnRing finds this host's ring edges. The ring holds suspects too.
func (o *overlay) setRingEdges(order []*hostEntry, self host.Row) {
	own := slices.IndexFunc(order, func(e *hostEntry) bool { return e.row.ID == self.ID })
	if own < 0 {
		return
	}
	for i := 1; i <= maxRingSuccessors && i < len(order); i++ {
		o.successors = append(o.successors, order[(own+i)%len(order)])
	}
	if len(order) > 1 {
		o.predecessor = order[(own+len(order)-1)%len(order)]
	}
}

// isRoot reports whether this host is the root of its zone.
func (o *overlay) isZoneRoot() bool { return o.zoneRank == 0 }

// zoneOrder returns the zones of a region in rendezvous order.
func (o *overlay) rankedZones(region host.Region) []host.AvailabilityZone {
	var zones []host.AvailabilityZone
	for zone, r := range o.regionOf {
		if r == region {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b host.AvailabilityZone) int {
		return cmp.Or(
			cmp.Compare(hashStrings(string(region), string(a)), hashStrings(string(region), string(b))),
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
	zones := o.rankedZones(region)
	var candidates []*hostEntry
	for rank := range ranks {
		for _, zone := range zones {
			if order := o.hostsByZone[zone]; rank < len(order) {
				candidates = append(candidates, order[rank])
			}
		}
	}
	return candidates
}

// isRegionRoot reports whether this host is the root of its region: the zone
// root of the first zone that is not unreachable.
func (c *Core) isRegionRoot() bool {
	if !c.overlay.isZoneRoot() {
		return false
	}
	for _, zone := range c.overlay.rankedZones(c.config.Self.Region) {
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
type neighbor struct {
	addr        netip.AddrPort
	allowPush   bool // a version may be pushed, since no other edge brings it
	crossRegion bool // crosses the region link
}

// edges returns the neighbours that announcements and news flow to.
func (c *Core) neighbors() []neighbor {
	var list []neighbor
	add := func(e *hostEntry, push bool) {
		if e == nil || e.row.ID == c.config.Self.ID {
			return
		}
		for i := range list {
			if list[i].addr == e.row.ControlAddr {
				list[i].allowPush = list[i].allowPush || push
				return
			}
		}
		list = append(list, neighbor{addr: e.row.ControlAddr, allowPush: push, crossRegion: e.row.Region != c.config.Self.Region})
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
	for _, addr := range c.probes.sortedInboundProbers() {
		add(c.hosts.byAddr[addr], true)
	}
	if len(o.successors) > 0 {
		add(o.successors[0], false)
	}
	add(o.predecessor, false)
	return list
}
