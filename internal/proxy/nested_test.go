package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/route"
)

// Guards against calls of a backend server that rank below the requests that it runs,
// against a higher rank of calls that come from callers, and against an effect of the
// ranking when it is disabled.
func TestNestedCallsRankWithTheirRequests(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		g := gate.New(gate.Config{Self: "self", Now: clock})
		g.Update([]document.Service{{Name: "stock", Slots: 4, Connections: 4}}, []backend.Server{{ID: "s", Service: "stock", Host: "self", State: backend.Ready}})
		e := newEntryHandler(Config{Gate: g, RankNestedCalls: enabled}.withDefaults(), &gateHandler{metrics: newCallMetrics(Config{}.withDefaults().Metrics), headers: Dialect{}.headerTable()})
		priorityOf := func(name document.RouteName) uint8 {
			x := &exchange{match: route.Match{Route: &document.Route{Name: name, Priority: 2}}, start: now, priority: 2}
			e.rankNested(x)
			return x.priority
		}
		var nested, callers uint8
		for range 100 {
			callers = priorityOf("outer") // before the server begins to work
			p, err := g.Admit(context.Background(), "s", gate.Call{Priority: 1})
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(50 * time.Millisecond)
			nested = priorityOf("inner")
			callers = min(callers, priorityOf("outer"))
			p.Release()
			now = now.Add(50 * time.Millisecond)
		}
		want := uint8(2)
		if enabled {
			want = 1 // of the request that runs
		}
		if nested != want || callers != 2 {
			t.Errorf("enabled %t: got priority %d for nested calls and %d for those of callers, want %d and 2", enabled, nested, callers, want)
		}
	}
}
