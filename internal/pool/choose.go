package pool

import (
	"math"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/bandwidth"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/gate"
)

// Call describes a call for the choice of a backend server.
type Call struct {
	Service backend.ServiceName
	Route   document.RouteName // key of the run time and size statistics; may be empty
	// TimeToTarget is the time left until a response is late, and TimeToDeadline
	// the time left until it is useless. A zero TimeToTarget means that the call has
	// no target; TimeToDeadline is then ignored. A call with a target must state both.
	TimeToTarget, TimeToDeadline time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority uint8
	// AtMostOnce marks a call that must not be repeated. Its loss costs more.
	AtMostOnce bool
	// Tried lists servers that are not chosen again.
	Tried []backend.ServerID
	// LinkWait is the time that the link of this host takes for the large responses
	// that it expects from other hosts.
	LinkWait time.Duration
	// WaitForSlot is set when every server refused the call as full. A call with a
	// target then waits for as long as its deadline permits, even when another server
	// would cost less.
	WaitForSlot bool
	// AlreadyCounted marks another choice for a call that is already counted in the
	// retry budgets.
	AlreadyCounted bool
}

// Costs of a choice. One unit is the loss of a repeatable call that gets no
// response.
const (
	costUnserved = 1.0
	costLate     = 0.5
	// costQueueing is the cost of a wait as long as the time left until the target,
	// since other calls may be served first.
	costQueueing = 0.7
	// atMostOnceWeight is the weight of a call that must not be repeated.
	atMostOnceWeight = 2.0
	// zoneTransferCost and regionTransferCost are the cost of a kilobyte sent
	// between availability zones and between regions, where traffic is charged for.
	zoneTransferCost   = 0.05
	regionTransferCost = 0.14
	// tierCost is the cost per tier of distance for calls without a target. It is
	// small, so that these calls move to the next tier as soon as a tier is full.
	tierCost = 0.001
	// costFull is the cost of a full server for a call without a target. Gates
	// refuse such calls after a short wait.
	costFull = 0.3
	// costProbeFailing is the cost of a server whose health probe fails.
	costProbeFailing = 0.5
)

const (
	// tailExponent is the decay rate of the run time distribution: the fraction of
	// calls that take longer than x times the mean is exp(-tailExponent*x), which
	// is about one eighth for twice the mean.
	tailExponent = 1.05
	// defaultRunTime is the assumed run time of a route without measurements.
	defaultRunTime = 100 * time.Millisecond
	// defaultTargetRuns and defaultDeadlineRuns are the times to the target and to
	// the deadline of a call without a target, in run times of the fastest server.
	defaultTargetRuns   = 4
	defaultDeadlineRuns = 20
	// utilizationWeight is the weight of the slot utilization in the comparison of
	// servers that cost about the same.
	utilizationWeight = 0.3
	// costTolerance is the cost difference up to which servers of a tier count as
	// equal, so that the daemons do not all choose the same server.
	costTolerance = 0.02
)

// Tiers of servers in order of distance.
const (
	tierSubsetZone   = iota // subset, this availability zone
	tierSubsetRegion        // subset, other availability zones of this region
	tierRegion              // rest of this region
	tierRemote              // other regions
	tierCount
)

// candidate is a server that a call could be sent to.
type candidate struct {
	server       *poolServer
	tier         int
	wait         time.Duration // expected wait for a slot
	runTime      time.Duration // expected run time at the server
	utilization  float64       // of the server's slots; can exceed 1
	transferCost float64       // of the bytes of the call
	fixedCost    float64       // part of the cost that does not depend on the wait
	cost         float64
	avoided      bool // ejected, or reported unusable by its gate
	answersSome  bool // ejected, but some of its calls succeed
}

// weightedTime is the expected response time, increased by the utilization. Among
// servers that cost about the same, the lower value is better.
func (c *candidate) weightedTime() float64 {
	return float64(c.wait) + float64(c.runTime)*(1+utilizationWeight*c.utilization)
}

// selection is the choice among the servers of a service for one call.
type selection struct {
	call                         Call
	timeToTarget, timeToDeadline time.Duration
	candidates                   []candidate
}

// choose prefers servers that are neither ejected nor reported unusable, and
// returns one of those with about the lowest cost. When there is none, or when the
// best of them is full and the call has no target, an ejected server with a free
// slot that still answers some calls comes first. Servers on suspect hosts are used
// only when no other is left to try; they count as remote.
func (p *Pool) choose(s *service, call Call) (*candidate, *selection) {
	sel := &selection{call: call, candidates: make([]candidate, 0, s.serverCount)}
	for tier, servers := range s.tiers {
		p.addCandidates(sel, tier, servers)
	}
	if len(sel.candidates) == 0 {
		p.addCandidates(sel, tierRemote, s.suspect)
	}
	p.setCosts(sel)
	best := sel.cheapest(func(c *candidate) bool { return !c.avoided })
	if best == nil || best.wait > 0 && call.TimeToTarget <= 0 {
		if partial := sel.cheapest(func(c *candidate) bool { return c.answersSome && c.wait == 0 }); partial != nil {
			return partial, sel
		}
	}
	if best == nil {
		return sel.cheapest(func(*candidate) bool { return true }), sel
	}
	return p.pickOfTwo(best, sel), sel
}

// addCandidates adds the servers of a tier that were not tried.
func (p *Pool) addCandidates(sel *selection, tier int, servers []*poolServer) {
	now := p.config.Now()
	estimate := p.routeStats.estimate(sel.call.Route)
	for _, server := range servers {
		if slices.Contains(sel.call.Tried, server.row.ID) || server.state.leaves(server.row) {
			continue
		}
		c := candidate{server: server, tier: tier, avoided: server.state.ejected(now)}
		c.answersSome = c.avoided && server.state.answersSome()
		if server.state.unusableUntil.Load() > now.UnixNano() {
			c.avoided, c.answersSome = true, false
		}
		c.runTime = max(server.state.expectedRunTime(now, estimate.runTime), time.Millisecond)
		c.wait, c.utilization = server.expectedWait(now, c.runTime, gate.PriorityBand(sel.call.Priority))
		if estimate.kilobytes*bytesPerKilobyte >= bandwidth.LargeBytes && server.row.Host != p.config.Self {
			// The response waits for the links while the call waits and runs.
			link := max(sel.call.LinkWait, server.state.reportedLinkWait(now))
			c.wait = max(c.wait, link-c.runTime)
		}
		c.transferCost = sel.transferCost(&c, estimate.kilobytes)
		c.fixedCost = c.transferCost + costUnserved*server.state.failureRatio()
		if server.state.probeFailed(now) {
			c.fixedCost += costProbeFailing
		}
		sel.candidates = append(sel.candidates, c)
	}
}

// transferCost returns the cost of transferring a call of the given size. For calls
// without a target, it is only the cost of the tier.
func (sel *selection) transferCost(c *candidate, kilobytes float64) float64 {
	switch {
	case sel.call.TimeToTarget <= 0:
		return tierCost * float64(c.tier)
	case c.tier == tierRemote:
		return regionTransferCost * kilobytes
	case c.server.crossZone:
		return zoneTransferCost * kilobytes
	default:
		return 0
	}
}

// setCosts sets the cost of each candidate.
func (p *Pool) setCosts(sel *selection) {
	fastest := time.Duration(math.MaxInt64)
	for i := range sel.candidates {
		fastest = min(fastest, sel.candidates[i].runTime)
	}
	sel.timeToTarget, sel.timeToDeadline = sel.call.TimeToTarget, sel.call.TimeToDeadline
	if sel.timeToTarget <= 0 {
		sel.timeToTarget, sel.timeToDeadline = defaultTargetRuns*fastest, defaultDeadlineRuns*fastest
	}
	for i := range sel.candidates {
		c := &sel.candidates[i]
		c.cost = sel.cost(c, c.wait)
	}
}

// cost returns the expected cost of a call to a server after a wait for a slot.
func (sel *selection) cost(c *candidate, wait time.Duration) float64 {
	weight := 1.0
	if sel.call.AtMostOnce {
		weight = atMostOnceWeight
	}
	late, unserved := exceedProbability(c.runTime, sel.timeToTarget-wait), exceedProbability(c.runTime, sel.timeToDeadline-wait)
	cost := c.fixedCost + weight*(costLate*late+costUnserved*unserved)
	if wait > 0 && sel.call.TimeToTarget > 0 {
		cost += weight * costQueueing * min(1, float64(wait)/float64(max(sel.timeToTarget, time.Millisecond)))
	}
	if wait > 0 && sel.call.TimeToTarget <= 0 {
		cost += costFull
	}
	return cost
}

// exceedProbability returns the probability that a call takes longer than limit at
// a server with the given mean run time.
func exceedProbability(mean, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return math.Exp(-tailExponent * float64(limit) / float64(mean))
}

// cheapest returns the permitted candidate with the lowest cost, or nil.
func (sel *selection) cheapest(permitted func(*candidate) bool) *candidate {
	var best *candidate
	for i := range sel.candidates {
		if c := &sel.candidates[i]; permitted(c) && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// pickOfTwo returns the better of two random candidates that are in the tier of
// the best candidate and cost about as little.
func (p *Pool) pickOfTwo(best *candidate, sel *selection) *candidate {
	var buffer [2 * SubsetSize]*candidate
	similar := buffer[:0]
	for i := range sel.candidates {
		if c := &sel.candidates[i]; c.tier == best.tier && !c.avoided && c.cost <= best.cost+costTolerance {
			similar = append(similar, c)
		}
	}
	if len(similar) < 2 {
		return best
	}
	p.random.Lock()
	i, j := p.random.IntN(len(similar)), p.random.IntN(len(similar)-1)
	p.random.Unlock()
	if j >= i {
		j++
	}
	if similar[j].weightedTime() < similar[i].weightedTime() {
		i = j
	}
	return similar[i]
}

const (
	// minMaxWait is the lower bound of the maximum wait of a call with a target. It
	// tolerates a small difference between the forecasts of the gate and of the
	// calling daemon before another server is tried.
	minMaxWait = 5 * time.Millisecond
	// maxWaitSteps is the number of bisection steps in the search for the maximum
	// wait.
	maxWaitSteps = 8
)

// maxWait returns how long a call may wait for a slot of the chosen server: until
// another server would cost less, and no longer than its deadline permits.
func (sel *selection) maxWait(chosen *candidate) time.Duration {
	if sel.call.TimeToTarget <= 0 {
		return 0
	}
	cheapestOther := math.Inf(1)
	if sel.call.WaitForSlot {
		return max(sel.timeToDeadline-chosen.runTime, minMaxWait)
	}
	for i := range sel.candidates {
		if c := &sel.candidates[i]; c.server != chosen.server && !c.avoided {
			cheapestOther = min(cheapestOther, c.cost)
		}
	}
	low, high := time.Duration(0), max(sel.timeToDeadline-chosen.runTime, minMaxWait)
	if sel.cost(chosen, high) <= cheapestOther {
		return high
	}
	for range maxWaitSteps {
		if middle := (low + high) / 2; sel.cost(chosen, middle) <= cheapestOther {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, minMaxWait)
}
