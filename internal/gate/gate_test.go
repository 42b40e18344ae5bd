package gate

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

func service(slots uint16, warmUp time.Duration) []document.Service {
	return []document.Service{{Name: "stock", Slots: slots, Connections: 2 * slots, WarmUp: warmUp}}
}

func row(state backend.State, sequence host.Sequence) []backend.Server {
	return []backend.Server{{ID: "s", Service: "stock", Host: "self", State: state, Stamp: host.Stamp{Sequence: sequence}}}
}

func newGate(slots uint16, now func() time.Time) *Gate {
	g := New(Config{Self: "self", Now: now})
	g.Update(service(slots, 0), row(backend.Ready, 1))
	return g
}

func mustAdmit(t testing.TB, g *Gate) *Permit {
	t.Helper()
	p, err := g.AdmitDefault(context.Background(), "s")
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func wantRefusal(t testing.TB, g *Gate, want error) {
	t.Helper()
	p, err := g.AdmitDefault(context.Background(), "s")
	if !errors.Is(err, want) || p != nil {
		t.Errorf("got %v, want %v", err, want)
	}
}

// Guards against calls that wait longer than DefaultMaxWait, and against a queue
// that grows without bound.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(2, nil)
		first := mustAdmit(t, g)
		mustAdmit(t, g)
		var queued sync.WaitGroup
		var admitted, late int
		var mu sync.Mutex
		start := time.Now()
		for range 2 {
			queued.Go(func() {
				_, err := g.AdmitDefault(context.Background(), "s")
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					admitted++
				case errors.Is(err, ErrQueueTimeout) && time.Since(start) == DefaultMaxWait:
					late++
				}
			})
		}
		synctest.Wait()
		wantRefusal(t, g, ErrFull)
		first.Release()
		first.Release()
		queued.Wait()
		if admitted != 1 || late != 1 {
			t.Errorf("got %d admitted and %d refused after the wait, want 1 and 1", admitted, late)
		}
		if got, want := g.Load("s"), (Load{InFlight: 2, Slots: 2}); got != want {
			t.Errorf("got load %+v, want %+v", got, want)
		}
	})
}

// Guards against a cold server that receives its full load immediately.
func TestWarmUp(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(Config{Self: "self", Now: func() time.Time { return now }})
	g.Update(service(9, 10*time.Second), row(backend.Starting, 1))
	wantRefusal(t, g, ErrNotReady)
	g.Update(service(9, 10*time.Second), row(backend.Ready, 2))
	for seconds, want := range map[int]int{0: 1, 1: 1, 5: 4, 9: 8, 10: 9, 60: 9} {
		now = time.Unix(1000+int64(seconds), 0)
		g.Update(service(9, 10*time.Second), row(backend.Ready, 3)) // must not restart the warm-up
		if got := g.Load("s").Slots; got != want {
			t.Errorf("after %d s: got %d slots, want %d", seconds, got, want)
		}
	}
}

// Guards against running a call after its deadline because the process was paused
// before or while the call waited.
func TestDeadlineAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pause time.Duration
		g := newGate(1, func() time.Time { return time.Now().Add(pause) })
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		defer cancel()
		p, err := g.AdmitDefault(ctx, "s")
		if err != nil {
			t.Fatal(err)
		}
		queued := make(chan error)
		go func() {
			_, err := g.AdmitDefault(ctx, "s")
			queued <- err
		}()
		synctest.Wait()
		pause = 2 * time.Second
		p.Release()
		if err := <-queued; !errors.Is(err, ErrDeadline) {
			t.Errorf("queued call: got %v, want %v", err, ErrDeadline)
		}
		if _, err := g.AdmitDefault(ctx, "s"); !errors.Is(err, ErrDeadline) {
			t.Errorf("new call: got %v, want %v", err, ErrDeadline)
		}
		if got := g.Load("s"); got.InFlight != 0 {
			t.Errorf("got %d calls in flight, want the slot to be released", got.InFlight)
		}
	})
}

// Guards against a drain that ends before the calls in flight, and against
// admitting calls to a draining server, on a suspended host or during the stop of
// the daemon.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, nil)
		p := mustAdmit(t, g)
		queued := make(chan error)
		go func() {
			_, err := g.AdmitDefault(context.Background(), "s")
			queued <- err
		}()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- g.Drain(context.Background(), "s") }()
		if err := <-queued; !errors.Is(err, ErrDraining) {
			t.Errorf("queued call: got %v, want %v", err, ErrDraining)
		}
		wantRefusal(t, g, ErrDraining)
		g.Update(service(1, 0), row(backend.Ready, 1)) // the row from before the drain
		wantRefusal(t, g, ErrDraining)
		synctest.Wait()
		if len(drained) != 0 {
			t.Error("drain ended with a call in flight")
		}
		p.Release()
		if err := <-drained; err != nil {
			t.Error(err)
		}
		g.Update(service(1, 0), row(backend.Ready, 2))
		mustAdmit(t, g).Release()
		suspended := service(1, 0)
		suspended[0].SuspendedHosts = []host.ID{"self"}
		g.Update(suspended, row(backend.Ready, 2))
		wantRefusal(t, g, ErrSuspended)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.Update(service(1, 0), row(backend.Ready, 2))
		mustAdmit(t, g)
		if err := g.DrainAll(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("drain of all servers: got %v, want the timeout of the context", err)
		}
		g.Update(service(1, 0), row(backend.Ready, 3))
		wantRefusal(t, g, ErrDraining)
	})
}

// Guards, for any sequence of calls, slot changes and drains, against more calls
// in flight than slots, slots that are never freed, and refused calls that hold a
// slot.
func TestSlotsProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			slots := rapid.Uint16Range(1, 4).Draw(rt, "slots")
			g, maxSlots := newGate(slots, nil), int(slots)
			var calls sync.WaitGroup
			var mu sync.Mutex
			running := 0
			sequence := host.Sequence(1)
			for range rapid.IntRange(1, 30).Draw(rt, "steps") {
				switch rapid.IntRange(0, 6).Draw(rt, "step") {
				case 0:
					slots = rapid.Uint16Range(1, 4).Draw(rt, "slots")
					maxSlots = max(maxSlots, int(slots))
					sequence++
					g.Update(service(slots, 0), row(backend.Ready, sequence))
				case 1:
					sequence++
					g.Update(service(slots, 0), row(backend.Draining, sequence))
				case 2:
					time.Sleep(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ms")) * time.Millisecond)
				default:
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rapid.IntRange(0, 80).Draw(rt, "timeout"))*time.Millisecond)
					runTime := time.Duration(rapid.IntRange(0, 40).Draw(rt, "length")) * time.Millisecond
					calls.Go(func() {
						defer cancel()
						p, err := g.AdmitDefault(ctx, "s")
						if err != nil {
							return
						}
						mu.Lock()
						running++
						if running > maxSlots {
							t.Errorf("got %d calls at once, want at most %d", running, maxSlots)
						}
						mu.Unlock()
						time.Sleep(runTime)
						mu.Lock()
						running--
						mu.Unlock()
						p.Release()
					})
				}
				synctest.Wait()
				mu.Lock()
				if got := g.Load("s").InFlight; got != running {
					t.Errorf("got %d in flight, want %d", got, running)
				}
				mu.Unlock()
			}
			calls.Wait()
			if got := g.Load("s"); got.InFlight != 0 || got.Queued != 0 {
				t.Errorf("got load %+v at the end, want no calls in flight or queued", got)
			}
		})
	})
}

// Guards against a forecast that is wrong with many calls in flight, that ignores
// hanging calls, or that counts calls of lower priority as ahead.
func TestForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 18
		g := newGate(slots, nil)
		if got := g.Forecast("s"); got != (Forecast{}) {
			t.Errorf("idle: got %+v, want no wait", got)
		}
		var permits []*Permit
		for range slots {
			permits = append(permits, mustAdmit(t, g))
		}
		time.Sleep(180 * time.Millisecond)
		if got := g.Forecast("s"); differs(got.ExpectedSlotTime, 180*time.Millisecond) || differs(got.Wait[0], 10*time.Millisecond) {
			t.Errorf("all slots in use: got %+v, want a slot time of 180ms and a wait of 10ms", got)
		}
		var queued sync.WaitGroup
		for range slots {
			queued.Go(func() {
				p, err := g.Admit(context.Background(), "s", Call{Priority: 2, MaxWait: time.Second})
				if err != nil {
					t.Errorf("low priority: got %v", err)
					return
				}
				p.Release()
			})
		}
		synctest.Wait()
		if _, err := g.Admit(context.Background(), "s", Call{Priority: 2, MaxWait: 100 * time.Millisecond}); !errors.Is(err, ErrFull) {
			t.Errorf("behind the queue: got %v, want %v", err, ErrFull)
		}
		queued.Go(func() {
			p, err := g.Admit(context.Background(), "s", Call{Priority: 1, MaxWait: 100 * time.Millisecond})
			if err != nil {
				t.Errorf("ahead of the queue: got %v", err)
				return
			}
			p.Release()
		})
		synctest.Wait()
		if got := g.Forecast("s").Wait; differs(got[0], 10*time.Millisecond) || differs(got[1], 20*time.Millisecond) || differs(got[2], 200*time.Millisecond) {
			t.Errorf("queue of 1 and %d: got waits %v, want 10ms, 20ms and 200ms", slots, got)
		}
		for _, p := range permits {
			p.Release()
		}
		queued.Wait()
		if got := g.Load("s"); got.InFlight != 0 || got.Queued != 0 {
			t.Errorf("got load %+v, want no calls in flight or queued", got)
		}
	})
}

func differs(got, want time.Duration) bool { return got < want*9/10 || got > want*11/10 }

// Guards against calls that wait behind calls of lower priority or behind calls of
// the same priority that can no longer meet their target, and against late calls
// that never get a slot or get it with too little time left.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, nil)
		running := mustAdmit(t, g)
		start := time.Now()
		order := make(chan string, 6)
		for _, c := range []struct {
			name     string
			priority uint8
			target   time.Duration
		}{{"latest", 1, 40 * time.Millisecond}, {"late", 1, 50 * time.Millisecond}, {"low", 2, time.Hour}, {"second", 1, 2 * time.Hour}, {"first", 1, time.Hour}} {
			go func() {
				p, err := g.Admit(context.Background(), "s", Call{Priority: c.priority, Target: start.Add(c.target), MaxWait: time.Hour})
				if err != nil {
					t.Errorf("%s: got %v", c.name, err)
					return
				}
				order <- c.name
				time.Sleep(10 * time.Millisecond)
				p.Release()
			}()
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		running.Release()
		for _, want := range []string{"first", "second", "late", "latest", "low"} {
			if got := <-order; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		}
		time.Sleep(time.Second) // until the last call is released
	})
}

// Guards against refusing a queued call, which tells that it was not run, only
// after its deadline.
func TestRefusalComesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, nil)
		defer mustAdmit(t, g).Release()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		start := time.Now()
		call := Call{MaxWait: time.Second, ExpectedRunTime: 100 * time.Millisecond}
		if _, err := g.Admit(ctx, "s", call); !errors.Is(err, ErrQueueTimeout) || time.Since(start) != 200*time.Millisecond {
			t.Errorf("got %v after %v, want %v after 200ms", err, time.Since(start), ErrQueueTimeout)
		}
		if _, err := g.Admit(ctx, "s", call); !errors.Is(err, ErrFull) {
			t.Errorf("without time to wait: got %v, want %v", err, ErrFull)
		}
	})
}
