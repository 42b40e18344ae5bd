// Package quota decides which requests of organisations may run, so that all hosts
// together keep within the quota of each organisation. It has no network and no clock.
//
// Every host has an equal share of every quota. It lends its shares, for a short time
// that it renews, to the host that it takes for the owner. An owner grants tokens at the
// part of the rate that is lent to it, so that several owners together grant no more
// than the rate, whatever they believe about each other. A host that has lent a share
// lends it to nobody else before the lease has ended. docs/design/organisations.md has
// the proof of the bound.
package quota

import (
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
)

const (
	// groups is the number of groups into which the organisations are divided. Each has
	// an owner of its own. More groups spread the work, but every host sends three
	// messages a second for each.
	groups = 4
	// leaseTime is for how long a share is lent. When an owner fails, its group has no
	// tokens for about this time, and a host lends nothing for as long after its start.
	leaseTime = time.Second
	// renewInterval is the interval at which leases are renewed; two messages may be lost.
	renewInterval = leaseTime / 3
	// sizeStableTime is for how long the known number of hosts must not have grown by
	// more than sizeGrowth before a host lends its share to another owner. Until then it
	// may know only a part of the fleet and take its share for too large.
	sizeStableTime = time.Second
	sizeGrowth     = 0.015
	// lostHosts is the part of the hosts that may have failed before the rate falls. Up
	// to this part, the shares of failed hosts are divided among the others. If the
	// hosts are only cut off, these shares are counted twice.
	lostHosts = 0.03
	// shareTolerance is the part of the overrun for shares that are counted twice: those
	// of lost hosts, and of hosts that not all others know yet.
	shareTolerance = 0.4
)

const (
	// maxWait is how long a request waits for its token. A question to another region
	// takes 24 ms.
	maxWait = 100 * time.Millisecond
	// answerTimeout is the time after which a request to the owner counts as lost.
	answerTimeout = 100 * time.Millisecond
	// missesToAvoid is the number of lost requests in succession after which a host takes
	// another owner, and avoidTime for how long. The time doubles with each repetition, up
	// to 16 times: each new attempt leaves the group without tokens for a moment.
	missesToAvoid = 3
	maxDoublings  = 4
	avoidTime     = 10 * time.Second
	// minInterval is the shortest time between two requests to one owner. Calls that
	// arrive meanwhile share the next request.
	minInterval = 5 * time.Millisecond
	// prefetchTime is the time for which tokens are requested in advance, if the requests
	// of an organisation on this host need several in this time.
	prefetchTime = 100 * time.Millisecond
	// A host that got fewer tokens than it needs asks again after the time that the owner
	// names, within these bounds. In the model with 70 hosts, upper bounds of 100, 150 and
	// 250 ms gave 1,168, 971 and 910 messages/s at the busiest owner, and 0.03%, 0.12% and
	// 1.34% of the requests below the quota of the worst organisation were refused.
	minDenial, maxDenial = 10 * time.Millisecond, 150 * time.Millisecond
	// maxRetryAfter bounds the time after which a request over the quota should be repeated.
	maxRetryAfter = 2 * time.Second
	// unavailableRetry is the time after which a request that got no token because no
	// owner answered should be repeated.
	unavailableRetry = 500 * time.Millisecond
	// maxWaiting bounds the requests of one organisation that wait for tokens.
	maxWaiting = 1024
)

// Limit is the quota of an organisation.
type Limit struct {
	Rate  document.Rate
	Burst float64 // requests
}

// Bound is the promise that the quotas keep: in any window, the requests of an
// organisation that run number at most
// (rate x Window + burst) x (1 + Overrun) + Slack.
type Bound struct {
	Window  time.Duration
	Overrun float64
	Slack   float64 // requests
}

// Config configures a Core.
type Config struct {
	Self    host.ID
	Run     uint64 // higher than in all earlier runs of this host
	Started time.Time
	Bound   Bound
}

// Host is a host to which shares may be lent.
type Host struct {
	ID       host.ID
	Capacity host.Capacity
}

// Fleet is what a host knows of the fleet.
type Fleet struct {
	Alive []Host // including this host, unless it leaves
	// Known is the number of hosts that may hold a share: all except those that have
	// left in order.
	Known int
}

// Decision is the decision about a request. Ticket is set while it is open.
type Decision struct {
	Granted bool
	// RunBy is the time until which the request must have begun to run. Zero means no
	// limit.
	RunBy time.Time
	// OverQuota is set if the request was refused because the quota is used up, and not
	// because no owner answered. RetryAfter is set with a refusal.
	OverQuota  bool
	RetryAfter time.Duration
	Ticket     Ticket
}

// Ticket identifies a request that waits for its token.
type Ticket uint64

// Effect is an output of the core.
type Effect interface{ isEffect() }

// Send sends a message to another host. It may be lost.
type Send struct {
	To      host.ID
	Message message.Message
}

// Decided is the decision about a request that has waited.
type Decided struct {
	Ticket   Ticket
	Decision Decision
}

func (Send) isEffect()    {}
func (Decided) isEffect() {}

// Core decides about the quotas of one host. It is not safe for concurrent use.
type Core struct {
	config  Config
	now     time.Time
	effects []Effect

	fleet        Fleet
	size         int // number of hosts among which a quota is divided
	stableSize   int
	sizeStableAt time.Time // until then the size is not trusted
	leaving      bool

	organisations map[document.OrganisationName]*organisation
	borrowers     [groups]borrower
	owners        [groups]ownership
	nextTicket    Ticket
	ratesAt       time.Time
}

// organisation is the state of an organisation with a quota.
type organisation struct {
	name   document.OrganisationName
	group  int
	limit  Limit
	demand demand // of this host
	bucket bucket // if this host is the owner
}

// New returns a core without organisations.
func New(c Config) *Core {
	core := &Core{config: c, now: c.Started, sizeStableAt: c.Started, organisations: make(map[document.OrganisationName]*organisation)}
	for g := range core.borrowers {
		core.borrowers[g].avoidUntil = make(map[host.ID]time.Time)
		core.borrowers[g].avoided = make(map[host.ID]int)
		core.owners[g] = ownership{at: c.Started, lenders: make(map[host.ID]*lender)}
	}
	return core
}

// SetLimits sets the quotas of the applied version. Organisations without a quota are
// left out.
func (c *Core) SetLimits(now time.Time, limits map[document.OrganisationName]Limit) []Effect {
	c.begin(now)
	for name, o := range c.organisations {
		if _, ok := limits[name]; !ok {
			for _, w := range o.demand.waiting {
				c.decide(w.ticket, Decision{Granted: true}) // it is not limited any more
			}
			delete(c.organisations, name)
		}
	}
	for name, limit := range limits {
		g := int(hash(string(name)) % groups)
		c.advanceOwnership(g)
		o := c.organisations[name]
		if o == nil {
			o = &organisation{name: name, group: g}
			o.bucket.filled = c.owners[g].shareSeconds
			c.organisations[name] = o
		}
		c.settle(o)
		o.limit = limit
		o.bucket.level = min(o.bucket.level, c.capacity(o))
	}
	return c.effects
}

// SetFleet sets what this host knows of the fleet.
func (c *Core) SetFleet(now time.Time, f Fleet) []Effect {
	c.begin(now)
	for g := range c.owners {
		c.advanceOwnership(g)
	}
	size := max(len(f.Alive), int(float64(f.Known)*(1-lostHosts)+0.999))
	if float64(size) > float64(c.stableSize)*(1+sizeGrowth) {
		c.sizeStableAt = now.Add(sizeStableTime)
	}
	if !now.Before(c.sizeStableAt) || size > c.stableSize {
		c.stableSize = size
	}
	c.fleet, c.size = f, size
	for g := range c.owners {
		c.updateShare(g)
	}
	for g := range c.borrowers {
		c.borrowers[g].candidates = rank(g, f.Alive)
	}
	return c.effects
}

// Leave ends the leases of this host, which is about to stop.
func (c *Core) Leave(now time.Time) []Effect {
	c.begin(now)
	c.leaving = true
	c.flushAll()
	return c.effects
}

// Receive handles a message of another host.
func (c *Core) Receive(now time.Time, m message.Message) []Effect {
	c.begin(now)
	switch m := m.(type) {
	case message.QuotaRequest:
		// Without organisations, this host has no version yet. It does not answer, so that
		// another host is taken for the owner.
		if int(m.Group) < groups && len(c.organisations) > 0 {
			c.effects = append(c.effects, Send{To: m.Host, Message: c.answer(m)})
		}
	case message.QuotaAnswer:
		if int(m.Group) < groups {
			c.handleAnswer(m)
		}
	}
	return c.effects
}

// Tick performs what is due. It returns when the next tick is needed at the latest.
func (c *Core) Tick(now time.Time) ([]Effect, time.Duration) {
	c.begin(now)
	c.updateRates()
	waiting := c.expireWaiting()
	c.flushAll()
	if waiting {
		return c.effects, minInterval
	}
	return c.effects, 50 * time.Millisecond
}

// Limited reports whether an organisation has a quota.
func (c *Core) Limited(name document.OrganisationName) bool { return c.organisations[name] != nil }

func (c *Core) begin(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	c.effects = nil
}

func (c *Core) decide(t Ticket, d Decision) {
	c.effects = append(c.effects, Decided{Ticket: t, Decision: d})
}

// mayLend reports whether this host may lend shares. After a start, the leases of its
// previous run have to end first.
func (c *Core) mayLend() bool {
	return !c.leaving && c.size > 0 && c.now.Sub(c.config.Started) >= leaseTime
}

// sinceStart converts a time to microseconds since the start, for messages.
func (c *Core) sinceStart(t time.Time) uint64 {
	return uint64(max(0, t.Sub(c.config.Started).Microseconds()))
}

// fromStart converts microseconds since the start to a time.
func (c *Core) fromStart(us uint64) time.Time {
	return c.config.Started.Add(time.Duration(us) * time.Microsecond)
}
