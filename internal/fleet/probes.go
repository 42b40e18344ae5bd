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
	probeInterval               = time.Second
	crossRegionProbeInterval    = 5 * time.Second // keeps the idle inter-region link below 100 B/s
	probeTimeout                = 500 * time.Millisecond
	indirectProbeMisses         = 3
	suspectMisses               = 4
	nextCandidateMisses         = 2
	indirectProbeHelpers        = 2
	suspicionTimeout            = 3 * time.Second
	nonProberSuspicionTimeout   = 15 * time.Second // limit on hosts that do not probe the suspect, in case the prober has failed too
	reconnectInterval           = 10 * time.Second
	pauseThreshold              = 1500 * time.Millisecond
	inboundProberTTL            = 3 * probeInterval
	crossRegionInboundProberTTL = 3 * crossRegionProbeInterval
)

// probeGroup is a set of hosts of which one is probed. The zero value is the
// ring, in which every target forms its own group.
type probeGroup struct {
	zone   host.AvailabilityZone
	region host.Region // set for inter-region probes only
}

var ringGroup probeGroup

func (g probeGroup) interval() time.Duration {
	if g.region != "" {
		return crossRegionProbeInterval
	}
	return probeInterval
}

// probeTarget is a host that this daemon probes.
type probeTarget struct {
	id            host.ID
	addr          netip.AddrPort
	group         probeGroup
	nonce         uint64
	pending       bool // a probe is unanswered
	sentAt        time.Time
	nextProbeAt   time.Time
	misses        int
	passive       bool           // the other side sends the probes
	pushedVersion version.Number // pushed version whose arrival the next probe verifies
	checkUpdates  bool           // the next probe verifies that row updates arrived
}

// groupState tracks which candidate of a group is probed.
type groupState struct {
	candidatesTried int
	unreachable     bool
}

// relayedProbe is an indirect probe sent on behalf of another host.
type relayedProbe struct {
	requester netip.AddrPort
	request   message.IndirectProbe
	expiresAt time.Time
}

type probeState struct {
	targets        []*probeTarget
	groups         map[probeGroup]*groupState
	inboundProbers map[netip.AddrPort]time.Time // hosts of other zones that probe this host
	relayedProbes  map[uint64]relayedProbe
	hashMismatches map[netip.AddrPort]int
	targetsStale   bool // the targets must be chosen again
	lastRun        time.Time
	reconnectAt    time.Time
}

func (p *probeState) init() {
	p.groups = make(map[probeGroup]*groupState)
	p.inboundProbers = make(map[netip.AddrPort]time.Time)
	p.relayedProbes = make(map[uint64]relayedProbe)
	p.hashMismatches = make(map[netip.AddrPort]int)
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

// recordContact records that a host is running, whatever message it sent.
func (p *probeState) recordContact(from netip.AddrPort, now time.Time) {
	for _, t := range p.targets {
		if t.addr != from {
			continue
		}
		p.targetsStale = p.targetsStale || t.group == ringGroup && t.misses > 0
		t.misses = 0
		if t.pending && now.Sub(t.sentAt) >= probeTimeout {
			t.pending = false
		}
		if t.group != ringGroup {
			p.markReachable(t.group)
		}
	}
}

// markReachable records that a group answers. A region root that stood in for
// another one then drops its inter-region edges.
func (p *probeState) markReachable(g probeGroup) {
	s := p.group(g)
	p.targetsStale = p.targetsStale || s.unreachable
	s.unreachable = false
}

// refreshProbeTargets chooses the targets from the overlay and keeps the state
// of targets that remain.
func (c *Core) refreshProbeTargets() {
	old := c.probes.targets
	c.probes.targets = nil
	// Probe the nearest successor that answers and is not suspect, and those
	// before it so that they can still answer. One successor is enough: probing a
	// second one doubled the probe traffic and did not detect single failures
	// sooner. Each missed answer adds one host without waiting 2 s for the
	// suspicion, since otherwise a run of failed hosts takes that long for each
	// host.
	alive, missed := 0, 0
	for _, e := range c.overlay.successors {
		c.addTarget(old, e, ringGroup)
		if e.row.State != host.Alive {
			continue
		}
		alive++
		if missed += c.probes.targets[len(c.probes.targets)-1].misses; alive > missed {
			break
		}
	}
	if !c.overlay.isZoneRoot() {
		return
	}
	self := c.config.Self
	for _, zone := range c.overlay.rankedZones(self.Region) {
		if zone != self.Zone {
			c.addGroupTarget(old, probeGroup{zone: zone}, c.overlay.preferredByZone[zone])
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
		c.addTarget(old, candidates[c.probes.group(g).candidatesTried%len(candidates)], g)
	}
}

func (c *Core) addTarget(old []*probeTarget, e *hostEntry, g probeGroup) {
	for _, t := range old {
		if t.id == e.row.ID && t.addr == e.row.ControlAddr && t.group == g {
			c.probes.targets = append(c.probes.targets, t)
			return
		}
	}
	t := &probeTarget{id: e.row.ID, addr: e.row.ControlAddr, group: g, nextProbeAt: c.now}
	c.probes.targets = append(c.probes.targets, t)
}

// runProbes sends due probes and counts missed answers.
func (c *Core) runProbes() {
	p := &c.probes
	paused := !p.lastRun.IsZero() && c.now.Sub(p.lastRun) > pauseThreshold
	p.lastRun = c.now
	c.expireProbeState()
	for _, t := range p.targets {
		if paused {
			// Answers that arrived while this process was paused were not read.
			// Counting them as missed would make healthy hosts suspect.
			t.pending, t.misses, t.nextProbeAt = false, 0, c.now
		}
		// A pushed version is verified even if the other side sends the probes,
		// because that host may have failed since its last probe.
		checking := t.pushedVersion != 0 || t.checkUpdates || t.pending || t.misses > 0
		t.passive = t.group != ringGroup && !checking && c.probedByGroup(t.group)
		if t.passive {
			t.pending, t.misses, t.nextProbeAt = false, 0, c.now
			p.markReachable(t.group)
			continue
		}
		if t.pending && c.now.Sub(t.sentAt) >= probeTimeout {
			t.pending = false
			t.misses++
			t.nextProbeAt = c.now // repeat the probe immediately
			p.targetsStale = c.handleMissedProbe(t) || p.targetsStale
		}
		if !t.pending && !c.now.Before(t.nextProbeAt) {
			c.sendProbe(t)
		}
	}
	if p.targetsStale {
		p.targetsStale = false
		c.refreshProbeTargets()
	}
}

func (c *Core) sendProbe(t *probeTarget) {
	t.nonce = uint64(c.rng.Uint32())
	t.pending = true
	t.sentAt = c.now
	t.nextProbeAt = c.now.Add(t.group.interval())
	t.pushedVersion, t.checkUpdates = 0, false
	c.send(t.addr, message.Probe{Nonce: t.nonce, RowStamp: c.selfRow().Stamp, Summary: c.stateSummary()})
}

// handleMissedProbe reacts to a missed answer. It reports whether the probe
// targets must be chosen again.
func (c *Core) handleMissedProbe(t *probeTarget) bool {
	if t.group != ringGroup {
		if t.misses < nextCandidateMisses {
			return false
		}
		delete(c.probes.inboundProbers, t.addr)
		g := c.probes.group(t.group)
		g.candidatesTried++
		if g.candidatesTried%len(c.groupCandidates(t.group)) == 0 && !g.unreachable {
			g.unreachable = true
			c.recordEvent(TimelineEvent{Kind: "unreachable", Detail: string(cmp.Or(string(t.group.zone), string(t.group.region)))})
		}
		return true
	}
	switch {
	case t.misses == indirectProbeMisses:
		c.sendIndirectProbes(t)
	case t.misses >= suspectMisses:
		c.suspect(t.id)
	}
	return true
}

func (c *Core) groupCandidates(g probeGroup) []*hostEntry {
	if g.region != "" {
		return c.overlay.linkCandidates(g.region)
	}
	return c.overlay.preferredByZone[g.zone]
}

func (c *Core) sendIndirectProbes(t *probeTarget) {
	order := c.overlay.preferredByZone[c.config.Self.Zone]
	sent := 0
	for _, i := range c.rng.Perm(len(order)) {
		id := order[i].row.ID
		if id == c.config.Self.ID || id == t.id {
			continue
		}
		c.send(order[i].row.ControlAddr, message.IndirectProbe{Nonce: t.nonce, Target: t.id})
		if sent++; sent == indirectProbeHelpers {
			return
		}
	}
}

// suspect marks a host as suspect and publishes the new state.
func (c *Core) suspect(id host.ID) {
	e := c.hosts.get(id)
	if e == nil || e.row.State != host.Alive {
		return
	}
	c.setState(e, host.Suspect)
	c.recordEvent(TimelineEvent{Kind: "host-suspected", Host: id})
}

func (c *Core) setState(e *hostEntry, s host.State) {
	row := e.row
	row.State = s
	c.hosts.put(row, c.now)
	c.updates.queueHost(row.ID, netip.AddrPort{})
	c.emit(RebuildRoutingTable{})
}

// runSuspicion declares suspect hosts dead that did not refute in time.
func (c *Core) runSuspicion() {
	for _, id := range slices.Sorted(maps.Keys(c.hosts.suspects)) {
		e := c.hosts.suspects[id]
		timeout := nonProberSuspicionTimeout
		if slices.ContainsFunc(c.probes.targets, func(t *probeTarget) bool { return t.id == id && t.group == ringGroup }) {
			timeout = suspicionTimeout
		}
		if c.now.Sub(e.changedAt) >= timeout {
			c.setState(e, host.Dead)
			c.recordEvent(TimelineEvent{Kind: "host-dead", Host: id})
		}
	}
}

// runReconnect makes zone roots probe a random dead host periodically, so that
// partitions of the fleet that declared each other dead reconnect.
func (c *Core) runReconnect() {
	if c.now.Before(c.probes.reconnectAt) || !c.overlay.isZoneRoot() {
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
	slices.SortFunc(dead, compareRank)
	e := dead[c.rng.IntN(len(dead))]
	c.send(e.row.ControlAddr, message.Probe{Nonce: uint64(c.rng.Uint32()), RowStamp: c.selfRow().Stamp, Summary: c.stateSummary()})
}

func (c *Core) receiveProbe(from netip.AddrPort, m message.Probe) {
	c.send(from, message.ProbeAnswer{Nonce: m.Nonce, RowStamp: c.selfRow().Stamp, Summary: c.stateSummary()})
	if e := c.hosts.byAddr[from]; e != nil && e.row.Zone != c.config.Self.Zone {
		c.probes.inboundProbers[from] = c.now
	}
	c.checkSender(from, m.RowStamp)
	c.recordPeerSummary(from, m.Summary)
	c.compareRowsHash(from, m.Summary.RowsHash)
}

func (c *Core) receiveProbeAnswer(from netip.AddrPort, m message.ProbeAnswer) {
	if r, ok := c.probes.relayedProbes[m.Nonce]; ok {
		delete(c.probes.relayedProbes, m.Nonce)
		c.send(r.requester, message.IndirectAnswer{Nonce: r.request.Nonce, Target: r.request.Target, RowStamp: m.RowStamp})
		return
	}
	for _, t := range c.probes.targets {
		if t.addr == from && t.nonce == m.Nonce {
			t.pending = false
		}
	}
	c.checkSender(from, m.RowStamp)
	c.recordPeerSummary(from, m.Summary)
	c.compareRowsHash(from, m.Summary.RowsHash)
}

func (c *Core) receiveIndirectProbe(from netip.AddrPort, m message.IndirectProbe) {
	target := c.hosts.get(m.Target)
	if target == nil {
		return
	}
	nonce := uint64(c.rng.Uint32())
	c.probes.relayedProbes[nonce] = relayedProbe{requester: from, request: m, expiresAt: c.now.Add(2 * probeTimeout)}
	c.send(target.row.ControlAddr, message.Probe{Nonce: nonce, RowStamp: c.selfRow().Stamp, Summary: c.stateSummary()})
}

func (c *Core) receiveIndirectAnswer(m message.IndirectAnswer) {
	for _, t := range c.probes.targets {
		if t.id == m.Target {
			c.probes.targetsStale = c.probes.targetsStale || t.misses > 0
			t.misses, t.pending = 0, false
		}
	}
}

// checkSender informs a running host that it was declared suspect or dead, so
// that it refutes. It requests the rows of a host that is unknown or was
// restarted.
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

// probedByGroup reports whether a host of the group probes this host and this
// host is the side that stays passive.
func (c *Core) probedByGroup(g probeGroup) bool {
	self := c.config.Self
	for addr := range c.probes.inboundProbers {
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

// sortedInboundProbers returns the inbound probers in a fixed order instead of
// map order, so that a run is reproducible from its seed.
func (p *probeState) sortedInboundProbers() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(p.inboundProbers), netip.AddrPort.Compare)
}

func (c *Core) expireProbeState() {
	for addr, at := range c.probes.inboundProbers {
		ttl := inboundProberTTL
		e := c.hosts.byAddr[addr]
		if e != nil && e.row.Region != c.config.Self.Region {
			ttl = crossRegionInboundProberTTL
		}
		if e == nil || c.now.Sub(at) > ttl {
			delete(c.probes.inboundProbers, addr)
		}
	}
	for nonce, r := range c.probes.relayedProbes {
		if c.now.After(r.expiresAt) {
			delete(c.probes.relayedProbes, nonce)
		}
	}
}
