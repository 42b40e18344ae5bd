package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/peridotlb/peridotlb/internal/host"
)

// Parameters of the overlay within a zone.
const (
	treeFanOut = 4
	// maxRingSuccessors bounds the number of ring successors that one daemon
	// probes when several consecutive hosts have failed. With a limit of 8, a run
	// of 9 failed hosts was only detected after waiting 3 s for the first ones to
	// be declared dead.
	maxRingSuccessors = 16
)

// overlay is this daemon's part of the graph that every daemon computes from
// the member table.
type overlay struct {
	preferredByZone map[host.AvailabilityZone][]*hostEntry
	regionOf        map[host.AvailabilityZone]host.Region
	zoneRank        int // rank within the own zone; negative if this host has left
	liveOthers      int // number of live hosts except this one
	parent          *hostEntry
	children        []*hostEntry
	successors      []*hostEntry // ring successors, nearest first, at most maxRingSuccessors
	predecessor     *hostEntry   // ring predecessor
}

// refreshOverlay recomputes the overlay after a change to its inputs.
func (c *Core) refreshOverlay() {
	if !c.hosts.overlayStale {
		return
	}
	c.hosts.overlayStale = false
	o := overlay{preferredByZone: make(map[host.AvailabilityZone][]*hostEntry), regionOf: make(map[host.AvailabilityZone]host.Region)}
	for zone, order := range c.hosts.liveByZone {
		o.regionOf[zone] = order[0].row.Region
		o.liveOthers += len(order)
		o.preferredByZone[zone] = preferAlive(order)
	}
	o.setTreeEdges(c.config.Self)
	o.setRingEdges(c.hosts.liveByZone[c.config.Self.Zone], c.config.Self)
	if o.zoneRank >= 0 {
		o.liveOthers--
	}
	c.overlay = o
	c.refreshProbeTargets()
}

// setTreeEdges finds this host's tree edges within its zone.
func (o *overlay) setTreeEdges(self host.Row) {
	order := o.preferredByZone[self.Zone]
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

// setRingEdges finds this host's ring edges. The ring includes suspect hosts.
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

// isZoneRoot reports whether this host is the root of its zone.
func (o *overlay) isZoneRoot() bool { return o.zoneRank == 0 }

// rankedZones returns the zones of a region in rendezvous order.
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

// otherRegions returns the regions except own, sorted.
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

// linkCandidates returns the hosts of a region that can terminate the
// inter-region link: the roots of its zones in order, then the hosts of the
// next ranks.
func (o *overlay) linkCandidates(region host.Region) []*hostEntry {
	const ranks = 3
	zones := o.rankedZones(region)
	var candidates []*hostEntry
	for rank := range ranks {
		for _, zone := range zones {
			if order := o.preferredByZone[zone]; rank < len(order) {
				candidates = append(candidates, order[rank])
			}
		}
	}
	return candidates
}

// isRegionRoot reports whether this host is the root of its region, which is
// the zone root of the first reachable zone.
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

// neighbor is a host that this host has an overlay edge to.
type neighbor struct {
	addr        netip.AddrPort
	spanning    bool // a version may be pushed because no other edge delivers it
	crossRegion bool // the edge uses the inter-region link
}

// neighbors returns the hosts that receive announcements and row updates from
// this host.
func (c *Core) neighbors() []neighbor {
	var list []neighbor
	add := func(e *hostEntry, allowPush bool) {
		if e == nil || e.row.ID == c.config.Self.ID {
			return
		}
		for i := range list {
			if list[i].addr == e.row.ControlAddr {
				list[i].spanning = list[i].spanning || allowPush
				return
			}
		}
		list = append(list, neighbor{addr: e.row.ControlAddr, spanning: allowPush, crossRegion: e.row.Region != c.config.Self.Region})
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
