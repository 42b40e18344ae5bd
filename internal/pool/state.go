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
	// recentCallWeight is the weight of one call in the moving averages of the
	// failure ratio and the run time ratio, which cover about the last 20 calls.
	recentCallWeight = 0.05
	// runTimeRatioLifetime is the time after which the run time ratio of a server is
	// ignored, so that a server that was slow is tried again.
	runTimeRatioLifetime = 5 * time.Second
	// maxAnsweringFailureRatio is the failure ratio from which an ejected server is
	// worse than the queue of a full one.
	maxAnsweringFailureRatio = 0.8
)

// serverState is what this daemon has observed about a server. It is kept across
// view updates.
type serverState struct {
	inFlight          atomic.Int64
	unhealthy         atomic.Bool  // a probe by this host failed
	probeFailingUntil atomic.Int64 // when a gate's report of a failed probe expires, Unix nanoseconds
	ejectedUntil      atomic.Int64 // end of the ejection, Unix nanoseconds; 0 for none
	leaving           atomic.Pointer[leavingServer]
	limit             atomic.Pointer[namedLimit] // nil while the server names none
	unusableUntil     atomic.Int64               // when a gate's report that the server accepts no calls expires, Unix nanoseconds

	load struct {
		sync.Mutex
		otherCalls, slots int64
		forecastWait      [gate.PriorityBands]time.Duration // forecast by the gate, by priority band
		expectedSlotTime  time.Duration                     // time for which a call is expected to hold a slot; 0 when unknown
		linkWait          time.Duration                     // of the host of the server, for large responses
		reportedAt        time.Time
	}
	runTimeRatio struct {
		sync.Mutex
		mean      float64 // moving average of the ratio of the run time to the mean run time of the route
		updatedAt time.Time
	}
	failures struct {
		sync.Mutex
		consecutive  int           // consecutive failures
		ratio        float64       // fraction of failures among recent calls
		lastEjection time.Duration // length of the last ejection; 0 after a success
	}
}

// unusableTime is the time for which a server is avoided after its gate has
// reported that it accepts no calls, or could not be connected to. The row of the
// server, which says otherwise, has not arrived yet or is stale.
const unusableTime = time.Second

func (s *serverState) ejected(now time.Time) bool { return s.ejectedUntil.Load() > now.UnixNano() }

// reportHealth records the result of a health probe that the gate reported.
func (s *serverState) reportHealth(now time.Time, failing bool) {
	if failing {
		s.probeFailingUntil.Store(now.Add(reportLifetime).UnixNano())
	} else if s.probeFailingUntil.Load() != 0 {
		s.probeFailingUntil.Store(0)
	}
}

// probeFailed reports whether the last known health probe failed, as observed
// by this host or reported by the gate.
func (s *serverState) probeFailed(now time.Time) bool {
	return s.unhealthy.Load() || s.probeFailingUntil.Load() > now.UnixNano()
}

// setLoad records a load report of the gate: the calls in flight from other
// daemons, the slots, the forecast waits and, unless it is zero, the expected slot
// time.
func (s *serverState) setLoad(now time.Time, others, slots int, waits [gate.PriorityBands]time.Duration, slotTime time.Duration) {
	s.load.Lock()
	defer s.load.Unlock()
	s.load.otherCalls, s.load.slots, s.load.forecastWait, s.load.reportedAt = int64(others), int64(slots), waits, now
	if slotTime > 0 {
		s.load.expectedSlotTime = slotTime
	}
}

// reportedLoad returns the last load report, with the forecast wait of a priority
// band. When the report has expired, all values but the expected slot time are zero.
func (s *serverState) reportedLoad(now time.Time, band int) (others, slots int64, wait, slotTime time.Duration) {
	s.load.Lock()
	defer s.load.Unlock()
	age := now.Sub(s.load.reportedAt)
	if age >= reportLifetime {
		return 0, 0, 0, s.load.expectedSlotTime
	}
	return s.load.otherCalls, s.load.slots, max(0, s.load.forecastWait[band]-age), s.load.expectedSlotTime
}

// setLinkWait records the wait for the link that a gate reported with its load.
func (s *serverState) setLinkWait(wait time.Duration) {
	s.load.Lock()
	defer s.load.Unlock()
	s.load.linkWait = wait
}

// reportedLinkWait returns the last reported wait for the link, zero if the report has
// expired.
func (s *serverState) reportedLinkWait(now time.Time) time.Duration {
	s.load.Lock()
	defer s.load.Unlock()
	age := now.Sub(s.load.reportedAt)
	if age >= reportLifetime {
		return 0
	}
	return max(0, s.load.linkWait-age)
}

// expectedWait returns the expected wait for a slot of the server and the
// utilization of its slots.
func (server *poolServer) expectedWait(now time.Time, runTime time.Duration, band int) (time.Duration, float64) {
	others, slots, wait, slotTime := server.state.reportedLoad(now, band)
	if slots == 0 {
		slots = int64(server.slots)
	}
	slots = max(slots, 1)
	busy := server.state.inFlight.Load() + others
	if busy >= slots && wait == 0 {
		wait = max(wait, cmp.Or(slotTime, runTime)*time.Duration(busy-slots+1)/time.Duration(slots))
	}
	return wait, float64(busy) / float64(slots)
}

// recordRunTimeRatio records the run time of a call, as a ratio to the mean run
// time of its route.
func (s *serverState) recordRunTimeRatio(now time.Time, ratio float64) {
	s.runTimeRatio.Lock()
	defer s.runTimeRatio.Unlock()
	if now.Sub(s.runTimeRatio.updatedAt) >= runTimeRatioLifetime {
		s.runTimeRatio.mean = ratio
	}
	s.runTimeRatio.mean += recentCallWeight * (ratio - s.runTimeRatio.mean)
	s.runTimeRatio.updatedAt = now
}

// expectedRunTime returns the expected run time at this server of a call whose
// route has the given mean run time.
func (s *serverState) expectedRunTime(now time.Time, mean time.Duration) time.Duration {
	s.runTimeRatio.Lock()
	defer s.runTimeRatio.Unlock()
	if now.Sub(s.runTimeRatio.updatedAt) >= runTimeRatioLifetime {
		return mean
	}
	return time.Duration(s.runTimeRatio.mean * float64(mean))
}

// recordSuccess ends a series of consecutive failures. During an ejection it has
// no such effect, because the call was sent before the ejection.
func (s *serverState) recordSuccess(now time.Time) {
	s.failures.Lock()
	defer s.failures.Unlock()
	s.failures.ratio -= recentCallWeight * s.failures.ratio
	if s.ejected(now) {
		return
	}
	s.failures.consecutive, s.failures.lastEjection = 0, 0
}

// failureRatio returns the fraction of failures among recent calls.
func (s *serverState) failureRatio() float64 {
	s.failures.Lock()
	defer s.failures.Unlock()
	return s.failures.ratio
}

// answersSome reports whether the server still answers some of its calls.
func (s *serverState) answersSome() bool { return s.failureRatio() < maxAnsweringFailureRatio }

// recordFailure counts a failure. It ejects the server after ejectAfterFailures
// consecutive failures, unless more than half of its ejection group would then be
// ejected. A server that fails again after an ejection is ejected immediately,
// for twice the time.
func (p *Pool) recordFailure(server *poolServer, now time.Time) {
	s := p.view.Load().services[server.row.Service]
	if s == nil {
		return
	}
	s.ejectMu.Lock()
	d := p.eject(s, server, now)
	s.ejectMu.Unlock()
	if d > 0 && p.config.OnEject != nil {
		p.config.OnEject(server.row.ID, d)
	}
}

// eject ejects a server if necessary and returns the length of the ejection, or
// zero when there is none.
func (p *Pool) eject(s *service, server *poolServer, now time.Time) time.Duration {
	st := server.state
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
	group := s.ejectionGroup(server.row.ID)
	if (countEjected(group, now)+1)*2 > len(group) {
		return 0
	}
	d := max(firstEjection, min(2*st.failures.lastEjection, maxEjection))
	st.failures.lastEjection = d
	st.ejectedUntil.Store(now.Add(d).UnixNano())
	return d
}

func countEjected(servers []*poolServer, now time.Time) int {
	n := 0
	for _, server := range servers {
		if server.state.ejected(now) {
			n++
		}
	}
	return n
}
