package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// nextShare returns the share that the evidence and the budget permit now, or 0 if the
// share stays.
func (c *Controller) nextShare(now time.Time, rate float64, left time.Duration, servers []Server) Share {
	if len(c.active) == 0 || rate <= 0 || !c.settled(now, servers) {
		return 0
	}
	budget := c.budget(rate, left)
	if left > raiseTime {
		return c.probeShare(budget, rate, left, servers)
	}
	targets := c.targets(servers)
	if c.judgment.Doubtful || !c.enoughServers(servers) {
		return 0
	}
	last := rate * detectionTime.Seconds()
	for _, part := range raiseParts {
		share := Share(min(1, max(1, math.Round(part*targets))/targets) * float64(AllCalls))
		if share > c.row.Share && c.used+share.part()*rate*(stepTime+sampleInterval).Seconds()+last <= budget {
			return share
		}
	}
	if c.used+last <= budget {
		return AllCalls
	}
	return 0
}

// probeShare returns the share before the rise: a first one while the servers warm up,
// and a second one that uses the rest of the budget for it.
func (c *Controller) probeShare(budget, rate float64, left time.Duration, servers []Server) Share {
	calls := max(probeBudget*(budget-raiseCost.Seconds()*rate), minProbePart*budget)
	remaining := (left - raiseTime).Seconds()
	if !c.activeWarm(servers) {
		if c.row.Share > 0 {
			return 0
		}
		calls *= coldPart
		remaining = max(remaining, warmUpTime.Seconds())
	}
	share := Share(min(maxProbeShare, max(1, (calls-c.used)/rate/max(remaining, 0.5)*float64(AllCalls))))
	// Every step costs a write, so the share is adapted only by much.
	if share < 2*c.row.Share {
		return 0
	}
	return share
}

// activeWarm reports whether a server that gets calls has warmed up.
func (c *Controller) activeWarm(servers []Server) bool {
	for _, s := range servers {
		if h := c.hosts[s.Row.Host]; h != nil && slices.Contains(c.active, s.Row.ID) {
			if i := slices.IndexFunc(h.Servers, func(e ServerEvidence) bool { return e.ID == s.Row.ID }); i >= 0 && h.Servers[i].Warm {
				return true
			}
		}
	}
	return false
}

// targets returns the number of usable servers of the target version.
func (c *Controller) targets(servers []Server) float64 {
	n := 0.0
	for _, s := range servers {
		if s.Row.Version == c.row.Target && c.usable(s) {
			n++
		}
	}
	return max(n, 1)
}

// budget returns the number of calls that a bad version may get in all, by the calls
// so far and those that are expected until the deadline.
func (c *Controller) budget(rate float64, left time.Duration) float64 {
	expected := c.calls + rate*max(0, left.Seconds())
	return budgetMargin * (c.limits.ExposureShare*expected + c.limits.ExposureSlack)
}

// settled reports whether the current step has been in effect for long enough, and
// whether current evidence of it is known.
func (c *Controller) settled(now time.Time, servers []Server) bool {
	if now.Sub(c.stepAt) < stepTime {
		return false
	}
	if c.row.Share == 0 {
		return true
	}
	for _, s := range servers {
		if !slices.Contains(c.active, s.Row.ID) {
			continue
		}
		h := c.hosts[s.Row.Host]
		if h == nil || now.Sub(h.at) > evidenceLifetime || h.Revision != c.revision {
			return false
		}
	}
	return len(c.active) > 0
}

// sole reports whether the service only has servers of the target version, so that there
// is nothing to move.
func (c *Controller) sole(servers []Server) bool {
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(s Server) bool { return s.Row.Version != c.row.Target && s.Row.State != backend.Gone })
}

// enoughServers reports whether the target version can take the calls of the others.
func (c *Controller) enoughServers(servers []Server) bool {
	var target, others float64
	for _, s := range servers {
		switch {
		case !c.usable(s):
		case s.Row.Version == c.row.Target:
			target += float64(max(1, s.Row.Slots))
		default:
			others += float64(max(1, s.Row.Slots))
		}
	}
	return target >= minTargetSlots*others
}

// othersClosed reports whether the gates of all other servers refuse calls under the
// current revision, and have none in flight.
func (c *Controller) othersClosed(now time.Time, servers []Server, left time.Duration) bool {
	for _, s := range servers {
		if s.Row.Version == c.row.Target || s.Row.State == backend.Gone || !s.Alive && left < suspectTime {
			continue
		}
		h := c.hosts[s.Row.Host]
		if h == nil || h.Revision != c.revision || now.Sub(h.at) > evidenceLifetime {
			return false
		}
		i := slices.IndexFunc(h.Servers, func(e ServerEvidence) bool { return e.ID == s.Row.ID })
		if i < 0 || !h.Servers[i].Closed || h.Servers[i].InFlight > 0 {
			return false
		}
	}
	return true
}
