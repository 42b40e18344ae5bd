// Package capacity learns how many concurrent calls a backend server handles well.
//
// It compares the run times of calls that start while the server gets more and fewer
// concurrent calls, in pairs of short intervals of random order. The elasticity of
// the run time is the growth of its logarithm per growth of the logarithm of the
// concurrency: 0 if calls don't affect each other, and 1 if more concurrent calls
// give no more throughput. Slowdowns that don't depend on the concurrency affect both
// intervals of a pair alike. See docs/design/capacity.md.
package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

const (
	// startShare is the share of the announced slots that a server gets at first.
	startShare = 1.0 / 3
	// maxElasticity is the elasticity from which more concurrent calls are not worth
	// it. With 1, the last slots of a server whose throughput hardly grows would slow
	// down its calls without a gain in throughput.
	maxElasticity = 0.75
	// shrinkError and growError are the largest standard errors of the elasticity with
	// which the number changes. A withheld slot costs throughput, so that growing needs
	// less evidence.
	shrinkError = 0.25
	growError   = 0.4
	// keepError is the largest standard error of evidence that confirms the number. It is
	// larger, because a trial costs throughput.
	keepError = 0.6
	// minSuspicion is the growth of the logarithm of the run time over that of the
	// unloaded server from which fewer concurrent calls are tried. A server that handles
	// calls in all its slots well would otherwise lose throughput to such trials.
	minSuspicion = 0.18
	// rampTime is the longest time between two steps of the first growth, so that a
	// server with few calls is ready for more after some seconds.
	rampTime = 300 * time.Millisecond
	// maxRampGrowth is the growth at which the first growth after the start ends. A dozen
	// calls per level have a standard error of about 0.2.
	maxRampGrowth = 0.5
	// defaultGrowth is the growth that is assumed if the unloaded run time is unknown.
	defaultGrowth = 0.5
	// leastContrast is the least difference of the logarithms that a trial with fewer
	// concurrent calls aims at. With 0.1, twelve pairs gave a standard error of 0.5.
	leastContrast = 0.3
	// mostContrast is the largest such difference. growthShare is the part of the growth
	// of the run times that the difference is set to: with all of it, the server would
	// have no contention left.
	mostContrast, growthShare = 1.1, 0.9
	// upContrast is the difference that a trial with more concurrent calls aims at.
	upContrast = 0.35
	// minContrast is the least difference of the logarithms of the concurrency within a
	// pair. With less, demand did not use the slots.
	minContrast = 0.06
	// minPairCalls is the least number of calls per interval.
	minPairCalls = 4
	// maxPairs is the number of pairs after which a trial without a result ends.
	maxPairs = 16
	// excessMemory is the time for which growing up to a number that was too high needs
	// as much evidence as shrinking. Without it, the number moves by several slots while
	// nothing changes.
	excessMemory = 20 * time.Second
	// evidenceMemory is the weight of the evidence of a trial in the next one, if that
	// compares the same numbers. It shortens the trials of a server that does not change.
	evidenceMemory = 0.75
	// intervalRuns is the length of an interval in run times, and minInterval the
	// shortest.
	intervalRuns = 1.5
	minInterval  = 80 * time.Millisecond
	// shrinkPause and growPause are the shortest times between trials. A trial without
	// effect doubles them up to the maximum.
	shrinkPause, maxShrinkPause = 500 * time.Millisecond, 20 * time.Second
	growPause, maxGrowPause     = 100 * time.Millisecond, 3 * time.Second
)

// Config configures a Learner.
type Config struct {
	Slots int    // announced by the server
	Seed  uint64 // of the order of intervals
}

// Learner learns the number of concurrent calls of one server. It has no clock and is
// not safe for concurrent use.
type Learner struct {
	slots, learned int
	step           int // next increase of the number; doubles while the number grows
	excess         int // number from which a trial reduced it
	excessUntil    time.Time
	ramping        bool // the first growth after the start; needs no trials
	rampCalls      int  // calls that ended since the last step of the ramp
	rampedAt       time.Time
	random         *rand.Rand

	inFlight  int
	inFlightS float64 // integral of inFlight over time, in seconds
	updatedAt time.Time
	runTime   float64 // moving mean in seconds
	runTimes  runTimes

	trial     *trial // nil if there is none
	last      *trial // the last one; nil before
	shrink    schedule
	grow      schedule
	saturated time.Time // when the slots were last all in use
}

// schedule determines when the next trial in one direction may begin.
type schedule struct {
	next  time.Time
	pause time.Duration
}

// repeat sets the next trial. A trial without effect doubles the pause.
func (s *schedule) repeat(now time.Time, effect bool, least, most time.Duration) {
	s.pause = min(2*max(s.pause, least/2), most)
	if effect {
		s.pause = least
	}
	s.next = now.Add(s.pause)
}

// Call is a call that runs at the server.
type Call struct {
	start     time.Time
	inFlightS float64
	interval  *interval // in which it started; nil outside of a trial
}

// Run is the end of a call at the server. The zero value is a call without a response.
type Run struct {
	Route   document.RouteName
	RunTime time.Duration
	// Percent is the time that work currently takes on the machine of the server, in
	// percent of the usual time, as the server reported it. 0 means unknown.
	Percent float64
}

// New returns a learner for a server that has just started or is not known yet.
func New(c Config) *Learner {
	l := &Learner{slots: c.Slots, step: 4, ramping: true, random: rand.New(rand.NewPCG(c.Seed, 0))}
	l.learned = startSlots(c.Slots)
	return l
}

func startSlots(slots int) int { return max(1, int(math.Ceil(startShare*float64(slots)))) }

// SetSlots sets the announced slots.
func (l *Learner) SetSlots(slots int) {
	if slots == l.slots {
		return
	}
	if l.learned == l.slots || l.learned > slots {
		l.learned = slots
	}
	l.slots, l.trial, l.last, l.runTimes = slots, nil, nil, runTimes{}
}

// Learned returns the learned number, from 1 to the announced slots.
func (l *Learner) Learned() int { return max(l.learned, 1) }

// Limit returns the number of concurrent calls that are admitted now. During a trial
// it differs from the learned number.
func (l *Learner) Limit(now time.Time) int {
	if l.trial != nil {
		l.advance(now)
	}
	if l.trial != nil {
		return l.trial.limit()
	}
	return l.Learned()
}

// Ramping reports whether the number still grows without trials after the start.
func (l *Learner) Ramping() bool { return l.ramping }

// integrate updates the integral of the calls in flight.
func (l *Learner) integrate(now time.Time) {
	if elapsed := now.Sub(l.updatedAt).Seconds(); elapsed > 0 {
		if !l.updatedAt.IsZero() {
			l.inFlightS += elapsed * float64(l.inFlight)
		}
		l.updatedAt = now
	}
}

// Start records that a call is sent to the server.
func (l *Learner) Start(now time.Time) Call {
	l.integrate(now)
	limit := l.Limit(now)
	l.inFlight++
	if l.inFlight >= limit {
		l.saturated = now
		l.startTrial(now)
	}
	c := Call{start: now, inFlightS: l.inFlightS}
	if l.trial != nil {
		c.interval = l.trial.started()
	}
	return c
}

// End records the end of a call.
func (l *Learner) End(now time.Time, c Call, r Run) {
	l.integrate(now)
	concurrency := float64(l.inFlight)
	if lived := now.Sub(c.start).Seconds(); lived > 0 {
		concurrency = max(1, (l.inFlightS-c.inFlightS)/lived)
	}
	l.inFlight--
	if r.RunTime > 0 {
		s := l.sample(r, concurrency)
		c.interval.add(r.Route, s)
		l.ramp(now)
	}
	c.interval.ended()
	l.advance(now)
}

// sample records a run time.
func (l *Learner) sample(r Run, concurrency float64) sample {
	seconds := r.RunTime.Seconds()
	if l.runTime == 0 {
		l.runTime = seconds
	}
	l.runTime += 0.02 * (seconds - l.runTime)
	if r.Percent > 0 {
		seconds *= 100 / r.Percent
	}
	s := sample{logRun: math.Log(seconds), logConcurrency: math.Log(concurrency)}
	l.runTimes.record(r.Route, s.logRun, concurrency, l.slots)
	return s
}

// ramp increases the number by one whenever that many calls have ended, or after
// rampTime, until run times grow with it.
func (l *Learner) ramp(now time.Time) {
	if !l.ramping {
		return
	}
	if l.rampedAt.IsZero() {
		l.rampedAt = now
	}
	if l.rampCalls++; l.rampCalls < l.learned && now.Sub(l.rampedAt) < rampTime {
		return
	}
	l.rampCalls, l.rampedAt = 0, now
	growth, known := l.runTimes.growth(l.learned, l.slots)
	if l.learned >= l.slots {
		l.ramping = false
		return
	}
	if known && growth > maxRampGrowth {
		l.ramping = false
		l.learned = max(startSlots(l.slots), int(math.Round(float64(l.learned)*math.Exp(-maxElasticity*growth))))
		return
	}
	l.learned++
}

// startTrial starts a trial if one is due. Fewer concurrent calls come first if run
// times have grown much.
func (l *Learner) startTrial(now time.Time) {
	if l.trial != nil || l.ramping || l.runTime == 0 {
		return
	}
	growth, known := l.runTimes.growth(l.learned, l.slots)
	if !known {
		growth = defaultGrowth
	}
	mayShrink := l.learned >= 2 && !now.Before(l.shrink.next) && growth >= minSuspicion
	mayGrow := l.learned < l.slots && !now.Before(l.grow.next)
	switch {
	case mayGrow && !(mayShrink && growth > maxRampGrowth):
		high := min(l.slots, l.learned+max(1, l.learned/3))
		low := int(math.Ceil(float64(high) * math.Exp(-upContrast)))
		l.trial = l.newTrial(now, min(low, l.learned), high, true)
		l.trial.strict = l.learned+l.step > l.excess*3/4 && now.Before(l.excessUntil)
	case mayShrink:
		low := int(math.Round(float64(l.learned) * math.Exp(-min(max(growthShare*growth, leastContrast), mostContrast))))
		l.trial = l.newTrial(now, min(low, l.learned-1), l.learned, false)
	}
}

func (l *Learner) newTrial(now time.Time, low, high int, up bool) *trial {
	length := max(minInterval, time.Duration(intervalRuns*l.runTime*float64(time.Second)))
	t := &trial{low: low, high: high, up: up, length: length, evidence: make(map[document.RouteName]*evidence)}
	if last := l.last; last != nil && last.low == low && last.high == high {
		t.all = last.all
		t.all.decay(evidenceMemory)
	}
	t.begin(now, l.random.IntN(2) == 0)
	return t
}

// advance continues the trial, and changes the number when there is enough evidence.
func (l *Learner) advance(now time.Time) {
	t := l.trial
	if t == nil {
		return
	}
	t.collect(l.runTimes.variance())
	verdict := t.verdict()
	if verdict == undecided && now.Before(t.intervalEnd) {
		return
	}
	if verdict == undecided {
		switch {
		case now.Sub(l.saturated) > 2*t.length:
			verdict = unknown // demand does not use the slots
		case t.pairs >= maxPairs:
			verdict = t.lastVerdict()
		default:
			t.next(now, l.random.IntN(2) == 0)
			return
		}
	}
	l.trial, l.last = nil, t
	if t.up {
		l.grow.repeat(now, verdict == more, growPause, maxGrowPause)
		if verdict == more {
			l.learned = min(l.learned+l.step, t.high)
			l.step *= 2
		} else {
			l.step = 1
		}
		return
	}
	pause := maxShrinkPause
	if growth, _ := l.runTimes.growth(l.learned, l.slots); growth > maxRampGrowth && verdict != more {
		pause = shrinkPause
	}
	l.shrink.repeat(now, verdict == fewer, shrinkPause, pause)
	if verdict == fewer {
		l.learned, l.step = t.low, 1
		l.excess, l.excessUntil = t.high, now.Add(excessMemory)
		l.grow.repeat(now, false, growPause, maxGrowPause)
	}
}
