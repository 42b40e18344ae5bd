package quota

import (
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/message"
)

var start = time.Unix(1_800_000_000, 0)

// newOwner returns the core of a host that grants tokens of an organisation, and a
// function that sends it a request of another host, the only one of the fleet. With
// lease set, the request lends the share of that host.
func newOwner(limit Limit) (core *Core, request func(at time.Duration, sentAt uint64, lease bool, tokens uint32) uint32) {
	limits := map[document.OrganisationName]Limit{"a": limit}
	core = New(Config{Self: "owner", Run: 5, Started: start, Bound: testBound})
	core.SetLimits(start, limits)
	group := core.organisations["a"].group
	return core, func(at time.Duration, sentAt uint64, lease bool, tokens uint32) uint32 {
		m := message.QuotaRequest{Group: uint8(group), Host: "other", Run: 1, SentAt: sentAt, FleetSize: 1}
		if lease {
			m.OwnerRun, m.OwnerSentAt, m.LeaseUS = 5, uint64(at.Microseconds()), uint32(leaseTime.Microseconds())
		}
		if tokens > 0 {
			m.Demands = []message.QuotaDemand{{Organisation: "a", Tokens: tokens}}
		}
		effects := core.Receive(start.Add(at), m)
		answer := effects[0].(Send).Message.(message.QuotaAnswer)
		if tokens == 0 {
			return 0
		}
		return answer.Grants[0].Tokens
	}
}

// TestOldLeaseIsIgnored guards against a late message that renews a lease which was
// ended after the message was sent: two owners would have the share.
func TestOldLeaseIsIgnored(t *testing.T) {
	core, request := newOwner(Limit{Rate: 100, Burst: 100})
	request(time.Second, 10, true, 0)
	if got := core.Share(start.Add(time.Second), "a"); got != 1 {
		t.Errorf("lent: got share %v, want 1", got)
	}
	request(1100*time.Millisecond, 30, false, 0)
	request(1200*time.Millisecond, 20, true, 0)
	if got := core.Share(start.Add(1200*time.Millisecond), "a"); got != 0 {
		t.Errorf("ended, then an older message: got share %v, want 0", got)
	}
	request(1300*time.Millisecond, 40, true, 0)
	if got := core.Share(start.Add(1300*time.Millisecond+leaseTime), "a"); got != 0 {
		t.Errorf("after the end of the lease: got share %v, want 0", got)
	}
}

// TestReturnedShareTakesTokensAlong guards against an owner that keeps the tokens of a
// share which it had returned, when it gets the share again: the owner that had it
// meanwhile has granted as many.
func TestReturnedShareTakesTokensAlong(t *testing.T) {
	_, request := newOwner(Limit{Rate: 100, Burst: 1000})
	sentAt := uint64(0)
	next := func(at time.Duration, lease bool, tokens uint32) uint32 {
		sentAt++
		return request(at, sentAt, lease, tokens)
	}
	for at := time.Second; at <= 8*time.Second; at += 500 * time.Millisecond {
		next(at, true, 0)
	}
	next(8*time.Second, false, 0)
	if got := next(8*time.Second, true, 2000); got > 0 {
		t.Errorf("got %d tokens right after the share came back, want none", got)
	}
	next(8500*time.Millisecond, true, 0) // renews the lease
	if got := next(9*time.Second, true, 2000); got < 90 || got > 101 {
		t.Errorf("got %d tokens a second later, want about 100", got)
	}
}

// TestNewOwnerStartsEmpty guards against a burst that is granted once by every owner.
func TestNewOwnerStartsEmpty(t *testing.T) {
	_, request := newOwner(Limit{Rate: 100, Burst: 1000})
	request(time.Second, 1, true, 0)
	if got := request(time.Second, 2, true, 1000); got != 0 {
		t.Errorf("got %d tokens, want none", got)
	}
}

// TestStartedHostLendsNothing guards against a restarted host that lends its share while
// the lease of its previous run lasts.
func TestStartedHostLendsNothing(t *testing.T) {
	core := New(Config{Self: "b", Run: 1, Started: start, Bound: testBound})
	core.SetLimits(start, map[document.OrganisationName]Limit{"a": {Rate: 1}})
	core.SetFleet(start, Fleet{Alive: []Host{{ID: "owner", Capacity: 9}, {ID: "b"}}, Known: 2})
	lentAt := time.Duration(0)
	for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
		effects, _ := core.Tick(start.Add(at))
		for _, e := range effects {
			m := e.(Send).Message.(message.QuotaRequest)
			if m.LeaseUS > 0 && lentAt == 0 {
				lentAt = at
			}
			core.Receive(start.Add(at), message.QuotaAnswer{Group: m.Group, Host: "owner", Run: 1, SentAt: uint64(at.Microseconds()), RequestAt: m.SentAt})
		}
	}
	if lentAt < leaseTime {
		t.Errorf("got the first lease after %v, want none before %v", lentAt, leaseTime)
	}
}

// TestShareIsLentOnce guards against a host that lends its share to a new owner before
// the former one has confirmed its return or the lease has ended. Answers to messages
// from before the return do not count.
func TestShareIsLentOnce(t *testing.T) {
	core := New(Config{Self: "b", Run: 1, Started: start, Bound: testBound})
	core.SetLimits(start, map[document.OrganisationName]Limit{"a": {Rate: 1}})
	alive := []Host{{ID: "second", Capacity: 8}, {ID: "b"}}
	core.SetFleet(start, Fleet{Alive: append([]Host{{ID: "first", Capacity: 9}}, alive...), Known: 3})
	group := uint8(core.organisations["a"].group)
	var returnAskedAt, lentAgainAt time.Duration
	var before uint64      // time of the last request before the owner changed
	var leaseEnd time.Time // of the lease of the first owner
	for at := time.Duration(0); at < 6*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at == 3*time.Second {
			leaseEnd = core.borrowers[group].lease.until
			core.SetFleet(now, Fleet{Alive: alive, Known: 3})
		}
		effects, _ := core.Tick(now)
		if at == 3200*time.Millisecond {
			_, more := core.Take(now, "a") // causes a request to the new owner
			effects = append(effects, more...)
		}
		for _, e := range effects {
			send, ok := e.(Send)
			if !ok {
				continue
			}
			m := send.Message.(message.QuotaRequest)
			if m.Group != group {
				continue
			}
			to := send.To
			switch {
			case to == "first" && at < 3*time.Second:
				before = m.SentAt
			case to == "first" && returnAskedAt == 0:
				returnAskedAt = at // not answered, but an older message is
				core.Receive(now, message.QuotaAnswer{Group: group, Host: "first", Run: 1, SentAt: 1, RequestAt: before})
				continue
			case m.LeaseUS > 0 && to == "second" && lentAgainAt == 0:
				lentAgainAt = at
			}
			if to != "first" || at < 3*time.Second {
				core.Receive(now, message.QuotaAnswer{Group: group, Host: to, Run: 1, SentAt: uint64(at.Microseconds()), RequestAt: m.SentAt})
			}
		}
	}
	if returnAskedAt == 0 || lentAgainAt == 0 || start.Add(lentAgainAt).Before(leaseEnd) {
		t.Errorf("got the return of the share asked after %v and the share lent again after %v, want not before %v", returnAskedAt, lentAgainAt, leaseEnd.Sub(start))
	}
}

// TestLifeOfTokens guards against tokens that live so long that the requests of more
// than a window, and the bucket, can run within one window.
func TestLifeOfTokens(t *testing.T) {
	core := New(Config{Self: "b", Run: 1, Started: start, Bound: testBound})
	for _, l := range []Limit{{Rate: 650, Burst: 650}, {Rate: 650}, {Rate: 3, Burst: 3}, {Rate: 0.1}, {Rate: 5000, Burst: 100}} {
		core.SetLimits(start, map[document.OrganisationName]Limit{"a": l})
		o := core.organisations["a"]
		core.owners[o.group].share = 1
		seconds := testBound.Window.Seconds() + core.life(l).Seconds()
		worst := (1 + testBound.Overrun*shareTolerance) * (core.capacity(o) + float64(l.Rate)*seconds)
		allowed := (float64(l.Rate)*testBound.Window.Seconds()+l.Burst)*(1+testBound.Overrun) + testBound.Slack
		if worst > allowed+1e-6 {
			t.Errorf("%+v: got %.1f requests in the worst window, want at most %.1f", l, worst, allowed)
		}
	}
}

// TestOwnerThatDoesNotAnswer guards against a host that keeps asking an owner without a
// version or without a connection, and against one that returns its share before another
// owner has answered.
func TestOwnerThatDoesNotAnswer(t *testing.T) {
	if effects := New(Config{Self: "a", Run: 1, Started: start, Bound: testBound}).Receive(start, message.QuotaRequest{Host: "b"}); len(effects) > 0 {
		t.Errorf("got %v from a host without organisations, want no answer", effects)
	}
	core := New(Config{Self: "b", Run: 1, Started: start, Bound: testBound})
	core.SetLimits(start, map[document.OrganisationName]Limit{"a": {Rate: 1}})
	core.SetFleet(start, Fleet{Alive: []Host{{ID: "silent", Capacity: 9}, {ID: "b"}}, Known: 2})
	requests, decided := 0, 0
	for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
		effects, _ := core.Tick(start.Add(at))
		_, more := core.Take(start.Add(at), "a")
		for _, e := range append(effects, more...) {
			switch e.(type) {
			case Send:
				requests++
			case Decided:
				decided++
			}
		}
	}
	// Three requests to each group's owner, when it is taken and again after 10 and 30 s.
	if requests == 0 || requests > 3*3*groups {
		t.Errorf("got %d requests to an owner that does not answer, want at most %d", requests, 3*3*groups)
	}
	if decided == 0 {
		t.Error("got no decisions about requests that waited")
	}
}

// TestRetryAfter guards against a caller that is told to return much too early under a
// constant overload, or much too late after a single request over the quota.
func TestRetryAfter(t *testing.T) {
	for missing, want := range map[uint32]time.Duration{1: 100 * time.Millisecond, 500: maxRetryAfter} {
		core := New(Config{Self: "a", Run: 1, Started: start, Bound: testBound})
		core.SetLimits(start, map[document.OrganisationName]Limit{"a": {Rate: 10}})
		o := core.organisations["a"]
		core.owners[o.group].share = 1
		retry := core.retryAfter(o, float64(missing))
		if retry != want {
			t.Errorf("%d tokens missing: got %v, want %v", missing, retry, want)
		}
		if got := core.denial(o.limit, retry); got < minDenial || got > maxDenial {
			t.Errorf("%d tokens missing: got a denial of %v", missing, got)
		}
	}
}
