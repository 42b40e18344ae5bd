package daemon

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/claim"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/settings"
)

// daemonMetrics are the metrics of the control plane. docs/OPERATIONS.md lists
// them.
type daemonMetrics struct {
	applied                *metrics.Gauge   // number of the applied version
	unreadableEntries      *metrics.Gauge   // entries of the applied version that can't be read
	unreadableVersions     *metrics.Counter // versions that can't be read as a whole
	applyDelay             *metrics.Gauge   // seconds from the acceptance of the applied version until it was applied here
	stepDuration           *metrics.Summary // seconds per step of the core
	droppedMessages        *metrics.Counter // messages dropped because the queue of the core was full
	submissionsAccepted    *metrics.Counter
	submissionsRefused     *metrics.Counter
	submissionsUnknown     *metrics.Counter
	claims                 map[string]*metrics.Counter // by outcome
	hosts                  map[host.State]*metrics.Gauge
	set                    *metrics.Set
	unreachableZones       *metrics.Gauge // zones that this daemon can't reach
	lastCrossRegionMessage atomic.Int64   // Unix time in ns of the last message from another region
}

// claimOutcomes are the values of the outcome label of peridotlb_claims_total.
var claimOutcomes = []string{"granted", "recorded", "pending", "mismatch", "unconfirmed", "unusable"}

// countClaim counts a decision. The outcome is "unusable" if the claim could not be
// decided. It does not allocate, because it is on the call path.
func (m *daemonMetrics) countClaim(d claim.Decision, err error) {
	outcome := "unusable"
	switch d.(type) {
	case claim.Granted:
		outcome = "granted"
	case claim.Recorded:
		outcome = "recorded"
	case claim.Pending:
		outcome = "pending"
	case claim.Mismatch:
		outcome = "mismatch"
	case claim.Unconfirmed:
		outcome = "unconfirmed"
	}
	if err != nil {
		outcome = "unusable"
	}
	m.claims[outcome].Inc()
}

func newDaemonMetrics(set *metrics.Set, d *Daemon) *daemonMetrics {
	gauge := func(name string, f func() uint64) {
		set.NewGauge(name, func() float64 {
			if d.link == nil {
				return 0
			}
			return float64(f())
		})
	}
	gauge(`peridotlb_control_sent_bytes{path="all"}`, func() uint64 { return d.link.Traffic().Total.BytesSent })
	gauge(`peridotlb_control_received_bytes{path="all"}`, func() uint64 { return d.link.Traffic().Total.BytesReceived })
	gauge(`peridotlb_control_sent_bytes{path="link"}`, func() uint64 { return d.link.Traffic().CrossRegion.BytesSent })
	gauge(`peridotlb_control_received_bytes{path="link"}`, func() uint64 { return d.link.Traffic().CrossRegion.BytesReceived })
	gauge(`peridotlb_control_sent_packets`, func() uint64 { return d.link.Traffic().Total.PacketsSent })
	gauge(`peridotlb_control_received_packets`, func() uint64 { return d.link.Traffic().Total.PacketsReceived })
	gauge(`peridotlb_control_messages_dropped_total`, func() uint64 { return d.link.Dropped() })
	set.NewGauge("peridotlb_certificate_expires_in_seconds", func() float64 {
		if d.serverTLS == nil {
			return 0
		}
		// GetCertificate returns the certificate in use and reloads a changed file.
		c, err := d.serverTLS.GetCertificate(&tls.ClientHelloInfo{})
		if err != nil || c.Leaf == nil {
			return 0
		}
		return time.Until(c.Leaf.NotAfter).Seconds()
	})
	set.NewGauge("peridotlb_slots_announced", func() float64 { _, announced := d.gate.LearnedSlots(); return float64(announced) })
	set.NewGauge("peridotlb_slots_learned", func() float64 { learned, _ := d.gate.LearnedSlots(); return float64(learned) })
	addMemoryMetrics(set, d.memory)
	m := &daemonMetrics{
		set:                 set,
		applied:             set.NewGauge("peridotlb_version_applied", nil),
		unreadableEntries:   set.NewGauge("peridotlb_version_unreadable_entries", nil),
		unreadableVersions:  set.NewCounter("peridotlb_versions_unreadable_total"),
		applyDelay:          set.NewGauge("peridotlb_version_apply_delay_seconds", nil),
		stepDuration:        set.NewSummary("peridotlb_core_step_seconds"),
		droppedMessages:     set.NewCounter("peridotlb_core_messages_dropped_total"),
		submissionsAccepted: set.NewCounter(`peridotlb_submissions_total{outcome="accepted"}`),
		submissionsRefused:  set.NewCounter(`peridotlb_submissions_total{outcome="refused"}`),
		submissionsUnknown:  set.NewCounter(`peridotlb_submissions_total{outcome="unknown"}`),
		claims:              make(map[string]*metrics.Counter),
		hosts:               make(map[host.State]*metrics.Gauge),
		unreachableZones:    set.NewGauge("peridotlb_zones_unreachable", nil),
	}
	for _, outcome := range claimOutcomes {
		m.claims[outcome] = set.NewCounter(`peridotlb_claims_total{outcome="` + outcome + `"}`)
	}
	for s := host.Alive; s <= host.Left; s++ {
		m.hosts[s] = set.NewGauge(`peridotlb_hosts{state="`+s.String()+`"}`, nil)
	}
	m.lastCrossRegionMessage.Store(time.Now().UnixNano())
	set.NewGauge("peridotlb_region_link_age_seconds", func() float64 {
		return time.Since(time.Unix(0, m.lastCrossRegionMessage.Load())).Seconds()
	})
	return m
}

// update sets the gauges whose values come from the core.
func (m *daemonMetrics) update(c *fleet.Core) {
	count := make(map[host.State]int)
	for _, h := range c.Hosts() {
		count[h.State]++
	}
	for s, gauge := range m.hosts {
		gauge.Set(float64(count[s]))
	}
	unreachable := 0
	for _, z := range c.Zones() {
		if z.Unreachable {
			unreachable++
		}
	}
	m.unreachableZones.Set(float64(unreachable))
}

// metricsHandler serves /metrics, /healthz, /readyz and profiles.
func (d *Daemon) metricsHandler(set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		// If the core does not respond, the gauges keep their last values.
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		defer cancel()
		_ = d.loop.withCore(ctx, d.metrics.update)
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		writeProblems(w, d.healthProblems(r))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		writeProblems(w, append(d.healthProblems(r), d.readinessProblems()...))
	})
	return mux
}

// healthProblems returns the problems that a restart of the process may fix.
func (d *Daemon) healthProblems(r *http.Request) []string {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	if err := d.loop.withCore(ctx, func(*fleet.Core) {}); err != nil {
		return []string{"the core of the daemon did not respond within 1s"}
	}
	return nil
}

// readinessProblems returns the reasons why callers should not use this daemon.
func (d *Daemon) readinessProblems() []string {
	var problems []string
	if d.leaving.Load() {
		problems = append(problems, "the daemon is leaving the fleet")
	}
	if d.routing.routes.Load() == nil {
		problem := "no version is applied yet"
		switch {
		case !d.platform.tableReachable.Load():
			problem += fmt.Sprintf(": the table at %s does not answer", tableLocation(d.settings))
		case !d.platform.objectStoreReachable.Load() && d.platform.objectErrors.Get() > 0:
			problem += ": no other daemon has one, and the object store does not answer"
		}
		problems = append(problems, problem)
	}
	return problems
}

// tableLocation returns the address of the table for messages.
func tableLocation(s settings.Daemon) string {
	switch s.Platform {
	case settings.AWS:
		return s.TableEndpoint.Host
	case settings.Store:
		return s.StoreAddress.String()
	default:
		return "memory"
	}
}

func writeProblems(w http.ResponseWriter, problems []string) {
	w.Header().Set("Content-Type", "application/json")
	if len(problems) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(struct {
		OK       bool     `json:"ok"`
		Problems []string `json:"problems"`
	}{len(problems) == 0, append([]string{}, problems...)})
}
