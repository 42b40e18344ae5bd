package pool

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// clock is a clock that tests advance.
type clock struct{ time.Time }

func (c *clock) now() time.Time { return c.Time }

func newPool(seed uint64) (*Pool, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return New(Config{Self: "self", Zone: "a", Region: "r1", Now: c.now, Random: rand.NewPCG(seed, 1)}), c
}

// viewOf returns a view with a servers in availability zone a and b in zone b of
// region r1, and remote servers in region r2.
func viewOf(slots uint16, a, b, remote int) View {
	v := View{Services: []document.Service{{Name: "stock", Slots: slots}}}
	for _, zone := range []struct {
		name   host.AvailabilityZone
		region host.Region
		count  int
	}{{"a", "r1", a}, {"b", "r1", b}, {"c", "r2", remote}} {
		for i := range zone.count {
			id := fmt.Sprintf("%s-%d", zone.name, i)
			v.Hosts = append(v.Hosts, host.Row{ID: host.ID(id), Zone: zone.name, Region: zone.region, GateAddr: netip.MustParseAddrPort("127.0.0.1:1")})
			v.Servers = append(v.Servers, backend.Server{ID: backend.ServerID(id), Service: "stock", Host: host.ID(id), State: backend.Ready})
		}
	}
	return v
}

func pick(t rapid.TB, p *Pool, tried ...backend.ServerID) *Choice {
	t.Helper()
	c, err := p.Pick("stock", tried)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against calls that leave the availability zone or the region while it
// has free slots, and against free slots elsewhere that are not used.
func TestNearestFreeSlots(t *testing.T) {
	p, _ := newPool(1)
	p.Update(viewOf(2, 3, 12, 9))
	for i, zone := range "aaaaaa" + "bbbbbbbbbbbbbbbbbbbbbbbb" + "cccccccccccccccccc" {
		if got := pick(t, p).Server.ID[0]; got != byte(zone) {
			t.Fatalf("call %d: got zone %c, want %c", i, got, zone)
		}
	}
	if got := pick(t, p).Server.ID[0]; got != 'a' {
		t.Errorf("all servers full: got zone %c, want a, whose gate queues calls", got)
	}
}

// Guards against a subset that differs between runs or exceeds SubsetSize, and
// against choices that a seed does not reproduce.
func TestSubset(t *testing.T) {
	chosen := map[backend.ServerID]bool{}
	sequences := map[uint64]string{}
	for i := range uint64(6) {
		seed, sequence := i/2, ""
		p, _ := newPool(seed)
		p.Update(viewOf(9, 40, 40, 0))
		for range 100 {
			c := pick(t, p)
			chosen[c.Server.ID] = true
			sequence += string(c.Server.ID) + " "
			c.Done(Result{})
		}
		if i%2 == 1 && sequence != sequences[seed] {
			t.Errorf("seed %d: got %q, want %q", seed, sequence, sequences[seed])
		}
		sequences[seed] = sequence
	}
	if len(chosen) != SubsetSize || sequences[0] == sequences[1] {
		t.Errorf("got %d servers in all runs, want %d, in an order that depends on the seed", len(chosen), SubsetSize)
	}
}

// Guards against calls to servers that must not receive any: starting, draining
// or gone, suspended, or on a dead, departed or unknown host. Also guards against
// not using suspect hosts when no other is left.
func TestNotChosen(t *testing.T) {
	p, _ := newPool(1)
	v := viewOf(9, 9, 0, 0)
	v.Servers[1].State, v.Servers[2].State, v.Servers[3].State = backend.Starting, backend.Draining, backend.Gone
	v.Hosts[4].State, v.Hosts[5].State, v.Hosts[6].State = host.Suspect, host.Dead, host.Left
	v.Services[0].SuspendedHosts = []host.ID{v.Hosts[7].ID}
	v.Hosts = v.Hosts[:8] // the host of the last server is not known
	p.Update(v)
	for range 50 {
		if got := pick(t, p).Server.ID; got != "a-0" {
			t.Fatalf("got %s, want a-0", got)
		}
	}
	if got := pick(t, p, "a-0").Server.ID; got != "a-4" {
		t.Errorf("got %s, want a-4 on the suspect host", got)
	}
	if _, err := p.Pick("stock", []backend.ServerID{"a-0", "a-4"}); !errors.Is(err, ErrNoServer) {
		t.Errorf("got %v, want %v", err, ErrNoServer)
	}
	if _, err := p.Pick("other", nil); !errors.Is(err, ErrUnknownService) {
		t.Errorf("got %v, want %v", err, ErrUnknownService)
	}
}

// Guards against preferring a busy server to an idle one, against load reports
// that never expire, and against a failed probe that excludes a server even when
// it is the only one.
func TestPreferenceByLoadAndHealth(t *testing.T) {
	p, c := newPool(1)
	p.Update(viewOf(9, 2, 0, 0))
	choice := pick(t, p)
	busy := choice.Server.ID
	choice.Done(Result{InFlight: 8, Slots: 9})
	callsToBusy := func() int {
		n := 0
		for range 100 {
			c := pick(t, p)
			if c.Server.ID == busy {
				n++
			}
			c.Done(Result{})
		}
		return n
	}
	if got := callsToBusy(); got != 0 {
		t.Errorf("busy server: got %d of 100 calls, want 0", got)
	}
	c.Time = c.Add(reportLifetime)
	if got := callsToBusy(); got == 0 {
		t.Error("busy server: got no call after the report expired, want some")
	}
	p.SetHealth(busy, false)
	p.Update(viewOf(9, 2, 0, 0))
	if got := callsToBusy(); got != 0 {
		t.Errorf("unhealthy server: got %d of 100 calls, want 0", got)
	}
	p.SetHealth(busy, true)
	for _, failing := range []bool{true, false} {
		pick(t, p, map[bool]backend.ServerID{true: "a-1", false: "a-0"}[busy == "a-0"]).Done(Result{Slots: 9, ProbeFailing: failing})
		if got := callsToBusy(); (got == 0) != failing {
			t.Errorf("gate reports failing %v: got %d of 100 calls", failing, got)
		}
	}
	p.Update(viewOf(9, 1, 0, 0))
	p.SetHealth("a-0", false)
	pick(t, p)
}

// Guards against a slow or failing server that attracts calls because few are in
// flight, against calls to full servers while an ejected server answers some of
// its calls, and against calls to an ejected server that answers none.
func TestPreferenceByResults(t *testing.T) {
	p, _ := newPool(1)
	p.Update(viewOf(9, 2, 0, 0))
	pickServer := func(id backend.ServerID) *Choice {
		return pick(t, p, map[backend.ServerID]backend.ServerID{"a-0": "a-1", "a-1": "a-0"}[id])
	}
	preferred := func() backend.ServerID {
		c := pick(t, p)
		defer c.Done(Result{Outcome: Abandoned})
		return c.Server.ID
	}
	pickServer("a-1").Done(Result{RunTime: time.Millisecond})
	pickServer("a-0").Done(Result{RunTime: time.Second})
	for range 20 {
		if preferred() != "a-1" {
			t.Fatal("slow server: got a call, want it at the other server")
		}
	}
	pickServer("a-0").Done(Result{Outcome: Failed})
	pickServer("a-1").Done(Result{RunTime: time.Second})
	for range 20 {
		if preferred() != "a-1" {
			t.Fatal("failing server: got a call, want it at the other server")
		}
	}
	for range ejectAfterFailures {
		pickServer("a-0").Done(Result{Outcome: Failed})
	}
	for range 9 {
		pickServer("a-1")
	}
	if got := preferred(); got != "a-0" {
		t.Errorf("one server full: got %s, want the ejected one, which answers some calls", got)
	}
	for range 100 {
		pickServer("a-0").Done(Result{Outcome: Failed})
	}
	if got := preferred(); got != "a-1" {
		t.Errorf("ejected server answers no call: got %s, want the full one", got)
	}
}

// Guards against ejections that do not end or do not double, and against results
// of calls sent before an ejection that end or extend it.
func TestEjectionDoubles(t *testing.T) {
	p, c := newPool(1)
	var got []time.Duration
	p.config.OnEject = func(_ backend.ServerID, d time.Duration) { got = append(got, d) }
	p.Update(viewOf(9, 4, 0, 0))
	others := []backend.ServerID{"a-0", "a-2", "a-3"}
	fail := func() { pick(t, p, others...).Done(Result{Outcome: Failed}) }
	earlyChoice := pick(t, p, others...)
	for range ejectAfterFailures + 3 {
		fail()
	}
	earlyChoice.Done(Result{Outcome: Succeeded})
	for range 6 {
		if id := pick(t, p, "a-0", "a-2").Server.ID; id != "a-3" {
			t.Fatalf("got the ejected server %s, want a-3", id)
		}
		c.Time = c.Add(got[len(got)-1])
		fail()
	}
	want := []time.Duration{1, 2, 4, 8, 16, 30, 30}
	for i := range want {
		if len(got) != len(want) || got[i] != want[i]*time.Second {
			t.Fatalf("got ejections %v, want %v s", got, want)
		}
	}
	c.Time = c.Add(maxEjection)
	pick(t, p, others...).Done(Result{})
	for range ejectAfterFailures - 1 {
		fail()
	}
	if len(got) != len(want) {
		t.Error("server was ejected again before a new series of failures")
	}
}

// Guards against passing calls to distant or suspect daemons while a near one is
// available, to daemons that are gone, and again to one that had no version a
// moment ago.
func TestChooseDaemon(t *testing.T) {
	p, c := newPool(1)
	v := viewOf(9, 2, 1, 1)
	v.Hosts = append(v.Hosts, host.Row{ID: "self"}, host.Row{ID: "lost", State: host.Dead}, host.Row{ID: "slow", State: host.Suspect})
	p.Update(v)
	var tried []host.ID
	for d, err := p.ChooseDaemon(tried, false); err == nil; d, err = p.ChooseDaemon(tried, false) {
		tried = append(tried, d.ID)
	}
	slices.Sort(tried[:2]) // same availability zone, in any order
	if got := fmt.Sprint(tried); got != "[a-0 a-1 b-0 c-0 slow]" {
		t.Errorf("got order %v, want this availability zone, this region, other regions, suspect hosts", tried)
	}
	p.ReportDaemon("c-0", true)
	p.ReportDaemon("a-0", false)
	p.Update(v)
	for range 20 {
		nearest, _ := p.ChooseDaemon(nil, false)
		withVersion, _ := p.ChooseDaemon([]host.ID{"a-0"}, true)
		if nearest.ID != "a-1" || withVersion.ID != "c-0" {
			t.Fatalf("got %s and %s, want a-1 and, when a daemon with a version is preferred, c-0", nearest.ID, withVersion.ID)
		}
	}
	c.Time = c.Add(daemonAvoidTime)
	if got, _ := p.ChooseDaemon([]host.ID{"a-1"}, false); got.ID != "a-0" {
		t.Errorf("got %s, want a-0 after daemonAvoidTime", got.ID)
	}
}

// Guards, for any sequence of calls, results and updates, against ejecting more
// than half of a group, choosing a server twice for one call, wrong in-flight
// counts, and errors while an untried server is left.
func TestPoolProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, c := newPool(rapid.Uint64().Draw(t, "seed"))
		size := func() int { return rapid.IntRange(0, 12).Draw(t, "size") }
		v := viewOf(3, 1+size(), size(), size())
		p.Update(v)
		var open []*Choice
		finish := func(outcome Outcome) {
			if len(open) > 0 {
				open[0].Done(Result{Outcome: outcome})
				open = open[1:]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				var tried []backend.ServerID
				for range 3 {
					choice, err := p.Pick("stock", tried)
					if err != nil && len(tried) < len(v.Servers) {
						t.Fatalf("got %v with %d of %d servers tried", err, len(tried), len(v.Servers))
					}
					if err != nil {
						return
					}
					for _, id := range tried {
						if choice.Server.ID == id {
							t.Fatalf("%s was chosen twice", id)
						}
					}
					tried, open = append(tried, choice.Server.ID), append(open, choice)
				}
			},
			"fail": func(*rapid.T) { finish(Failed) },
			"eject": func(*rapid.T) {
				if choice, err := p.Pick("stock", nil); err == nil {
					for range ejectAfterFailures {
						p.recordFailure(choice.poolServer, c.Time)
					}
					choice.Done(Result{Outcome: Abandoned})
				}
			},
			"refuse":  func(*rapid.T) { finish(Refused) },
			"succeed": func(*rapid.T) { finish(Succeeded) },
			"wait": func(t *rapid.T) {
				c.Time = c.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"update": func(*rapid.T) {
				v = viewOf(3, 1+size(), size(), size())
				p.Update(v)
			},
			"": func(t *rapid.T) {
				s := p.view.Load().services["stock"]
				for _, group := range [][]*poolServer{s.subset, s.tiers[tierRegion], s.tiers[tierRemote]} {
					if n := countEjected(group, c.Time); 2*n > len(group) {
						t.Fatalf("got %d of %d servers ejected", n, len(group))
					}
				}
				inFlight := map[*serverState]int64{}
				for _, choice := range open {
					inFlight[choice.poolServer.state]++
				}
				for st, want := range inFlight {
					if got := st.inFlight.Load(); got != want {
						t.Fatalf("got %d in flight, want %d", got, want)
					}
				}
			},
		})
	})
}

// Guards against more retries than 10% of the calls plus 3 per second, after
// failures and after refusals.
func TestRetryBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, c := newPool(1)
		p.Update(viewOf(3, 1, 0, 0))
		start := c.Time
		calls, retries, refused := 0, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				pick(t, p).Done(Result{})
				calls++
			},
			"retry": func(*rapid.T) {
				if p.TakeRetry("stock") {
					retries++
				}
			},
			"retry refused": func(*rapid.T) {
				if p.TakeRefusedRetry("stock") {
					refused++
				}
			},
			"update": func(*rapid.T) { p.Update(viewOf(3, 2, 0, 0)) },
			"wait": func(t *rapid.T) {
				c.Time = c.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if most := 3 + 0.1*float64(calls) + 3*c.Sub(start).Seconds(); float64(max(retries, refused)) > most+1e-9 {
					t.Fatalf("got %d and %d retries, want at most %v of each", retries, refused, most)
				}
			},
		})
	})
}

// Guards against refusals that use up the retry budget of failed calls.
func TestRetriesAfterRefusals(t *testing.T) {
	p, _ := newPool(1)
	p.Update(viewOf(3, 1, 0, 0))
	for p.TakeRefusedRetry("stock") {
	}
	if !p.TakeRetry("stock") {
		t.Error("got no retry after a failure, want one")
	}
}

func largeView(servers int) View {
	var v View
	for i := range 57 {
		v.Services = append(v.Services, document.Service{Name: backend.ServiceName(fmt.Sprintf("service-%d", i)), Slots: 9})
	}
	for i := range servers {
		id := fmt.Sprintf("host-%d", i)
		zone := i % 7
		v.Hosts = append(v.Hosts, host.Row{ID: host.ID(id), Zone: host.AvailabilityZone(fmt.Sprint("z", zone)), Region: host.Region(fmt.Sprint("r", zone/4))})
		v.Servers = append(v.Servers, backend.Server{ID: backend.ServerID(id), Service: v.Services[i%57].Name, Host: host.ID(id), State: backend.Ready})
	}
	return v
}

func BenchmarkPick(b *testing.B) {
	p := New(Config{Self: "host-0", Zone: "z0", Region: "r0"})
	v := largeView(1200)
	p.Update(v)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, err := p.Pick(v.Services[i%57].Name, nil)
		if err != nil {
			b.Fatal(err)
		}
		c.Done(Result{InFlight: 1, Slots: 9})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, servers := range []int{150, 600, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			p := New(Config{Self: "host-0", Zone: "z0", Region: "r0"})
			v := largeView(servers)
			b.ReportAllocs()
			for b.Loop() {
				p.Update(v)
			}
		})
	}
}

// Guards against daemons that together exceed the retry budget of their fleet in
// a window, for any number of daemons, and against budgets that are not adjusted
// when the number of daemons changes.
func TestFleetBudget(t *testing.T) {
	fleet := FleetRetryBudget{Ratio: 0.2, ExtraRetries: 62, Window: 10 * time.Second}
	for _, daemons := range []int{1, 13, 89, 1200} {
		c := &clock{time.Unix(1000, 0)}
		p := New(Config{Self: "self", Zone: "a", Region: "r1", Now: c.now, Random: rand.NewPCG(1, 1), FleetRetryBudget: fleet})
		p.Update(viewOf(9, 1, 0, 0))
		p.Update(viewOf(9, daemons, 0, 0))
		var retriedAt []time.Time
		for range 40_000 { // 20 s with 10 calls per second
			if c.Time = c.Add(500 * time.Microsecond); c.Nanosecond()%int(100*time.Millisecond) == 0 {
				pick(t, p).Done(Result{})
			}
			if p.TakeRetry("stock") {
				retriedAt = append(retriedAt, c.Time)
			}
		}
		most := 0
		for i := range retriedAt {
			n := 0
			for _, o := range retriedAt[i:] {
				if o.Sub(retriedAt[i]) < fleet.Window {
					n++
				}
			}
			most = max(most, n)
		}
		// The minimum burst of one retry exceeds the part of a daemon in a large fleet.
		if want := 0.2*100 + max(62/float64(daemons), 1); float64(most) > want {
			t.Errorf("%d daemons: got %d retries in a window, want at most %.1f", daemons, most, want)
		}
	}
}

// Guards against repeatedly choosing a server that its gate does not know, and
// against never choosing it again.
func TestUnusableServer(t *testing.T) {
	p, c := newPool(1)
	p.Update(viewOf(9, 1, 1, 0))
	pick(t, p).Done(Result{Outcome: Unusable})
	for range 20 {
		if got := pick(t, p).Server.ID; got != "b-0" {
			t.Fatalf("got %s, want b-0", got)
		}
	}
	c.Time = c.Add(unusableTime)
	if got := pick(t, p).Server.ID; got != "a-0" {
		t.Errorf("after %v: got %s, want a-0", unusableTime, got)
	}
}
