package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

const (
	// raiseTime is the time before the deadline from which the share rises to all
	// calls: up to three steps with a write each, the end of the calls in flight at the
	// other versions, and the write of the verdict.
	raiseTime = 4800 * time.Millisecond
	// commitTime is the time before the deadline from which the roll-out does not wait
	// for more evidence.
	commitTime = 2500 * time.Millisecond
	// stepTime is the shortest time between two steps, in which the evidence of the step
	// arrives.
	stepTime = 600 * time.Millisecond
	// detectionTime is the assumed time from the first bad response to the moment from
	// which no entry sends calls to the target version.
	detectionTime = 550 * time.Millisecond
	// evidenceLifetime is the age from which the evidence of a host is not current.
	evidenceLifetime = 700 * time.Millisecond
	// soleTime is the time after which a leader that knows only servers of the target
	// version completes the roll-out without steps. A daemon that starts knows all
	// servers by then.
	soleTime = 3 * time.Second
	// silentTime is the age of the evidence of a host from which its servers get no calls.
	silentTime = time.Second
	// suspectTime is the time before the deadline from which the roll-out does not wait
	// for the gates of suspect hosts.
	suspectTime = 600 * time.Millisecond
	// giveUpTime is the time before the deadline from which a roll-out that is not closing
	// can't be completed any more.
	giveUpTime = 500 * time.Millisecond
	// closingTime is how long after the deadline a roll-out that is closing may still be
	// completed.
	closingTime = 3 * time.Second
	// raiseCost bounds the calls to a bad version that is stopped in the last step, as the
	// time in which the service gets as many: the calls of the steps before, and those
	// until the fault is noticed. probeBudget is the part of the remaining permitted calls
	// that the target version gets before the share rises.
	raiseCost   = 950 * time.Millisecond
	probeBudget = 0.65
	// minProbePart is the least part of the permitted calls before the share rises.
	minProbePart = 0.1
	// coldPart is the part of the calls before the rise that servers get while they warm
	// up. Their run times say nothing about the version.
	coldPart = 0.25
	// maxProbeShare is the largest share before the rise.
	maxProbeShare = 300
	// normalLoad is the load of a server of the target version before all calls have
	// moved, as a multiple of its load afterwards.
	normalLoad = 1.1
	// enoughCalls is the number of calls after the last step from which the roll-out
	// does not wait for more evidence.
	enoughCalls = 150
	// budgetMargin is the part of the permitted calls that the decision uses.
	budgetMargin = 0.92
	// rateWindow is the time over which the calls per second of the service are measured.
	rateWindow = 1500 * time.Millisecond
	// minTargetSlots is the part of the slots of the former versions that the target
	// version must have before the share rises.
	minTargetSlots = 0.5
)

// raiseParts are the parts of the servers of the target version that get calls in the
// steps before the last.
var raiseParts = []float64{0.12, 0.35}

// Controller decides about the roll-out of one service. It is not safe for concurrent
// use.
type Controller struct {
	limits              Limits
	self                host.ID
	row                 Row
	revision            Revision
	refresh             uint32
	started             time.Time
	createdAt           time.Time
	stepAt              time.Time // when the current step was written
	hosts               map[host.ID]*hostEvidence
	samples             []sample
	stepUsed            float64 // calls to the target version at the start of the step
	used                float64
	calls               float64 // of the service
	lostCalls, lostUsed float64 // that gates have forgotten
	lostKnown           bool
	judgment            Judgment
	slowAt              float64 // WarmCalls when the version began to look slow; 0 if it does not
	bad                 string  // reason of a roll-back that is decided but not written yet
	hold                bool
	failures            uint32 // FailureLimit of the updates
	active              []backend.ServerID
}

// hostEvidence is the newest report of a host, and the counts of earlier runs of its
// daemon.
type hostEvidence struct {
	Evidence
	at      time.Time
	earlier map[document.RouteName]sides
	recent  []callCount // of the last rateWindow
}

// callCount is the number of calls to the servers of a host at a time.
type callCount struct {
	at    time.Time
	calls float64
}

// calls returns the number of calls to the servers of the host.
func (h *hostEvidence) calls() (n float64) {
	for _, r := range h.earlier {
		n += r.target.calls + r.others.calls
	}
	for _, s := range h.Servers {
		for _, r := range s.Routes {
			n += float64(r.Calls)
		}
	}
	return n
}

// New returns the controller of a stored roll-out that was started at the given time.
func New(l Limits, self host.ID, s Stored, started, now time.Time) *Controller {
	return &Controller{limits: l, self: self, row: s.Row, revision: s.Revision, started: started, createdAt: now, stepAt: now, hosts: make(map[host.ID]*hostEvidence), failures: initialFailureLimit}
}

// initialFailureLimit is the number of failures after which a gate stops calls to the
// target version until the leader has judged them.
const initialFailureLimit = 4

// Row returns the stored row.
func (c *Controller) Row() Row { return c.row }

// Revision returns the revision of the stored row.
func (c *Controller) Revision() Revision { return c.revision }

// Judgment returns the last comparison of the versions.
func (c *Controller) Judgment() Judgment { return c.judgment }

// Written records that a row was written.
func (c *Controller) Written(now time.Time, s Stored) {
	if s.Row.Step != c.row.Step || s.Row.State != c.row.State {
		c.stepAt, c.stepUsed = now, c.used
	}
	c.row, c.revision, c.refresh = s.Row, s.Revision, 0
}

// Update returns the next refresh of the state.
func (c *Controller) Update(now time.Time) Update {
	c.refresh++
	active := c.active
	if c.row.Share == AllCalls {
		active = nil // all servers, which would make the message large
	}
	return Update{
		Row: c.row, Revision: c.revision, Refresh: c.refresh, AgeMS: uint32(max(0, now.Sub(c.started).Milliseconds())),
		Hold: c.hold, Active: active, FailureLimit: c.failures,
	}
}

// Held reports whether calls to the target version are stopped.
func (c *Controller) Held() bool { return c.hold }

// Report adds the evidence of a host.
func (c *Controller) Report(now time.Time, e Evidence) {
	h := c.hosts[e.Host]
	switch {
	case h == nil:
		h = &hostEvidence{earlier: make(map[document.RouteName]sides)}
		c.hosts[e.Host] = h
	case e.Incarnation < h.Incarnation, e.Incarnation == h.Incarnation && e.Sequence <= h.Sequence:
		return
	case e.Incarnation > h.Incarnation:
		// The counters start again, but the calls were made.
		c.add(h.earlier, h.Evidence)
	}
	h.Evidence, h.at = e, now
	h.recent = append(slices.DeleteFunc(h.recent, func(n callCount) bool { return now.Sub(n.at) > rateWindow }), callCount{now, h.calls()})
}

// add adds the evidence of a host to sums by route.
func (c *Controller) add(sums map[document.RouteName]sides, e Evidence) {
	for _, s := range e.Servers {
		for _, r := range s.Routes {
			v := counts{float64(r.Calls), float64(r.Failures), float64(r.WarmDone) + float64(r.WarmInFlight)/2, float64(r.WarmUS) / 1e6}
			sum := sums[r.Route]
			switch {
			case s.Version == c.row.Target:
				sum.target = sum.target.plus(v)
			case !slices.Contains(c.row.Barred, s.Version):
				sum.others = sum.others.plus(v)
			}
			sums[r.Route] = sum
		}
	}
}

// sample sums the evidence of all hosts.
func (c *Controller) sample(now time.Time) sample {
	s := sample{at: now, routes: make(map[document.RouteName]sides)}
	for _, h := range c.hosts {
		for name, r := range h.earlier {
			sum := s.routes[name]
			s.routes[name] = sides{sum.target.plus(r.target), sum.others.plus(r.others)}
		}
		c.add(s.routes, h.Evidence)
	}
	return s
}

// observe updates the judgment and what follows from it without a write.
func (c *Controller) observe(now time.Time, servers []Server) (rate float64) {
	current := c.sample(now)
	c.countCalls(now, current)
	c.samples = slices.DeleteFunc(c.samples, func(s sample) bool { return now.Sub(s.at) > slices.Max(windows) })
	before := []sample{{at: c.started}}
	for _, w := range windows {
		if i := slices.IndexFunc(c.samples, func(s sample) bool { return now.Sub(s.at) <= w }); i >= 0 {
			before = append(before, c.samples[i])
		}
	}
	c.judgment = judge(current, before, c.row.Share == AllCalls)
	c.confirmSlowness()
	if c.judgment.Bad && c.bad == "" {
		c.bad = c.judgment.Reason
	}
	rate = c.rate()
	c.hold = c.bad != "" || c.overspent(now, rate)
	if n := len(c.samples); n == 0 || now.Sub(c.samples[n-1].at) >= sampleInterval {
		c.samples = append(c.samples, current)
	}
	if c.bad == "" {
		c.raiseFailureLimit()
	}
	c.chooseActive(now, servers)
	return rate
}

// rate returns the calls per second of the service.
func (c *Controller) rate() (rate float64) {
	for _, h := range c.hosts {
		if n := len(h.recent); n > 1 {
			rate += (h.recent[n-1].calls - h.recent[0].calls) / h.recent[n-1].at.Sub(h.recent[0].at).Seconds()
		}
	}
	return rate
}

// overspent reports whether the target version gets no more calls because it has got
// those that a bad one may get. This happens when a step lasts longer than planned,
// for example because the leader changed.
func (c *Controller) overspent(now time.Time, rate float64) bool {
	if c.row.Share == 0 || c.row.Share == AllCalls {
		return false
	}
	left := c.started.Add(c.row.Duration()).Sub(now)
	return c.used+c.row.Share.part()*rate*sampleInterval.Seconds() > c.budget(rate, left)
}

// confirmSlowness makes a version that looks slow only doubtful until further calls are
// slow too. A machine that stops for a moment makes many calls slow at once.
func (c *Controller) confirmSlowness() {
	j := &c.judgment
	switch {
	case !j.Slow:
		c.slowAt = 0
	case c.slowAt == 0:
		c.slowAt = max(j.WarmCalls, 1)
	}
	if j.Slow && j.WarmCalls < c.slowAt+max(minSlowCalls, c.slowAt/2) && !excess(j.Failures, j.ExpectedFailures) {
		j.Bad, j.Doubtful = false, true
	}
}

// countCalls counts the calls. A new leader compares what the gates report with what its
// predecessor has stored: if all daemons have restarted, nothing else remembers the
// earlier calls.
func (c *Controller) countCalls(now time.Time, current sample) {
	t := current.total()
	calls, used := t.target.calls+t.others.calls, t.target.calls
	if !c.lostKnown {
		c.lostCalls, c.lostUsed = max(0, float64(c.row.Calls)-calls), max(0, float64(c.row.Used)-used)
		c.lostKnown = now.Sub(c.createdAt) >= evidenceLifetime
	}
	c.calls, c.used = calls+c.lostCalls, used+c.lostUsed
}

// raiseFailureLimit permits further failures of servers whose failures were judged as
// not caused by the version.
func (c *Controller) raiseFailureLimit() {
	for _, h := range c.hosts {
		for _, s := range h.Servers {
			if s.Version != c.row.Target {
				continue
			}
			var failures uint32
			for _, r := range s.Routes {
				failures += r.Failures
			}
			c.failures = max(c.failures, failures+initialFailureLimit)
		}
	}
}

// usable reports whether a server may get calls.
func (c *Controller) usable(s Server) bool {
	return s.Alive && s.Row.State == backend.Ready && !slices.Contains(c.row.Barred, s.Row.Version)
}

// chooseActive chooses the servers of the target version that get its share: as many as
// then have the load of a normal server, so that a version that is bad under load shows
// it while its share is small.
func (c *Controller) chooseActive(now time.Time, servers []Server) {
	var ready []backend.ServerID
	for _, s := range servers {
		h := c.hosts[s.Row.Host]
		silent := h != nil && now.Sub(h.at) > silentTime
		if s.Row.Version == c.row.Target && c.usable(s) && !silent {
			ready = append(ready, s.Row.ID)
		}
	}
	slices.Sort(ready)
	n := min(len(ready), max(1, int(math.Ceil(float64(len(ready))*c.row.Share.part()/normalLoad))))
	if c.row.Share == AllCalls {
		n = len(ready)
	}
	// Servers that already get calls stay.
	kept := slices.DeleteFunc(slices.Clone(c.active), func(id backend.ServerID) bool { return !slices.Contains(ready, id) })
	for _, id := range ready {
		if len(kept) < n && !slices.Contains(kept, id) {
			kept = append(kept, id)
		}
	}
	c.active = kept[:min(len(kept), n)]
}

// Next returns the row that is to be written now, if any. The controller acts on it
// when Written confirms it.
func (c *Controller) Next(now time.Time, servers []Server) (Row, bool) {
	if c.row.State != Running {
		return Row{}, false
	}
	rate := c.observe(now, servers)
	next := c.row
	next.Leader, next.Calls, next.Used = c.self, uint32(max(float64(next.Calls), c.calls)), uint32(max(float64(next.Used), c.used))
	left := c.started.Add(c.row.Duration()).Sub(now)
	switch {
	case c.bad != "":
		return c.rollBack(next, c.bad), true
	case left <= giveUpTime && !c.row.Closing, left <= -closingTime:
		return c.decideBad(next, "not completed by the deadline"), true
	case c.judgment.Doubtful && c.used+c.row.Share.part()*rate*detectionTime.Seconds() > c.budget(rate, left):
		return c.decideBad(next, "no calls left to clear a doubt: "+c.figures()), true
	case c.row.Share == 0 && now.Sub(c.createdAt) >= soleTime && c.sole(servers):
		next.State, next.Reason = Completed, "no server of another version"
		return next, true
	case c.row.Closing:
		if !c.judgment.Doubtful && c.othersClosed(now, servers, left) {
			next.State, next.Reason = Completed, c.figures()
			next.Barred = c.formerVersions(servers)
			return next, true
		}
	case c.row.Share == AllCalls:
		enough := c.used-c.stepUsed >= enoughCalls || left < commitTime || c.used+rate*detectionTime.Seconds() > c.budget(rate, left)
		if enough && !c.judgment.Doubtful && c.settled(now, servers) {
			next.Closing, next.Reason = true, c.figures()
			next.Step++
			return next, true
		}
	default:
		if share := c.nextShare(now, rate, left, servers); share > c.row.Share {
			next.Share, next.Reason = share, c.figures()
			next.Step++
			return next, true
		}
	}
	return next, next.Leader != c.row.Leader
}

func (c *Controller) figures() string {
	j := c.judgment
	return fmt.Sprintf("%.0f calls, %.0f failed, %.1f expected, run time %.2f of the others in %.0f calls", j.Calls, j.Failures, j.ExpectedFailures, j.Slowdown, j.Compared)
}

// decideBad rolls back, whatever the evidence becomes until that is written.
func (c *Controller) decideBad(next Row, reason string) Row {
	c.bad, c.hold = reason, true
	return c.rollBack(next, reason)
}

func (c *Controller) rollBack(next Row, reason string) Row {
	next.State, next.Share, next.Closing, next.Reason = RolledBack, 0, false, reason
	next.Step++
	if !slices.Contains(next.Barred, next.Target) {
		next.Barred = append(slices.Clone(next.Barred), next.Target)
	}
	return next
}

// formerVersions returns the versions that get no calls after the roll-out.
func (c *Controller) formerVersions(servers []Server) []backend.Version {
	all := slices.Clone(c.row.Barred)
	for _, s := range servers {
		if s.Row.Version != c.row.Target && !slices.Contains(all, s.Row.Version) {
			all = append(all, s.Row.Version)
		}
	}
	slices.Sort(all)
	return all
}
