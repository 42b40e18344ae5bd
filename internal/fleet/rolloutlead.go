package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/rollout"
)

// takeOver leads the running roll-outs whose leader is silent.
func (c *Core) takeOver() {
	for name, k := range c.rollouts.known {
		delay := time.Duration(c.rollouts.rank) * takeOverDelayPerRank
		silent := c.now.Sub(k.At) >= takeOverAfter+delay
		stuck := k.Stuck && c.now.Sub(k.stuckSince) >= delay && c.mayCallTable() && k.Row.Leader != c.config.Self.ID
		if (silent || stuck) && !k.Provisional && k.Row.State == rollout.Running && c.rollouts.controllers[name] == nil {
			c.rollouts.controllers[name] = c.newLed(k.stored, k.startedAt())
			c.recordEvent(TimelineEvent{Kind: "rollout-taken-over", Host: k.Row.Leader, Detail: k.Row.String()})
		}
	}
}

// refreshVerdicts repeats the roll-outs that have ended.
func (c *Core) refreshVerdicts() {
	r := &c.rollouts
	if c.now.Sub(r.verdictsAt) < verdictInterval {
		return
	}
	r.verdictsAt = c.now
	var all []rollout.Update
	for _, name := range slices.Sorted(maps.Keys(r.known)) {
		k := r.known[name]
		age := c.now.Sub(k.startedAt())
		if k.Row.State == rollout.Running || age > recentVerdict && c.now.Sub(k.At) < oldVerdictInterval {
			continue
		}
		u := k.Update
		u.Refresh++
		u.AgeMS = uint32(min(age.Milliseconds(), 1<<31))
		all = append(all, u)
	}
	if len(all) > 0 {
		c.mergeRollouts(all, noSender)
	}
}

// lead decides about a roll-out that this host leads.
func (c *Core) lead(name backend.ServiceName, led *ledRollout) {
	if led.writing != nil && c.now.Sub(led.writeAt) > rolloutCallTimeout {
		c.writeFailed(led)
	}
	if !led.failingFrom.IsZero() && c.now.Sub(led.failingFrom) > abandonAfter && !c.rollouts.isReader && led.writing == nil {
		delete(c.rollouts.controllers, name)
		return
	}
	if led.Row().State == rollout.Running && c.now.Sub(led.decidedAt) >= decideInterval {
		led.decidedAt = c.now
		row, changed := led.Next(c.now, c.serversOf(name))
		if changed && led.writing == nil && !c.now.Before(led.retryAt) {
			c.writeRollout(led, row)
		}
	}
	own := led.Row().Leader == c.config.Self.ID
	if own && led.Row().State == rollout.Running && (led.Held() != led.held || c.now.Sub(led.refreshedAt) >= rollout.RefreshInterval) {
		c.refreshRollout(led)
	}
	if led.Row().State > rollout.Running && led.writing == nil && !c.now.Before(led.retryAt) {
		c.refreshRollout(led)
		delete(c.rollouts.controllers, name)
	}
}

// refreshRollout sends the state of a roll-out to all hosts.
func (c *Core) refreshRollout(led *ledRollout) {
	if led.Revision() == 0 {
		return
	}
	led.refreshedAt, led.held = c.now, led.Held()
	u := led.Update(c.now)
	u.Stuck = !led.failingFrom.IsZero() && c.now.Sub(led.failingFrom) > stuckAfter
	c.mergeRollouts([]rollout.Update{u}, noSender)
	// The tree is broken while the root of a zone or region is dead, so some hosts of
	// each zone get the state directly.
	for _, zone := range slices.Sorted(maps.Keys(c.overlay.preferredByZone)) {
		order := c.overlay.preferredByZone[zone]
		for _, e := range order[:min(len(order), directPerZone)] {
			if e.row.ID != c.config.Self.ID {
				c.send(e.row.ControlAddr, message.Rollouts{Updates: []rollout.Update{u}})
			}
		}
	}
}

// serversOf returns the servers of a service.
func (c *Core) serversOf(name backend.ServiceName) []rollout.Server {
	var all []rollout.Server
	for _, id := range slices.Sorted(maps.Keys(c.servers.rows)) {
		s := c.servers.rows[id]
		if s.Service != name {
			continue
		}
		e := c.hosts.get(s.Host)
		// Hosts of a zone that can't be reached stay alive here, so that a roll-out is not
		// completed without their gates.
		if e == nil || !e.live() || e.row.Stamp.Incarnation != s.Stamp.Incarnation {
			continue
		}
		all = append(all, rollout.Server{Row: s, Alive: e.row.State == host.Alive})
	}
	return all
}

func (c *Core) writeRollout(led *ledRollout, row rollout.Row) {
	if led.writing != nil || c.now.Before(led.retryAt) {
		return
	}
	led.writing, led.writeAt = &row, c.now
	c.emit(WriteRollout{Row: row, IfRevision: led.Revision()})
}

func (c *Core) handleWriteRolloutResult(e WriteRolloutResult) {
	led := c.rollouts.controllers[e.Row.Service]
	if led == nil || led.writing == nil {
		return
	}
	switch e.Outcome {
	case Written:
		c.rolloutWritten(led, rollout.Stored{Row: e.Row, Revision: e.Revision})
		c.refreshRollout(led)
	case Conflict, WriteUnknown:
		c.writeFailed(led)
		c.rollouts.ordersMissing = true
		if !c.rollouts.isReader && !c.rollouts.readPending {
			// A leader that is not the reader reads the row only now.
			c.rollouts.readPending, c.rollouts.readAt = true, c.now
			c.emit(ReadRollouts{})
		}
	case NotWritten:
		c.writeFailed(led)
	}
}

// rolloutWritten takes over a row that this host wrote.
func (c *Core) rolloutWritten(led *ledRollout, s rollout.Stored) {
	if led.Row().Started != s.Row.Started {
		// The evidence of the previous roll-out does not count.
		started := c.now.Add(-time.Duration(max(0, c.now.UnixMilli()-s.Row.Started)) * time.Millisecond)
		led.Controller = rollout.New(*c.config.Rollouts, c.config.Self.ID, s, started, c.now)
	} else {
		led.Written(c.now, s)
	}
	led.writing, led.failingFrom, led.refreshedAt = nil, time.Time{}, time.Time{}
}

// writeFailed schedules another write.
func (c *Core) writeFailed(led *ledRollout) {
	led.writing, led.retryAt = nil, c.now.Add(rolloutRetryDelay)
	if led.failingFrom.IsZero() {
		led.failingFrom = c.now
	}
}
