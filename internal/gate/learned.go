package gate

import (
	"hash/fnv"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/capacity"
)

// LearnedChange is a change of the learned number of concurrent calls of a server.
type LearnedChange struct {
	Server                     backend.ServerID
	Before, Learned, Announced int
}

// learnedRun is a call as the learner sees it.
type learnedRun struct {
	learner *capacity.Learner
	call    capacity.Call
	run     capacity.Run // guarded by server.mu
}

// learn updates the learner after the row of the server changed. A server that has
// started again is learned anew.
func (s *server) learn(enabled, restarted bool) {
	switch {
	case !enabled:
	case s.learner == nil || restarted:
		h := fnv.New64a()
		_, _ = h.Write([]byte(s.row.ID)) // never fails
		s.learner = capacity.New(capacity.Config{Slots: s.slots, Seed: h.Sum64()})
	default:
		s.learner.SetSlots(s.slots)
	}
}

// admissionSlots returns the number of calls that may run now. It differs from
// usableSlots while the learner tries other numbers.
func (s *server) admissionSlots() int {
	if s.learner == nil {
		return s.usableSlots()
	}
	return min(s.warmSlots(), s.learner.Limit(s.now()))
}

// startRun records the start of a call with the learner.
func (s *server) startRun(p *Permit) {
	if s.learner != nil {
		p.learned = &learnedRun{learner: s.learner, call: s.learner.Start(p.start)}
	}
}

// endRun records the end of a call with the learner, unless the server has started
// again since.
func (s *server) endRun(p *Permit) {
	if p.learned == nil || p.learned.learner != s.learner {
		return
	}
	before := s.learner.Learned()
	s.learner.End(s.now(), p.learned.call, p.learned.run)
	if learned := s.learner.Learned(); learned != before && !s.learner.Ramping() && s.onLearned != nil {
		s.onLearned(LearnedChange{Server: s.row.ID, Before: before, Learned: learned, Announced: s.slots})
	}
}

// ObserveRun records the time that the server took for the call. A call without it
// is not used to learn the capacity of the server.
func (p *Permit) ObserveRun(r capacity.Run) {
	if p.learned == nil {
		return
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.learned.run = r
}

// LearnedSlots returns the learned and the announced number of concurrent calls of all
// servers of this host together.
func (g *Gate) LearnedSlots() (learned, announced int) {
	for _, s := range *g.servers.Load() {
		s.mu.Lock()
		announced += s.slots
		if s.learner != nil {
			learned += min(s.learner.Learned(), s.slots)
		} else {
			learned += s.slots
		}
		s.mu.Unlock()
	}
	return learned, announced
}
