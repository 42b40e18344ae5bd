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
	// starts read their contacts 340 times a second, of a budget of 500. The head
	// row is mostly read by one host for a zone, see floorState.
	joinJitter = 3500 * time.Millisecond
	// joinInterval is the wait for an answer before the next peer is asked. One
	// at a time, since each costs a handshake and all rows.
	joinInterval = 500 * time.Millisecond
	// Time between reads of the zone's first contacts while there is no peer.
	minAloneInterval = 500 * time.Millisecond
	maxAloneInterval = 5 * time.Second
	// Time between searches of a zone root for hosts that it does not know. It
	// doubles up to checkInterval, since each search costs about 2 kB, over the
	// region link in regions without the table. A search that finds unknown
	// hosts is repeated soon, because a join can be lost, but only a few times,
	// because the table may name hosts that are gone.
	minSearchInterval = time.Second
	repeatInterval    = 2 * time.Second
	maxRepeats        = 30
	firstSearch       = 2 * time.Second
	// publishInterval is the least time between changes of the zone's contacts,
	// and checkInterval the time after which they are checked in any case, and
	// zones are searched for although all seems known.
	publishInterval = time.Minute
	// firstPublish lets a host that found contacts learn the hosts of its zone. It
	// takes itself for the root until then: in a mass restart each host replaced
	// the contacts of its zone with a list of its own.
	firstPublish  = 2 * time.Second
	checkInterval = 30 * time.Minute
	// contactsCheck is the time between looks at this host's own table.
	contactsCheck = time.Second
	// maxContacts is the number of first contacts that a zone publishes.
	maxContacts = 8
	// joinAnswersPerSecond limits the snapshots of rows that one daemon sends
	// in a mass restart; joiners ask another peer.
	joinAnswersPerSecond = 8
)

// joinState is the progress of the start of this daemon.
type joinState struct {
	started      bool
	contacts     []netip.AddrPort // peers to ask
	next         int              // position in contacts
	readPeersAt  time.Time
	aloneFor     time.Duration // next interval between reads while alone
	readHeadAt   time.Time
	headAsked    bool
	joinAt       time.Time
	joined       bool // rows have arrived from a peer
	contactsRead bool // the zone's first contacts were read
	searchAt     time.Time
	searchEvery  time.Duration
	repeats      int // searches in a row that found unknown hosts
	publishAt    time.Time
	published    []netip.AddrPort
	checkAt      time.Time
	settled      bool // the head row was read, so that the floor is final
	served       int  // join answers in the current second
	servedFrom   time.Time
}

// runJoin reads the head row once, finds peers and asks them for rows.
func (c *Core) runJoin() {
	j := &c.join
	if !j.started {
		c.startJoin()
	}
	if !j.headAsked && !c.now.Before(j.readHeadAt) {
		j.headAsked = true
		if !j.settled {
			c.readHead()
		}
	}
	if (len(j.contacts) == 0 || c.alone()) && !c.now.Before(j.readPeersAt) {
		j.aloneFor = min(max(2*j.aloneFor, minAloneInterval), maxAloneInterval)
		j.readPeersAt = c.now.Add(j.aloneFor + c.jitter(j.aloneFor))
		c.emit(ReadPeers{})
	}
	if (!j.joined || c.alone()) && len(j.contacts) > 0 && !c.now.Before(j.joinAt) {
		c.askPeer()
	}
	c.runSearch()
	c.runPublish()
}

func (c *Core) startJoin() {
	j := &c.join
	j.started = true
	// The contacts come first, so that the newest version mostly comes from a
	// peer before the head row is known.
	j.readPeersAt = c.now.Add(c.jitter(joinJitter))
	j.readHeadAt = j.readPeersAt.Add(joinInterval)
	// A host that has just started takes itself for the root. It joins its own
	// zone first; a search would cost a join of every other zone.
	j.searchAt = j.readPeersAt.Add(firstSearch + c.jitter(firstSearch))
	j.setContacts(c.config.Peers, c.config.Self.ControlAddr)
	c.record(Record{Kind: "host-started", Host: c.config.Self.ID})
}

func (j *joinState) setContacts(peers []netip.AddrPort, own netip.AddrPort) {
	j.contacts = slices.DeleteFunc(slices.Clone(peers), func(a netip.AddrPort) bool { return a == own })
}

func (c *Core) askPeer() {
	j := &c.join
	j.joinAt = c.now.Add(joinInterval)
	c.send(j.contacts[j.next%len(j.contacts)], message.Join{Row: c.self()})
	j.next++
}

// runSearch lets zone roots look for zones that they do not know. Other hosts
// join their own zone only, which saves the bytes of a handshake and of all
// rows between zones.
func (c *Core) runSearch() {
	j := &c.join
	c.refreshOverlay()
	if !c.overlay.isRoot() || c.now.Before(j.searchAt) {
		return
	}
	j.searchEvery = min(max(2*j.searchEvery, minSearchInterval), checkInterval)
	j.searchAt = c.now.Add(j.searchEvery/2 + c.jitter(j.searchEvery))
	c.emit(ReadPeers{AllZones: true})
}

// runPublish lets the zone root publish first contacts of the zone.
func (c *Core) runPublish() {
	j := &c.join
	if !c.overlay.isRoot() || !(j.contactsRead || j.joined) || c.now.Before(j.publishAt) {
		return
	}
	order := c.overlay.zones[c.config.Self.Zone]
	contacts := Contacts{Zone: c.config.Self.Zone, Region: c.config.Self.Region}
	for _, e := range order[:min(len(order), maxContacts)] {
		contacts.Addrs = append(contacts.Addrs, e.row.ControlAddr)
	}
	if slices.Equal(contacts.Addrs, j.published) && c.now.Before(j.checkAt) {
		j.publishAt = c.now.Add(contactsCheck)
		return
	}
	j.published = contacts.Addrs
	j.publishAt = c.now.Add(publishInterval)
	j.checkAt = c.now.Add(checkInterval)
	c.emit(PublishContacts{Contacts: contacts})
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
	if e.AllZones {
		c.joinUnknownZones(e.Zones)
		return
	}
	j := &c.join
	j.contactsRead = true
	peers := slices.Clone(c.config.Peers)
	for _, z := range e.Zones {
		c.askFloor(z.Addrs)
		c.random.Shuffle(len(z.Addrs), func(i, k int) { z.Addrs[i], z.Addrs[k] = z.Addrs[k], z.Addrs[i] })
		peers = append(peers, z.Addrs...)
	}
	j.setContacts(peers, c.config.Self.ControlAddr)
	if len(j.contacts) > 0 && j.publishAt.IsZero() {
		j.publishAt = c.now.Add(firstPublish)
	}
}

// joinUnknownZones asks a host of each zone of this region whose contacts name
// an unknown one, and of another region when this host is the region root and
// knows nobody there. Hosts that start at the same time can form parts of the
// fleet that do not know each other; this joins them.
func (c *Core) joinUnknownZones(zones []Contacts) {
	j := &c.join
	found := false
	regions := c.overlay.otherRegions(c.config.Self.Region)
	for _, z := range zones {
		if z.Region == c.config.Self.Region {
			found = c.joinUnknown(z.Addrs) || found
		} else if c.isRegionRoot() && !slices.Contains(regions, z.Region) {
			regions = append(regions, z.Region)
			found = c.joinUnknown(z.Addrs) || found
		}
	}
	if !found {
		j.repeats = 0
		return
	}
	if j.repeats++; j.repeats <= maxRepeats {
		j.searchAt = c.now.Add(repeatInterval/2 + c.jitter(repeatInterval))
	}
}

// joinUnknown asks one of the hosts that this daemon does not know, and
// reports whether there is one.
func (c *Core) joinUnknown(addrs []netip.AddrPort) bool {
	unknown := slices.DeleteFunc(slices.Clone(addrs), func(a netip.AddrPort) bool { return c.hosts.byAddr[a] != nil })
	if len(unknown) == 0 {
		return false
	}
	c.send(unknown[c.random.IntN(len(unknown))], message.Join{Row: c.self()})
	return true
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
