package pool

import (
	"sync"
	"sync/atomic"
	"time"
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

	load struct {
		sync.Mutex
		others, slots int64
		at            time.Time
	}
	latency struct {
		sync.Mutex
		mean time.Duration // moving average over calls that succeeded
		at   time.Time
	}
	failures struct {
		sync.Mutex
		run   int           // consecutive failures
		share float64       // of failures among recent calls
		last  time.Duration // length of the last ejection; 0 after a success
	}
}

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

// report takes the calls of other entries that the gate counted.
func (s *state) report(now time.Time, others, slots int) {
	s.load.Lock()
	defer s.load.Unlock()
	s.load.others, s.load.slots, s.load.at = int64(others), int64(slots), now
}

// reported returns the last report, or zeros when it is too old.
func (s *state) reported(now time.Time) (others, slots int64) {
	s.load.Lock()
	defer s.load.Unlock()
	if now.Sub(s.load.at) >= reportLifetime {
		return 0, 0
	}
	return s.load.others, s.load.slots
}

// answered takes the time that the server took for a call.
func (s *state) answered(now time.Time, took time.Duration) {
	s.latency.Lock()
	defer s.latency.Unlock()
	if now.Sub(s.latency.at) >= latencyLifetime {
		s.latency.mean = took
	}
	s.latency.mean += time.Duration(shareWeight * float64(took-s.latency.mean))
	s.latency.at = now
}

// mean returns the mean time of recent calls, or 0 when there was none.
func (s *state) mean(now time.Time) time.Duration {
	s.latency.Lock()
	defer s.latency.Unlock()
	if now.Sub(s.latency.at) >= latencyLifetime {
		return 0
	}
	return s.latency.mean
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

// budget limits the retries of a service, so that failures do not multiply the
// load. Tokens are counted in thousandths of a retry.
type budget struct {
	sync.Mutex
	tokens int64
	at     time.Time
}

const (
	token          = 1000
	tokensPerCall  = token / 10
	tokensPerSec   = 3 * token
	tokensMax      = 10 * tokensPerSec // 10 s without a retry
	tokensAtStart  = tokensPerSec
	nanosPerToken  = int64(time.Second) / tokensPerSec
	longestAccrual = 10 * time.Second
)

func newBudget(now time.Time) *budget { return &budget{tokens: tokensAtStart, at: now} }

// call adds the share of a new call.
func (b *budget) call() {
	b.Lock()
	defer b.Unlock()
	b.tokens = min(b.tokens+tokensPerCall, tokensMax)
}

// take adds the share of the time that passed and takes one retry.
func (b *budget) take(now time.Time) bool {
	b.Lock()
	defer b.Unlock()
	if elapsed := min(now.Sub(b.at), longestAccrual); elapsed > 0 {
		earned := int64(elapsed) / nanosPerToken
		b.tokens = min(b.tokens+earned, tokensMax)
		b.at = b.at.Add(time.Duration(earned * nanosPerToken))
		if now.Sub(b.at) > time.Second {
			b.at = now
		}
	}
	if b.tokens < token {
		return false
	}
	b.tokens -= token
	return true
}
