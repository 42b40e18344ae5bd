package gate

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/capacity"
)

// callsOfLearnedServer keeps a server with 12 slots full for 20 s. Its run time grows
// with the calls beyond knee.
func callsOfLearnedServer(t *testing.T, g *Gate, knee int64) {
	var running, most atomic.Int64
	end := time.Now().Add(20 * time.Second)
	for range 30 {
		go func() {
			for time.Now().Before(end) {
				p, err := g.Admit(context.Background(), "s", Call{MaxWait: time.Second, Target: time.Now().Add(time.Second)})
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				n := running.Add(1)
				most.Store(max(most.Load(), n))
				run := 20 * time.Millisecond * time.Duration(max(n, knee)) / time.Duration(knee)
				time.Sleep(run)
				running.Add(-1)
				p.ObserveRun(capacity.Run{Route: "r", RunTime: run})
				p.Release()
			}
		}()
	}
	time.Sleep(25 * time.Second)
	if got := most.Load(); got > 12 {
		t.Errorf("got %d calls at once, want at most the 12 announced slots", got)
	}
}

// Guards against a learned number that is not applied or not reported, that outlives
// the run of the server, or that withholds slots from a server that takes them well.
func TestLearnedSlots(t *testing.T) {
	for knee, want := range map[int64][2]int{4: {3, 7}, 12: {11, 12}} {
		synctest.Test(t, func(t *testing.T) {
			changes := 0
			g := New(Config{Self: "self", LearnCapacity: true, OnLearned: func(LearnedChange) { changes++ }})
			g.Update(service(12, 0), row(backend.Ready, 1))
			callsOfLearnedServer(t, g, knee)
			learned, announced := g.LearnedSlots()
			if learned < want[0] || learned > want[1] || announced != 12 || g.Load("s").Slots != learned {
				t.Errorf("knee at %d: got %d of %d slots, %d reported, want %d to %d of 12", knee, learned, announced, g.Load("s").Slots, want[0], want[1])
			}
			if learned < 11 && changes == 0 {
				t.Error("got no call of OnLearned")
			}
			restarted := row(backend.Ready, 2)
			restarted[0].Started++
			g.Update(service(12, 0), restarted)
			if learned, _ := g.LearnedSlots(); learned != 4 {
				t.Errorf("got %d slots after a restart of the server, want a third of 12", learned)
			}
		})
	}
}

// Guards against an effect of the learner on a gate that does not enable it.
func TestLearningIsOff(t *testing.T) {
	g := newGate(12, nil)
	if got := g.Load("s").Slots; got != 12 {
		t.Errorf("got %d slots, want 12", got)
	}
	p := mustAdmit(t, g)
	p.ObserveRun(capacity.Run{Route: "r", RunTime: time.Second})
	p.Release()
	if learned, announced := g.LearnedSlots(); learned != 12 || announced != 12 {
		t.Errorf("got %d of %d slots, want all", learned, announced)
	}
}
