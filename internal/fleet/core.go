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

// Core holds the tables and runs the periodic tasks over them. It is not safe
// for concurrent use.
type Core struct {
	config  Config
	rng     *rand.Rand
	now     time.Time
	effects []Effect

	hosts   hostTable
	servers serverTable
	hashes  rowHashes
	overlay overlay

	join       joinState
	hostRecord hostRecordState
	floorReads floorReadState
	probes     probeState
	updates    updateState
	versions   versionState
	reader     readerState
	backoff    tableBackoff
	reports    reportState
	rollouts   rolloutState
}

// New returns a core that has not started yet; the first Step starts it.
func New(config Config) *Core {
	c := &Core{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
	}
	self := config.Self
	self.State = host.Alive
	self.Stamp = host.Stamp{Incarnation: c.firstIncarnation()}
	c.config.Self = self
	c.hosts.init()
	c.servers.init(&c.hosts)
	c.hashes.init()
	c.probes.init()
	c.updates.init()
	c.versions.init()
	c.reports.init()
	c.rollouts.init()
	c.hosts.put(self, config.Started)
	return c
}

// Step handles one event at the given time, runs the periodic tasks and returns
// the effects in the order in which the caller must execute them.
func (c *Core) Step(now time.Time, event Event) []Effect {
	if now.After(c.now) {
		c.now = now
	}
	c.effects = nil
	c.handleEvent(event)
	c.runTasks()
	return c.effects
}

func (c *Core) handleEvent(event Event) {
	switch e := event.(type) {
	case Tick:
	case MessageReceived:
		c.handleMessage(e.From, e.Message)
	case ServerAnnounced:
		c.hostRecord.lastTicket = max(c.hostRecord.lastTicket, e.Ticket)
		c.announceServer(e.Server)
	case ServersRestored:
		c.hostRecord.restoring--
	case VersionAccepted:
		c.addVersion(e.Snapshot, netip.AddrPort{})
	case ReadHeadResult:
		c.handleReadHeadResult(e)
	case LoadVersionResult:
		c.handleLoadVersionResult(e)
	case ReadRecordsResult:
		c.handleReadRecordsResult(e)
	case WriteRecordResult:
		c.handleWriteRecordResult(e)
	case EvidenceCollected:
		c.forwardEvidence(e.Evidence)
	case RolloutRequested:
		c.requestRollout(e.Order)
	case ReadRolloutsResult:
		c.handleReadRolloutsResult(e)
	case WriteRolloutResult:
		c.handleWriteRolloutResult(e)
	case ShutdownRequested:
		c.announceShutdown()
	}
}

func (c *Core) handleMessage(from netip.AddrPort, m message.Message) {
	c.probes.recordContact(from, c.now)
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
		c.mergeUpdates(m, from)
	case message.SyncRequest:
		c.receiveSyncRequest(from, m)
	case message.Sync:
		c.mergeUpdates(m.Rows, from)
		c.recordPeerSummary(from, m.Summary)
	case message.Join:
		c.receiveJoin(from, m)
	case message.JoinAnswer:
		c.receiveJoinAnswer(from, m)
	case message.FloorRequest:
		c.receiveFloorRequest(from, m)
	case message.Floor:
		c.receiveFloor(m)
	case message.HeadConfirmation:
		c.receiveConfirm(from, m)
	case message.Rollouts:
		c.mergeRollouts(m.Updates, from)
	case message.RolloutEvidence:
		c.receiveEvidence(m.Evidence)
	case message.Report:
		c.receiveReport(from, m)
	}
}

func (c *Core) runTasks() {
	c.runJoin()
	c.refreshOverlay()
	c.runProbes()
	c.runSuspicion()
	c.runReconnect()
	c.runFetch()
	c.runReader()
	c.runFloorReads()
	c.runReports()
	c.runRollouts()
	c.runWriteRecord()
	c.runDeleteRecords()
	c.refreshOverlay()
	c.flushUpdates()
	c.runPurge()
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) send(to netip.AddrPort, m message.Message) {
	c.emit(SendMessage{To: to, Message: m})
}

func (c *Core) recordEvent(n TimelineEvent) { c.emit(n) }

// firstIncarnation returns the incarnation with which this run of the daemon started.
// Refutations raise the current one.
func (c *Core) firstIncarnation() host.Incarnation {
	return host.Incarnation(c.config.Started.UnixMilli())
}

// selfRow returns the current row of this host.
func (c *Core) selfRow() host.Row { return c.hosts.get(c.config.Self.ID).row }

// jitter returns a random duration in [0, limit).
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit)))
}

// stateSummary summarizes which versions and rows this daemon knows.
func (c *Core) stateSummary() message.StateSummary {
	return message.StateSummary{Known: c.versions.highestKnown, Held: c.versions.highestRetained, RowsHash: c.rowsHash()}
}

// Hosts returns the rows of all hosts, including those that are dead or have
// left.
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

// AppliedSnapshot returns the snapshot that is applied on this host.
func (c *Core) AppliedSnapshot() version.Snapshot { return c.versions.applied }

// HighestKnownVersion returns the highest version that this daemon has learned
// of.
func (c *Core) HighestKnownVersion() version.Number { return c.versions.highestKnown }

// NewestSnapshot returns the newest retained snapshot, whether applied or not.
func (c *Core) NewestSnapshot() version.Snapshot {
	return c.versions.snapshots[c.versions.highestRetained]
}
