package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// limitPeriod is a time in which a server names the same limit; negative if none.
type limitPeriod struct {
	limit    float64
	duration time.Duration
}

// limitedServer is a gate whose server names limits in its responses.
type limitedServer struct {
	gate *Gate

	mu     sync.Mutex
	limit  float64 // negative if the server names none
	served []time.Time
}

// begin sets the limit and forgets the calls so far.
func (s *limitedServer) begin(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.served = limit, nil
}

// serve records a call.
func (s *limitedServer) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = append(s.served, time.Now())
}

// notice returns what the server states of itself.
func (s *limitedServer) notice() Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Notice{Limited: s.limit >= 0, Limit: max(s.limit, 0)}
}

// calls returns the times of the calls since begin.
func (s *limitedServer) calls() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.served)
}

// call sends one call, whose response names the present limit when it ends.
func (s *limitedServer) call(c Call, runTime, timeout time.Duration) error {
	return s.callThrough(s.gate, c, runTime, timeout)
}

// callThrough does the same with another gate.
func (s *limitedServer) callThrough(g *Gate, c Call, runTime, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p, err := g.Admit(ctx, "s", c)
	if err != nil {
		return err
	}
	s.serve()
	time.Sleep(runTime)
	p.Observe(s.notice())
	p.Release()
	return nil
}

// TestLimitHolds guards against a server that gets more calls than the limit that
// it names, also when the limit falls, rises, ends and begins again, for calls with
// and without a target.
func TestLimitHolds(t *testing.T) {
	periods := []limitPeriod{{-1, 3 * time.Second}, {9.2, 12 * time.Second}, {2.5, 12 * time.Second}, {20, 12 * time.Second}, {-1, 3 * time.Second}, {0.4, 12 * time.Second}}
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := &limitedServer{gate: newGate(9, nil), limit: -1}
			const callsPerSecond = 60
			for _, period := range periods {
				s.begin(period.limit)
				start := time.Now()
				for time.Since(start) < period.duration {
					c := Call{Priority: uint8(random.IntN(3)), Target: time.Now().Add(600 * time.Millisecond), MaxWait: time.Duration(random.IntN(1000)) * time.Millisecond, ExpectedRunTime: 100 * time.Millisecond}
					if random.IntN(4) == 0 {
						c = Call{}
					}
					go s.call(c, time.Duration(random.IntN(200))*time.Millisecond, 1500*time.Millisecond)
					time.Sleep(time.Duration(random.ExpFloat64() / callsPerSecond * float64(time.Second)))
				}
				if period.limit < 0 {
					if got, want := len(s.calls()), 100; got < want {
						t.Errorf("seed %d, no limit: got %d calls in %v, want at least %d", seed, got, period.duration, want)
					}
					continue
				}
				// The server has run its calls of before, and a second passes until each
				// daemon knows the limit.
				s.wantRate(t, seed, period.limit, start.Add(time.Second))
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// wantRate fails if the server got more calls than a limit allows in some 4 s, or
// less than most of what it allows.
func (s *limitedServer) wantRate(t *testing.T, seed uint64, limit float64, from time.Time) {
	t.Helper()
	const window = 4 * time.Second
	total := 0
	served := s.calls()
	for i, first := range served {
		if first.Before(from) {
			continue
		}
		total++
		n := 0
		for _, at := range served[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		if got, want := float64(n), limit*(window+limitBurst).Seconds()+1; got > want {
			t.Errorf("seed %d, limit %v: got %v calls in %v, want at most %v", seed, limit, got, window, want)
			return
		}
	}
	if got, want := float64(total), 0.8*limit*11-2; got < want {
		t.Errorf("seed %d, limit %v: got %v calls in 11 s, want at least %v", seed, limit, got, want)
	}
}

// TestLimitedServerRefusesAtOnce guards against calls that wait for a limited
// server although their turn comes too late.
func TestLimitedServerRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &limitedServer{gate: newGate(9, nil), limit: 2}
		if err := s.call(Call{}, 0, time.Second); err != nil {
			t.Fatal(err)
		}
		target := time.Now().Add(time.Second)
		for _, c := range []Call{{}, {Target: target, MaxWait: 300 * time.Millisecond}} {
			start := time.Now()
			if err := s.call(c, 0, time.Second); !errors.Is(err, ErrLimited) || time.Since(start) != 0 {
				t.Errorf("%+v: got %v after %v, want %v at once", c, err, time.Since(start), ErrLimited)
			}
		}
		if got, want := s.gate.Forecast("s").Wait, 500*time.Millisecond; differs(got[0], want) || got[0] != got[2] {
			t.Errorf("got forecast %v, want about %v for all", got, want)
		}
		start := time.Now()
		if err := s.call(Call{Target: target, MaxWait: 600 * time.Millisecond}, 0, time.Second); err != nil || differs(time.Since(start), 500*time.Millisecond) {
			t.Errorf("got %v after %v, want a call that starts after about 500 ms", err, time.Since(start))
		}
	})
}

// TestLimitedCallGetsItsTurn guards against a call that is refused although its turn has
// come, because the timer of its longest wait was handled before that of its turn. Both
// end at the same time here. After a pause of the process they do so for any limit.
func TestLimitedCallGetsItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := float64(time.Second / DefaultMaxWait)
		for range 100 {
			s := &limitedServer{gate: newGate(9, nil), limit: limit}
			if err := s.call(Call{}, 0, time.Second); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			if err := s.call(Call{}, 0, time.Second); err != nil || time.Since(start) != DefaultMaxWait {
				t.Fatalf("got %v after %v, want a call that starts after %v", err, time.Since(start), DefaultMaxWait)
			}
		}
	})
}

// TestZeroLimitEnds guards against a server that names the limit 0 and is never
// called again, so that nobody learns that the limit has ended.
func TestZeroLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &limitedServer{gate: newGate(9, nil), limit: 0}
		if err := s.call(Call{}, 0, time.Second); err != nil {
			t.Fatal(err)
		}
		refused := 0
		s.begin(-1)
		for start := time.Now(); s.call(Call{}, 0, time.Second) != nil; refused++ {
			if time.Since(start) > 10*time.Second {
				t.Fatal("got no call to the server within 10 s")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if got, want := refused, 10; got < want {
			t.Errorf("got %d calls refused, want at least %d", got, want)
		}
		if err := s.call(Call{}, 0, time.Second); err != nil {
			t.Errorf("got %v after the limit has ended, want no error", err)
		}
	})
}

// TestLateResponseKeepsLimit guards against a limit that ends with the response to
// a call that was sent before the server named the limit, and against the limit of
// an earlier run of the server.
func TestLateResponseKeepsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(9, nil)
		early, naming := mustAdmit(t, g), mustAdmit(t, g)
		time.Sleep(time.Millisecond)
		naming.Observe(Notice{Limited: true, Limit: 1})
		early.Observe(Notice{})
		wantRefusal(t, g, ErrLimited)
		restarted := row(backend.Ready, 2)
		restarted[0].Started = 1
		g.Update(service(9, 0), restarted)
		naming.Observe(Notice{Limited: true, Limit: 1})
		mustAdmit(t, g)
	})
}

// TestRestartedGateKeepsLimit guards against a server that gets as many calls as it
// has slots, above its limit, each time that the daemon beside it restarts.
func TestRestartedGateKeepsLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 2, 9.2} {
		synctest.Test(t, func(t *testing.T) {
			s := &limitedServer{limit: limit}
			c := Call{Notice: Notice{Limited: true, Limit: limit}}
			for range 3 {
				g := newGate(18, nil)
				for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(10 * time.Millisecond) {
					go s.callThrough(g, c, 200*time.Millisecond, time.Second)
				}
			}
			if got, want := float64(len(s.calls())), limit*12+limit*limitBurst.Seconds()+3; got > want {
				t.Errorf("limit %v: got %v calls in 12 s, want at most %v", limit, got, want)
			}
			time.Sleep(time.Second)
		})
	}
}

// TestResponseReplacesLimitOfEntry guards against a limit that has ended and comes
// back with the calls of entries that have not learned that.
func TestResponseReplacesLimitOfEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(9, nil)
		known := Call{Notice: Notice{Limited: true, Limit: 2}}
		admit := func() *Permit {
			p, err := g.Admit(context.Background(), "s", known)
			if err != nil {
				t.Fatal(err)
			}
			return p
		}
		if _, err := g.Admit(context.Background(), "s", known); !errors.Is(err, ErrLimited) {
			t.Errorf("got %v from a gate that knows no limit, want %v", err, ErrLimited)
		}
		time.Sleep(time.Second)
		if got, _ := admit().Observe(Notice{}); got != LimitEnded {
			t.Errorf("got change %v, want %v", got, LimitEnded)
		}
		for range 5 {
			admit()
		}
		// The limit that entries know is that of the server's earlier run.
		g = newGate(9, nil)
		restarted := row(backend.Ready, 2)
		restarted[0].Started = 1
		g.Update(service(9, 0), restarted)
		for range 3 {
			admit()
		}
	})
}
