package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// joinJitter spreads the table reads of daemons that start at once: 1,200
	// starts make 480 reads a second, below the budget of 500.
	joinJitter = 2500 * time.Millisecond
	// joinInterval is the wait for an answer before the next peer is asked. One
	// at a time, since each costs a handshake and all rows.
	joinInterval = 500 * time.Millisecond
	// otherRegionsInterval is the time between searches of a region root for
	// other regions while it knows none.
	otherRegionsInterval = 10 * time.Second
	// strangersFirst and strangersLast are the mean times between two searches
	// of a zone root for hosts that it does not know, at the start and at the
	// most.
	strangersFirst = 4 * time.Second
	strangersLast  = 30 * time.Minute
	// aloneInterval is the time between searches for peers while there are none.
	aloneInterval = 5 * time.Second
	// joinAnswersPerSecond limits the snapshots of rows that one daemon sends
	// in a mass restart; joiners ask another peer.
	joinAnswersPerSecond = 8
)

// joinState is the progress of the start of this daemon.
type joinState struct {
	started        bool
	known          []netip.AddrPort // peers to ask, the nearest first
	next           int              // position in known
	readPeersAt    time.Time
	readHeadAt     time.Time
	headAsked      bool
	joinAt         time.Time
	otherRegionsAt time.Time
	strangersAt    time.Time
	strangersWait  time.Duration  // until the next search
	stranger       netip.AddrPort // the one that was asked last
	joined         bool           // rows have arrived from a peer
	settled        bool           // the head row was read, so that the floor is final
	served         int            // join answers in the current second
	servedFrom     time.Time
}

// runJoin reads the head row once, finds peers and asks them for rows.
func (c *Core) runJoin() {
	j := &c.join
	if !j.started {
		c.startJoin()
	}
	if !j.headAsked && !c.now.Before(j.readHeadAt) {
		j.headAsked = true
		c.emit(ReadHead{})
	}
	if len(j.known) == 0 || c.alone() {
		if !c.now.Before(j.readPeersAt) {
			j.readPeersAt = c.now.Add(aloneInterval + c.jitter(joinJitter))
			c.emit(ReadPeers{})
		}
	}
	c.findStrangers()
	c.findOtherRegions()
	if (!j.joined || c.alone()) && len(j.known) > 0 && !c.now.Before(j.joinAt) {
		c.askPeers()
	}
}

func (c *Core) startJoin() {
	j := &c.join
	j.started = true
	j.readHeadAt = c.now.Add(c.jitter(joinJitter))
	j.readPeersAt = c.now.Add(c.jitter(joinJitter / 4))
	for _, p := range c.config.Peers {
		if p != c.config.Self.ControlAddr {
			j.known = append(j.known, p)
		}
	}
	c.emit(WriteHost{Row: c.self()})
	c.record(Record{Kind: "host-started", Host: c.config.Self.ID})
}

func (c *Core) askPeers() {
	j := &c.join
	j.joinAt = c.now.Add(joinInterval)
	c.send(j.known[j.next%len(j.known)], message.Join{Row: c.self()})
	j.next++
}

// findOtherRegions lets the region root join the hosts of other regions when
// it knows none. Other hosts join their own region only, which saves the bytes
// of a handshake and of all rows on the region link.
func (c *Core) findOtherRegions() {
	j := &c.join
	c.refreshOverlay()
	if c.now.Before(j.otherRegionsAt) || !c.isRegionRoot() {
		return
	}
	if len(c.overlay.otherRegions(c.config.Self.Region)) > 0 {
		return
	}
	if !j.otherRegionsAt.IsZero() {
		c.emit(ReadPeers{Scope: OtherRegions})
	}
	j.otherRegionsAt = c.now.Add(otherRegionsInterval/4 + c.jitter(otherRegionsInterval))
}

// findStrangers lets zone roots look for hosts of their region that they do not
// know. A starting host joins one peer of its own zone, so that hosts that start
// at the same time can form parts of the fleet that do not know each other, and
// each part has roots of its own. The wait doubles while no stranger answers,
// since the reads of a region without the table cross the region link.
func (c *Core) findStrangers() {
	j := &c.join
	c.refreshOverlay()
	if c.now.Before(j.strangersAt) || !c.overlay.isRoot() {
		return
	}
	if j.strangersAt.IsZero() {
		j.strangersWait = strangersFirst
	} else {
		c.emit(ReadPeers{Scope: EveryZone})
	}
	j.strangersAt = c.now.Add(j.strangersWait/2 + c.jitter(j.strangersWait))
	j.strangersWait = min(2*j.strangersWait, strangersLast)
}

// joinStranger joins one of the hosts that this daemon does not know. Many rows
// of the table may be those of hosts that are gone.
func (c *Core) joinStranger(peers []netip.AddrPort) {
	strangers := slices.DeleteFunc(peers, func(p netip.AddrPort) bool {
		return p == c.config.Self.ControlAddr || c.hosts.byAddr[p] != nil
	})
	if len(strangers) == 0 {
		return
	}
	c.join.stranger = strangers[c.random.IntN(len(strangers))]
	c.send(c.join.stranger, message.Join{Row: c.self()})
}

// alone reports whether no other live host is known.
func (c *Core) alone() bool {
	c.refreshOverlay()
	return c.overlay.liveOthers == 0
}

func (c *Core) peersRead(e PeersRead) {
	if e.Err != nil {
		return
	}
	switch {
	case e.Scope == EveryZone:
		c.joinStranger(e.Peers)
		return
	case e.Scope == OtherRegions:
		if len(e.Peers) > 0 {
			c.send(e.Peers[c.random.IntN(len(e.Peers))], message.Join{Row: c.self()})
		}
		return
	}
	c.join.known, c.join.next = nil, 0
	for _, p := range slices.Concat(c.config.Peers, e.Peers) {
		if p != c.config.Self.ControlAddr {
			c.join.known = append(c.join.known, p)
		}
	}
}

func (c *Core) receiveJoin(from netip.AddrPort, m message.Join) {
	j := &c.join
	if c.now.Sub(j.servedFrom) >= time.Second {
		j.servedFrom, j.served = c.now, 0
	}
	if j.served >= joinAnswersPerSecond || c.self().State == host.Left {
		return
	}
	j.served++
	c.mergeNews(message.News{Hosts: []host.Row{m.Row}}, from)
	all := func(host.AvailabilityZone) bool { return true }
	c.send(from, message.JoinAnswer{News: c.rowsOf(all), Head: c.head()})
}

func (c *Core) receiveJoinAnswer(from netip.AddrPort, m message.JoinAnswer) {
	j := &c.join
	j.joined = true
	if from == j.stranger {
		// There may be more parts of the fleet, so that the next search is soon.
		j.stranger, j.strangersWait = netip.AddrPort{}, strangersFirst
		j.strangersAt = c.now.Add(strangersFirst/2 + c.jitter(strangersFirst))
	}
	c.mergeNews(m.News, from)
	c.noteHead(from, m.Head)
}

// settle takes the head row as the floor: the lowest version that this daemon
// may apply first. Every version that an earlier run of this host applied had
// been accepted, so that it is not above the head row. Peers cannot give the
// floor: those that knew the newest version may be down as well.
func (c *Core) settle(head version.Number) {
	if c.join.settled {
		return
	}
	c.join.settled = true
	c.versions.floor = head
	c.applyNewest()
}

// mayApply reports whether a version is not older than what an earlier run of
// this host can have applied.
func (c *Core) mayApply(n version.Number) bool {
	return c.join.settled && n >= c.versions.floor
}
