package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/quota"
	"github.com/peridotlb/peridotlb/internal/settings"
	"github.com/peridotlb/peridotlb/internal/version"
)

// versionWithOrganisations returns a version with the organisations.
func versionWithOrganisations(t *testing.T, organisations ...document.Organisation) version.Snapshot {
	t.Helper()
	s, err := version.New(1, "id", 0, document.Document{Sections: []document.Section{{Name: "s", Team: "t", Organisations: organisations}}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// startQuotas starts the quotas of three hosts that exchange messages in memory.
func startQuotas(t *testing.T, s version.Snapshot) []*quotas {
	t.Helper()
	var all []*quotas
	byAddr := make(map[netip.AddrPort]*quotas)
	var rows []host.Row
	for i := range 3 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7401)
		row := host.Row{ID: host.ID(fmt.Sprint("h", i)), ControlAddr: addr}
		rows = append(rows, row)
		q := newQuotas(settings.Daemon{HostID: row.ID, QuotaWindow: 5 * time.Second, QuotaOverrun: 0.1, QuotaSlack: 20}, time.Now(), metrics.NewSet(), zap.NewNop())
		q.setSend(func(to netip.AddrPort, m message.Message) { go byAddr[to].receive(addr, m) })
		byAddr[addr] = q
		all = append(all, q)
	}
	for _, q := range all {
		go q.run(t.Context())
		q.setHosts(rows)
		q.apply(s)
	}
	return all
}

// TestQuotasOfThreeHosts guards against calls that get no token while the quota is not
// used up, on any host, against calls that are granted without bound, and against
// decisions that no metric shows.
func TestQuotasOfThreeHosts(t *testing.T) {
	all := startQuotas(t, versionWithOrganisations(t, document.Organisation{Name: "acme", RatePerSecond: 20, Burst: 10}, document.Organisation{Name: "free"}))
	if d := all[0].Take(t.Context(), "free"); !d.Granted || !d.RunBy.IsZero() {
		t.Errorf("organisation without a quota: got %+v, want granted without a limit", d)
	}
	for i, q := range all {
		waitUntil(t, fmt.Sprintf("host %d gets a token", i), func() bool { return q.Take(t.Context(), "acme").Granted })
	}
	refused := func() bool {
		d := all[1].Take(t.Context(), "acme")
		return !d.Granted && d.OverQuota && d.RetryAfter > 0
	}
	waitUntil(t, "calls over the quota are refused", refused)
	var text strings.Builder
	all[1].set.WritePrometheus(&text)
	for _, outcome := range []string{"granted", "over-quota"} {
		if name := `peridotlb_quota_calls_total{organisation="acme",outcome="` + outcome + `"}`; !strings.Contains(text.String(), name) || strings.Contains(text.String(), name+" 0\n") {
			t.Errorf("got no %s in %s", name, text.String())
		}
	}
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(longWait); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
	}
}

// TestCanceledCallLeavesNoWaiter guards against memory that callers which disconnect
// leave behind, and against a call that hangs while no owner answers.
func TestCanceledCallLeavesNoWaiter(t *testing.T) {
	q := startQuotas(t, versionWithOrganisations(t, document.Organisation{Name: "acme", RatePerSecond: 1}))[0]
	q.setSend(func(netip.AddrPort, message.Message) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		if d := q.Take(ctx, "acme"); d.Granted {
			t.Errorf("got %+v, want a refusal", d)
		}
	}
	if d := q.Take(t.Context(), "acme"); d.Granted && d.RunBy.IsZero() {
		t.Errorf("got %+v, want a refusal or a token", d)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) != 0 {
		t.Errorf("got %d waiters, want none", len(q.waiting))
	}
}

// TestOrganisationLabelsAreBounded guards against a metric with a label for every
// organisation that ever had a quota.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	q := newQuotas(settings.Daemon{HostID: "h"}, time.Now(), metrics.NewSet(), zap.NewNop())
	for i := range 3 * maxOrganisationLabels {
		q.count(document.OrganisationName(fmt.Sprint("o", i)), quota.Decision{Granted: true})
	}
	if got, limit := len(q.set.ListMetricNames()), 3*(maxOrganisationLabels+1); got > limit {
		t.Errorf("got %d metrics, want at most %d", got, limit)
	}
}
