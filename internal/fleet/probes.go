package fleet

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Timing of failure detection.
const (
	probeInterval       = time.Second
	linkProbeInterval   = 5 * time.Second // keeps the idle region link below 100 B/s
	probeTimeout        = 500 * time.Millisecond
	missesForIndirect   = 3
	missesForSuspect    = 4
	missesForNextRank   = 2
	indirectProbers     = 2
	suspicionTime       = 3 * time.Second
	suspicionTimeOthers = 15 * time.Second // when the probing host is gone too
	reconnectInterval   = 10 * time.Second
	pauseThreshold      = 1500 * time.Millisecond
	visitorAge          = 3 * probeInterval
	linkVisitorAge      = 3 * linkProbeInterval
)

// probeGroup is a set of hosts of which one is probed. The zero value is the
// ring, where every target is a group of its own.
type probeGroup struct {
	zone   host.AvailabilityZone
	region host.Region // set for the region link only
}

var ringGroup probeGroup

func (g probeGroup) interval() time.Duration {
	if g.region != "" {
		return linkProbeInterval
	}
	return probeInterval
}

// probeTarget is a host that this daemon probes.
type probeTarget struct {
	id      host.ID
	addr    netip.AddrPort
	group   probeGroup
	nonce   uint64
	waiting bool // a probe is unanswered
	sentAt  time.Time
	nextAt  time.Time
	misses  int
	passive bool           // the other side probes, so this side does not
	checks  version.Number // pushed version whose arrival the next probe checks
	news    bool           // the next probe checks whether news arrived
}

// groupState is the progress through the candidates of a group.
type groupState struct {
	attempt     int
	unreachable bool
}

// relayedProbe is an indirect probe made for another host.
type relayedProbe struct {
	requester netip.AddrPort
	request   message.IndirectProbe
	expiresAt time.Time
}

type probeState struct {
	targets     []*probeTarget
	groups      map[probeGroup]*groupState
	visitors    map[netip.AddrPort]time.Time // hosts of other zones that probe this one
	relayed     map[uint64]relayedProbe
	mismatches  map[netip.AddrPort]int
	moved       bool // groups changed since the targets were chosen
	lastRun     time.Time
	reconnectAt time.Time
}

func (p *probeState) init() {
	p.groups = make(map[probeGroup]*groupState)
	p.visitors = make(map[netip.AddrPort]time.Time)
	p.relayed = make(map[uint64]relayedProbe)
	p.mismatches = make(map[netip.AddrPort]int)
}

func (p *probeState) group(g probeGroup) *groupState {
	s := p.groups[g]
	if s == nil {
		s = &groupState{}
		p.groups[g] = s
	}
	return s
}

func (p *probeState) unreachable(zone host.AvailabilityZone) bool {
	return p.group(probeGroup{zone: zone}).unreachable
}

// heard notes that a host lives, whatever message it sent.
func (p *probeState) heard(from netip.AddrPort, now time.Time) {
	for _, t := range p.targets {
		if t.addr != from {
			continue
		}
		p.moved = p.moved || t.group == ringGroup && t.misses > 0
		t.misses = 0
		if t.waiting && now.Sub(t.sentAt) >= probeTimeout {
			t.waiting = false
		}
		if t.group != ringGroup {
			p.reached(t.group)
		}
	}
}

// reached notes that a group answers. The root of a region that stood in for
// another one gives up its edges over the link.
func (p *probeState) reached(g probeGroup) {
	s := p.group(g)
	p.moved = p.moved || s.unreachable
	s.unreachable = false
}

// refreshProbeTargets matches the targets to the overlay and keeps the state
// of targets that stay.
func (c *Core) refreshProbeTargets() {
	old := c.probes.targets
	c.probes.targets = nil
	// Probes go to the next host that answers and is not suspect, and to those in
	// between so that they can still answer. One successor is enough: a second
	// one doubled the probe traffic and found single failures no sooner. Each
	// missed answer adds one host, without waiting for a suspicion, which takes
	// 2 s: a run of failed hosts took as long for each of them.
	alive, missed := 0, 0
	for _, e := range c.overlay.next {
		c.addTarget(old, e, ringGroup)
		if e.row.State != host.Alive {
			continue
		}
		alive++
		if missed += c.probes.targets[len(c.probes.targets)-1].misses; alive > missed {
			break
		}
	}
	if !c.overlay.isRoot() {
		return
	}
	self := c.config.Self
	for _, zone := range c.overlay.zoneOrder(self.Region) {
		if zone != self.Zone {
			c.addGroupTarget(old, probeGroup{zone: zone}, c.overlay.zones[zone])
		}
	}
	if !c.isRegionRoot() {
		return
	}
	for _, region := range c.overlay.otherRegions(self.Region) {
		c.addGroupTarget(old, probeGroup{region: region}, c.overlay.linkCandidates(region))
	}
}

func (c *Core) addGroupTarget(old []*probeTarget, g probeGroup, candidates []*hostEntry) {
	if len(candidates) > 0 {
		c.addTarget(old, candidates[c.probes.group(g).attempt%len(candidates)], g)
	}
}

func (c *Core) addTarget(old []*probeTarget, e *hostEntry, g probeGroup) {
	for _, t := range old {
		if t.id == e.row.ID && t.addr == e.row.ControlAddr && t.group == g {
			c.probes.targets = append(c.probes.targets, t)
			return
		}
	}
	t := &probeTarget{id: e.row.ID, addr: e.row.ControlAddr, group: g, nextAt: c.now}
	c.probes.targets = append(c.probes.targets, t)
}

// runProbes sends due probes and counts missed answers.
func (c *Core) runProbes() {
	p := &c.probes
	paused := !p.lastRun.IsZero() && c.now.Sub(p.lastRun) > pauseThreshold
	p.lastRun = c.now
	c.expireVisitors()
	for _, t := range p.targets {
		if paused {
			// Answers that arrived during a pause of this process were not
			// read; counting them as missed would suspect healthy hosts.
			t.waiting, t.misses, t.nextAt = false, 0, c.now
		}
		// A pushed version is checked although the other side probes: it may have
		// failed since its last probe.
		checking := t.checks != 0 || t.news || t.waiting || t.misses > 0
		t.passive = t.group != ringGroup && !checking && c.visitedBy(t.group)
		if t.passive {
			t.waiting, t.misses, t.nextAt = false, 0, c.now
			p.reached(t.group)
			continue
		}
		if t.waiting && c.now.Sub(t.sentAt) >= probeTimeout {
			t.waiting = false
			t.misses++
			t.nextAt = c.now // missed answers are repeated at once
			p.moved = c.probeMissed(t) || p.moved
		}
		if !t.waiting && !c.now.Before(t.nextAt) {
			c.probe(t)
		}
	}
	if p.moved {
		p.moved = false
		c.refreshProbeTargets()
	}
}

func (c *Core) probe(t *probeTarget) {
	t.nonce = uint64(c.random.Uint32())
	t.waiting = true
	t.sentAt = c.now
	t.nextAt = c.now.Add(t.group.interval())
	t.checks, t.news = 0, false
	c.send(t.addr, message.Probe{Nonce: t.nonce, Stamp: c.self().Stamp, Summary: c.head()})
}

// probeMissed acts on a missed answer. It reports whether other hosts are to be
// probed.
func (c *Core) probeMissed(t *probeTarget) bool {
	if t.group != ringGroup {
		if t.misses < missesForNextRank {
			return false
		}
		delete(c.probes.visitors, t.addr)
		g := c.probes.group(t.group)
		g.attempt++
		if g.attempt%len(c.groupCandidates(t.group)) == 0 && !g.unreachable {
			g.unreachable = true
			c.note(Note{Kind: "unreachable", Detail: string(cmp.Or(string(t.group.zone), string(t.group.region)))})
		}
		return true
	}
	switch {
	case t.misses == missesForIndirect:
		c.sendIndirectProbes(t)
	case t.misses >= missesForSuspect:
		c.suspect(t.id)
	}
	return true
}

func (c *Core) groupCandidates(g probeGroup) []*hostEntry {
	if g.region != "" {
		return c.overlay.linkCandidates(g.region)
	}
	return c.overlay.zones[g.zone]
}

func (c *Core) sendIndirectProbes(t *probeTarget) {
	order := c.overlay.zones[c.config.Self.Zone]
	sent := 0
	for _, i := range c.random.Perm(len(order)) {
		id := order[i].row.ID
		if id == c.config.Self.ID || id == t.id {
			continue
		}
		c.send(order[i].row.ControlAddr, message.IndirectProbe{Nonce: t.nonce, Target: t.id})
		if sent++; sent == indirectProbers {
			return
		}
	}
}

// suspect marks a host as suspect and publishes it.
func (c *Core) suspect(id host.ID) {
	e := c.hosts.get(id)
	if e == nil || e.row.State != host.Alive {
		return
	}
	c.setState(e, host.Suspect)
	c.note(Note{Kind: "host-suspected", Host: id})
}

func (c *Core) setState(e *hostEntry, s host.State) {
	row := e.row
	row.State = s
	c.hosts.put(row, c.now)
	c.news.addHost(row.ID, netip.AddrPort{})
	c.emit(ServersChanged{})
}

// runSuspicion declares suspects dead that did not refute in time.
func (c *Core) runSuspicion() {
	for _, id := range slices.Sorted(maps.Keys(c.hosts.suspects)) {
		e := c.hosts.suspects[id]
		limit := suspicionTimeOthers
		if slices.ContainsFunc(c.probes.targets, func(t *probeTarget) bool { return t.id == id && t.group == ringGroup }) {
			limit = suspicionTime
		}
		if c.now.Sub(e.changedAt) >= limit {
			c.setState(e, host.Dead)
			c.note(Note{Kind: "host-dead", Host: id})
		}
	}
}

// runReconnect lets zone roots probe a dead host now and then, so that parts
// of the fleet that declared each other dead find together again.
func (c *Core) runReconnect() {
	if c.now.Before(c.probes.reconnectAt) || !c.overlay.isRoot() {
		return
	}
	c.probes.reconnectAt = c.now.Add(reconnectInterval)
	var dead []*hostEntry
	for _, e := range c.hosts.entries {
		if e.row.State == host.Dead {
			dead = append(dead, e)
		}
	}
	if len(dead) == 0 {
		return
	}
	slices.SortFunc(dead, compareOrder)
	e := dead[c.random.IntN(len(dead))]
	c.send(e.row.ControlAddr, message.Probe{Nonce: uint64(c.random.Uint32()), Stamp: c.self().Stamp, Summary: c.head()})
}

func (c *Core) receiveProbe(from netip.AddrPort, m message.Probe) {
	c.send(from, message.ProbeAnswer{Nonce: m.Nonce, Stamp: c.self().Stamp, Summary: c.head()})
	if e := c.hosts.byAddr[from]; e != nil && e.row.Zone != c.config.Self.Zone {
		c.probes.visitors[from] = c.now
	}
	c.checkSender(from, m.Stamp)
	c.noteHead(from, m.Summary)
	c.compareRows(from, m.Summary.RowsHash)
}

func (c *Core) receiveProbeAnswer(from netip.AddrPort, m message.ProbeAnswer) {
	if r, ok := c.probes.relayed[m.Nonce]; ok {
		delete(c.probes.relayed, m.Nonce)
		c.send(r.requester, message.IndirectAnswer{Nonce: r.request.Nonce, Target: r.request.Target, Stamp: m.Stamp})
		return
	}
	for _, t := range c.probes.targets {
		if t.addr == from && t.nonce == m.Nonce {
			t.waiting = false
		}
	}
	c.checkSender(from, m.Stamp)
	c.noteHead(from, m.Summary)
	c.compareRows(from, m.Summary.RowsHash)
}

func (c *Core) receiveIndirectProbe(from netip.AddrPort, m message.IndirectProbe) {
	target := c.hosts.get(m.Target)
	if target == nil {
		return
	}
	nonce := uint64(c.random.Uint32())
	c.probes.relayed[nonce] = relayedProbe{requester: from, request: m, expiresAt: c.now.Add(2 * probeTimeout)}
	c.send(target.row.ControlAddr, message.Probe{Nonce: nonce, Stamp: c.self().Stamp, Summary: c.head()})
}

func (c *Core) receiveIndirectAnswer(m message.IndirectAnswer) {
	for _, t := range c.probes.targets {
		if t.id == m.Target {
			c.probes.moved = c.probes.moved || t.misses > 0
			t.misses, t.waiting = 0, false
		}
	}
}

// checkSender tells a living host that it was declared suspect or dead, so that
// it refutes, and asks one that is unknown or was restarted for its rows.
func (c *Core) checkSender(from netip.AddrPort, stamp host.Stamp) {
	e := c.hosts.byAddr[from]
	if e == nil || stamp.Incarnation > e.row.Stamp.Incarnation {
		c.requestSync(from)
		return
	}
	if e.row.State != host.Alive && stamp.Compare(e.row.Stamp) <= 0 {
		c.send(from, message.RowUpdate{Hosts: []host.Row{e.row}})
	}
}

// visitedBy reports whether a host of the group probes this one, and this side
// is the one that then stays passive.
func (c *Core) visitedBy(g probeGroup) bool {
	self := c.config.Self
	for addr := range c.probes.visitors {
		e := c.hosts.byAddr[addr]
		switch {
		case e == nil:
		case g.region != "" && e.row.Region == g.region && self.Region > g.region:
			return true
		case g.zone != "" && e.row.Zone == g.zone && self.Zone > g.zone:
			return true
		}
	}
	return false
}

// sortedVisitors returns the visitors in an order that does not depend on map
// iteration, so that a run repeats from its seed.
func (p *probeState) sortedVisitors() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(p.visitors), netip.AddrPort.Compare)
}

func (c *Core) expireVisitors() {
	for addr, at := range c.probes.visitors {
		limit := visitorAge
		e := c.hosts.byAddr[addr]
		if e != nil && e.row.Region != c.config.Self.Region {
			limit = linkVisitorAge
		}
		if e == nil || c.now.Sub(at) > limit {
			delete(c.probes.visitors, addr)
		}
	}
	for nonce, r := range c.probes.relayed {
		if c.now.After(r.expiresAt) {
			delete(c.probes.relayed, nonce)
		}
	}
}
