package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/quota"
	"github.com/peridotlb/peridotlb/internal/settings"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// idleQuotaInterval is the interval at which the quotas run while no organisation
	// has one.
	idleQuotaInterval = time.Second
	// maxOrganisationLabels bounds the organisations that have counters of their own.
	maxOrganisationLabels = 200
	// quotaLogInterval is the interval at which refusals are logged, in one line for
	// each organisation.
	quotaLogInterval = 10 * time.Second
)

// quotas runs the core of package quota: it carries its messages and wakes the calls
// that wait for tokens.
type quotas struct {
	log  *zap.Logger
	set  *metrics.Set
	wake chan struct{} // signalled when run must call Tick earlier than planned

	mu        sync.Mutex
	send      func(netip.AddrPort, message.Message) // nil until the link is open
	core      *quota.Core
	addresses map[host.ID]netip.AddrPort
	waiting   map[quota.Ticket]chan quota.Decision
	counts    map[document.OrganisationName]*quotaCounts
	limited   bool // some organisation has a quota
	loggedAt  time.Time
}

// quotaCounts counts the decisions about the calls of an organisation.
type quotaCounts struct {
	granted, refused, unavailable *metrics.Counter
	// Since the last log line.
	newlyRefused, newlyUnavailable int
}

func newQuotas(s settings.Daemon, started time.Time, set *metrics.Set, log *zap.Logger) *quotas {
	return &quotas{
		log: log, set: set, wake: make(chan struct{}, 1), waiting: make(map[quota.Ticket]chan quota.Decision),
		counts: make(map[document.OrganisationName]*quotaCounts), loggedAt: started,
		core: quota.New(quota.Config{
			Self: s.HostID, Run: uint64(started.UnixMilli()), Started: started,
			Bound: quota.Bound{Window: s.QuotaWindow, Overrun: s.QuotaOverrun, Slack: s.QuotaSlack},
		}),
	}
}

func (q *quotas) setSend(send func(netip.AddrPort, message.Message)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.send = send
}

// Take implements proxy.Quotas.
func (q *quotas) Take(ctx context.Context, name document.OrganisationName) quota.Decision {
	q.mu.Lock()
	d, effects := q.core.Take(time.Now(), name)
	var decided chan quota.Decision
	if d.Ticket != 0 {
		decided = make(chan quota.Decision, 1)
		q.waiting[d.Ticket] = decided
	}
	q.execute(effects, netip.AddrPort{})
	q.mu.Unlock()
	if decided != nil {
		ticket := d.Ticket
		q.signal()
		select {
		case d = <-decided:
		case <-ctx.Done():
			q.mu.Lock()
			q.core.Cancel(name, ticket)
			delete(q.waiting, ticket)
			q.mu.Unlock()
			d = quota.Decision{}
		}
	}
	q.count(name, d)
	return d
}

// execute executes effects. The caller must hold q.mu. Answers go to the address that
// the request came from.
func (q *quotas) execute(effects []quota.Effect, from netip.AddrPort) {
	for _, e := range effects {
		switch e := e.(type) {
		case quota.Send:
			to := q.addresses[e.To]
			if _, ok := e.Message.(message.QuotaAnswer); ok && from.IsValid() {
				to = from
			}
			if to.IsValid() && q.send != nil {
				q.send(to, e.Message)
			}
		case quota.Decided:
			if decided, ok := q.waiting[e.Ticket]; ok {
				delete(q.waiting, e.Ticket)
				decided <- e.Decision
			}
		}
	}
}

// receive handles a message of another daemon. It reports whether the message
// belongs to the quotas.
func (q *quotas) receive(from netip.AddrPort, m message.Message) bool {
	switch m.(type) {
	case message.QuotaRequest, message.QuotaAnswer:
	default:
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.execute(q.core.Receive(time.Now(), m), from)
	return true
}

// apply sets the quotas of a version.
func (q *quotas) apply(s version.Snapshot) {
	limits := make(map[document.OrganisationName]quota.Limit)
	for _, section := range s.Document().Sections {
		for i := range section.Organisations {
			if o := &section.Organisations[i]; o.Limited() {
				limits[o.Name] = quota.Limit{Rate: o.RatePerSecond, Burst: o.Burst}
			}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limited = len(limits) > 0
	q.execute(q.core.SetLimits(time.Now(), limits), netip.AddrPort{})
	q.signal()
}

// setHosts sets the hosts of the fleet.
func (q *quotas) setHosts(rows []host.Row) {
	var f quota.Fleet
	addresses := make(map[host.ID]netip.AddrPort, len(rows))
	for _, r := range rows {
		if r.State == host.Left {
			continue
		}
		f.Known++
		addresses[r.ID] = r.ControlAddr
		if r.State == host.Alive {
			f.Alive = append(f.Alive, quota.Host{ID: r.ID, Capacity: r.Capacity})
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addresses = addresses
	q.execute(q.core.SetFleet(time.Now(), f), netip.AddrPort{})
}

// leave returns the shares of this host before it stops.
func (q *quotas) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.execute(q.core.Leave(time.Now()), netip.AddrPort{})
}

func (q *quotas) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run performs what is due until ctx ends.
func (q *quotas) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-q.wake:
		}
		timer.Reset(q.tick())
	}
}

// tick performs what is due and returns the time until the next tick.
func (q *quotas) tick() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.limited {
		return idleQuotaInterval
	}
	effects, next := q.core.Tick(time.Now())
	q.execute(effects, netip.AddrPort{})
	q.logRefusals()
	return next
}

// count counts a decision.
func (q *quotas) count(name document.OrganisationName, d quota.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.countsOf(name)
	switch {
	case d.Granted:
		c.granted.Inc()
	case d.OverQuota:
		c.refused.Inc()
		c.newlyRefused++
	default:
		c.unavailable.Inc()
		c.newlyUnavailable++
	}
}

func (q *quotas) countsOf(name document.OrganisationName) *quotaCounts {
	if c := q.counts[name]; c != nil {
		return c
	}
	label := string(name)
	if len(q.counts) >= maxOrganisationLabels {
		label = "other"
	}
	counter := func(outcome string) *metrics.Counter {
		return q.set.GetOrCreateCounter(`peridotlb_quota_calls_total{organisation="` + label + `",outcome="` + outcome + `"}`)
	}
	c := &quotaCounts{granted: counter("granted"), refused: counter("over-quota"), unavailable: counter("unavailable")}
	q.counts[name] = c
	return c
}

// logRefusals logs the organisations whose calls were refused.
func (q *quotas) logRefusals() {
	now := time.Now()
	if now.Sub(q.loggedAt) < quotaLogInterval {
		return
	}
	q.loggedAt = now
	for name, c := range q.counts {
		if c.newlyRefused+c.newlyUnavailable == 0 {
			continue
		}
		q.log.Info("Refused calls for the quota of an organisation.", zap.String("organisation", string(name)), zap.Int("over-quota", c.newlyRefused),
			zap.Int("unavailable", c.newlyUnavailable), zap.Float64("share-lent-here", q.core.Share(now, name)), zap.Duration("interval", quotaLogInterval))
		c.newlyRefused, c.newlyUnavailable = 0, 0
	}
}
