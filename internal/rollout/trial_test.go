package rollout

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	faults := []struct {
		n string
		f fault
	}{
		{"good", fault{}},
		{"fail25", fault{failing: 0.25}},
		{"fail10", fault{failing: 0.1}},
		{"slow5x50", fault{slow: 0.5, factor: 5}},
		{"slow4x100", fault{slow: 1, factor: 4}},
		{"slow5x30", fault{slow: 0.3, factor: 5}},
		{"fail-late5", fault{failing: 0.3, after: 5 * time.Second}},
		{"fail-late8", fault{failing: 0.3, after: 8 * time.Second}},
		{"slow-late6", fault{slow: 0.5, factor: 5, after: 6 * time.Second}},
		{"load-fail", fault{failing: 0.3, inFlight: 3}},
		{"load-slow", fault{slow: 1, factor: 4, inFlight: 3}},
		{"load-fail5", fault{failing: 0.3, inFlight: 5}},
		{"route-fail", fault{failing: 0.5, route: 2}},
		{"route-slow", fault{slow: 1, factor: 5, route: 2}},
	}
	for _, fl := range faults {
		var worst float64
		verdicts := map[string]int{}
		lost := 0
		var ws string
		n := 0
		for _, rate := range []float64{20, 100, 400, 1500} {
			for _, dur := range []int{12, 15, 18} {
				for _, servers := range []int{4, 20, 92} {
					if rate*0.06/float64(servers) > 9 {
						continue
					}
					if fl.f.after > time.Duration(dur)*time.Second-7*time.Second {
						continue
					}
					if normal := rate * 0.06 / float64(servers); fl.f.inFlight > 0 && normal < float64(fl.f.inFlight) {
						continue
					}
					n++
					w := newWorld(worldConfig{Seed: uint64(n), Hosts: max(13, servers), Servers: servers, Rate: rate, Duration: time.Duration(dur) * time.Second, RunTime: 60 * time.Millisecond, Cold: 4 * time.Second, Fault: fl.f, Loss: 0.02, Delay: 60 * time.Millisecond, Write: 40 * time.Millisecond})
					w.run()
					lost += w.lost
					v := fmt.Sprint(w.verdicts)
					verdicts[v]++
					ratio := float64(w.exposed) / (0.1*float64(w.calls) + 50)
					if ratio > worst {
						worst = ratio
						ws = fmt.Sprintf("rate %v dur %v servers %v: %d of %d\n%v", rate, dur, servers, w.exposed, w.calls, w.steps)
					}
					if fl.f.bad() != (v == "[rolled-back]") && os.Getenv("TRIAL") == "v" {
						fmt.Printf("   %s rate %v dur %v servers %v: %s %d of %d\n", fl.n, rate, dur, servers, v, w.exposed, w.calls)
						for _, s := range w.steps {
							fmt.Println("      ", s)
						}
					}
				}
			}
		}
		fmt.Printf("%-12s n=%d worst exposure/limit %.2f lost %d verdicts %v\n", fl.n, n, worst, lost, verdicts)
		if fl.f.bad() && worst > 0.85 {
			fmt.Println("    worst", ws)
		}
	}
}
