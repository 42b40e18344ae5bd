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
	joined         bool // rows have arrived from a peer
	settled        bool // the head row was read, so that the floor is final
	served         int  // join answers in the current second
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
		c.emit(ReadPeers{OtherRegions: true})
	}
	j.otherRegionsAt = c.now.Add(otherRegionsInterval/4 + c.jitter(otherRegionsInterval))
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
	if e.OtherRegions {
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
	c.join.joined = true
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
