package pool

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/gate"
)

const (
	ejectAfterFailures = 5 // consecutive failures
	firstEjection      = time.Second
	maxEjection        = 30 * time.Second
	// shareWeight is the weight of one call in the share of failures and in the
	// mean latency, which cover about the last 20 calls.
	recentCallWeight = 0.05
	// latencyLifetime is the time after which a mean latency is forgotten, so that
	// a server that was slow is tried again.
	latencyLifetime = 5 * time.Second
	// brokenShare is the share of failures from which an ejected server is worse
	// than a queue at a full one.
	brokenFailureRatio = 0.8
)

// state is what the entry learned about a server. It outlives the views.
type serverState struct {
	inFlight          atomic.Int64
	unhealthy         atomic.Bool  // a probe of this host failed
	probeFailingUntil atomic.Int64 // end of the time for which a gate's report of a failed probe counts, Unix nanoseconds
	ejectedUntil      atomic.Int64 // end of the ejection, Unix nanoseconds; 0 for none
	unusableUntil     atomic.Int64 // end of the time for which a gate's report that the server takes no work counts, Unix nanoseconds

	load struct {
		sync.Mutex
		otherCalls, slots int64
		forecastWait      [gate.PriorityBands]time.Duration // that the gate forecast
		meanSlotTime      time.Duration                     // mean time for which calls hold a slot; 0 when unknown
		reportedAt        time.Time
	}
	latency struct {
		sync.Mutex
		factor    float64 // of run times, in mean run times of the route
		updatedAt time.Time
	}
	failures struct {
		sync.Mutex
		consecutive  int           // consecutive failures
		ratio        float64       // of failures among recent calls
		lastEjection time.Duration // length of the last ejection; 0 after a success
	}
}

// unusableTime is the time for which a server is not chosen after its gate has
// said that it takes no work. Its row, which says otherwise, is late or stale.
const unusableTime = time.Second

func (s *serverState) ejected(now time.Time) bool { return s.ejectedUntil.Load() > now.UnixNano() }

// reportHealth takes the result of a health probe that the gate reported.
func (s *serverState) reportHealth(now time.Time, failing bool) {
	if failing {
		s.probeFailingUntil.Store(now.Add(reportLifetime).UnixNano())
	} else if s.probeFailingUntil.Load() != 0 {
		s.probeFailingUntil.Store(0)
	}
}

// probeFailed reports whether the last known health probe failed.
func (s *serverState) probeFailed(now time.Time) bool {
	return s.unhealthy.Load() || s.probeFailingUntil.Load() > now.UnixNano()
}

// report takes the calls of other entries that the gate counted, and the wait
// that it forecast.
func (s *serverState) setLoad(now time.Time, others, slots int, wait [gate.PriorityBands]time.Duration, hold time.Duration) {
	s.load.Lock()
	defer s.load.Unlock()
	s.load.otherCalls, s.load.slots, s.load.forecastWait, s.load.reportedAt = int64(others), int64(slots), wait, now
	if hold > 0 {
		s.load.meanSlotTime = hold
	}
}

// reported returns the last report with the wait of a band, but for the mean hold
// zeros when it is too old.
func (s *serverState) reportedLoad(now time.Time, band int) (others, slots int64, wait, hold time.Duration) {
	s.load.Lock()
	defer s.load.Unlock()
	age := now.Sub(s.load.reportedAt)
	if age >= reportLifetime {
		return 0, 0, 0, s.load.meanSlotTime
	}
	return s.load.otherCalls, s.load.slots, max(0, s.load.forecastWait[band]-age), s.load.meanSlotTime
}

// wait returns the expected wait for a slot of the server and the use of its
// slots.
func (m *member) expectedWait(now time.Time, run time.Duration, band int) (time.Duration, float64) {
	others, slots, wait, hold := m.state.reportedLoad(now, band)
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
func (s *serverState) recordLatency(now time.Time, factor float64) {
	s.latency.Lock()
	defer s.latency.Unlock()
	if now.Sub(s.latency.updatedAt) >= latencyLifetime {
		s.latency.factor = factor
	}
	s.latency.factor += recentCallWeight * (factor - s.latency.factor)
	s.latency.updatedAt = now
}

// run returns the expected run time of a call whose route has a mean run time.
func (s *serverState) expectedRunTime(now time.Time, mean time.Duration) time.Duration {
	s.latency.Lock()
	defer s.latency.Unlock()
	if now.Sub(s.latency.updatedAt) >= latencyLifetime {
		return mean
	}
	return time.Duration(s.latency.factor * float64(mean))
}

// succeed ends a run of failures. The result of a call that was sent before
// the ejection does not end the ejection.
func (s *serverState) recordSuccess(now time.Time) {
	s.failures.Lock()
	defer s.failures.Unlock()
	s.failures.ratio -= recentCallWeight * s.failures.ratio
	if s.ejected(now) {
		return
	}
	s.failures.consecutive, s.failures.lastEjection = 0, 0
}

// failing returns the share of failures among recent calls.
func (s *serverState) failureRatio() float64 {
	s.failures.Lock()
	defer s.failures.Unlock()
	return s.failures.ratio
}

// partly reports whether the server still answers a part of its calls.
func (s *serverState) answersSome() bool { return s.failureRatio() < brokenFailureRatio }

// fail counts a failure and ejects the server after a run of them, unless half
// of its peers are ejected already. A server that fails again after an ejection
// is ejected at once, for twice the time.
func (p *Pool) recordFailure(m *member, now time.Time) {
	s := p.view.Load().services[m.row.Service]
	if s == nil {
		return
	}
	s.ejectMu.Lock()
	d := p.eject(s, m, now)
	s.ejectMu.Unlock()
	if d > 0 && p.config.OnEject != nil {
		p.config.OnEject(m.row.ID, d)
	}
}

// eject returns the length of the ejection, zero when there is none.
func (p *Pool) eject(s *service, m *member, now time.Time) time.Duration {
	st := m.state
	st.failures.Lock()
	defer st.failures.Unlock()
	st.failures.ratio += recentCallWeight * (1 - st.failures.ratio)
	if st.ejected(now) {
		return 0
	}
	st.failures.consecutive++
	if st.failures.consecutive < ejectAfterFailures && st.failures.lastEjection == 0 {
		return 0
	}
	peers := s.ejectionGroup(m.row.ID)
	if (countEjected(peers, now)+1)*2 > len(peers) {
		return 0
	}
	d := max(firstEjection, min(2*st.failures.lastEjection, maxEjection))
	st.failures.lastEjection = d
	st.ejectedUntil.Store(now.Add(d).UnixNano())
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
