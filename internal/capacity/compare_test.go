package capacity

import (
	"math"
	"testing"
	"time"
)

// fixed is a policy with a constant number.
type fixed int

func (f fixed) Limit(time.Time) int    { return int(f) }
func (f fixed) Learned() int           { return int(f) }
func (fixed) Start(now time.Time) Call { return Call{start: now} }
func (fixed) End(time.Time, Call, Run) {}

// adaptive is a known algorithm that adjusts the number after each call.
type adaptive struct {
	limit, least, mean, calls float64 // least mean and mean of the run time in seconds
	running                   int
	adjust                    func(a *adaptive, run float64)
}

func (a *adaptive) Limit(time.Time) int { return int(min(max(a.limit, 1), modelSlots)) }
func (a *adaptive) Learned() int        { return a.Limit(time.Time{}) }
func (a *adaptive) Start(now time.Time) Call {
	a.running++
	return Call{start: now}
}

func (a *adaptive) End(_ time.Time, _ Call, r Run) {
	run := r.RunTime.Seconds()
	if a.calls++; a.mean == 0 {
		a.mean, a.least = run, run
	}
	a.mean += max(0.02, 1/a.calls) * (run - a.mean)
	if a.calls == 50 {
		a.least = a.mean
	}
	if a.calls > 50 { // the least mean rises with a time constant of 5000 calls
		a.least = min(a.least+0.0002*(a.mean-a.least), a.mean)
	}
	if a.calls > 50 {
		a.adjust(a, run)
	}
	a.limit = min(max(a.limit, 1), modelSlots)
	a.running--
}

// algorithms are the alternatives that docs/design/capacity.md compares.
var algorithms = map[string]func() policy{
	"announced": func() policy { return fixed(modelSlots) },
	"gradient": func() policy {
		return &adaptive{limit: 6, adjust: func(a *adaptive, _ float64) {
			gradient := max(0.5, min(1, 1.5*a.least/a.mean))
			a.limit += 0.02 * (a.limit*gradient + math.Sqrt(a.limit) - a.limit)
		}}
	},
	"additive increase": func() policy {
		return &adaptive{limit: 6, adjust: func(a *adaptive, _ float64) {
			if a.mean > 2*a.least {
				a.limit *= 0.99
			} else if float64(a.running) >= math.Floor(a.limit) {
				a.limit += 1 / a.limit
			}
		}}
	},
	"Little's law": func() policy {
		return &adaptive{limit: 6, adjust: func(a *adaptive, _ float64) {
			a.limit += 0.02 * (1.2*float64(a.running)/a.mean*a.least + 1 - a.limit)
		}}
	},
	"pairs": func() policy { return New(Config{Slots: modelSlots, Seed: 1}) },
}

// bestFixed returns the best goodput of a fixed number.
func bestFixed(l load, seconds int) (best outcome, n int) {
	for f := 1; f <= modelSlots; f++ {
		if o := simulate(l, fixed(f), seconds, 1); o.goodput > best.goodput {
			best, n = o, f
		}
	}
	return best, n
}

// TestCompare prints the table of docs/design/capacity.md with -v.
func TestCompare(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table; run with -v")
	}
	steady, slowed, changing := modelLoads()
	for _, l := range append(append(steady, slowed...), changing...) {
		best, n := bestFixed(l, 60)
		for _, name := range []string{"announced", "gradient", "additive increase", "Little's law", "pairs"} {
			o := simulate(l, algorithms[name](), 60, 1)
			low, high := spread(o)
			t.Logf("%-42s best fixed %2d: %6.1f/s; %-18s %6.1f/s = %.2f, number %d to %d", l.name, n, best.goodput, name, o.goodput, o.goodput/best.goodput, low, high)
		}
	}
}

// spread returns the 5% and 95% quantiles of the number after the first 20 s.
func spread(o outcome) (low, high int) {
	counts := [modelSlots + 1]int{}
	all := o.learned[min(200, len(o.learned)/2):]
	for _, n := range all {
		counts[n]++
	}
	sum := 0
	low = -1
	for n, c := range counts {
		sum += c
		if low < 0 && sum*20 >= len(all) {
			low = n
		}
		if sum*20 >= 19*len(all) {
			return low, n
		}
	}
	return low, modelSlots
}
