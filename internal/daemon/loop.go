package daemon

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/timeline"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// tickInterval is the resolution of the core's timers.
	tickInterval = 100 * time.Millisecond
	// eventQueueSize bounds the events, and separately the messages of other daemons,
	// that wait for the core. Further messages are dropped, and the core recovers from
	// the loss; posting further events blocks.
	eventQueueSize = 4096
	// platformTimeout bounds an operation of the core on the platform: six times the
	// 250 ms that a slow store takes.
	platformTimeout = 1500 * time.Millisecond
)

// loop owns the core: it passes events to the core and executes the effects that
// the core returns.
type loop struct {
	*components
	core      *fleet.Core
	events    chan fleet.Event
	messages  chan fleet.Event // messages of other daemons; dropped when the channel is full
	coreCalls chan func(*fleet.Core)
	log       *zap.Logger
	ownRow    ownRow
	waiters   announcementWaiters
	adopt     func([]backend.Server) // set before run
}

func newLoop(c *components, config fleet.Config) *loop {
	return &loop{
		components: c, core: fleet.New(config), log: c.log.Named("fleet"),
		events: make(chan fleet.Event, eventQueueSize), messages: make(chan fleet.Event, eventQueueSize),
		coreCalls: make(chan func(*fleet.Core)),
	}
}

// receive queues a message from another daemon, or drops it when the queue of the
// core is full.
func (l *loop) receive(from netip.AddrPort, m message.Message) {
	if l.isCrossRegion(from.Addr()) {
		l.metrics.lastCrossRegionMessage.Store(time.Now().UnixNano())
	}
	if l.quotas.receive(from, m) {
		return
	}
	select {
	case l.messages <- fleet.MessageReceived{From: from, Message: m}:
	default:
		l.metrics.droppedMessages.Inc()
	}
}

// post queues an event that must not be lost. After ctx has ended it still queues
// the event if there is room, because the loop keeps running during a drain.
func (l *loop) post(ctx context.Context, e fleet.Event) {
	select {
	case l.events <- e:
		return
	default:
	}
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// withCore runs f on the core, in the goroutine that owns the core.
func (l *loop) withCore(ctx context.Context, f func(*fleet.Core)) error {
	done := make(chan struct{})
	select {
	case l.coreCalls <- func(c *fleet.Core) { f(c); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run passes events to the core until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.step(ctx, fleet.Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.step(ctx, fleet.Tick{})
			l.refreshRouting(l.core)
			l.collectEvidence(ctx)
		case e := <-l.events:
			l.step(ctx, e)
		case e := <-l.messages:
			l.step(ctx, e)
		case f := <-l.coreCalls:
			f(l.core)
		}
	}
}

func (l *loop) step(ctx context.Context, e fleet.Event) {
	start := time.Now()
	effects := l.core.Step(start, e)
	for _, effect := range effects {
		l.execute(ctx, effect)
	}
	l.metrics.stepDuration.UpdateDuration(start)
}

func (l *loop) execute(ctx context.Context, effect fleet.Effect) {
	switch e := effect.(type) {
	case fleet.SendMessage:
		l.link.Send(e.To, e.Message)
	case fleet.RetainSnapshot:
		l.retained.add(e.Snapshot)
		if l.routing.routes.Load() == nil {
			l.routing.stale = true // until a version is applied, the gate uses the slots and connections of the newest retained one
		}
	case fleet.ApplySnapshot:
		l.apply(l.core, e.Snapshot)
	case fleet.RebuildRoutingTable:
		l.serversChanged(l.core)
	case fleet.ReadHead:
		go l.readHead(ctx, e)
	case fleet.LoadVersion:
		go l.loadVersion(ctx, e)
	case fleet.ReadRecords:
		go l.readRecords(ctx, e)
	case fleet.WriteRecord:
		go l.executeWriteRecord(ctx, e)
	case fleet.ConfirmTicket:
		l.waiters.complete(e.Ticket)
	case fleet.RestoreServers:
		go func() {
			l.adopt(e.Servers)
			l.post(ctx, fleet.ServersRestored{})
		}()
	case fleet.DeleteRecord:
		go l.deleteRecord(ctx, e)
	case fleet.ReadRollouts:
		go l.readRollouts(ctx)
	case fleet.WriteRollout:
		go l.writeRollout(ctx, e)
	case fleet.ApplyRollouts:
		l.applyRollouts(e.Rollouts)
	case fleet.TimelineEvent:
		l.recordEvent(e)
	}
}

func (l *loop) readHead(ctx context.Context, e fleet.ReadHead) {
	readCtx, cancel := context.WithTimeout(ctx, e.MaxWait+platformTimeout)
	defer cancel()
	if v := l.environment.Versions; v != nil {
		start := time.Now()
		changes, err := v.Newest(readCtx, e.After, e.MaxWait)
		if l.reportUnreadableVersion(err) {
			err = nil
		}
		l.platform.recordTableResult(err)
		result := fleet.ReadHeadResult{ReadID: e.ReadID, Manifest: changes.Version.Manifest(), Snapshot: changes.Version, Position: changes.Position, Orders: changes.Orders, OrdersMissing: changes.OrdersMissing, Err: err}
		if e.MaxWait == 0 {
			result.Latency = time.Since(start)
		}
		l.post(ctx, result)
		return
	}
	// The table has no blocking read, so the wait precedes the read.
	select {
	case <-time.After(e.MaxWait):
	case <-ctx.Done():
	}
	m, err := submission.ReadHead(readCtx, l.platform)
	l.post(ctx, fleet.ReadHeadResult{ReadID: e.ReadID, Manifest: m, Err: err})
}

func (l *loop) loadVersion(ctx context.Context, e fleet.LoadVersion) {
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout)
	defer cancel()
	s, err := submission.Load(ctx, l.platform, e.Manifest, e.Base)
	l.post(ctx, fleet.LoadVersionResult{Snapshot: s, Err: err})
}

func (l *loop) recordEvent(r fleet.TimelineEvent) {
	l.timeline.Add(timeline.Event{
		Kind: timeline.Kind(r.Kind), Subject: r.Host, Version: r.Version, Server: r.Server, Detail: r.Detail,
	})
	fields := []zap.Field{zap.String("event", r.Kind)}
	if r.Version != 0 {
		fields = append(fields, zap.Uint64("version", uint64(r.Version)))
	}
	if r.Host != "" {
		fields = append(fields, zap.String("host", string(r.Host)))
	}
	if r.Server != "" {
		fields = append(fields, zap.String("server", string(r.Server)))
	}
	if r.Detail != "" {
		fields = append(fields, zap.String("detail", r.Detail))
	}
	l.log.Info(eventMessage(r.Kind), fields...)
}

// eventMessages are the log messages of events by kind.
var eventMessages = map[string]string{
	"version-applied":       "Applied a version.",
	"platform-changes-lost": "The platform has lost changes; writing the record of this host again.",
	"version-fetched":       "Fetched a version from a peer.",
	"version-loaded":        "Loaded a version from the object store.",
	"version-read":          "Read a new version from the head row.",
	"load-failed":           "Could not load a version from the object store.",
	"delta-refused":         "Refused a version delta.",
	"host-started":          "Joining the fleet.",
	"host-left":             "Left the fleet.",
	"host-suspected":        "Suspected a host.",
	"host-dead":             "Declared a host dead.",
	"host-replaced":         "Declared a host dead because another host uses its address.",
	"host-refuted":          "Refuted a report about the state of this host.",
	"reading-yielded":       "Stopped reading the head row for other hosts: the table responds to them, but not to this host.",
	"table-lost":            "Lost the table.",
	"table-call-failed":     "A call to the table failed.",
	"table-answers":         "The table answers again.",
	"record-not-written":    "Could not write the record of this host to the table.",
	"row-refused":           "Skipped a row of a peer that can't be used.",
	"unreachable":           "Lost contact with a zone or region.",
	"server-starting":       "A backend server of this host is starting.",
	"server-ready":          "A backend server of this host is ready.",
	"server-draining":       "A backend server of this host is draining.",
	"server-gone":           "A backend server of this host is gone.",

	"rollout-running":     "A roll-out has a new step.",
	"rollout-completed":   "A roll-out is completed.",
	"rollout-rolled-back": "A roll-out is rolled back.",
	"rollout-taken-over":  "Took over a roll-out whose leader is silent.",
}

func eventMessage(kind string) string {
	if s, ok := eventMessages[kind]; ok {
		return s
	}
	return "Recorded " + kind + "."
}

// retainedVersion returns a retained snapshot for the codec.
func (c *components) retainedVersion(n version.Number) (message.Snapshot, bool) {
	s, ok := c.retained.get(n)
	return s, ok
}
