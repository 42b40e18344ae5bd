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
func versionWithService(t *testing.T, n version.Number) version.Snapshot {
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

// callPath returns the parts that a version is applied to.
func newRouting() (*components, *fleet.Core) {
	p := &components{
		settings: settings.Daemon{HostID: "h"},
		pool:     pool.New(pool.Config{Self: "h"}), gate: gate.New(gate.Config{Self: "h"}),
		metrics: &daemonMetrics{applied: metrics.NewSet().NewGauge("applied", nil), applyDelay: metrics.NewSet().NewGauge("delay", nil)},
	}
	return p, fleet.New(fleet.Config{Self: host.Row{ID: "h", Zone: "a", Region: "r"}, Started: time.Unix(1_800_000_000, 0)})
}

// TestApplyUpdatesPoolWhenNeeded guards against an update of the pool for a
// version that changes no service, and against one that is left out although
// services or, still to be taken over, servers changed.
func TestApplyUpdatesPoolWhenNeeded(t *testing.T) {
	p, core := newRouting()
	for _, step := range []struct {
		name    string
		version version.Number
		service version.Number // the number in the name of the service
		stale   bool
		want    bool
	}{
		{"first version", 1, 1, false, true},
		{"same services", 2, 1, false, false},
		{"servers changed", 3, 1, true, true},
		{"service renamed", 4, 2, false, true},
	} {
		p.routing.updatedAt, p.routing.stale = time.Time{}, step.stale
		s := versionWithService(t, step.service)
		s, err := version.New(step.version, "s", 0, s.Document())
		if err != nil {
			t.Fatal(err)
		}
		p.apply(core, s)
		if got := !p.routing.updatedAt.IsZero(); got != step.want {
			t.Errorf("%s: got update %v, want %v", step.name, got, step.want)
		}
		if got := p.routing.routes.Load().Number(); got != step.version {
			t.Errorf("%s: got routes of version %d, want %d", step.name, got, step.version)
		}
	}
}

// TestRouteHasItsService guards against a route in force whose service the
// proxy does not have, while versions replace each other under calls.
func TestRouteHasItsService(t *testing.T) {
	p, core := newRouting()
	p.apply(core, versionWithService(t, 1))
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
				m, ok := p.routing.routes.Load().Match("GET", "", "/stock/1")
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
		p.apply(core, versionWithService(t, n))
	}
	close(stop)
	readers.Wait()
}
