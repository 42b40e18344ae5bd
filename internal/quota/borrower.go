package quota

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
)

// borrower is the state of a host that needs tokens of a group.
type borrower struct {
	candidates []host.ID // in order of preference as owners
	avoidUntil map[host.ID]time.Time
	avoided    map[host.ID]int // number of times in succession that a host was avoided

	owner      host.ID
	sentAt     time.Time // of the last request; zero if none was sent to this owner
	open       bool      // the last request has no answer yet
	misses     int
	lastAnswer answerStamp

	lease lease
}

// answerStamp identifies the last answer of an owner.
type answerStamp struct {
	run, sentAt uint64
	at          time.Time // when it arrived; zero if there was none
}

// lease is the lease of this host's share.
type lease struct {
	to        host.ID
	run       uint64 // of the owner
	until     time.Time
	endSentAt time.Time // time of the last message that ends it early; zero if there is none
}

// demand is what one host needs of the quota of an organisation.
type demand struct {
	stock       []token // oldest first
	waiting     []waiting
	deniedUntil time.Time
	retryAt     time.Time // when the owner expects tokens
	arrived     int       // requests since the last update of rate
	rate        float64   // requests per second, averaged
}

type token struct{ requestedAt, runBy time.Time }

// usable reports whether a token leaves a request enough time to begin to run: half of
// its life.
func (t token) usable(now time.Time) bool { return now.Sub(t.requestedAt) <= t.runBy.Sub(now) }

type waiting struct {
	ticket Ticket
	since  time.Time
}

// Take requests a token for a request that has arrived. If the decision has a ticket, a
// Decided effect follows.
func (c *Core) Take(now time.Time, name document.OrganisationName) (Decision, []Effect) {
	c.begin(now)
	o := c.organisations[name]
	if o == nil {
		return Decision{Granted: true}, nil
	}
	d := &o.demand
	d.arrived++
	if t, ok := d.takeFromStock(c.now); ok {
		return Decision{Granted: true, RunBy: t.runBy}, nil
	}
	if c.now.Before(d.deniedUntil) {
		return d.refusal(c.now), nil
	}
	if len(d.waiting) >= maxWaiting {
		return Decision{RetryAfter: unavailableRetry}, nil
	}
	c.nextTicket++
	ticket := c.nextTicket
	d.waiting = append(d.waiting, waiting{ticket: ticket, since: c.now})
	c.flush(o.group)
	// The decision may have been made at once, if this host is the owner.
	for i, e := range c.effects {
		if decided, ok := e.(Decided); ok && decided.Ticket == ticket {
			return decided.Decision, slices.Delete(c.effects, i, i+1)
		}
	}
	return Decision{Ticket: ticket}, c.effects
}

func (d *demand) takeFromStock(now time.Time) (token, bool) {
	for len(d.stock) > 0 {
		t := d.stock[0]
		d.stock = d.stock[1:]
		if t.usable(now) {
			return t, true
		}
	}
	return token{}, false
}

func (d *demand) refusal(now time.Time) Decision {
	return Decision{OverQuota: true, RetryAfter: max(d.retryAt.Sub(now), minDenial)}
}

// Cancel withdraws a request that waits. A token that was requested for it is used by
// another request or lapses.
func (c *Core) Cancel(name document.OrganisationName, t Ticket) {
	if o := c.organisations[name]; o != nil {
		o.demand.waiting = slices.DeleteFunc(o.demand.waiting, func(w waiting) bool { return w.ticket == t })
	}
}

// expireWaiting refuses the requests that have waited too long. It reports whether
// others still wait.
func (c *Core) expireWaiting() bool {
	more := false
	for _, o := range c.organisations {
		d := &o.demand
		n := 0
		for n < len(d.waiting) && c.now.Sub(d.waiting[n].since) >= maxWait {
			c.decide(d.waiting[n].ticket, Decision{RetryAfter: unavailableRetry})
			n++
		}
		d.waiting = d.waiting[n:]
		more = more || len(d.waiting) > 0
	}
	return more
}

// ratesInterval is the interval at which the rates of organisations are averaged.
const ratesInterval = 250 * time.Millisecond

func (c *Core) updateRates() {
	elapsed := c.now.Sub(c.ratesAt)
	if elapsed < ratesInterval {
		return
	}
	c.ratesAt = c.now
	for _, o := range c.organisations {
		o.demand.rate += (float64(o.demand.arrived)/elapsed.Seconds() - o.demand.rate) / 2
		o.demand.arrived = 0
	}
}

// needed returns the number of tokens that a host should request now. Tokens are
// requested in advance only together with others, or if the stock has run low.
func (d *demand) needed(now time.Time) int {
	if now.Before(d.deniedUntil) {
		return 0
	}
	ahead := int(d.rate * prefetchTime.Seconds())
	if len(d.waiting) == 0 && 2*len(d.stock) >= ahead {
		return 0
	}
	return max(len(d.waiting)+ahead-len(d.stock), 0)
}

func (c *Core) flushAll() {
	if len(c.organisations) == 0 {
		return
	}
	for g := range c.borrowers {
		c.flush(g)
	}
}

// flush sends a request to the owner of a group if tokens are needed or the lease must
// be renewed.
func (c *Core) flush(group int) {
	b := &c.borrowers[group]
	if b.open && c.now.Sub(b.sentAt) >= answerTimeout {
		b.open = false
		if b.misses++; b.misses >= missesToAvoid {
			b.avoidUntil[b.owner] = c.now.Add(avoidTime << min(b.avoided[b.owner], maxDoublings))
			b.avoided[b.owner]++
		}
	}
	c.chooseOwner(b)
	c.endLease(group)
	if b.owner == "" || b.open || !b.sentAt.IsZero() && c.now.Sub(b.sentAt) < minInterval && b.owner != c.config.Self {
		return
	}
	var demands []message.QuotaDemand
	for _, o := range c.organisations {
		if n := o.demand.needed(c.now); o.group == group && n > 0 {
			demands = append(demands, message.QuotaDemand{Organisation: o.name, Tokens: uint32(n)})
		}
	}
	if len(demands) == 0 && !b.sentAt.IsZero() && c.now.Sub(b.sentAt) < renewInterval {
		return
	}
	slices.SortFunc(demands, func(x, y message.QuotaDemand) int { return cmp.Compare(x.Organisation, y.Organisation) })
	m := c.newRequest(group, b.lastAnswer)
	m.Demands = demands
	c.lend(b, &m)
	b.sentAt, b.open = c.now, true
	if b.owner == c.config.Self {
		c.handleAnswer(c.answer(m))
		return
	}
	c.effects = append(c.effects, Send{To: b.owner, Message: m})
}

func (c *Core) newRequest(group int, last answerStamp) message.QuotaRequest {
	return message.QuotaRequest{
		Group: uint8(group), Host: c.config.Self, Run: c.config.Run, SentAt: c.sinceStart(c.now),
		OwnerRun: last.run, OwnerSentAt: last.sentAt, FleetSize: uint32(c.size),
	}
}

// lend adds a lease to a request, if the share is free or already lent to this run of
// the owner.
func (c *Core) lend(b *borrower, m *message.QuotaRequest) {
	until := b.lastAnswer.at.Add(leaseTime)
	if b.lastAnswer.at.IsZero() || !c.mayLend() || !c.now.Before(until) {
		return
	}
	same := b.lease.to == b.owner && b.lease.run == b.lastAnswer.run
	if !same && (c.now.Before(b.lease.until) || c.now.Before(c.sizeStableAt)) {
		return
	}
	m.LeaseUS = uint32(leaseTime.Microseconds())
	if same && until.Before(b.lease.until) {
		until = b.lease.until
	}
	b.lease = lease{to: b.owner, run: b.lastAnswer.run, until: until}
}

// endLease asks the host that has the share to return it, if another host is the owner
// now or this host leaves.
func (c *Core) endLease(group int) {
	b := &c.borrowers[group]
	l := &b.lease
	newOwner := b.owner != l.to && !b.lastAnswer.at.IsZero()
	if !c.now.Before(l.until) || !newOwner && !c.leaving || c.now.Before(b.avoidUntil[l.to]) {
		return
	}
	if !l.endSentAt.IsZero() && c.now.Sub(l.endSentAt) < answerTimeout {
		return
	}
	l.endSentAt = c.now
	m := c.newRequest(group, answerStamp{run: l.run})
	if l.to == c.config.Self {
		c.handleAnswer(c.answer(m))
		return
	}
	c.effects = append(c.effects, Send{To: l.to, Message: m})
}

// chooseOwner takes the first candidate that is not avoided.
func (c *Core) chooseOwner(b *borrower) {
	maps.DeleteFunc(b.avoidUntil, func(_ host.ID, until time.Time) bool { return !c.now.Before(until) })
	owner := host.ID("")
	for _, id := range b.candidates {
		if _, avoided := b.avoidUntil[id]; !avoided {
			owner = id
			break
		}
	}
	if owner != b.owner {
		b.owner, b.sentAt, b.open, b.misses, b.lastAnswer = owner, time.Time{}, false, 0, answerStamp{}
	}
}

// handleAnswer handles an answer of an owner, or of a former one that returns a share.
func (c *Core) handleAnswer(m message.QuotaAnswer) {
	b := &c.borrowers[m.Group]
	if l := &b.lease; m.Host == l.to && !l.endSentAt.IsZero() && m.RequestAt >= c.sinceStart(l.endSentAt) {
		b.lease = lease{}
	}
	if m.Host == b.owner {
		if m.RequestAt == c.sinceStart(b.sentAt) {
			b.open = false
		}
		b.misses = 0
		delete(b.avoided, m.Host)
		if m.Run > b.lastAnswer.run || m.Run == b.lastAnswer.run && m.SentAt >= b.lastAnswer.sentAt {
			b.lastAnswer = answerStamp{run: m.Run, sentAt: m.SentAt, at: c.now}
		}
	}
	requestedAt := c.fromStart(m.RequestAt)
	for _, g := range m.Grants {
		if o := c.organisations[g.Organisation]; o != nil {
			c.distribute(o, g, requestedAt)
		}
	}
	if b.owner == m.Host && m.Host != c.config.Self {
		c.flush(int(m.Group))
	}
}

// distribute gives granted tokens to the requests that wait and keeps the rest. If the
// owner has no more tokens, the requests that still wait are refused.
func (c *Core) distribute(o *organisation, g message.QuotaGrant, requestedAt time.Time) {
	d := &o.demand
	t := token{requestedAt: requestedAt, runBy: requestedAt.Add(time.Duration(g.LifeUS) * time.Microsecond)}
	for range g.Tokens {
		if t.usable(c.now) {
			d.stock = append(d.stock, t)
		}
	}
	for len(d.waiting) > 0 {
		t, ok := d.takeFromStock(c.now)
		if !ok {
			break
		}
		c.decide(d.waiting[0].ticket, Decision{Granted: true, RunBy: t.runBy})
		d.waiting = d.waiting[1:]
	}
	if g.RetryUS == 0 {
		return
	}
	retry := time.Duration(g.RetryUS) * time.Microsecond
	d.retryAt, d.deniedUntil = c.now.Add(retry), c.now.Add(c.denial(o.limit, retry))
	for _, w := range d.waiting {
		c.decide(w.ticket, d.refusal(c.now))
	}
	d.waiting = nil
}

// rank orders the hosts as owners of a group: strong hosts first, as for other work for
// the fleet, then by rendezvous hash.
func rank(group int, hosts []Host) []host.ID {
	ordered := slices.Clone(hosts)
	key := func(h Host) uint64 { return hash(string(rune('a'+group)) + string(h.ID)) }
	slices.SortFunc(ordered, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(key(a), key(b)), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]host.ID, len(ordered))
	for i, h := range ordered {
		ids[i] = h.ID
	}
	return ids
}

// hash returns a hash that is the same on all hosts.
func hash(s string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(s))
	x := f.Sum64()
	// The finalizer of SplitMix64: the hashes of similar names are correlated without it.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
