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

// clock is a clock that tests move.
type clock struct{ time.Time }

func (c *clock) now() time.Time { return c.Time }

func newPool(seed uint64) (*Pool, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return New(Config{Self: "self", Zone: "a", Region: "r1", Now: c.now, Random: rand.NewPCG(seed, 1)}), c
}

// viewOf has the given numbers of servers per zone of region r1 and in region r2.
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

// Guards against calls that leave the zone or the region while there is
// capacity, and against capacity that is not used.
func TestSpill(t *testing.T) {
	p, _ := newPool(1)
	p.Update(viewOf(2, 3, 12, 9))
	for i, zone := range "aaaaaa" + "bbbbbbbbbbbbbbbbbbbbbbbb" + "cccccccccccccccccc" {
		if got := pick(t, p).Server.ID[0]; got != byte(zone) {
			t.Fatalf("call %d: got zone %c, want %c", i, got, zone)
		}
	}
	if got := pick(t, p).Server.ID[0]; got != 'a' {
		t.Errorf("with everything full: got zone %c, want a, whose gate has a queue", got)
	}
}

// Guards against a subset that differs between runs or is larger than wanted,
// and against choices that cannot be repeated from a seed.
func TestSubset(t *testing.T) {
	seen := map[backend.ServerID]bool{}
	runs := map[uint64]string{}
	for i := range uint64(6) {
		seed, run := i/2, ""
		p, _ := newPool(seed)
		p.Update(viewOf(9, 40, 40, 0))
		for range 100 {
			c := pick(t, p)
			seen[c.Server.ID] = true
			run += string(c.Server.ID) + " "
			c.Done(Result{})
		}
		if i%2 == 1 && run != runs[seed] {
			t.Errorf("seed %d: got %q, want %q", seed, run, runs[seed])
		}
		runs[seed] = run
	}
	if len(seen) != SubsetSize || runs[0] == runs[1] {
		t.Errorf("got %d servers over all runs, want %d in different orders", len(seen), SubsetSize)
	}
}

// Guards against work for servers that may not have it: leaving, not ready,
// suspended, or on a host that is gone; and against unused suspect hosts when
// nothing else is left.
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

// Guards against a busy server that is chosen before an idle one, a report that
// is believed for ever, and a failed probe that takes a server out of use.
func TestPreference(t *testing.T) {
	p, c := newPool(1)
	p.Update(viewOf(9, 2, 0, 0))
	first := pick(t, p)
	busy := first.Server.ID
	first.Done(Result{InFlight: 8, Slots: 9})
	share := func() int {
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
	if got := share(); got != 0 {
		t.Errorf("busy server: got %d of 100 calls, want 0", got)
	}
	c.Time = c.Add(reportLifetime)
	if got := share(); got == 0 {
		t.Error("got no call after the report expired")
	}
	p.SetHealth(busy, false)
	p.Update(viewOf(9, 2, 0, 0))
	if got := share(); got != 0 {
		t.Errorf("unhealthy server: got %d of 100 calls, want 0", got)
	}
	p.SetHealth(busy, true)
	for _, failing := range []bool{true, false} {
		pick(t, p, map[bool]backend.ServerID{true: "a-1", false: "a-0"}[busy == "a-0"]).Done(Result{Slots: 9, ProbeFailing: failing})
		if got := share(); (got == 0) != failing {
			t.Errorf("gate reports failing %v: got %d of 100 calls", failing, got)
		}
	}
	p.Update(viewOf(9, 1, 0, 0))
	p.SetHealth("a-0", false)
	pick(t, p)
}

// Guards against a slow or failing server that looks empty and attracts calls,
// against calls refused by full servers while an ejected one answers a part of
// its calls, and against work for an ejected one that answers none.
func TestPreferenceByResults(t *testing.T) {
	p, _ := newPool(1)
	p.Update(viewOf(9, 2, 0, 0))
	only := func(id backend.ServerID) *Choice {
		return pick(t, p, map[backend.ServerID]backend.ServerID{"a-0": "a-1", "a-1": "a-0"}[id])
	}
	first := func() backend.ServerID {
		c := pick(t, p)
		defer c.Done(Result{Outcome: Abandoned})
		return c.Server.ID
	}
	only("a-1").Done(Result{RunTime: time.Millisecond})
	only("a-0").Done(Result{RunTime: time.Second})
	for range 20 {
		if first() != "a-1" {
			t.Fatal("slow server: it was preferred")
		}
	}
	only("a-0").Done(Result{Outcome: Failed})
	only("a-1").Done(Result{RunTime: time.Second})
	for range 20 {
		if first() != "a-1" {
			t.Fatal("failing server: it was preferred")
		}
	}
	for range ejectAfterFailures {
		only("a-0").Done(Result{Outcome: Failed})
	}
	for range 9 {
		only("a-1")
	}
	if got := first(); got != "a-0" {
		t.Errorf("full server: got %s, want the ejected one, which answered some calls", got)
	}
	for range 100 {
		only("a-0").Done(Result{Outcome: Failed})
	}
	if got := first(); got != "a-1" {
		t.Errorf("broken server: got %s, want the queue of the full one", got)
	}
}

// Guards against endless ejections, ejections that do not grow, and results
// from before the ejection that end or extend it.
func TestEjectionDoubles(t *testing.T) {
	p, c := newPool(1)
	var got []time.Duration
	p.config.OnEject = func(_ backend.ServerID, d time.Duration) { got = append(got, d) }
	p.Update(viewOf(9, 4, 0, 0))
	others := []backend.ServerID{"a-0", "a-2", "a-3"}
	fail := func() { pick(t, p, others...).Done(Result{Outcome: Failed}) }
	early := pick(t, p, others...)
	for range ejectAfterFailures + 3 {
		fail()
	}
	early.Done(Result{Outcome: Succeeded})
	for range 6 {
		if id := pick(t, p, "a-0", "a-2").Server.ID; id != "a-3" {
			t.Fatalf("got the ejected server %s", id)
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
		t.Error("ejected again before a new run of failures")
	}
}

// Guards against calls passed to far or suspect daemons while a near one can
// take them, to ones that are gone, and again to one that just had no version.
func TestPickDaemon(t *testing.T) {
	p, c := newPool(1)
	v := viewOf(9, 2, 1, 1)
	v.Hosts = append(v.Hosts, host.Row{ID: "self"}, host.Row{ID: "lost", State: host.Dead}, host.Row{ID: "slow", State: host.Suspect})
	p.Update(v)
	var tried []host.ID
	for d, err := p.PickDaemon(tried, false); err == nil; d, err = p.PickDaemon(tried, false) {
		tried = append(tried, d.ID)
	}
	slices.Sort(tried[:2]) // of the same zone, in any order
	if got := fmt.Sprint(tried); got != "[a-0 a-1 b-0 c-0 slow]" {
		t.Errorf("got order %v, want this zone, the region, the other region, suspects", tried)
	}
	p.ReportDaemon("c-0", true)
	p.ReportDaemon("a-0", false)
	p.Update(v)
	for range 20 {
		near, _ := p.PickDaemon(nil, false)
		known, _ := p.PickDaemon([]host.ID{"a-0"}, true)
		if near.ID != "a-1" || known.ID != "c-0" {
			t.Fatalf("got %s and %s, want a-1 and, after a refusal, c-0", near.ID, known.ID)
		}
	}
	c.Time = c.Add(daemonAvoidTime)
	if got, _ := p.PickDaemon([]host.ID{"a-1"}, false); got.ID != "a-0" {
		t.Errorf("got %s, want a-0 after the time in which it is avoided", got.ID)
	}
}

// Guards, for any order of calls, results and updates, against more than half
// of a group ejected, servers chosen twice in one call, lost in-flight counts
// and calls refused while a server is left.
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
						p.recordFailure(choice.member, c.Time)
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
				for _, group := range [][]*member{s.subset, s.tiers[tierRegion], s.tiers[tierRemote]} {
					if n := countEjected(group, c.Time); 2*n > len(group) {
						t.Fatalf("got %d of %d servers ejected", n, len(group))
					}
				}
				inFlight := map[*serverState]int64{}
				for _, choice := range open {
					inFlight[choice.member.state]++
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

// Guards against retries beyond 10% of the calls and 3 a second, after failures
// and after refusals.
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
				if p.Retry("stock") {
					retries++
				}
			},
			"retry refused": func(*rapid.T) {
				if p.RetryRefused("stock") {
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

// Guards against refusals that use up the retries of failed calls.
func TestRetriesAfterRefusals(t *testing.T) {
	p, _ := newPool(1)
	p.Update(viewOf(3, 1, 0, 0))
	for p.RetryRefused("stock") {
	}
	if !p.Retry("stock") {
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

// Guards against daemons that together repeat more calls to a service in a
// window than their fleet may, whatever the number of daemons, and against shares
// that stay as they were when the fleet changes.
func TestFleetBudget(t *testing.T) {
	fleet := FleetRetryBudget{Ratio: 0.2, ExtraRetries: 62, Window: 10 * time.Second}
	for _, daemons := range []int{1, 13, 89, 1200} {
		c := &clock{time.Unix(1000, 0)}
		p := New(Config{Self: "self", Zone: "a", Region: "r1", Now: c.now, Random: rand.NewPCG(1, 1), FleetRetryBudget: fleet})
		p.Update(viewOf(9, 1, 0, 0))
		p.Update(viewOf(9, daemons, 0, 0))
		var at []time.Time
		for range 40_000 { // 20 s with 10 calls a second
			if c.Time = c.Add(500 * time.Microsecond); c.Nanosecond()%int(100*time.Millisecond) == 0 {
				pick(t, p).Done(Result{})
			}
			if p.Retry("stock") {
				at = append(at, c.Time)
			}
		}
		most := 0
		for i := range at {
			n := 0
			for _, o := range at[i:] {
				if o.Sub(at[i]) < fleet.Window {
					n++
				}
			}
			most = max(most, n)
		}
		// The least burst of one retry is above the share of a daemon in a large fleet.
		if want := 0.2*100 + max(62/float64(daemons), 1); float64(most) > want {
			t.Errorf("%d daemons: got %d retries in a window, want at most %.1f", daemons, most, want)
		}
	}
}

// Guards against a server that is chosen again and again although its gate knows
// no such server, and against one that stays out for good.
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
