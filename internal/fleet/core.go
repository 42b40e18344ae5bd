package fleet

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Core holds the tables and runs the systems over them. It is not safe for
// concurrent use.
type Core struct {
	config  Config
	random  *rand.Rand
	now     time.Time
	effects []Effect

	hosts   hostTable
	servers serverTable
	hashes  rowHashes
	overlay overlay

	join     joinState
	record   recordState
	floors   floorState
	probes   probeState
	news     newsState
	versions versionState
	reader   readerState
	outage   outage
	reports  reportState
}

// New returns a core that has not started yet; the first Step starts it.
func New(config Config) *Core {
	c := &Core{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
	}
	self := config.Self
	self.State = host.Alive
	self.Stamp = host.Stamp{Incarnation: host.Incarnation(config.Started.UnixMilli())}
	c.config.Self = self
	c.hosts.init()
	c.servers.init(&c.hosts)
	c.hashes.init()
	c.probes.init()
	c.news.init()
	c.versions.init()
	c.reports.init()
	c.hosts.put(self, config.Started)
	return c
}

// Step handles one event at the given time, runs the systems and returns the
// effects in the order in which they are to be carried out.
func (c *Core) Step(now time.Time, event Event) []Effect {
	if now.After(c.now) {
		c.now = now
	}
	c.effects = nil
	c.handle(event)
	c.runSystems()
	return c.effects
}

func (c *Core) handle(event Event) {
	switch e := event.(type) {
	case Tick:
	case Received:
		c.receive(e.From, e.Message)
	case ServerAnnounced:
		c.record.ticket = max(c.record.ticket, e.Ticket)
		c.announceServer(e.Server)
	case VersionAccepted:
		c.take(e.Snapshot, netip.AddrPort{})
	case HeadRead:
		c.headRead(e)
	case VersionLoaded:
		c.versionLoaded(e)
	case RecordsRead:
		c.recordsRead(e)
	case Published:
		c.published(e)
	case Leaving:
		c.leave()
	}
}

func (c *Core) receive(from netip.AddrPort, m message.Message) {
	c.probes.heard(from, c.now)
	switch m := m.(type) {
	case message.Probe:
		c.receiveProbe(from, m)
	case message.ProbeAnswer:
		c.receiveProbeAnswer(from, m)
	case message.IndirectProbe:
		c.receiveIndirectProbe(from, m)
	case message.IndirectAnswer:
		c.receiveIndirectAnswer(m)
	case message.Announce:
		c.receiveAnnounce(from, m.Number)
	case message.Fetch:
		c.receiveFetch(from, m)
	case message.Delta:
		c.receiveDelta(from, m)
	case message.RowUpdate:
		c.mergeNews(m, from)
	case message.SyncRequest:
		c.receiveSyncRequest(from, m)
	case message.Sync:
		c.mergeNews(m.Rows, from)
		c.noteHead(from, m.Summary)
	case message.Join:
		c.receiveJoin(from, m)
	case message.JoinAnswer:
		c.receiveJoinAnswer(from, m)
	case message.FloorRequest:
		c.receiveFloorRequest(from, m)
	case message.Floor:
		c.receiveFloor(m)
	case message.Confirm:
		c.receiveConfirm(from, m)
	case message.Report:
		c.receiveReport(from, m)
	}
}

func (c *Core) runSystems() {
	c.runJoin()
	c.refreshOverlay()
	c.runProbes()
	c.runSuspicion()
	c.runReconnect()
	c.runFetch()
	c.runReader()
	c.runFloors()
	c.runReports()
	c.runPublish()
	c.runForget()
	c.refreshOverlay()
	c.flushNews()
	c.runPurge()
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) send(to netip.AddrPort, m message.Message) {
	c.emit(Send{To: to, Message: m})
}

func (c *Core) note(n Note) { c.emit(n) }

// self returns the current row of this host.
func (c *Core) self() host.Row { return c.hosts.get(c.config.Self.ID).row }

// jitter returns a random duration in [0, limit).
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// head returns what this daemon knows about versions and rows.
func (c *Core) head() message.StateSummary {
	return message.StateSummary{Known: c.versions.known, Held: c.versions.newest, RowsHash: c.rowsHash()}
}

// Hosts returns the rows of all hosts, dead and left ones included.
func (c *Core) Hosts() []host.Row {
	rows := make([]host.Row, 0, len(c.hosts.entries))
	for _, e := range c.hosts.entries {
		rows = append(rows, e.row)
	}
	return rows
}

// Servers returns the rows of the backend servers that belong to the current
// incarnation of their host.
func (c *Core) Servers() []backend.Server {
	rows := make([]backend.Server, 0, len(c.servers.rows))
	for _, s := range c.servers.rows {
		if e := c.hosts.get(s.Host); e != nil && e.row.Stamp.Incarnation == s.Stamp.Incarnation {
			rows = append(rows, s)
		}
	}
	return rows
}

// Applied returns the snapshot in force on this host.
func (c *Core) Applied() version.Snapshot { return c.versions.applied }

// Known returns the highest version that this daemon has heard of.
func (c *Core) Known() version.Number { return c.versions.known }

// Newest returns the newest snapshot held, applied or not.
func (c *Core) Newest() version.Snapshot { return c.versions.held[c.versions.newest] }
