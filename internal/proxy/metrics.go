package proxy

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// callMetrics are the metrics of the call path. Labelled counters are cached in
// maps, because building the name of a metric allocates.
type callMetrics struct {
	set           *metrics.Set
	calls         labelledCounter // by service
	failures      labelledCounter // by reason
	refused       labelledCounter // by reason
	broken        labelledCounter // responses that broke off while they were passed on, by reason
	forwarded     *metrics.Counter
	nested        *metrics.Counter // calls that got the priority of a request that a server of this host runs
	sentToServers *metrics.Counter // calls that the gate sent to backend servers
	retries       *metrics.Counter
	retriesDenied *metrics.Counter
	latencyAdded  *metrics.Histogram // seconds
	entryInFlight *metrics.Gauge
	gateInFlight  *metrics.Gauge
}

func newCallMetrics(set *metrics.Set) *callMetrics {
	return &callMetrics{
		set:           set,
		calls:         labelledCounter{set: set, name: "peridotlb_calls_total", label: "service"},
		failures:      labelledCounter{set: set, name: "peridotlb_failures_total", label: "reason"},
		refused:       labelledCounter{set: set, name: "peridotlb_refused_total", label: "reason"},
		broken:        labelledCounter{set: set, name: "peridotlb_responses_broken_total", label: "reason"},
		nested:        set.GetOrCreateCounter("peridotlb_calls_nested_total"),
		forwarded:     set.GetOrCreateCounter("peridotlb_calls_forwarded_total"),
		sentToServers: set.GetOrCreateCounter("peridotlb_gate_calls_total"),
		retries:       set.GetOrCreateCounter("peridotlb_retries_total"),
		retriesDenied: set.GetOrCreateCounter("peridotlb_retries_denied_total"),
		latencyAdded:  set.GetOrCreateHistogram("peridotlb_latency_added_seconds"),
		entryInFlight: set.GetOrCreateGauge(`peridotlb_in_flight{side="entry"}`, nil),
		gateInFlight:  set.GetOrCreateGauge(`peridotlb_in_flight{side="gate"}`, nil),
	}
}

type labelledCounter struct {
	set         *metrics.Set
	name, label string
	counters    sync.Map // label value to *metrics.Counter
}

func (l *labelledCounter) inc(value string) {
	c, ok := l.counters.Load(value)
	if !ok {
		c, _ = l.counters.LoadOrStore(value, l.set.GetOrCreateCounter(l.name+`{`+l.label+`="`+value+`"}`))
	}
	c.(*metrics.Counter).Inc()
}
