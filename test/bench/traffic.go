package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/test/mesh"
)

// Daemon metrics that a sample uses.
const (
	metricSent           = `peridotlb_control_sent_bytes{path="all"}`
	metricReceived       = `peridotlb_control_received_bytes{path="all"}`
	metricCPU            = "process_cpu_seconds_total"
	metricMemory         = "process_resident_memory_bytes"
	metricCoreDropped    = "peridotlb_core_messages_dropped_total"
	metricControlDropped = "peridotlb_control_messages_dropped_total"
)

// sample holds the counters of the fleet at one time. Daemons count the control
// bytes at their UDP sockets, and the relay counts the bytes between regions. Both
// include IP and UDP headers.
type sample struct {
	takenAt      time.Time
	hosts        map[host.ID]mesh.Metrics
	linkUDPBytes uint64
	linkTCPBytes uint64
	relayDropped uint64 // UDP packets that the relay dropped
}

func takeSample(ctx context.Context, m *mesh.Mesh) (sample, error) {
	s := sample{takenAt: time.Now()}
	report, err := m.RelayCounters(ctx)
	if err != nil {
		return s, err
	}
	for _, c := range report.Regions {
		s.linkUDPBytes += c.UDPBytes
		s.linkTCPBytes += c.TCPBytes
		s.relayDropped += c.UDPDropped
	}
	if s.hosts, err = m.Metrics(ctx); err != nil {
		return s, err
	}
	total := 0.0
	for _, metrics := range s.hosts {
		total += metrics[metricMemory]
	}
	if total > maxFleetMemory {
		return s, fmt.Errorf("the daemons use %.0f MB of memory, want at most %d MB; use fewer daemons", total/1e6, maxFleetMemory/1000000)
	}
	return s, nil
}

// traffic is the difference between two samples.
type traffic struct {
	duration      time.Duration
	sentBytes     float64 // control bytes sent by all daemons
	meanRate      float64 // control bytes sent and received per daemon and second
	maxRate       float64 // highest such rate of one daemon
	busiestHost   host.ID
	linkUDPBytes  float64 // bytes between regions, both directions
	linkTCPBytes  float64
	relayDropped  float64 // packets dropped by the relay
	meanCPU       float64 // share of a core per daemon
	maxCPU        float64
	meanMemory    float64 // resident bytes per daemon
	maxMemory     float64
	daemonDropped float64 // messages that daemons dropped
}

// trafficBetween computes the traffic between two samples. It skips daemons that do
// not run at both samples or that were restarted in between.
func trafficBetween(a, b sample) traffic {
	t := traffic{
		duration: b.takenAt.Sub(a.takenAt), linkUDPBytes: float64(b.linkUDPBytes - a.linkUDPBytes), linkTCPBytes: float64(b.linkTCPBytes - a.linkTCPBytes),
		relayDropped: float64(b.relayDropped - a.relayDropped),
	}
	seconds := t.duration.Seconds()
	n := 0.0
	for id, now := range b.hosts {
		before, ok := a.hosts[id]
		if !ok || now[metricCPU] < before[metricCPU] {
			continue
		}
		n++
		sent := now[metricSent] - before[metricSent]
		rate := (sent + now[metricReceived] - before[metricReceived]) / seconds
		t.sentBytes += sent
		t.meanRate += rate
		if rate > t.maxRate {
			t.maxRate, t.busiestHost = rate, id
		}
		cpu := (now[metricCPU] - before[metricCPU]) / seconds
		t.meanCPU += cpu
		t.maxCPU = max(t.maxCPU, cpu)
		t.meanMemory += now[metricMemory]
		t.maxMemory = max(t.maxMemory, now[metricMemory])
		t.daemonDropped += now[metricCoreDropped] + now[metricControlDropped] - before[metricCoreDropped] - before[metricControlDropped]
	}
	if n > 0 {
		t.meanRate, t.meanCPU, t.meanMemory = t.meanRate/n, t.meanCPU/n, t.meanMemory/n
	}
	return t
}

// measureTraffic runs f and measures the traffic from its start until it has
// returned and at least the given time has passed.
func measureTraffic(ctx context.Context, m *mesh.Mesh, wait time.Duration, f func() error) (traffic, error) {
	before, err := takeSample(ctx, m)
	if err != nil {
		return traffic{}, err
	}
	if err := f(); err != nil {
		return traffic{}, err
	}
	if err := sleep(ctx, time.Until(before.takenAt.Add(wait))); err != nil {
		return traffic{}, err
	}
	after, err := takeSample(ctx, m)
	return trafficBetween(before, after), err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Criteria for steady traffic after a start.
const (
	steadyWindow    = 5 * time.Second // the probe interval of the region link
	steadyTolerance = 0.15            // largest relative difference between two windows
	steadyTimeout   = 90 * time.Second
)

// waitSteadyTraffic waits until the control traffic of a window differs by less
// than steadyTolerance from the previous window twice in a row. It returns the time
// that this took, and false if steadyTimeout was reached.
func waitSteadyTraffic(ctx context.Context, m *mesh.Mesh) (time.Duration, bool, error) {
	start := time.Now()
	last, steady := 0.0, 0
	for time.Since(start) < steadyTimeout {
		t, err := measureTraffic(ctx, m, steadyWindow, func() error { return nil })
		if err != nil {
			return 0, false, fmt.Errorf("wait for steady traffic: %w", err)
		}
		rate := t.sentBytes / t.duration.Seconds()
		if last > 0 && rate > last*(1-steadyTolerance) && rate < last*(1+steadyTolerance) {
			steady++
		} else {
			steady = 0
		}
		if steady == 2 {
			return time.Since(start), true, nil
		}
		last = rate
	}
	return time.Since(start), false, nil
}
