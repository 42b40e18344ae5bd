package daemon

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/settings"
	"github.com/peridotlb/peridotlb/internal/version"
)

// renamed is a document whose only service has another name in every version.
func renamed(t *testing.T, n version.Number) version.Snapshot {
	t.Helper()
	name := backend.ServiceName(fmt.Sprintf("stock-%d", n))
	s, err := version.New(n, version.SubmissionID(fmt.Sprint("s", n)), 0, document.Document{Sections: []document.Section{{
		Name: "stock", Team: "stock-team",
		Services: []document.Service{{Name: name, Slots: 9, Connections: 130, WarmUp: time.Second}},
		Routes:   []document.Route{{Name: "read-stock", PathPrefix: "/stock", Service: name, Timeout: time.Second}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestRouteHasItsService guards against a route in force whose service the
// proxy does not have, while versions replace each other under calls.
func TestRouteHasItsService(t *testing.T) {
	p := &parts{
		settings: settings.Daemon{HostID: "h"},
		pool:     pool.New(pool.Config{Self: "h"}), gate: gate.New(gate.Config{Self: "h"}),
		meters: &meters{applied: metrics.NewSet().NewGauge("applied", nil), delay: metrics.NewSet().NewGauge("delay", nil)},
	}
	core := fleet.New(fleet.Config{Self: host.Row{ID: "h", Zone: "a", Region: "r"}, Started: time.Unix(1_800_000_000, 0)})
	p.apply(core, renamed(t, 1))
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				m, ok := p.calls.routes.Load().Match("GET", "/stock/1")
				if !ok {
					t.Error("got no route, want one")
					return
				}
				if _, err := p.pool.Pick(m.Route.Service, nil); errors.Is(err, pool.ErrUnknownService) {
					t.Errorf("service %s of the route in force: got %v, want it known", m.Route.Service, err)
					return
				}
			}
		})
	}
	for n := version.Number(2); n < 500; n++ {
		p.apply(core, renamed(t, n))
	}
	close(stop)
	readers.Wait()
}
