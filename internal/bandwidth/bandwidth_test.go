package bandwidth

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/peridotlb/peridotlb/test/seed"
)

var start = time.Unix(1000, 0)

// newLedger returns the ledger of a link that transfers 1 MB of large messages per
// second.
func newLedger() *ledger { return &ledger{rate: 1e6 / largeShare} }

func in(d time.Duration) time.Time { return start.Add(d) }

// Guards against large responses that are admitted although they arrive late, and
// against an idle link that refuses.
func TestAdmission(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		committed int64
		demand    Demand
		want      time.Duration
	}{
		"idle link, too late for the target": {0, Demand{Exactly(2e6), 0, in(s), in(s)}, 0},
		"in time":                            {300e3, Demand{Exactly(500e3), 0, in(s), in(2 * s)}, 0},
		"late":                               {450e3, Demand{Exactly(500e3), 0, in(s), in(2 * s)}, 100 * time.Millisecond},
		"high quantile late":                 {250e3, Demand{Size{90e3, 700e3}, 0, in(s), in(2 * s)}, 100 * time.Millisecond},
		"without a target":                   {600e3, Demand{Exactly(500e3), 0, time.Time{}, in(2 * s)}, 0},
		"target missed in any case, no wait": {400e3, Demand{Exactly(90e3), s / 2, in(s / 4), in(2 * s)}, 0},
		"target missed in any case, delaying others": {600e3, Demand{Exactly(90e3), s / 2, in(s / 4), in(2 * s)}, 100 * time.Millisecond},
	} {
		l := newLedger()
		if c.committed > 0 {
			l.commit(start, Demand{Exactly(c.committed), 0, in(s), in(s)})
		}
		admitted, wait := l.admit(start, c.demand)
		if wait.Round(time.Millisecond) != c.want || (admitted == nil) != (c.want > 0) {
			t.Errorf("%s: got wait %v, admitted %t, want wait %v", name, wait, admitted != nil, c.want)
		}
	}
}

// Guards against commitments that are lost or counted twice, and against transfers
// with stalled receivers that block the link forever.
func TestCommittedBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, live := newLedger(), start, []*commitment{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(live) == 0 || rapid.Bool().Draw(t, "admit") {
				size := Exactly(rapid.Int64Range(LargeBytes, 540e3).Draw(t, "size"))
				target := now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "target")) * time.Millisecond)
				before := l.wait(now)
				c, wait := l.admit(now, Demand{size, 50 * time.Millisecond, target, target.Add(time.Second)})
				if (c == nil) != (wait > 0) || c == nil && before == 0 {
					t.Fatalf("got admitted %t, wait %v with %v committed", c != nil, wait, before)
				}
				if c != nil {
					live = append(live, c)
				}
				continue
			}
			i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "end") {
				l.release(live[i])
				l.release(live[i])
				live = slices.Delete(live, i, i+1)
			} else {
				l.resize(live[i], live[i].left-float64(rapid.IntRange(0, 300e3).Draw(t, "sent")))
			}
		}
		l.expire(now)
		want := 0.0
		for c := range l.commitments {
			want += c.left
		}
		if math.Abs(l.committed-want) > 1 {
			t.Errorf("got %v bytes committed, want %v", l.committed, want)
		}
		if l.wait(now.Add(time.Hour)); l.committed != 0 {
			t.Errorf("got %v bytes committed after an hour, want 0", l.committed)
		}
	})
}

// Guards against an admission that lets responses arrive late on an overloaded link,
// or that wastes the link: at 120% of the capacity, at least 75% of the link must
// carry responses that are in time, and at least 95% of those admitted must be.
func TestOverloadedLink(t *testing.T) {
	const rate, target, run = 14e6 / 8, time.Second, 50 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	l := &ledger{rate: rate}
	var sizes Sizes
	type transfer struct {
		c             *commitment
		target, ready time.Time
		bytes, size   float64
	}
	var queue []transfer
	var good, admitted, inTime float64
	const length, step = 60 * time.Second, time.Millisecond
	for now := start; now.Before(in(length)); now = now.Add(step) {
		if random.Float64() < 1.2*rate*step.Seconds()/90e3 {
			bytes := min(540e3, 30e3*math.Exp(random.NormFloat64()*1.05+0.55))
			if c, _ := l.admit(now, Demand{sizes.Expected("r"), run, now.Add(target), now.Add(3 * target)}); c != nil {
				queue = append(queue, transfer{c, now.Add(target), now.Add(run), bytes, bytes})
				admitted++
			}
		}
		for budget := largeShare * rate * step.Seconds(); budget > 0; {
			i := slices.IndexFunc(queue, func(x transfer) bool { return !x.ready.After(now) })
			for j := range queue {
				if queue[j].ready.Equal(now) {
					l.resize(queue[j].c, queue[j].bytes)
				}
			}
			if i < 0 {
				break
			}
			x := &queue[i]
			n := min(budget, x.bytes)
			x.bytes, budget = x.bytes-n, budget-n
			l.resize(x.c, x.bytes)
			good += n
			if x.bytes > 0 {
				continue
			}
			sizes.Record("r", int64(x.size))
			if now.Before(x.target) {
				inTime++
			}
			l.release(x.c)
			queue = slices.Delete(queue, i, i+1)
		}
	}
	if share := good / (rate * length.Seconds()); share < 0.75 || inTime < 0.95*admitted {
		t.Errorf("got %.2f of the link used, %v of %v admitted responses in time, want at least 0.75 and 95%%", share, inTime, admitted)
	}
}

// Guards against large messages that fill the queue of the kernel, and against a
// message that is due later but is sent first.
func TestPacing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Mbps: 8 / largeShare})
		begin, ends := time.Now(), make(chan string, 2)
		send := func(name string, due time.Duration) {
			x := l.Sending.Commit(Demand{Exactly(320e3), 0, begin.Add(due), begin.Add(due)})
			for range 20 {
				if err := x.Send(t.Context(), 16e3); err != nil {
					t.Error(err)
				}
			}
			x.End()
			ends <- name
		}
		go send("late", 2*time.Second)
		synctest.Wait()
		go send("early", time.Second)
		if first, second := <-ends, <-ends; first != "early" || second != "late" {
			t.Errorf("got %s before %s, want early before late", first, second)
		}
		if took := time.Since(begin); took < 580*time.Millisecond || took > 680*time.Millisecond {
			t.Errorf("got 640 kB sent in %v at 1 MB/s, want 0.64 s but for the first pieces", took)
		}
		if got := l.Sending.Committed(); got != 0 {
			t.Errorf("got %v bytes committed at the end, want 0", got)
		}
		x := l.Sending.Commit(Demand{Exactly(320e3), 0, begin, begin})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 3 {
			if err := x.Send(ctx, 160e3); err != nil {
				return
			}
		}
		t.Error("got no error of a canceled transfer")
	})
}

// Guards against an estimate that does not follow the sizes of a route, and against
// accounting on links that need none.
func TestSizes(t *testing.T) {
	var s Sizes
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		s.Record("r", int64(20e3+random.Float64()*100e3))
	}
	if got := s.Expected("r"); math.Abs(got.Mean-70e3) > 20e3 || math.Abs(got.High-110e3) > 20e3 {
		t.Errorf("got %+v for sizes of 20 to 120 kB, want a mean of 70 and a quantile of 110 kB", got)
	}
	if got := s.Expected("unknown"); got.Large() {
		t.Errorf("got a large size %+v for an unknown route", got)
	}
	if New(Config{Mbps: 200}) != nil || New(Config{}) != nil {
		t.Error("got accounting for a fast link or an unknown rate")
	}
}

// Guards against more bytes on their way to this host than the backlog, against a
// message that waits although there is room, and against a receiver that does not read
// its response and keeps the link from others.
func TestReceiving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Mbps: 8 / largeShare})
		begin := time.Now()
		admit := func(bytes int64) *Transfer {
			x, err := l.Receiving.Admit(Demand{Exactly(bytes), 50 * time.Millisecond, begin.Add(2 * time.Second), begin.Add(3 * time.Second)})
			if err != nil {
				t.Fatal(err)
			}
			return x
		}
		var begun []time.Duration
		wait := func(x *Transfer) {
			if err := x.Begin(t.Context()); err != nil {
				t.Error(err)
			}
			begun = append(begun, time.Since(begin))
		}
		first, second, third := admit(300e3), admit(300e3), admit(300e3)
		wait(first)
		wait(second) // 300 kB need no more than the backlog after the run time
		time.AfterFunc(100*time.Millisecond, first.End)
		wait(third)
		if want := 100 * time.Millisecond; begun[1] != 0 || begun[2] != want {
			t.Errorf("got begun after %v, want 0, 0 and %v", begun, want)
		}
		second.Arrives(100e3)
		third.Arrives(100e3)
		time.Sleep(500 * time.Millisecond)
		if got := l.Receiving.Committed(); got != 0 {
			t.Errorf("got %v bytes committed 500 ms after 100 kB each began to arrive and were not read, want 0", got)
		}
	})
}
