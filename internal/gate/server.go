package gate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/capacity"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

// server is the admission state of a backend server.
type server struct {
	now           func() time.Time
	learnCapacity bool
	onLearned     func(LearnedChange)

	mu           sync.Mutex
	row          backend.Server
	slots        int // maximum number of calls in flight; at most the connections of the service
	warmUp       time.Duration
	readyAt      time.Time // start of the warm-up; zero until ready
	suspended    bool
	drained      bool       // by Drain, DrainAll or removal of the row; overrides the state of the row
	drainedAt    host.Stamp // stamp of the row when drained
	inFlight     int
	running      running
	origin       time.Time // reference time for startTimeSum
	startTimeSum float64   // of the calls in flight, in seconds since origin
	meanSlotTime float64   // moving average in nanoseconds; 0 when unknown
	probeFailing bool      // the last health probe failed
	limit        noticedLimit
	noticed      bool // a response showed whether the server names a limit, or the server started after this daemon
	leaving      bool // the server stated in a response that it leaves; holds for this run of the server
	tokenTimer   bool // a timer calls grantSlots when the limit permits the next call
	queue        []*waiter
	learner      *capacity.Learner // nil unless learnCapacity is set
	idle         chan struct{}     // closed and replaced when no call is in flight
}

const (
	// slotTimeWeight is the weight of one call in the moving average of the slot
	// time.
	slotTimeWeight = 0.1
	// maxQueuePerSlot is the maximum queue length per slot for calls that set
	// MaxWait.
	maxQueuePerSlot = 8
	// maxWaitFactor is the factor by which a queued call may exceed its MaxWait. The
	// call was queued because of its expected wait, which is only a mean.
	maxWaitFactor = 2
	// targetMarginRuns is the time that a call needs to meet its target, in expected
	// run times. About one call in eight takes longer than twice the mean.
	targetMarginRuns = 2
	// maxLatePerSlot is the maximum number of queued late calls per slot.
	maxLatePerSlot = 4
	// refusalReplyTime is the time that a refusal needs to reach the caller.
	refusalReplyTime = 30 * time.Millisecond
)

// waiter is a queued call. Its result is sent once, when it is removed from the
// queue.
type waiter struct {
	call   Call
	permit *Permit // set before a nil result
	result chan error
}

// Permit is the permission to run one call in a slot of a backend server. It must
// be released.
type Permit struct {
	server *server
	row    backend.Server
	start  time.Time
	once   sync.Once

	priority uint8

	learned *learnedRun // nil unless the server has a learner
}

// Server returns the row of the backend server.
func (p *Permit) Server() backend.Server { return p.row }

// Load returns the load of the backend server. It includes this call until the
// permit is released.
func (p *Permit) Load() Load {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.server.load()
}

// Release frees the slot after a call that ran to its end. Further calls of
// Release and ReleaseAborted have no effect.
func (p *Permit) Release() { p.release(true) }

// ReleaseAborted frees the slot after a call that was aborted. Its slot time is
// only a lower bound, which counts only when it exceeds the mean.
func (p *Permit) ReleaseAborted() { p.release(false) }

func (p *Permit) release(complete bool) {
	p.once.Do(func() {
		s := p.server
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordSlotTime(s.now().Sub(p.start), complete)
		s.releaseSlot(p)
	})
}

// recordSlotTime records the time for which a call held its slot. An aborted call
// would have held it longer, so it counts only when it exceeds the mean.
func (s *server) recordSlotTime(slotTime time.Duration, complete bool) {
	t := float64(max(slotTime, 0))
	switch {
	case !complete && t <= s.meanSlotTime:
	case s.meanSlotTime == 0:
		s.meanSlotTime = t
	default:
		s.meanSlotTime += slotTimeWeight * (t - s.meanSlotTime)
	}
}

// expectedSlotTime returns the time for which a call is expected to hold a slot:
// the mean slot time, or the mean age of the calls in flight if that is greater.
func (s *server) expectedSlotTime() time.Duration {
	mean := s.meanSlotTime
	if s.inFlight > 0 {
		age := s.sinceOrigin(s.now()) - s.startTimeSum/float64(s.inFlight)
		mean = max(mean, age*float64(time.Second))
	}
	return time.Duration(mean)
}

// sinceOrigin returns a time in seconds since origin.
func (s *server) sinceOrigin(t time.Time) float64 { return t.Sub(s.origin).Seconds() }

// expectedWait returns the expected wait for a slot with the given number of calls
// ahead in the queue.
func (s *server) expectedWait(ahead int) time.Duration {
	return max(s.expectedSlotWait(ahead), s.limit.wait(s.now(), ahead))
}

// expectedSlotWait is expectedWait without regard to the limit of the server.
func (s *server) expectedSlotWait(ahead int) time.Duration {
	slots := s.usableSlots()
	if s.inFlight+ahead < slots {
		return 0
	}
	return s.expectedSlotTime() * time.Duration(s.inFlight+ahead-slots+1) / time.Duration(max(slots, 1))
}

// update applies a new row and the settings of its service.
func (s *server) update(row backend.Server, service document.Service, suspended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	becameReady := row.State == backend.Ready && s.row.State != backend.Ready
	if becameReady || s.row.Addr != row.Addr {
		s.readyAt = time.Time{}
	}
	if row.State == backend.Ready && s.readyAt.IsZero() {
		s.readyAt = s.now()
	}
	if !s.row.SameRun(row) {
		s.leaving = false
	}
	restarted := s.row.Started != row.Started
	if restarted {
		s.limit = noticedLimit{} // of the previous run of the server
		s.noticed = s.row.ID != ""
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
	s.learn(s.learnCapacity, restarted)
	if err := s.admissionError(); err != nil {
		s.refuseQueue(err)
	}
	s.grantSlots()
}

// admissionError returns the reason why the server accepts no calls, or nil.
func (s *server) admissionError() error {
	switch {
	case s.drained, s.leaving, s.row.State == backend.Draining, s.row.State == backend.Gone:
		return ErrDraining
	case s.row.State != backend.Ready:
		return ErrNotReady
	case s.suspended:
		return ErrSuspended
	default:
		return nil
	}
}

// usableSlots returns the number of currently usable slots: those of warmSlots, but no
// more than the learned number.
func (s *server) usableSlots() int {
	if s.learner != nil {
		return min(s.warmSlots(), s.learner.Learned())
	}
	return s.warmSlots()
}

// warmSlots returns the number of slots that the warm-up permits. It grows in
// proportion to the time since the server became ready, from one slot to all.
func (s *server) warmSlots() int {
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
	s.adoptLimit(c.Notice)
	if len(s.queue) == 0 && s.inFlight < s.admissionSlots() && s.limit.take(s.now()) {
		permit := s.takeSlot(c.Priority)
		s.mu.Unlock()
		return permit, nil
	}
	if !s.mayQueue(c) || s.maxWait(ctx, c) <= 0 {
		err := s.fullError(c)
		s.mu.Unlock()
		return nil, err
	}
	w := &waiter{call: c, result: make(chan error, 1)}
	s.queue = append(s.queue, w)
	s.grantSlots()
	s.mu.Unlock()
	return s.awaitSlot(ctx, w)
}

// takeSlot takes a slot and returns its permit.
func (s *server) takeSlot(priority uint8) *Permit {
	s.inFlight++
	p := &Permit{server: s, row: s.row, start: s.now(), priority: priority}
	s.running.add(p.start, priority)
	s.startTimeSum += s.sinceOrigin(p.start)
	s.startRun(p)
	return p
}

func (s *server) deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !s.now().Before(deadline)
}

// releaseSlot frees the slot of a permit and grants it to the next queued call.
func (s *server) releaseSlot(p *Permit) {
	s.startTimeSum -= s.sinceOrigin(p.start)
	s.inFlight--
	s.running.remove(s.now(), p.priority)
	s.endRun(p)
	s.grantSlots()
	if s.inFlight == 0 {
		s.startTimeSum = 0 // removes accumulated rounding errors
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained, s.drainedAt = true, s.row.Stamp
	s.refuseQueue(ErrDraining)
}

// waitIdle waits until no call is in flight.
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
			return fmt.Errorf("drain backend server: %d calls still in flight: %w", inFlight, ctx.Err())
		}
	}
}
