package capacity

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	modelSlots  = 18
	modelTarget = 600 * time.Millisecond
	modelWork   = 0.08 // mean seconds of work per call
	modelStep   = 2 * time.Millisecond
)

// load is what a modelled server is under.
type load struct {
	name   string
	demand func(s float64) float64 // calls per second at time s
	speed  func(s float64) float64 // of each call, without contention
	knee   func(s float64) float64 // concurrent calls from which they slow each other down
	// decline is the growth of run times beyond the knee; with 1 the throughput stays,
	// with more it falls.
	decline float64
	// stated is set if the server states the speed of its machine in its responses.
	stated bool
}

// policy determines the number of concurrent calls.
type policy interface {
	Limit(now time.Time) int
	Learned() int
	Start(now time.Time) Call
	End(now time.Time, c Call, r Run)
}

// outcome is the result of a run of the model.
type outcome struct {
	goodput float64 // calls in time per second
	learned []int   // the number at each tenth of a second
}

func constant(x float64) func(float64) float64 { return func(float64) float64 { return x } }

// simulate runs a load. Calls wait in a queue until they could not be in time.
func simulate(l load, p policy, seconds int, seed uint64) outcome {
	type call struct {
		arrived, started time.Time
		work             float64
		call             Call
	}
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	var queue, running []call
	var o outcome
	for step := range seconds * int(time.Second/modelStep) {
		now := start.Add(time.Duration(step) * modelStep)
		s := now.Sub(start).Seconds()
		for range poisson(random, l.demand(s)*modelStep.Seconds()) {
			work := modelWork * math.Exp(0.4*random.NormFloat64()-0.08)
			if random.IntN(100) == 0 {
				work *= 3 + 2*random.Float64()
			}
			queue = append(queue, call{arrived: now, work: work})
		}
		slowed := 1 + l.decline*max(0, float64(len(running))/l.knee(s)-1)
		progress := modelStep.Seconds() * l.speed(s) / slowed
		running = slices.DeleteFunc(running, func(c call) bool { return c.work <= 0 })
		for i := range running {
			c := &running[i]
			if c.work -= progress; c.work > 0 {
				continue
			}
			run := Run{Route: "r", RunTime: now.Sub(c.started)}
			if l.stated {
				run.Percent = 100 / l.speed(s)
			}
			p.End(now, c.call, run)
			if now.Sub(c.arrived) <= modelTarget {
				o.goodput++
			}
		}
		running = slices.DeleteFunc(running, func(c call) bool { return c.work <= 0 })
		queue = slices.DeleteFunc(queue, func(c call) bool { return now.Sub(c.arrived) > modelTarget/2 })
		for len(queue) > 0 && len(running) < p.Limit(now) {
			c := queue[0]
			queue = queue[1:]
			c.started, c.call = now, p.Start(now)
			running = append(running, c)
		}
		if step%50 == 0 {
			o.learned = append(o.learned, p.Learned())
		}
	}
	o.goodput /= float64(seconds)
	return o
}

func poisson(random *rand.Rand, mean float64) (n int) {
	for x := random.ExpFloat64(); x < mean; x += random.ExpFloat64() {
		n++
	}
	return n
}

// slowdowns is the speed of a machine that is 2.5 times slower for 600 ms at random
// times, a quarter of the time.
func slowdowns(s float64) float64 {
	random := rand.New(rand.NewPCG(uint64(s/0.6), 3))
	if random.IntN(4) == 0 {
		return 1 / 2.5
	}
	return 1
}

func steps(period float64, values ...float64) func(float64) float64 {
	return func(s float64) float64 { return values[int(s/period)%len(values)] }
}

// modelLoads are the loads of docs/design/capacity.md. In steady ones, neither the
// server nor the demand changes.
func modelLoads() (steady, slowed, changing []load) {
	none := constant(1e9)
	steady = []load{
		{"all slots good", constant(260), constant(1), none, 0, false},
		{"all slots good, slow server", constant(150), constant(0.5), none, 0, false},
		{"knee at 9", constant(150), constant(1), constant(9), 1, false},
		{"knee at 12, fast server", constant(300), constant(1.5), constant(12), 1, false},
		{"knee at 12, slow server", constant(100), constant(0.5), constant(12), 1, false},
		{"knee at 6, falling throughput", constant(100), constant(1), constant(6), 1.6, false},
	}
	slowed = []load{
		{"all slots good, slowdowns", constant(260), slowdowns, none, 0, false},
		{"all slots good, slow dependency", constant(260), steps(10, 1, 0.33), none, 0, false},
		{"knee at 9, slowdowns", constant(150), slowdowns, constant(9), 1, false},
		{"knee at 6, falling throughput, slowdowns", constant(100), slowdowns, constant(6), 1.6, false},
		{"knee at 6, falling throughput, stated slowdowns", constant(100), slowdowns, constant(6), 1.6, true},
	}
	changing = []load{
		{"knee moves", constant(200), constant(1), steps(20, 6, 14), 1.6, false},
		{"speed and knee change", constant(250), steps(15, 1.5, 0.5, 1), steps(15, 5, 12, 8), 1.6, false},
		{"demand varies by half in 17 s", func(s float64) float64 { return 120 * (1 + 0.5*math.Sin(2*math.Pi*s/17)) }, constant(1), constant(8), 1.6, false},
	}
	return
}
