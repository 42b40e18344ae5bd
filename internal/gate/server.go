package gate

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

type server struct {
	now func() time.Time

	mu           sync.Mutex
	row          backend.Server
	slots        int // calls in flight; no more than connections
	warmUp       time.Duration
	readyAt      time.Time // start of the slow start; zero until ready
	suspended    bool
	drained      bool       // by Drain, whatever the row says
	drainedAt    host.Stamp // stamp of the row when drained
	inFlight     int
	origin       time.Time // of start times
	startTimeSum float64   // sum of the start times of the calls in flight, seconds since origin
	meanSlotTime float64   // time for which calls hold a slot, nanoseconds; moving average
	probeFailing bool      // the last health probe failed
	queue        []*waiter
	idle         chan struct{} // closed and replaced when nothing is in flight
}

const (
	// meanWeight is the weight of one call in the mean time for which calls hold a
	// slot.
	slotTimeWeight = 0.1
	// queueFactor is the greatest length of the queue, in slots, for calls that
	// state how long they may wait.
	maxQueuePerSlot = 8
	// waitSlack is how much longer than stated a queued call may wait, as a factor:
	// the forecast that admitted it is a mean.
	maxWaitFactor = 2
	// lateMargin is the time, in expected run times, that a call needs to meet its
	// target: about one in eight takes longer than twice the mean.
	targetMarginRuns = 2
	// lateQueue is the number of late calls, in slots, that may wait.
	maxLatePerSlot = 4
	// replyTime is the time that a refusal needs to reach the caller.
	refusalReplyTime = 30 * time.Millisecond
)

// waiter is a queued call. Its result is sent once, while it leaves the queue.
type waiter struct {
	call   Call
	permit *Permit // set before a nil result
	result chan error
}

// Pass is the right to run one call. Leave gives the slot back.
type Permit struct {
	server *server
	row    backend.Server
	start  time.Time
	once   sync.Once
}

// Server returns the row of the backend server.
func (p *Permit) Server() backend.Server { return p.row }

// Load returns the use of the backend server, this call included until Leave.
func (p *Permit) Load() Load {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.server.load()
}

// Leave gives the slot back after a call that ended by itself. Further calls of
// Leave and Abandon have no effect.
func (p *Permit) Release() { p.release(true) }

// Abandon gives the slot back after a call that was broken off, whose time tells
// less than that of others.
func (p *Permit) ReleaseAborted() { p.release(false) }

func (p *Permit) release(whole bool) {
	p.once.Do(func() {
		s := p.server
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordSlotTime(s.now().Sub(p.start), whole)
		s.releaseSlot(p)
	})
}

// measure takes the time for which a call held its slot. A call that was broken
// off would have held it for longer.
func (s *server) recordSlotTime(held time.Duration, whole bool) {
	t := float64(max(held, 0))
	switch {
	case !whole && t <= s.meanSlotTime:
	case s.meanSlotTime == 0:
		s.meanSlotTime = t
	default:
		s.meanSlotTime += slotTimeWeight * (t - s.meanSlotTime)
	}
}

// expected is the time for which a call is expected to hold a slot. Calls that
// are still in flight count as soon as they take longer than the others did.
func (s *server) expectedSlotTime() time.Duration {
	mean := s.meanSlotTime
	if s.inFlight > 0 {
		age := s.sinceOrigin(s.now()) - s.startTimeSum/float64(s.inFlight)
		mean = max(mean, age*float64(time.Second))
	}
	return time.Duration(mean)
}

// seconds returns a time in seconds since the origin.
func (s *server) sinceOrigin(t time.Time) float64 { return t.Sub(s.origin).Seconds() }

// waitBehind is the time that a call is expected to wait for a slot with some
// others ahead of it.
func (s *server) expectedWait(ahead int) time.Duration {
	limit := s.usableSlots()
	if s.inFlight+ahead < limit {
		return 0
	}
	return s.expectedSlotTime() * time.Duration(s.inFlight+ahead-limit+1) / time.Duration(max(limit, 1))
}

// before reports whether a call goes before another that came earlier. Of the
// calls in time the one whose target comes first goes first; of the late ones the
// one with the most time left, because those with the least would not end before
// their deadline.
func (c Call) precedes(o Call, now time.Time, run time.Duration) bool {
	if c.Priority != o.Priority {
		return c.Priority < o.Priority
	}
	late := c.late(now, run)
	if late != o.late(now, run) {
		return !late
	}
	if c.Target.IsZero() || o.Target.IsZero() {
		return false
	}
	if late {
		return c.Target.After(o.Target)
	}
	return c.Target.Before(o.Target)
}

// late reports whether a call that begins now is likely to miss its target.
func (c Call) late(now time.Time, run time.Duration) bool {
	if c.ExpectedRun > 0 {
		run = c.ExpectedRun
	}
	return !c.Target.IsZero() && now.Add(targetMarginRuns*run).After(c.Target)
}

// ahead returns how many queued calls a new one has to wait for.
func (s *server) callsAhead(c Call) int {
	now, run, n := s.now(), s.expectedSlotTime(), 0
	for _, w := range s.queue {
		if !c.precedes(w.call, now, run) {
			n++
		}
	}
	return n
}

// set takes a new row and the settings of its service.
func (s *server) update(row backend.Server, service document.Service, suspended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarted := row.State == backend.Ready && s.row.State != backend.Ready
	if restarted || s.row.Addr != row.Addr {
		s.readyAt = time.Time{}
	}
	if row.State == backend.Ready && s.readyAt.IsZero() {
		s.readyAt = s.now()
	}
	if s.drained && row.State == backend.Ready && row.Stamp.Compare(s.drainedAt) > 0 {
		s.drained = false
		s.readyAt = s.now()
	}
	s.row, s.suspended, s.warmUp = row, suspended, service.WarmUp
	s.slots = int(service.Slots)
	if row.Slots > 0 {
		s.slots = int(row.Slots)
	}
	if service.Connections > 0 {
		s.slots = min(s.slots, int(service.Connections))
	}
	if err := s.admissionError(); err != nil {
		s.refuseQueue(err)
	}
	s.grantSlots()
}

// refusal says why the server gets no new work, or nil.
func (s *server) admissionError() error {
	switch {
	case s.drained, s.row.State == backend.Draining, s.row.State == backend.Gone:
		return ErrDraining
	case s.row.State != backend.Ready:
		return ErrNotReady
	case s.suspended:
		return ErrSuspended
	default:
		return nil
	}
}

// limit is the number of slots usable now. It rises in proportion to the time
// since the server became ready, from one slot to all at the end of the warm-up.
func (s *server) usableSlots() int {
	elapsed := s.now().Sub(s.readyAt)
	if elapsed >= s.warmUp || s.slots <= 1 {
		return s.slots
	}
	return max(1, int(int64(s.slots)*int64(elapsed)/int64(s.warmUp)))
}

func (s *server) load() Load {
	return Load{InFlight: s.inFlight, Queued: len(s.queue), Slots: s.usableSlots(), ProbeFailing: s.probeFailing}
}

func (s *server) admit(ctx context.Context, c Call) (*Permit, error) {
	s.mu.Lock()
	if err := s.admissionError(); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if s.deadlinePassed(ctx) {
		s.mu.Unlock()
		return nil, ErrDeadline
	}
	if len(s.queue) == 0 && s.inFlight < s.usableSlots() {
		pass := s.takeSlot()
		s.mu.Unlock()
		return pass, nil
	}
	if !s.mayQueue(c) || s.maxWait(ctx, c) <= 0 {
		s.mu.Unlock()
		return nil, ErrFull
	}
	w := &waiter{call: c, result: make(chan error, 1)}
	s.queue = append(s.queue, w)
	s.grantSlots()
	s.mu.Unlock()
	return s.awaitSlot(ctx, w)
}

// mayQueue reports whether a call may wait for a slot.
func (s *server) mayQueue(c Call) bool {
	if c.MaxWait == 0 {
		return len(s.queue) < s.slots
	}
	return len(s.queue) < maxQueuePerSlot*s.slots && s.expectedWait(s.callsAhead(c)) <= c.MaxWait
}

// longest is the longest wait of a call for a slot. One that states its run time
// does not wait until nothing of its time is left: the refusal, which says that it
// was not run, would come too late.
func (s *server) maxWait(ctx context.Context, c Call) time.Duration {
	if c.MaxWait == 0 {
		return DefaultMaxWait
	}
	wait := maxWaitFactor * c.MaxWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, deadline.Sub(s.now())-max(c.ExpectedRun, refusalReplyTime))
	}
	return wait
}

// await waits for the result of a queued call. The deadline is checked again
// after the wait, because the process may have been paused.
func (s *server) awaitSlot(ctx context.Context, w *waiter) (*Permit, error) {
	timer := time.NewTimer(s.maxWait(ctx, w.call))
	defer timer.Stop()
	var err error
	select {
	case err = <-w.result:
	case <-timer.C:
		err = s.dequeue(w, ErrQueueTimeout)
	case <-ctx.Done():
		err = s.dequeue(w, ErrCancelled)
	}
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || s.deadlinePassed(ctx) {
		w.permit.once.Do(func() { s.releaseSlot(w.permit) })
		return nil, ErrDeadline
	}
	return w.permit, nil
}

// begin takes a slot.
func (s *server) takeSlot() *Permit {
	s.inFlight++
	p := &Permit{server: s, row: s.row, start: s.now()}
	s.startTimeSum += s.sinceOrigin(p.start)
	return p
}

// abandon removes a waiter from the queue and returns reason, or the result
// that the waiter got in the meantime.
func (s *server) dequeue(w *waiter, reason error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, queued := range s.queue {
		if queued == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return reason
		}
	}
	return <-w.result
}

func (s *server) deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !s.now().Before(deadline)
}

// release gives the slot of a pass to the next call.
func (s *server) releaseSlot(p *Permit) {
	s.startTimeSum -= s.sinceOrigin(p.start)
	s.inFlight--
	s.grantSlots()
	if s.inFlight == 0 {
		s.startTimeSum = 0 // without rounding errors
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// grant gives free slots to queued calls in their order.
func (s *server) grantSlots() {
	for len(s.queue) > 0 && s.inFlight < s.usableSlots() {
		i := s.nextIndex()
		w := s.queue[i]
		s.queue = slices.Delete(s.queue, i, i+1)
		w.permit = s.takeSlot()
		w.result <- nil
	}
	s.evictLate()
}

// evict refuses calls that can no longer meet their target, when more of them
// wait than the server has slots: the one that would go last. As long as calls in
// time keep coming, late ones get no slot.
func (s *server) evictLate() {
	now, run, late := s.now(), time.Duration(s.meanSlotTime), 0
	worst := -1
	for i, w := range s.queue {
		if !w.call.late(now, run) {
			continue
		}
		late++
		if worst < 0 || s.queue[worst].call.precedes(w.call, now, run) {
			worst = i
		}
	}
	if late > maxLatePerSlot*s.slots {
		s.queue[worst].result <- ErrQueueTimeout
		s.queue = slices.Delete(s.queue, worst, worst+1)
	}
}

// first returns the index of the queued call that goes first.
func (s *server) nextIndex() int {
	now, run, best := s.now(), time.Duration(s.meanSlotTime), 0
	for i, w := range s.queue {
		if w.call.precedes(s.queue[best].call, now, run) {
			best = i
		}
	}
	return best
}

func (s *server) refuseQueue(err error) {
	for _, w := range s.queue {
		w.result <- err
	}
	s.queue = nil
}

func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained, s.drainedAt = true, s.row.Stamp
	s.refuseQueue(ErrDraining)
}

// wait returns when no call is in flight.
func (s *server) waitIdle(ctx context.Context) error {
	for {
		s.mu.Lock()
		inFlight, idle := s.inFlight, s.idle
		s.mu.Unlock()
		if inFlight == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return fmt.Errorf("drain with %d calls in flight: %w", inFlight, ctx.Err())
		}
	}
}
