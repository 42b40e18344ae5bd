package pool

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/gate"
)

const (
	ejectAfter   = 5 // consecutive failures
	ejectFirst   = time.Second
	ejectLongest = 30 * time.Second
	// shareWeight is the weight of one call in the share of failures and in the
	// mean latency, which cover about the last 20 calls.
	shareWeight = 0.05
	// latencyLifetime is the time after which a mean latency is forgotten, so that
	// a server that was slow is tried again.
	latencyLifetime = 5 * time.Second
	// brokenShare is the share of failures from which an ejected server is worse
	// than a queue at a full one.
	brokenShare = 0.8
)

// state is what the entry learned about a server. It outlives the views.
type state struct {
	inFlight     atomic.Int64
	unhealthy    atomic.Bool  // a probe of this host failed
	probeFailing atomic.Int64 // end of the time for which a gate's report of a failed probe counts, Unix nanoseconds
	until        atomic.Int64 // end of the ejection, Unix nanoseconds; 0 for none
	unusable     atomic.Int64 // end of the time for which a gate's report that the server takes no work counts, Unix nanoseconds

	load struct {
		sync.Mutex
		others, slots int64
		wait          [gate.PriorityBands]time.Duration // that the gate forecast
		hold          time.Duration                     // mean time for which calls hold a slot; 0 when unknown
		at            time.Time
	}
	latency struct {
		sync.Mutex
		factor float64 // of run times, in mean run times of the route
		at     time.Time
	}
	failures struct {
		sync.Mutex
		run   int           // consecutive failures
		share float64       // of failures among recent calls
		last  time.Duration // length of the last ejection; 0 after a success
	}
}

// unusableTime is the time for which a server is not chosen after its gate has
// said that it takes no work. Its row, which says otherwise, is late or stale.
const unusableTime = time.Second

func (s *state) ejected(now time.Time) bool { return s.until.Load() > now.UnixNano() }

// reportHealth takes the result of a health probe that the gate reported.
func (s *state) reportHealth(now time.Time, failing bool) {
	if failing {
		s.probeFailing.Store(now.Add(reportLifetime).UnixNano())
	} else if s.probeFailing.Load() != 0 {
		s.probeFailing.Store(0)
	}
}

// probeFailed reports whether the last known health probe failed.
func (s *state) probeFailed(now time.Time) bool {
	return s.unhealthy.Load() || s.probeFailing.Load() > now.UnixNano()
}

// report takes the calls of other entries that the gate counted, and the wait
// that it forecast.
func (s *state) report(now time.Time, others, slots int, wait [gate.PriorityBands]time.Duration, hold time.Duration) {
	s.load.Lock()
	defer s.load.Unlock()
	s.load.others, s.load.slots, s.load.wait, s.load.at = int64(others), int64(slots), wait, now
	if hold > 0 {
		s.load.hold = hold
	}
}

// reported returns the last report with the wait of a band, but for the mean hold
// zeros when it is too old.
func (s *state) reported(now time.Time, band int) (others, slots int64, wait, hold time.Duration) {
	s.load.Lock()
	defer s.load.Unlock()
	age := now.Sub(s.load.at)
	if age >= reportLifetime {
		return 0, 0, 0, s.load.hold
	}
	return s.load.others, s.load.slots, max(0, s.load.wait[band]-age), s.load.hold
}

// wait returns the expected wait for a slot of the server and the use of its
// slots.
func (m *member) wait(now time.Time, run time.Duration, band int) (time.Duration, float64) {
	others, slots, wait, hold := m.state.reported(now, band)
	if slots == 0 {
		slots = int64(m.slots)
	}
	slots = max(slots, 1)
	busy := m.state.inFlight.Load() + others
	if busy >= slots && wait == 0 {
		wait = max(wait, cmp.Or(hold, run)*time.Duration(busy-slots+1)/time.Duration(slots))
	}
	return wait, float64(busy) / float64(slots)
}

// answered takes the time that the server took for a call, in mean run times of
// the route.
func (s *state) answered(now time.Time, factor float64) {
	s.latency.Lock()
	defer s.latency.Unlock()
	if now.Sub(s.latency.at) >= latencyLifetime {
		s.latency.factor = factor
	}
	s.latency.factor += shareWeight * (factor - s.latency.factor)
	s.latency.at = now
}

// run returns the expected run time of a call whose route has a mean run time.
func (s *state) run(now time.Time, mean time.Duration) time.Duration {
	s.latency.Lock()
	defer s.latency.Unlock()
	if now.Sub(s.latency.at) >= latencyLifetime {
		return mean
	}
	return time.Duration(s.latency.factor * float64(mean))
}

// succeed ends a run of failures. The result of a call that was sent before
// the ejection does not end the ejection.
func (s *state) succeed(now time.Time) {
	s.failures.Lock()
	defer s.failures.Unlock()
	s.failures.share -= shareWeight * s.failures.share
	if s.ejected(now) {
		return
	}
	s.failures.run, s.failures.last = 0, 0
}

// failing returns the share of failures among recent calls.
func (s *state) failing() float64 {
	s.failures.Lock()
	defer s.failures.Unlock()
	return s.failures.share
}

// partly reports whether the server still answers a part of its calls.
func (s *state) partly() bool { return s.failing() < brokenShare }

// fail counts a failure and ejects the server after a run of them, unless half
// of its peers are ejected already. A server that fails again after an ejection
// is ejected at once, for twice the time.
func (p *Pool) fail(m *member, now time.Time) {
	s := p.view.Load().services[m.row.Service]
	if s == nil {
		return
	}
	s.ejecting.Lock()
	d := p.eject(s, m, now)
	s.ejecting.Unlock()
	if d > 0 && p.config.Ejected != nil {
		p.config.Ejected(m.row.ID, d)
	}
}

// eject returns the length of the ejection, zero when there is none.
func (p *Pool) eject(s *service, m *member, now time.Time) time.Duration {
	st := m.state
	st.failures.Lock()
	defer st.failures.Unlock()
	st.failures.share += shareWeight * (1 - st.failures.share)
	if st.ejected(now) {
		return 0
	}
	st.failures.run++
	if st.failures.run < ejectAfter && st.failures.last == 0 {
		return 0
	}
	peers := s.peers(m.row.ID)
	if (countEjected(peers, now)+1)*2 > len(peers) {
		return 0
	}
	d := max(ejectFirst, min(2*st.failures.last, ejectLongest))
	st.failures.last = d
	st.until.Store(now.Add(d).UnixNano())
	return d
}

func countEjected(members []*member, now time.Time) int {
	n := 0
	for _, m := range members {
		if m.state.ejected(now) {
			n++
		}
	}
	return n
}
