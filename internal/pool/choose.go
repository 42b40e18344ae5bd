package pool

import (
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// unhealthyPenalty is added to the relative load of a server whose probe fails,
// so that a full healthy server is preferred to an idle unhealthy one.
const unhealthyPenalty = 1.0

// failingPenalty is added in proportion to the share of failures. A server that
// fails at once looks empty and would attract calls.
const failingPenalty = 1.0

// slowPenalty is added for a server whose mean latency is above slowFactor
// times the lowest one of its tier.
const (
	slowPenalty = 0.5
	slowFactor  = 3
)

// tiers that are tried in this order.
const (
	tierZone   = iota // subset, this zone
	tierSubset        // subset, other zones of the region
	tierRegion        // the rest of the region
	tierRemote        // other regions
	tierCount
)

// rule tells which members of a tier may be chosen: full ones, all ejected ones
// or those that still answer a part of their calls.
type rule struct{ full, ejected, partly bool }

// choose returns a member by two random choices in the first tier that has a
// member to choose. Full servers come after the free ones of all tiers, ejected
// ones after the full ones, and suspect hosts last. A free ejected server that
// still answers a part of its calls comes before the full ones, which would
// refuse most of them.
func (p *Pool) choose(s *service, tried []backend.ServerID) *member {
	now := p.config.Now()
	for i := range s.tiers {
		if m := p.twoChoices(s.tiers[i], tried, rule{}, now); m != nil {
			return m
		}
	}
	for _, r := range []rule{{partly: true}, {full: true}, {full: true, ejected: true}} {
		for i := range s.tiers {
			if m := p.twoChoices(s.tiers[i], tried, r, now); m != nil {
				return m
			}
		}
	}
	return p.twoChoices(s.suspect, tried, rule{full: true, ejected: true}, now)
}

// twoChoices draws two different members that the rule permits and returns the
// one with the lower load.
func (p *Pool) twoChoices(tier []*member, tried []backend.ServerID, r rule, now time.Time) *member {
	var small [SubsetSize * 2]candidate
	candidates := small[:0]
	for _, m := range tier {
		if slices.Contains(tried, m.row.ID) || !r.ejected && m.state.ejected(now) && !(r.partly && m.state.partly()) {
			continue
		}
		load := m.load(now)
		if !r.full && load >= 1 {
			continue
		}
		load += failingPenalty * m.state.failing()
		if m.state.probeFailed(now) {
			load += unhealthyPenalty
		}
		candidates = append(candidates, candidate{m, load, m.state.mean(now)})
	}
	penaliseSlow(candidates)
	n := len(candidates)
	if n == 0 {
		return nil
	}
	if n == 1 {
		return candidates[0].member
	}
	p.random.Lock()
	i, j := p.random.IntN(n), p.random.IntN(n-1)
	p.random.Unlock()
	if j >= i {
		j++
	}
	if candidates[j].load < candidates[i].load {
		i = j
	}
	return candidates[i].member
}

type candidate struct {
	member *member
	load   float64
	mean   time.Duration // latency; 0 when unknown
}

func penaliseSlow(candidates []candidate) {
	var lowest time.Duration
	for _, c := range candidates {
		if c.mean > 0 && (lowest == 0 || c.mean < lowest) {
			lowest = c.mean
		}
	}
	for i := range candidates {
		if candidates[i].mean > slowFactor*lowest {
			candidates[i].load += slowPenalty
		}
	}
}

// load is the use of the server relative to its slots: own calls in flight and
// the calls of others as last reported.
func (m *member) load(now time.Time) float64 {
	others, slots := m.state.reported(now)
	if slots == 0 {
		slots = int64(m.slots)
	}
	return float64(m.state.inFlight.Load()+others) / float64(max(slots, 1))
}
