package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/rollout"
)

const (
	// rankInterval is the time between two checks of whether this host is the reader.
	rankInterval = 200 * time.Millisecond
	// decideInterval is the shortest time between two decisions about a roll-out.
	decideInterval = 50 * time.Millisecond
	// takeOverAfter is the age of the last refresh from which the reader takes over a
	// roll-out that another host leads: several refreshes were lost.
	takeOverAfter = 1000 * time.Millisecond
	// takeOverDelayPerRank is added for each reader rank. Hosts up to maxTakeOverRank take
	// over, since it takes seconds until a dead reader is suspected. The revision of the
	// row lets one of them win.
	takeOverDelayPerRank = 300 * time.Millisecond
	maxTakeOverRank      = 3
	// directPerZone is the number of hosts of each zone that get refreshes directly.
	directPerZone = 2
	// stuckAfter is how long the writes of a leader must fail before it asks others to
	// take over.
	stuckAfter = 300 * time.Millisecond
	// abandonAfter is how long the writes of a leader must fail before it leaves the
	// roll-out to the reader, if that is another host.
	abandonAfter = 1500 * time.Millisecond
	// rolloutRetryDelay is the time after which a failed read or write is repeated.
	rolloutRetryDelay = 400 * time.Millisecond
	// rolloutCallTimeout is the time after which a read or write without a result counts
	// as failed.
	rolloutCallTimeout = 4 * time.Second
	// maxOrderAge bounds the assumed age of an order that is found late.
	maxOrderAge = 8 * time.Second
	// verdictInterval is the time between two refreshes of verdicts by the reader, which
	// reach hosts that have missed earlier ones. After recentVerdict it is
	// oldVerdictInterval.
	verdictInterval    = 5 * time.Second
	recentVerdict      = time.Minute
	oldVerdictInterval = 30 * time.Second
)

// rolloutState holds the known roll-outs, and what this host needs to lead them.
type rolloutState struct {
	known       map[backend.ServiceName]*knownRollout
	orders      map[backend.ServiceName]readOrder   // newest order of each service that this host has read
	controllers map[backend.ServiceName]*ledRollout // roll-outs that this host leads

	informed      bool // a peer or the store has stated the roll-outs since the start
	isReader      bool
	rank          int // reader rank of this host
	rankCheckedAt time.Time
	ordersMissing bool // orders may have changed that this host has not read
	read          bool // the orders and rows were read since this host is the reader
	readPending   bool
	readAt        time.Time // of the last read
	readRetryAt   time.Time
	verdictsAt    time.Time
}

// readOrder is an order with the earliest time at which it can have been written.
type readOrder struct {
	rollout.Order
	since time.Time
}

// knownRollout is the newest known state of the roll-out of a service.
type knownRollout struct {
	rollout.Applied
	stored     rollout.Stored // newest known row that is stored
	stuckSince time.Time      // start of the refreshes with Stuck
}

// startedAt returns the local time at which the order was first read.
func (k *knownRollout) startedAt() time.Time {
	return k.At.Add(-time.Duration(k.AgeMS) * time.Millisecond)
}

// ledRollout is a roll-out that this host leads.
type ledRollout struct {
	*rollout.Controller
	decidedAt   time.Time
	refreshedAt time.Time
	held        bool // as of the last refresh
	writing     *rollout.Row
	writeAt     time.Time // of the pending write
	retryAt     time.Time
	failingFrom time.Time // of the first failed write since the last successful one
}

func (r *rolloutState) init() {
	r.known = make(map[backend.ServiceName]*knownRollout)
	r.orders = make(map[backend.ServiceName]readOrder)
	r.controllers = make(map[backend.ServiceName]*ledRollout)
	r.ordersMissing = true
}

// Rollouts returns the newest known roll-outs in the order of their services.
func (c *Core) Rollouts() []rollout.Applied {
	all := make([]rollout.Applied, 0, len(c.rollouts.known))
	for _, name := range slices.Sorted(maps.Keys(c.rollouts.known)) {
		all = append(all, c.rollouts.known[name].Applied)
	}
	return all
}

// mergeRollouts takes over states that are newer than the known ones, and forwards
// them.
func (c *Core) mergeRollouts(updates []rollout.Update, from netip.AddrPort) {
	var newer []rollout.Update
	first := !c.rollouts.informed
	c.rollouts.informed = true
	for _, u := range updates {
		old := c.rollouts.known[u.Row.Service]
		if u.Row.Service == "" || u.Row.State < rollout.Running || u.Row.State > rollout.RolledBack || old != nil && !u.Supersedes(old.Update) {
			continue
		}
		c.noteRollout(old, u)
		k := &knownRollout{Applied: rollout.Applied{Update: u, At: c.now}, stored: rollout.Stored{Row: u.Row, Revision: u.Revision}}
		if u.Provisional {
			k.stored = rollout.Stored{}
			if old != nil {
				k.stored = old.stored
			}
		}
		if k.stuckSince = c.now; old != nil && old.Stuck {
			k.stuckSince = old.stuckSince
		}
		c.rollouts.known[u.Row.Service] = k
		if led := c.rollouts.controllers[u.Row.Service]; led != nil && u.Revision > led.Revision() && from != noSender {
			delete(c.rollouts.controllers, u.Row.Service) // another host leads it now
		}
		newer = append(newer, u)
	}
	if len(newer) == 0 && !first {
		return
	}
	for _, e := range c.neighbors() {
		if e.addr != from {
			c.send(e.addr, message.Rollouts{Updates: newer})
		}
	}
	c.emit(ApplyRollouts{Rollouts: c.Rollouts()})
}

// noteRollout records a change of the step or state that this host learns of.
func (c *Core) noteRollout(old *knownRollout, u rollout.Update) {
	if old != nil && old.Row.Step == u.Row.Step && old.Row.State == u.Row.State && old.Row.Order == u.Row.Order {
		return
	}
	c.recordEvent(TimelineEvent{Kind: "rollout-" + u.Row.State.String(), Detail: u.Row.String()})
}

// sendRollouts sends the known roll-outs to a host that joins, also if there are none.
func (c *Core) sendRollouts(to netip.AddrPort) {
	if c.config.Rollouts == nil || !c.rollouts.informed {
		return
	}
	var all []rollout.Update
	for _, a := range c.Rollouts() {
		u := a.Update
		u.AgeMS += uint32(max(0, c.now.Sub(a.At).Milliseconds()))
		all = append(all, u)
	}
	c.send(to, message.Rollouts{Updates: all})
}

// forwardEvidence sends the evidence of this host to the leaders.
func (c *Core) forwardEvidence(all []rollout.Evidence) {
	for _, e := range all {
		k := c.rollouts.known[e.Service]
		if k == nil {
			continue
		}
		e.Host, e.Incarnation = c.config.Self.ID, c.firstIncarnation()
		if k.Row.Leader == e.Host {
			c.receiveEvidence(e)
		} else if leader := c.hosts.get(k.Row.Leader); leader != nil {
			c.send(leader.row.ControlAddr, message.RolloutEvidence{Evidence: e})
		}
	}
}

func (c *Core) receiveEvidence(e rollout.Evidence) {
	if led := c.rollouts.controllers[e.Service]; led != nil {
		led.Report(c.now, e)
	}
}

// receiveOrders takes over the orders that a read of the head row returned.
func (c *Core) receiveOrders(e ReadHeadResult, afterFailure bool) {
	if e.OrdersMissing {
		c.rollouts.ordersMissing = true
	}
	since := c.now
	if afterFailure {
		since = c.ordersKnownAt()
	}
	for _, o := range e.Orders {
		c.addOrder(o, since)
	}
}

// ordersKnownAt returns the time up to which some host has read all orders. An order
// that is found without the feed, or after failed reads, can be as old as that.
func (c *Core) ordersKnownAt() time.Time {
	return later(c.reader.confirmedAt, c.now.Add(-maxOrderAge))
}

func (c *Core) addOrder(o rollout.Order, since time.Time) {
	if old, ok := c.rollouts.orders[o.Service]; !ok || o.Number > old.Number {
		c.rollouts.orders[o.Service] = readOrder{o, since}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runRollouts reads orders and leads roll-outs if this host is the reader, and goes on
// with those that it leads.
func (c *Core) runRollouts() {
	r := &c.rollouts
	if c.config.Rollouts == nil || !c.join.initialReadDone || c.selfRow().State == host.Left {
		clear(r.controllers)
		return
	}
	if c.now.Sub(r.rankCheckedAt) >= rankInterval {
		r.rankCheckedAt = c.now
		r.rank = c.readerRank()
		r.isReader = r.rank == 0
		r.read = r.read && r.isReader
	}
	if r.isReader {
		c.runReadRollouts()
	}
	if r.isReader && r.read {
		c.followOrders()
		c.refreshVerdicts()
	}
	if r.isReader || r.rank <= maxTakeOverRank && c.selfRow().NearTable {
		c.takeOver()
	}
	for _, name := range slices.Sorted(maps.Keys(r.controllers)) {
		c.lead(name, r.controllers[name])
	}
}

// runReadRollouts reads the orders and rows when this host has become the reader, or
// may have missed an order.
func (c *Core) runReadRollouts() {
	r := &c.rollouts
	if r.readPending && c.now.Sub(r.readAt) > rolloutCallTimeout {
		r.readPending = false
	}
	if r.readPending || r.read && !r.ordersMissing || c.now.Before(r.readRetryAt) || c.now.Sub(r.readAt) < rolloutRetryDelay {
		return
	}
	r.readPending, r.readAt, r.ordersMissing = true, c.now, false
	c.emit(ReadRollouts{})
}

func (c *Core) handleReadRolloutsResult(e ReadRolloutsResult) {
	r := &c.rollouts
	r.readPending = false
	if e.Err != nil {
		r.ordersMissing, r.readRetryAt = true, c.now.Add(rolloutRetryDelay)
		return
	}
	r.read = true
	ordered := make(map[backend.ServiceName]bool)
	for _, o := range e.Orders {
		ordered[o.Service] = true
		c.addOrder(o, c.ordersKnownAt())
	}
	var updates []rollout.Update
	for _, s := range e.Rows {
		// Whether another host leads the roll-out is not known yet.
		u := rollout.Update{Row: s.Row, Revision: s.Revision, Hold: s.Row.State == rollout.Running}
		if k := r.known[s.Row.Service]; k != nil && k.Row.Started == s.Row.Started {
			u.AgeMS = uint32(max(0, c.now.Sub(k.startedAt()).Milliseconds()))
		} else {
			u.AgeMS = uint32(min(max(0, c.now.UnixMilli()-s.Row.Started), int64(s.Row.DurationMS)))
		}
		if led := r.controllers[s.Row.Service]; led != nil {
			c.resolveWrite(led, s)
		}
		updates = append(updates, u)
		if s.Row.State == rollout.Running && !s.Row.Direct && !ordered[s.Row.Service] {
			c.addOrder(rollout.Order{Service: s.Row.Service, Target: s.Row.Target, Number: s.Row.Order + 1, Withdrawn: true}, c.now)
		}
	}
	c.mergeRollouts(updates, noSender)
}

// resolveWrite compares a stored row with the one that this host leads. It goes on with
// a row of its own, whose write had no response, and gives up the lead otherwise.
func (c *Core) resolveWrite(led *ledRollout, s rollout.Stored) {
	switch {
	case s.Revision <= led.Revision():
	case s.Row.Leader == c.config.Self.ID:
		c.rolloutWritten(led, s)
	default:
		delete(c.rollouts.controllers, s.Row.Service)
	}
}

// followOrders writes the rows of new, changed and withdrawn orders.
func (c *Core) followOrders() {
	for _, name := range slices.Sorted(maps.Keys(c.rollouts.orders)) {
		o := c.rollouts.orders[name]
		var current rollout.Stored
		if k := c.rollouts.known[name]; k != nil {
			current = k.stored
		}
		if row, changed := rollout.Follow(current.Row, o.Order, o.since); changed {
			c.writeOrdered(current, row)
		}
	}
}

// writeOrdered writes a row that an order leads to.
func (c *Core) writeOrdered(current rollout.Stored, row rollout.Row) {
	led := c.rollouts.controllers[row.Service]
	if led == nil {
		led = c.newLed(current, c.now)
		c.rollouts.controllers[row.Service] = led
	}
	row.Leader = c.config.Self.ID
	c.writeRollout(led, row)
	c.publishProvisional(row, current)
}

// requestRollout follows an order from the operator API, as a change of what this host
// knows. It is written once; the operator sees whether it took effect.
func (c *Core) requestRollout(o rollout.Order) {
	if c.config.Rollouts == nil {
		return
	}
	var current rollout.Stored
	if k := c.rollouts.known[o.Service]; k != nil {
		current = k.stored
	}
	o.Number, o.Direct = current.Row.Order+1, true
	if o.Withdrawn && current.Row.State == rollout.Running {
		o.Target = current.Row.Target
	}
	if row, changed := rollout.Follow(current.Row, o, c.now); changed {
		c.writeOrdered(current, row)
	}
}

// publishProvisional makes an order known to all hosts before its row is stored.
func (c *Core) publishProvisional(row rollout.Row, current rollout.Stored) {
	if row.State != rollout.Running || row.Started == current.Row.Started {
		return
	}
	u := rollout.Update{Row: row, Revision: current.Revision, Refresh: 1, Provisional: true}
	if k := c.rollouts.known[row.Service]; k != nil {
		if k.Provisional && k.Row.Started == row.Started && c.now.Sub(k.At) < rollout.RefreshInterval {
			return
		}
		u.Refresh = k.Refresh + 1
	}
	c.mergeRollouts([]rollout.Update{u}, noSender)
}

func (c *Core) newLed(s rollout.Stored, started time.Time) *ledRollout {
	return &ledRollout{Controller: rollout.New(*c.config.Rollouts, c.config.Self.ID, s, started, c.now)}
}
