package quota

import (
	"math"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
)

// ownership is the state of a group of quotas at a host that grants tokens for it.
type ownership struct {
	lenders map[host.ID]*lender
	share   float64   // part of the quotas that is lent to this host
	at      time.Time // until which shareSeconds is computed
	// shareSeconds is the integral of share over time.
	shareSeconds float64
	nextEnd      time.Time // earliest end of a lease
}

// lender is a host that has sent a request.
type lender struct {
	run, sentAt uint64 // of its newest request
	heardAt     time.Time
	until       time.Time
	fleetSize   int
}

// olderThan reports whether the newest known request of the lender is older than m.
// Messages can overtake each other, and an old one must not renew a lease that was ended.
func (l *lender) olderThan(m message.QuotaRequest) bool {
	return m.Run > l.run || m.Run == l.run && m.SentAt > l.sentAt
}

// lenderTTL is for how long a lender is remembered after its newest request, so that
// older ones are recognised. A lease in a request that arrives later has ended.
const lenderTTL = time.Minute

// maxLife bounds the life of tokens of organisations with small rates.
const maxLife = time.Second

// allowance is the number of requests by which the bound of a quota exceeds the sum of
// rate and burst, after the part for shares that are counted twice.
func (c *Core) allowance(l Limit) float64 {
	b := c.config.Bound
	tolerated := b.Overrun * shareTolerance
	usual := float64(l.Rate)*b.Window.Seconds() + l.Burst
	return ((b.Overrun-tolerated)*usual + b.Slack) / (1 + tolerated)
}

// burstPart is the part of the allowance by which a bucket is larger than the burst. It
// holds what accumulates between the requests of hosts. The rest is for the life of
// tokens: what is granted in a window can run until one life later.
const burstPart = 0.25

// life returns the life of tokens.
func (c *Core) life(l Limit) time.Duration {
	seconds := (1 - burstPart) * c.allowance(l) / float64(l.Rate)
	return min(time.Duration(seconds*float64(time.Second)), maxLife)
}

// bucket holds the tokens of an organisation at its owner.
type bucket struct {
	level  float64
	filled float64 // ownership.shareSeconds until which the bucket is filled
	// missing is the number of tokens that were missing lately: each counts for about a
	// second.
	missing   float64
	missingAt time.Time
}

// capacity returns the most tokens that the bucket of an organisation may hold.
func (c *Core) capacity(o *organisation) float64 {
	return (o.limit.Burst + burstPart*c.allowance(o.limit)) * c.owners[o.group].share
}

// settle fills the bucket of an organisation up to now. advanceOwnership must have been
// called.
func (c *Core) settle(o *organisation) {
	g := &c.owners[o.group]
	o.bucket.level = min(o.bucket.level+float64(o.limit.Rate)*(g.shareSeconds-o.bucket.filled), c.capacity(o))
	o.bucket.filled = g.shareSeconds
}

// advanceOwnership ends the leases that are over. A share counts only up to the last
// time before the end of its lease at which this function ran.
func (c *Core) advanceOwnership(group int) {
	g := &c.owners[group]
	if !g.nextEnd.IsZero() && !c.now.Before(g.nextEnd) {
		c.updateShare(group)
	}
	if d := c.now.Sub(g.at); d > 0 {
		g.shareSeconds += g.share * d.Seconds()
		g.at = c.now
	}
}

// settleGroup fills the buckets of a group up to now.
func (c *Core) settleGroup(group int) {
	for _, o := range c.organisations {
		if o.group == group {
			c.settle(o)
		}
	}
}

// updateShare computes the share from the leases that have not ended. All buckets are
// settled before and after a change: a bucket holds no more than its share of the
// capacity at any time, so that a share that moves to another owner takes no tokens
// along.
func (c *Core) updateShare(group int) {
	g := &c.owners[group]
	share := 0.0
	g.nextEnd = time.Time{}
	for id, l := range g.lenders {
		if !c.now.Before(l.until) {
			if c.now.Sub(l.heardAt) > lenderTTL {
				delete(g.lenders, id)
			}
			continue
		}
		// The larger fleet counts: the lender or this host may not know all hosts yet.
		share += 1 / float64(max(l.fleetSize, c.size, 1))
		if g.nextEnd.IsZero() || l.until.Before(g.nextEnd) {
			g.nextEnd = l.until
		}
	}
	// Sums of the same shares in another order differ by rounding.
	if share = min(share, 1); math.Abs(share-g.share) > 1e-9 {
		c.settleGroup(group)
		g.share = share
		c.settleGroup(group)
	}
}

// answer handles a request: it notes the lease and grants tokens.
func (c *Core) answer(m message.QuotaRequest) message.QuotaAnswer {
	group := int(m.Group)
	c.advanceOwnership(group)
	c.recordLease(m)
	a := message.QuotaAnswer{Group: m.Group, Host: c.config.Self, Run: c.config.Run, SentAt: c.sinceStart(c.now), RequestAt: m.SentAt}
	for _, d := range m.Demands {
		a.Grants = append(a.Grants, c.grant(d))
	}
	return a
}

func (c *Core) recordLease(m message.QuotaRequest) {
	g := &c.owners[m.Group]
	l := g.lenders[m.Host]
	switch {
	case l == nil:
		l = &lender{}
		g.lenders[m.Host] = l
	case !l.olderThan(m):
		return
	}
	old := *l
	l.heardAt = c.now
	l.run, l.sentAt, l.until, l.fleetSize = m.Run, m.SentAt, time.Time{}, int(m.FleetSize)
	if lease := time.Duration(m.LeaseUS) * time.Microsecond; m.OwnerRun == c.config.Run && lease > 0 {
		l.until = c.fromStart(m.OwnerSentAt).Add(min(lease, leaseTime))
	}
	if c.now.Before(old.until) && c.now.Before(l.until) && old.fleetSize == l.fleetSize {
		return // renewed
	}
	c.updateShare(int(m.Group))
}

func (c *Core) grant(d message.QuotaDemand) message.QuotaGrant {
	o := c.organisations[d.Organisation]
	if o == nil {
		// This host has applied another version than the one that asks.
		return message.QuotaGrant{Organisation: d.Organisation, RetryUS: uint32(maxDenial.Microseconds())}
	}
	c.settle(o)
	n := min(float64(d.Tokens), float64(int(o.bucket.level)))
	o.bucket.level -= n
	g := message.QuotaGrant{Organisation: d.Organisation, Tokens: uint32(n), LifeUS: uint32(c.life(o.limit).Microseconds())}
	if missing := float64(d.Tokens) - n - o.bucket.level; missing > 0 {
		g.RetryUS = uint32(c.retryAfter(o, missing).Microseconds())
	}
	return g
}

// retryAfter returns the time until a request that got no token should be repeated: until
// the bucket has made up for all that was missing lately.
func (c *Core) retryAfter(o *organisation, missing float64) time.Duration {
	b := &o.bucket
	b.missing = b.missing*math.Exp(-c.now.Sub(b.missingAt).Seconds()) + missing
	b.missingAt = c.now
	rate := max(float64(o.limit.Rate)*c.owners[o.group].share, 0.1)
	return min(max(time.Duration(b.missing/rate*float64(time.Second)), minDenial), maxRetryAfter)
}

// denial returns for how long a host that lacks tokens does not ask again. Under a
// constant overload all hosts would otherwise ask all the time. It is at most half of the
// time in which the bucket of the owner fills, so that no tokens lapse there.
func (c *Core) denial(l Limit, retry time.Duration) time.Duration {
	fill := (l.Burst + burstPart*c.allowance(l)) / float64(l.Rate)
	return max(min(retry, maxDenial, time.Duration(fill/2*float64(time.Second))), minDenial)
}

// Share returns the part of the quota of an organisation that is lent to this host.
func (c *Core) Share(now time.Time, name document.OrganisationName) float64 {
	o := c.organisations[name]
	if o == nil {
		return 0
	}
	c.begin(now)
	c.advanceOwnership(o.group)
	return c.owners[o.group].share
}
