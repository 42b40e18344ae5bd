package daemon

import (
	"context"
	"errors"
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
	tickInterval = 100 * time.Millisecond
	// eventQueue bounds the messages that wait for the core; the core repairs
	// the loss of what is above it.
	eventQueueSize = 4096
	// readTimeout bounds a read of the platform for the core. A store that is slow
	// takes a quarter of a second.
	platformTimeout = 1500 * time.Millisecond
)

// loop owns the core: it feeds it events and carries out its effects.
type loop struct {
	*components
	core      *fleet.Core
	events    chan fleet.Event
	messages  chan fleet.Event // may be dropped
	coreCalls chan func(*fleet.Core)
	log       *zap.Logger
	ownRow    ownRow
	waiters   announcementWaiters
	adopt     func([]backend.Server) // set before run
}

func newLoop(p *components, c fleet.Config) *loop {
	return &loop{
		components: p, core: fleet.New(c), log: p.log.Named("fleet"),
		events: make(chan fleet.Event, eventQueueSize), messages: make(chan fleet.Event, eventQueueSize),
		coreCalls: make(chan func(*fleet.Core)),
	}
}

// receive queues a message from another daemon, or drops it when the core is
// too far behind.
func (l *loop) receive(from netip.AddrPort, m message.Message) {
	if l.isRemote(from.Addr()) {
		l.metrics.lastRemoteMessage.Store(time.Now().UnixNano())
	}
	select {
	case l.messages <- fleet.MessageReceived{From: from, Message: m}:
	default:
		l.metrics.droppedMessages.Inc()
	}
}

// post queues an event that must not be lost. After the end of ctx it still
// queues the event when there is room, because the loop runs on during a drain.
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

// view runs f on the core, in the goroutine that owns it.
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

// run drives the core until ctx ends.
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
		l.held.add(e.Snapshot)
		if l.routing.routes.Load() == nil {
			l.routing.stale = true // before any version applied, the gate uses its limits
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
		go l.publish(ctx, e)
	case fleet.ConfirmTicket:
		l.waiters.complete(e.Ticket)
	case fleet.AdoptServers:
		go l.adopt(e.Servers)
	case fleet.DeleteRecord:
		go l.removeRecord(ctx, e)
	case fleet.TimelineEvent:
		l.recordEvent(e)
	}
}

func (l *loop) readHead(ctx context.Context, e fleet.ReadHead) {
	limit, cancel := context.WithTimeout(ctx, e.MaxWait+platformTimeout)
	defer cancel()
	if v := l.environment.Versions; v != nil {
		start := time.Now()
		s, position, err := v.Newest(limit, e.After, e.MaxWait)
		var unreadable *UnreadableError
		if errors.As(err, &unreadable) {
			l.log.Error("Passed over a version that can't be read; the last one stays in force.", zap.Error(err))
			err = nil
		}
		l.platform.recordTableResult(err)
		answer := fleet.ReadHeadResult{ReadID: e.ReadID, Manifest: s.Manifest(), Snapshot: s, Position: position, Err: err}
		if e.MaxWait == 0 {
			answer.Latency = time.Since(start)
		}
		l.post(ctx, answer)
		return
	}
	// The table can't wait for a change.
	select {
	case <-time.After(e.MaxWait):
	case <-ctx.Done():
	}
	m, err := submission.ReadHead(limit, l.platform)
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

// sentences are the log lines of the events that operators ask about.
var eventMessages = map[string]string{
	"version-applied":    "Applied a version.",
	"version-fetched":    "Fetched a version from a peer.",
	"version-loaded":     "Loaded a version from the object store.",
	"load-failed":        "Could not load a version from the object store.",
	"delta-refused":      "Refused a delta.",
	"host-started":       "Joining the fleet.",
	"host-left":          "Left the fleet.",
	"host-suspected":     "Suspected a host.",
	"host-dead":          "Declared a host dead.",
	"host-replaced":      "Declared a host dead whose address another host has.",
	"host-refuted":       "Refuted a report about this host.",
	"reading-yielded":    "Gave up reading the head row for others, since the table answers them and not this host.",
	"record-not-written": "Could not write the record of this host.",
	"unreachable":        "Lost contact with a zone or region.",
	"server-starting":    "A backend server of this host is starting.",
	"server-ready":       "A backend server of this host is ready.",
	"server-draining":    "A backend server of this host is draining.",
	"server-gone":        "A backend server of this host is gone.",
}

func eventMessage(kind string) string {
	if s, ok := eventMessages[kind]; ok {
		return s
	}
	return "Recorded " + kind + "."
}

// heldVersion returns a held snapshot to the codec.
func (p *components) heldVersion(n version.Number) (message.Snapshot, bool) {
	s, ok := p.held.get(n)
	return s, ok
}
