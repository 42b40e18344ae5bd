package daemon

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/settings"
	"github.com/peridotlb/peridotlb/internal/version"
)

// versionWithService returns a version whose only service is named after the number n.
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

// newRouting returns the components that a version is applied to, and a core.
func newRouting() (*components, *fleet.Core) {
	c := &components{
		settings: settings.Daemon{HostID: "h"},
		pool:     pool.New(pool.Config{Self: "h"}), gate: gate.New(gate.Config{Self: "h"}),
		quotas:  newQuotas(settings.Daemon{HostID: "h"}, time.Now(), metrics.NewSet(), zap.NewNop()),
		metrics: &daemonMetrics{applied: metrics.NewSet().NewGauge("applied", nil), applyDelay: metrics.NewSet().NewGauge("delay", nil), unreadableEntries: metrics.NewSet().NewGauge("entries", nil), unreadableVersions: metrics.NewSet().NewCounter("versions")},
		log:     zap.NewNop(),
	}
	return c, fleet.New(fleet.Config{Self: host.Row{ID: "h", Zone: "a", Region: "r"}, Started: time.Unix(1_800_000_000, 0)})
}

// TestApplyUpdatesPoolWhenNeeded verifies that a version which changes no service
// does not update the pool, and that one which changes a service, or is applied
// while a change of servers is pending, does.
func TestApplyUpdatesPoolWhenNeeded(t *testing.T) {
	c, core := newRouting()
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
		c.routing.updatedAt, c.routing.stale = time.Time{}, step.stale
		s := versionWithService(t, step.service)
		s, err := version.New(step.version, "s", 0, s.Document())
		if err != nil {
			t.Fatal(err)
		}
		c.apply(core, s)
		if got := !c.routing.updatedAt.IsZero(); got != step.want {
			t.Errorf("%s: got update %v, want %v", step.name, got, step.want)
		}
		if got := c.routing.routes.Load().Number(); got != step.version {
			t.Errorf("%s: got routes of version %d, want %d", step.name, got, step.version)
		}
	}
}

// TestRouteHasItsService verifies that the pool knows the service of every matched
// route while versions replace each other during calls.
func TestRouteHasItsService(t *testing.T) {
	c, core := newRouting()
	c.apply(core, versionWithService(t, 1))
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
				m, ok := c.routing.routes.Load().Match("GET", "", "/stock/1")
				if !ok {
					t.Error("got no route, want one")
					return
				}
				if _, err := c.pool.Pick(m.Route.Service, nil); errors.Is(err, pool.ErrUnknownService) {
					t.Errorf("service %s of the matched route: got %v, want it known", m.Route.Service, err)
					return
				}
			}
		})
	}
	for n := version.Number(2); n < 500; n++ {
		c.apply(core, versionWithService(t, n))
	}
	close(stop)
	readers.Wait()
}

// TestUnreadableEntriesAreReported guards against a version in force with an entry that
// can't be read, or a skipped version, of which metrics, log and status say nothing.
func TestUnreadableEntriesAreReported(t *testing.T) {
	c, core := newRouting()
	logs, lines := observer.New(zap.InfoLevel)
	c.log = zap.New(logs)
	apply := func(n version.Number, unreadable ...string) {
		t.Helper()
		s, err := version.New(n, "s", 0, document.Document{Sections: []document.Section{{Name: "a", Team: "t", Unreadable: unreadable}}})
		if err != nil {
			t.Fatal(err)
		}
		c.apply(core, s)
	}
	apply(4, "route in row 3: unknown kind")
	want := []string{"version 4: route in row 3: unknown kind"}
	if got := c.unreadableEntries(); !slices.Equal(got, want) || c.metrics.unreadableEntries.Get() != 1 {
		t.Errorf("got entries %q and metric %v, want %q and 1", got, c.metrics.unreadableEntries.Get(), want)
	}
	if !c.reportUnreadableVersion(&UnreadableError{Row: "op/config", Err: errors.New("no version")}) {
		t.Error("got that an error about an unreadable version is another one")
	}
	got := c.unreadableEntries()
	if len(got) != 2 || !strings.Contains(got[1], "op/config: no version") || c.metrics.unreadableVersions.Get() != 1 || lines.Len() != 2 {
		t.Errorf("got entries %q, metric %d and %d log lines, want the skipped version too, 1 and 2", got, c.metrics.unreadableVersions.Get(), lines.Len())
	}
	apply(5)
	if got := c.unreadableEntries(); len(got) > 0 || c.metrics.unreadableEntries.Get() != 0 {
		t.Errorf("after a sound version: got entries %q, want none", got)
	}
}
