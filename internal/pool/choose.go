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
	Target, Left time.Duration
	// Priority is that of the route; 0 is the highest.
	Priority uint8
	// Once says that the call may not be repeated, and that its loss weighs more.
	Once bool
	// Tried are servers that are not chosen again.
	Tried []backend.ServerID
	// Patient lets the call wait for a slot for as long as it can, since no server
	// has room.
	Patient bool
	// Again marks a further choice for a call that was counted for the budgets.
	Again bool
}

// Weights of what a choice can cost, in calls: what is lost when a call that can
// be repeated gets no response is worth one.
const (
	lossUnserved = 1.0
	lossLate     = 0.5
	// lossQueue is the loss by a wait of the time left until the target, since others
	// may come first.
	lossQueue = 0.7
	// lossOnce is the weight of a call that cannot be repeated.
	lossOnce = 2.0
	// tollZone and tollRegion are the cost of a kilobyte between availability zones
	// and between regions, which is paid for.
	tollZone   = 0.05
	tollRegion = 0.14
	// tollNear is the cost of a tier further away for calls without a target, which
	// leave a tier as soon as it has no room.
	tollNear = 0.001
	// lossFull is the cost of a full server for a call without a target, which gates
	// soon refuse.
	lossFull = 0.3
	// lossProbe is the cost of a server whose health probe fails.
	lossProbe = 0.5
)

const (
	// tail is the exponent with which the share of run times above a multiple of
	// the mean falls: about an eighth of the calls takes more than twice the mean.
	tail = 1.05
	// defaultRun is the assumed time of a call before any is known.
	defaultRun = 100 * time.Millisecond
	// defaultTarget and defaultLeft are the times of a call that states none, in run
	// times of the fastest server.
	defaultTarget = 4
	defaultLeft   = 20
	// spread is the weight of the use of a server in the order of those that cost
	// about the same.
	spread = 0.3
	// alike is the difference of cost up to which servers of a tier are taken for
	// equal, so that not all entries choose the same one.
	alike = 0.02
)

// tiers of servers, in the order of their distance.
const (
	tierZone   = iota // subset, this zone
	tierSubset        // subset, other zones of the region
	tierRegion        // the rest of the region
	tierRemote        // other regions
	tierCount
)

// candidate is a server that a call could go to.
type candidate struct {
	member *member
	tier   int
	wait   time.Duration // expected for a slot
	run    time.Duration // expected at the server
	use    float64       // of the server's slots
	toll   float64       // cost of the bytes
	fixed  float64       // cost that does not depend on the wait
	cost   float64
	out    bool // ejected
	partly bool // ejected, but still answers a part of its calls
}

// order tells which of two servers that cost about the same is better.
func (c *candidate) order() float64 {
	return float64(c.wait) + float64(c.run)*(1+spread*c.use)
}

// appraisal is the choice among the servers of a service for one call.
type appraisal struct {
	call         Call
	target, left time.Duration
	all          []candidate
}

// choose returns the server that costs least. Ejected servers come last, but for
// those that still answer a part of their calls and have room, when all others
// are full. Servers on suspect hosts come only when there is no other.
func (p *Pool) choose(s *service, call Call) (*candidate, *appraisal) {
	a := &appraisal{call: call, all: make([]candidate, 0, s.size)}
	for tier, members := range s.tiers {
		p.list(a, tier, members)
	}
	if len(a.all) == 0 {
		p.list(a, tierRemote, s.suspect)
	}
	p.assess(a)
	best := a.cheapest(func(c *candidate) bool { return !c.out })
	if best == nil || best.wait > 0 && call.Target <= 0 {
		if partly := a.cheapest(func(c *candidate) bool { return c.partly && c.wait == 0 }); partly != nil {
			return partly, a
		}
	}
	if best == nil {
		return a.cheapest(func(*candidate) bool { return true }), a
	}
	return p.alternate(best, a), a
}

// list adds the servers of a tier that were not tried.
func (p *Pool) list(a *appraisal, tier int, members []*member) {
	now := p.config.Now()
	known := p.runs.get(a.call.Route)
	for _, m := range members {
		if slices.Contains(a.call.Tried, m.row.ID) {
			continue
		}
		c := candidate{member: m, tier: tier, out: m.state.ejected(now)}
		c.partly = c.out && m.state.partly()
		if m.state.unusable.Load() > now.UnixNano() {
			c.out, c.partly = true, false
		}
		c.run = max(m.state.run(now, known.mean), time.Millisecond)
		c.wait, c.use = m.wait(now, c.run, gate.PriorityBand(a.call.Priority))
		c.toll = a.toll(&c, known.kilobytes)
		c.fixed = c.toll + lossUnserved*m.state.failing()
		if m.state.probeFailed(now) {
			c.fixed += lossProbe
		}
		a.all = append(a.all, c)
	}
}

func (a *appraisal) toll(c *candidate, kilobytes float64) float64 {
	switch {
	case a.call.Target <= 0:
		return tollNear * float64(c.tier)
	case c.tier == tierRemote:
		return tollRegion * kilobytes
	case c.member.foreign:
		return tollZone * kilobytes
	default:
		return 0
	}
}

// assess sets the costs.
func (p *Pool) assess(a *appraisal) {
	fastest := time.Duration(math.MaxInt64)
	for i := range a.all {
		fastest = min(fastest, a.all[i].run)
	}
	a.target, a.left = a.call.Target, a.call.Left
	if a.target <= 0 {
		a.target, a.left = defaultTarget*fastest, defaultLeft*fastest
	}
	for i := range a.all {
		c := &a.all[i]
		c.cost = a.cost(c, c.wait)
	}
}

// cost is what a server is expected to cost after a wait.
func (a *appraisal) cost(c *candidate, wait time.Duration) float64 {
	weight := 1.0
	if a.call.Once {
		weight = lossOnce
	}
	late, unserved := exceeds(c.run, a.target-wait), exceeds(c.run, a.left-wait)
	cost := c.fixed + weight*(lossLate*late+lossUnserved*unserved)
	if wait > 0 && a.call.Target > 0 {
		cost += weight * lossQueue * min(1, float64(wait)/float64(max(a.target, time.Millisecond)))
	}
	if wait > 0 && a.call.Target <= 0 {
		cost += lossFull
	}
	return cost
}

// exceeds is the share of calls that take longer than a time at a server with a
// mean run time.
func exceeds(run, limit time.Duration) float64 {
	if limit <= 0 {
		return 1
	}
	return math.Exp(-tail * float64(limit) / float64(run))
}

// cheapest returns the permitted candidate with the least cost, or nil.
func (a *appraisal) cheapest(permitted func(*candidate) bool) *candidate {
	var best *candidate
	for i := range a.all {
		if c := &a.all[i]; permitted(c) && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// alternate returns the better of two random candidates that cost about as
// little as the best one of their tier.
func (p *Pool) alternate(best *candidate, a *appraisal) *candidate {
	var few [2 * SubsetSize]*candidate
	near := few[:0]
	for i := range a.all {
		if c := &a.all[i]; c.tier == best.tier && !c.out && c.cost <= best.cost+alike {
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
	if near[j].order() < near[i].order() {
		i = j
	}
	return near[i]
}

const (
	// minPatience lets the forecast of the gate differ a little from that of the
	// entry before another server is asked.
	minPatience = 5 * time.Millisecond
	// patienceSteps is the number of halvings in the search for the patience.
	patienceSteps = 8
)

// patience returns how long a call may wait for a slot of the chosen server:
// until another server would cost less, and no longer than the call can afford.
func (a *appraisal) patience(chosen *candidate) time.Duration {
	if a.call.Target <= 0 {
		return 0
	}
	least := math.Inf(1)
	if a.call.Patient {
		return max(a.left-chosen.run, minPatience)
	}
	for i := range a.all {
		if c := &a.all[i]; c.member != chosen.member && !c.out {
			least = min(least, c.cost)
		}
	}
	low, high := time.Duration(0), max(a.left-chosen.run, minPatience)
	if a.cost(chosen, high) <= least {
		return high
	}
	for range patienceSteps {
		if middle := (low + high) / 2; a.cost(chosen, middle) <= least {
			low = middle
		} else {
			high = middle
		}
	}
	return max(low, minPatience)
}
