package fleet

import (
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// joinJitter spreads the table reads of daemons that start at once: 1,200
	// starts make 480 reads a second, below the budget of 500.
	joinJitter = 2500 * time.Millisecond
	// joinPeers is the number of peers asked at a time.
	joinPeers    = 3
	joinInterval = time.Second
	// aloneInterval is the time between searches for peers while there are none.
	aloneInterval = 5 * time.Second
	// settleTime is the wait for a higher version when the table is down. News
	// of a version reaches a connected peer within about two seconds.
	settleTime = 3 * time.Second
	// answersToSettle is the number of peers that must have answered.
	answersToSettle = 2
	// joinAnswersPerSecond limits the snapshots of rows that one daemon sends
	// in a mass restart; joiners ask another peer.
	joinAnswersPerSecond = 8
)

// joinState is the progress of the start of this daemon.
type joinState struct {
	started     bool
	known       []netip.AddrPort // peers to ask
	readPeersAt time.Time
	readHeadAt  time.Time
	headAsked   bool
	joinAt      time.Time
	joined      bool // rows have arrived from a peer
	answered    map[netip.AddrPort]bool
	firstAnswer time.Time
	headRead    bool
	settled     bool // the floor is final
	served      int  // join answers in the current second
	servedFrom  time.Time
}

func (j *joinState) init() { j.answered = make(map[netip.AddrPort]bool) }

// runJoin finds peers, asks them for rows and settles the floor.
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
	if (!j.joined || c.alone()) && len(j.known) > 0 && !c.now.Before(j.joinAt) {
		c.askPeers()
	}
	c.settleFloor()
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
	for i, k := range c.random.Perm(len(j.known)) {
		if i == joinPeers {
			return
		}
		c.send(j.known[k], message.Join{Row: c.self()})
	}
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
	for _, p := range e.Peers {
		if p != c.config.Self.ControlAddr {
			c.join.known = append(c.join.known, p)
		}
	}
	const maxKnown = 64
	if extra := len(c.join.known) - maxKnown; extra > 0 {
		c.join.known = c.join.known[extra:]
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
	c.countAnswer(from)
	c.noteHead(from, m.Head)
}

// countAnswer counts a distinct peer that told its head.
func (c *Core) countAnswer(from netip.AddrPort) {
	j := &c.join
	if j.settled {
		return
	}
	if len(j.answered) == 0 {
		j.firstAnswer = c.now
	}
	j.answered[from] = true
}

// settleFloor decides when the floor is final: the lowest version that this
// daemon may apply first. The head row bounds every version that was ever
// applied. Without it, several peers must have answered and none may have
// named a higher version for a while.
func (c *Core) settleFloor() {
	j := &c.join
	if j.settled {
		return
	}
	enough := len(j.answered) >= min(answersToSettle, max(1, c.othersNotLeft()))
	waited := enough && c.now.Sub(j.firstAnswer) >= settleTime
	if !j.headRead && !waited {
		return
	}
	j.settled = true
	c.versions.floor = max(c.versions.floor, c.versions.known)
	c.applyNewest()
}

func (c *Core) othersNotLeft() int {
	n := 0
	for _, e := range c.hosts.entries {
		if e.row.State != host.Left && e.row.ID != c.config.Self.ID {
			n++
		}
	}
	return n
}

// mayApply reports whether a version is not older than what an earlier run of
// this host can have applied.
func (c *Core) mayApply(n version.Number) bool {
	return c.join.settled && n >= c.versions.floor
}
