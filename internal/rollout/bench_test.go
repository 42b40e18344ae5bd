package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

// BenchmarkNext measures a decision of the leader, which makes up to 20 per second, with
// 92 servers of each version and 20 routes.
func BenchmarkNext(b *testing.B) {
	start := time.Unix(1000, 0)
	leader := New(DefaultLimits(), "a", Stored{Row: Row{Service: "stock", Target: "v2", State: Running, Share: 50, DurationMS: 15000, Leader: "a"}, Revision: 1}, start, start)
	var servers []Server
	now := start.Add(6 * time.Second)
	for i := range 92 {
		id := host.ID(fmt.Sprint(i))
		e := Evidence{Host: id, Revision: 1, Sequence: 1}
		for _, v := range []backend.Version{"v1", "v2"} {
			server := backend.ServerID(fmt.Sprint(v, i))
			servers = append(servers, Server{Row: backend.Server{ID: server, Host: id, Version: v, State: backend.Ready}, Alive: true})
			s := ServerEvidence{ID: server, Version: v, Warm: true}
			for r := range 20 {
				s.Routes = append(s.Routes, RouteEvidence{Route: document.RouteName(fmt.Sprint("route-", r)), Calls: 100, WarmDone: 90, WarmUS: 9e6})
			}
			e.Servers = append(e.Servers, s)
		}
		leader.Report(now, e)
	}
	b.ReportAllocs()
	for b.Loop() {
		leader.Next(now, servers)
	}
}

// BenchmarkBegin measures what a roll-out adds to a call at the gate, and without one.
func BenchmarkBegin(b *testing.B) {
	now := time.Unix(1000, 0)
	for name, t := range map[string]*Tracker{"none": new(Tracker), "running": func() *Tracker { t, _ := trackerAt(now, func(*Update) {}); return t }()} {
		b.Run(name, func(b *testing.B) {
			row := backend.Server{ID: "s-1", Service: "stock", Version: "v1"}
			for b.Loop() {
				call, _ := t.Begin(now, row, func() document.RouteName { return "r" })
				call.End(now, false)
			}
		})
	}
}
