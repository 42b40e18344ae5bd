package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/settings"
)

// meters are the metrics of the control side. docs/operations.md lists them.
type meters struct {
	applied    *metrics.Gauge   // number of the version in force
	delay      *metrics.Gauge   // seconds from acceptance to the present version in force here
	step       *metrics.Summary // seconds per step of the core
	dropped    *metrics.Counter // messages dropped because the core was behind
	tableReads *metrics.Counter // reads of the platform's table for the core
	submitted  *metrics.Counter
	refused    *metrics.Counter
	unknown    *metrics.Counter
}

func newMeters(set *metrics.Set, d *Daemon) *meters {
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
	gauge(`peridotlb_control_sent_bytes{path="link"}`, func() uint64 { return d.link.Traffic().Remote.BytesSent })
	gauge(`peridotlb_control_received_bytes{path="link"}`, func() uint64 { return d.link.Traffic().Remote.BytesReceived })
	gauge(`peridotlb_control_sent_packets`, func() uint64 { return d.link.Traffic().Total.PacketsSent })
	gauge(`peridotlb_control_received_packets`, func() uint64 { return d.link.Traffic().Total.PacketsReceived })
	gauge(`peridotlb_control_messages_dropped_total`, func() uint64 { return d.link.Dropped() })
	return &meters{
		applied:    set.NewGauge("peridotlb_version_applied", nil),
		delay:      set.NewGauge("peridotlb_version_apply_delay_seconds", nil),
		step:       set.NewSummary("peridotlb_core_step_seconds"),
		dropped:    set.NewCounter("peridotlb_core_messages_dropped_total"),
		tableReads: set.NewCounter("peridotlb_table_reads_total"),
		submitted:  set.NewCounter(`peridotlb_submissions_total{outcome="accepted"}`),
		refused:    set.NewCounter(`peridotlb_submissions_total{outcome="refused"}`),
		unknown:    set.NewCounter(`peridotlb_submissions_total{outcome="unknown"}`),
	}
}

// metricsHandler serves /metrics, /healthz, /readyz and profiles.
func (d *Daemon) metricsHandler(set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		writeProblems(w, d.unhealthy(r))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		writeProblems(w, append(d.unhealthy(r), d.unready()...))
	})
	return mux
}

// unhealthy returns what a restart of the process may mend.
func (d *Daemon) unhealthy(r *http.Request) []string {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	if err := d.loop.view(ctx, func(*fleet.Core) {}); err != nil {
		return []string{"the decision core did not answer within 1s"}
	}
	return nil
}

// unready returns why calls should not come here.
func (d *Daemon) unready() []string {
	var problems []string
	if d.leaving.Load() {
		problems = append(problems, "the daemon is leaving the fleet")
	}
	if d.calls.routes.Load() == nil {
		problem := "no version is applied yet"
		if !d.platformUp.Load() {
			problem += fmt.Sprintf(": the table at %s does not answer", platformName(d.settings))
		}
		problems = append(problems, problem)
	}
	return problems
}

func platformName(s settings.Daemon) string {
	if s.Platform == settings.Memory {
		return "memory"
	}
	return s.TableEndpoint.Host
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
