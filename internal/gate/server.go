package gate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

type server struct {
	now func() time.Time

	mu          sync.Mutex
	row         backend.Server
	slots       int
	connections int
	warmUp      time.Duration
	readyAt     time.Time // start of the slow start; zero until ready
	suspended   bool
	drained     bool       // by Drain, whatever the row says
	drainedAt   host.Stamp // stamp of the row when drained
	inFlight    int
	failing     bool // the last health probe failed
	queue       []*waiter
	idle        chan struct{} // closed and replaced when nothing is in flight
}

// waiter is a queued call. Its result is sent once, while it leaves the queue.
type waiter struct{ result chan error }

// Pass is the right to run one call. Leave gives the slot back.
type Pass struct {
	server *server
	row    backend.Server
	conns  int
	once   sync.Once
}

// Server returns the row of the backend server.
func (p *Pass) Server() backend.Server { return p.row }

// Connections returns the most connections that may be open to the server.
func (p *Pass) Connections() int { return p.conns }

// Load returns the use of the backend server, this call included until Leave.
func (p *Pass) Load() Load {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.server.load()
}

// Leave gives the slot back. Further calls have no effect.
func (p *Pass) Leave() {
	p.once.Do(func() {
		p.server.mu.Lock()
		defer p.server.mu.Unlock()
		p.server.leave()
	})
}

// set takes a new row and the settings of its service.
func (s *server) set(row backend.Server, service document.Service, suspended bool) {
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
	s.slots, s.connections = int(service.Slots), int(service.Connections)
	if row.Slots > 0 {
		s.slots = int(row.Slots)
	}
	if err := s.refusal(); err != nil {
		s.refuseQueue(err)
	}
	s.grant()
}

// refusal says why the server gets no new work, or nil.
func (s *server) refusal() error {
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
func (s *server) limit() int {
	elapsed := s.now().Sub(s.readyAt)
	if elapsed >= s.warmUp || s.slots <= 1 {
		return s.slots
	}
	return max(1, int(int64(s.slots)*int64(elapsed)/int64(s.warmUp)))
}

func (s *server) load() Load {
	return Load{InFlight: s.inFlight, Queued: len(s.queue), Slots: s.limit(), Failing: s.failing}
}

func (s *server) enter(ctx context.Context) (*Pass, error) {
	s.mu.Lock()
	if err := s.refusal(); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if s.expired(ctx) {
		s.mu.Unlock()
		return nil, ErrDeadline
	}
	if len(s.queue) == 0 && s.inFlight < s.limit() {
		s.inFlight++
		pass := s.pass()
		s.mu.Unlock()
		return pass, nil
	}
	if len(s.queue) >= s.slots {
		s.mu.Unlock()
		return nil, ErrFull
	}
	w := &waiter{result: make(chan error, 1)}
	s.queue = append(s.queue, w)
	s.grant()
	s.mu.Unlock()
	return s.await(ctx, w)
}

// await waits for the result of a queued call. The deadline is checked again
// after the wait, because the process may have been paused.
func (s *server) await(ctx context.Context, w *waiter) (*Pass, error) {
	timer := time.NewTimer(QueueWait)
	defer timer.Stop()
	var err error
	select {
	case err = <-w.result:
	case <-timer.C:
		err = s.abandon(w, ErrQueueWait)
	case <-ctx.Done():
		err = s.abandon(w, ErrCancelled)
	}
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || s.expired(ctx) {
		s.leave()
		return nil, ErrDeadline
	}
	return s.pass(), nil
}

// abandon removes a waiter from the queue and returns reason, or the result
// that the waiter got in the meantime.
func (s *server) abandon(w *waiter, reason error) error {
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

func (s *server) expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !s.now().Before(deadline)
}

func (s *server) pass() *Pass {
	return &Pass{server: s, row: s.row, conns: s.connections}
}

func (s *server) leave() {
	s.inFlight--
	s.grant()
	if s.inFlight == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// grant gives free slots to queued calls in the order of arrival.
func (s *server) grant() {
	for len(s.queue) > 0 && s.inFlight < s.limit() {
		s.inFlight++
		s.queue[0].result <- nil
		s.queue = s.queue[1:]
	}
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
func (s *server) wait(ctx context.Context) error {
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
