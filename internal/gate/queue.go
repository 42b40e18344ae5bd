package gate

import (
	"context"
	"slices"
	"time"
)

// precedes reports whether a call is served before another that was queued
// earlier. Among calls that are not late, the one with the earliest target comes
// first. Among late calls it is the one with the latest target, because those with
// the least time left would not end before their deadline.
func (c Call) precedes(o Call, now time.Time, defaultRunTime time.Duration) bool {
	if c.Priority != o.Priority {
		return c.Priority < o.Priority
	}
	late := c.late(now, defaultRunTime)
	if late != o.late(now, defaultRunTime) {
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

// late reports whether the time left until the target of the call is shorter than
// targetMarginRuns expected run times. It is false for a call without a target.
func (c Call) late(now time.Time, defaultRunTime time.Duration) bool {
	if c.ExpectedRunTime > 0 {
		defaultRunTime = c.ExpectedRunTime
	}
	return !c.Target.IsZero() && now.Add(targetMarginRuns*defaultRunTime).After(c.Target)
}

// callsAhead returns the number of queued calls that are served before a new one.
func (s *server) callsAhead(c Call) int {
	now, defaultRunTime, n := s.now(), s.expectedSlotTime(), 0
	for _, w := range s.queue {
		if !c.precedes(w.call, now, defaultRunTime) {
			n++
		}
	}
	return n
}

// fullError returns the error for a call that may not queue.
func (s *server) fullError(c Call) error {
	ahead := s.callsAhead(c)
	if s.limit.wait(s.now(), ahead) > s.expectedSlotWait(ahead) {
		return ErrLimited
	}
	return ErrFull
}

// mayQueue reports whether the queue has room for a call. Without a MaxWait, there
// is room for one call per slot, and the limit of the server must permit the call
// within DefaultMaxWait. With a MaxWait, there is room for maxQueuePerSlot calls per
// slot, and the expected wait must not exceed MaxWait.
func (s *server) mayQueue(c Call) bool {
	if c.MaxWait == 0 {
		return len(s.queue) < s.slots && s.limit.wait(s.now(), s.callsAhead(c)) <= DefaultMaxWait
	}
	return len(s.queue) < maxQueuePerSlot*s.slots && s.expectedWait(s.callsAhead(c)) <= c.MaxWait
}

// maxWait returns the maximum wait of a call for a slot. A call that sets MaxWait
// is refused while there is still time to run it elsewhere or to reply: after the
// deadline, the refusal, which tells that the call was not run, would come too
// late.
func (s *server) maxWait(ctx context.Context, c Call) time.Duration {
	if c.MaxWait == 0 {
		return DefaultMaxWait
	}
	wait := maxWaitFactor * c.MaxWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, deadline.Sub(s.now())-max(c.ExpectedRunTime, refusalReplyTime))
	}
	return wait
}

// awaitSlot waits for the result of a queued call. It checks the deadline again
// after the wait, because the process may have been paused.
func (s *server) awaitSlot(ctx context.Context, w *waiter) (*Permit, error) {
	timer := time.NewTimer(s.maxWait(ctx, w.call))
	defer timer.Stop()
	var err error
	select {
	case err = <-w.result:
	case <-timer.C:
		s.grantDueSlots()
		err = s.dequeue(w, ErrQueueTimeout)
	case <-ctx.Done():
		err = s.dequeue(w, ErrCanceled)
	}
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || s.deadlinePassed(ctx) {
		w.permit.once.Do(func() { s.releaseSlot(w.permit) })
		return nil, ErrDeadline // also for a call that was canceled after it got the slot
	}
	return w.permit, nil
}

// grantDueSlots grants the slots that the limit or the warm-up of the server has permitted
// by now. The timer of a call's wait can be handled before that of awaitToken, above all
// after a pause of the process, and the call would be refused although its turn has come.
func (s *server) grantDueSlots() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantSlots()
}

// dequeue removes a waiter from the queue and returns reason, or the result that
// was sent to the waiter in the meantime.
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

// grantSlots grants free slots to queued calls in order, as far as the limit of the
// server permits.
func (s *server) grantSlots() {
	for len(s.queue) > 0 && s.inFlight < s.admissionSlots() && s.limit.take(s.now()) {
		i := s.nextIndex()
		w := s.queue[i]
		s.queue = slices.Delete(s.queue, i, i+1)
		w.permit = s.takeSlot(w.call.Priority)
		w.result <- nil
	}
	s.evictLate()
	s.awaitToken()
}

// awaitToken grants slots again when the limit of the server permits the next queued
// call.
func (s *server) awaitToken() {
	if len(s.queue) == 0 || s.inFlight >= s.admissionSlots() || s.tokenTimer {
		return
	}
	s.tokenTimer = true
	time.AfterFunc(s.limit.wait(s.now(), 0), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tokenTimer = false
		s.grantSlots()
	})
}

// evictLate refuses the last late call when more than maxLatePerSlot of them per
// slot are queued. Late calls get no slot while calls that are not late keep
// arriving, so they would accumulate.
func (s *server) evictLate() {
	now, defaultRunTime, late := s.now(), time.Duration(s.meanSlotTime), 0
	worst := -1
	for i, w := range s.queue {
		if !w.call.late(now, defaultRunTime) {
			continue
		}
		late++
		if worst < 0 || s.queue[worst].call.precedes(w.call, now, defaultRunTime) {
			worst = i
		}
	}
	if late > maxLatePerSlot*s.slots {
		s.queue[worst].result <- ErrQueueTimeout
		s.queue = slices.Delete(s.queue, worst, worst+1)
	}
}

// nextIndex returns the index of the queued call that is served next.
func (s *server) nextIndex() int {
	now, defaultRunTime, best := s.now(), time.Duration(s.meanSlotTime), 0
	for i, w := range s.queue {
		if w.call.precedes(s.queue[best].call, now, defaultRunTime) {
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
