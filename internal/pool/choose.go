package pool

import (
	"math"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/gate"
)

// Call is what the pool needs to know of a call.
type Call struct {
	Service backend.ServiceName
	Route   document.RouteName // its run times and sizes are remembered; may be empty
	// Target is the time left until a response is late, and Left the time left
	// until it is useless. Zero means that none is stated.
	TimeToTarget, TimeToDeadline time.Duration
	// Priority is that of the route; 0 is the highest.
	Priority uint8
	// Once says that the call may not be repeated, and that its loss weighs more.
	AtMostOnce bool
	// Tried are servers that are not chosen again.
	Tried []backend.ServerID
	// Patient lets the call wait for a slot for as long as it can, since no server
	// has room.
	WaitForSlot bool
	// Again marks a further choice for a call that was counted for the budgets.
	AlreadyCounted bool
}

// Weights of what a choice can cost, in calls: what is lost when a call that can
// be repeated gets no response is worth one.
const (
	costUnserved = 1.0
	costLate     = 0.5
	// lossQueue is the loss by a wait of the time left until the target, since others
	// may come first.
	costQueueing = 0.7
	// lossOnce is the weight of a call that cannot be repeated.
	atMostOnceWeight = 2.0
	// tollZone and tollRegion are the cost of a kilobyte between availability zones
	// and between regions, which is paid for.
	zoneTransferCost   = 0.05
	regionTransferCost = 0.14
	// tollNear is the cost of a tier further away for calls without a target, which
	// leave a tier as soon as it has no room.
	tierCost = 0.001
	// lossFull is the cost of a full server for a call without a target, which gates
	// soon refuse.
	costFull = 0.3
	// lossProbe is the cost of a server whose health probe fails.
	costProbeFailing = 0.5
)

const (
	// tail is the exponent with which the share of run times above a multiple of
	// the mean falls: about an eighth of the calls takes more than twice the mean.
	tailExponent = 1.05
	// defaultRun is the assumed time of a call before any is known.
	defaultRunTime = 100 * time.Millisecond
	// defaultTarget and defaultLeft are the times of a call that states none, in run
	// times of the fastest server.
	defaultTargetRuns   = 4
	defaultDeadlineRuns = 20
	// spread is the weight of the use of a server in the order of those that cost
	// about the same.
	utilizationWeight = 0.3
	// alike is the difference of cost up to which servers of a tier are taken for
	// equal, so that not all entries choose the same one.
	costTolerance = 0.02
)

// tiers of servers, in the order of their distance.
const (
	tierSubsetZone   = iota // subset, this zone
	tierSubsetRegion        // subset, other zones of the region
	tierRegion              // the rest of the region
	tierRemote              // other regions
	tierCount
)

// candidate is a server that a call could go to.
type candidate struct {
	member       *member
	tier         int
	wait         time.Duration // expected for a slot
	runTime      time.Duration // expected at the server
	utilization  float64       // of the server's slots
	transferCost float64       // cost of the bytes
	fixedCost    float64       // cost that does not depend on the wait
	cost         float64
	avoided      bool // ejected
	answersSome  bool // ejected, but still answers a part of its calls
}

// order tells which of two servers that cost about the same is better.
func (c *candidate) weightedTime() float64 {
	return float64(c.wait) + float64(c.runTime)*(1+utilizationWeight*c.utilization)
}

// appraisal is the choice among the servers of a service for one call.
type selection struct {
	call                         Call
	timeToTarget, timeToDeadline time.Duration
	candidates                   []candidate
}

// choose returns the server that costs least. Ejected servers come last, but for
// those that still answer a part of their calls and have room, when all others
// are full. Servers on suspect hosts come only when there is no other.
func (p *Pool) choose(s *service, call Call) (*candidate, *selection) {
	a := &selection{call: call, candidates: make([]candidate, 0, s.memberCount)}
	for tier, members := range s.tiers {
		p.addCandidates(a, tier, members)
	}
	if len(a.candidates) == 0 {
		p.addCandidates(a, tierRemote, s.suspect)
	}
	p.setCosts(a)
	best := a.cheapest(func(c *candidate) bool { return !c.avoided })
	if best == nil || best.wait > 0 && call.TimeToTarget <= 0 {
		if partly := a.cheapest(func(c *candidate) bool { return c.answersSome && c.wait == 0 }); partly != nil {
			return partly, a
		}
	}
	if best == nil {
		return a.cheapest(func(*candidate) bool { return true }), a
	}
	return p.pickOfTwo(best, a), a
}

// list adds the servers of a tier that were not tried.
func (p *Pool) addCandidates(a *selection, tier int, members []*member) {
	now := p.config.Now()
	known := p.routeStats.estimate(a.call.Route)
	for _, m := range members {
		if slices.Contains(a.call.Tried, m.row.ID) {
			continue
		}
		c := candidate{member: m, tier: tier, avoided: m.state.ejected(now)}
		c.answersSome = c.avoided && m.state.answersSome()
		if m.state.unusableUntil.Load() > now.UnixNano() {
			c.avoided, c.answersSome = true, false
		}
		c.runTime = max(m.state.expectedRunTime(now, known.runTime), time.Millisecond)
		c.wait, c.utilization = m.expectedWait(now, c.runTime, gate.PriorityBand(a.call.Priority))
		c.transferCost = a.transferCost(&c, known.kilobytes)
		c.fixedCost = c.transferCost + costUnserved*m.state.failureRatio()
		if m.state.probeFailed(now) {
			c.fixedCost += costProbeFailing
		}
		a.candidates = append(a.candidates, c)
	}
}

func (a *selection) transferCost(c *candidate, kilobytes float64) float64 {
	switch {
	case a.call.TimeToTarget <= 0:
		return tierCost * float64(c.tier)
	case c.tier == tierRemote:
		return regionTransferCost * kilobytes
	case c.member.crossZone:
		return zoneTransferCost * kilobytes
	default:
		return 0
	}
}

// assess sets the costs.
func (p *Pool) setCosts(a *selection) {
	fastest := time.Duration(math.MaxInt64)
	for i := range a.candidates {
		fastest = min(fastest, a.candidates[i].runTime)
	}
	a.timeToTarget, a.timeToDeadline = a.call.TimeToTarget, a.call.TimeToDeadline
	if a.timeToTarget <= 0 {
		a.timeToTarget, a.timeToDeadline = defaultTargetRuns*fastest, defaultDeadlineRuns*fastest
	}
	for i := range a.candidates {
		c := &a.candidates[i]
		c.cost = a.cost(c, c.wait)
	}
}

// cost is what a server is expected to cost after a wait.
func (a *selection) cost(c *candidate, wait time.Duration) float64 {
	weight := 1.0
	if a.call.AtMostOnce {
		weight = atMostOnceWeight
	}
	late, unserved := exceedProbability(c.runTime, a.timeToTarget-wait), exceedProbability(c.runTime, a.timeToDeadline-wait)
	cost := c.fixedCost + weight*(costLate*late+costUnserved*unserved)
	if wait > 0 && a.call.TimeToTarget > 0 {
		cost += weight * costQueueing * min(1, float64(wait)/float64(max(a.timeToTarget, time.Millisecond)))
	}
	if wait > 0 && a.call.TimeToTarget <= 0 {
		cost += costFull
	}
	return cost
}

// exceeds is the share of calls that take longer than a time at a server with a
// mean run time.
func exceedProbability(run, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return math.Exp(-tailExponent * float64(limit) / float64(run))
}

// cheapest returns the permitted candidate with the least cost, or nil.
func (a *selection) cheapest(permitted func(*candidate) bool) *candidate {
	var best *candidate
	for i := range a.candidates {
		if c := &a.candidates[i]; permitted(c) && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// alternate returns the better of two random candidates that cost about as
// little as the best one of their tier.
func (p *Pool) pickOfTwo(best *candidate, a *selection) *candidate {
	var few [2 * SubsetSize]*candidate
	near := few[:0]
	for i := range a.candidates {
		if c := &a.candidates[i]; c.tier == best.tier && !c.avoided && c.cost <= best.cost+costTolerance {
			near = append(near, c)
		}
	}
	if len(near) < 2 {
		return best
	}
	p.random.Lock()
	i, j := p.random.IntN(len(near)), p.random.IntN(len(near)-1)
	p.random.Unlock()
	if j >= i {
		j++
	}
	if near[j].weightedTime() < near[i].weightedTime() {
		i = j
	}
	return near[i]
}

const (
	// minPatience lets the forecast of the gate differ a little from that of the
	// entry before another server is asked.
	minSlotWait = 5 * time.Millisecond
	// patienceSteps is the number of halvings in the search for the patience.
	maxWaitSteps = 8
)

// patience returns how long a call may wait for a slot of the chosen server:
// until another server would cost less, and no longer than the call can afford.
func (a *selection) maxWait(chosen *candidate) time.Duration {
	if a.call.TimeToTarget <= 0 {
		return 0
	}
	least := math.Inf(1)
	if a.call.WaitForSlot {
		return max(a.timeToDeadline-chosen.runTime, minSlotWait)
	}
	for i := range a.candidates {
		if c := &a.candidates[i]; c.member != chosen.member && !c.avoided {
			least = min(least, c.cost)
		}
	}
	low, high := time.Duration(0), max(a.timeToDeadline-chosen.runTime, minSlotWait)
	if a.cost(chosen, high) <= least {
		return high
	}
	for range maxWaitSteps {
		if middle := (low + high) / 2; a.cost(chosen, middle) <= least {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, minSlotWait)
}
