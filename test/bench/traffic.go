package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/test/mesh"
)

// Metrics of a daemon that a sample reads.
const (
	metricSent     = `peridotlb_control_sent_bytes{path="all"}`
	metricReceived = `peridotlb_control_received_bytes{path="all"}`
	metricCPU      = "process_cpu_seconds_total"
	metricMemory   = "process_resident_memory_bytes"
	metricDropped  = "peridotlb_core_messages_dropped_total"
	metricLost     = "peridotlb_control_messages_dropped_total"
)

// sample holds the counters of the fleet at one time. Daemons count control
// bytes at their UDP sockets, the relay counts the bytes between regions, both
// with IP and UDP headers.
type sample struct {
	at      time.Time
	hosts   map[host.ID]mesh.Metrics
	linkUDP uint64
	linkTCP uint64
	dropped uint64 // UDP packets that the relay dropped
}

func takeSample(ctx context.Context, m *mesh.Mesh) (sample, error) {
	s := sample{at: time.Now()}
	report, err := m.RelayCounters(ctx)
	if err != nil {
		return s, err
	}
	for _, c := range report.Regions {
		s.linkUDP += c.UDPBytes
		s.linkTCP += c.TCPBytes
		s.dropped += c.UDPDropped
	}
	if s.hosts, err = m.Metrics(ctx); err != nil {
		return s, err
	}
	total := 0.0
	for _, metrics := range s.hosts {
		total += metrics[metricMemory]
	}
	if total > fleetMemory {
		return s, fmt.Errorf("the daemons take %.0f MB of memory, want at most %d MB", total/1e6, fleetMemory/1000000)
	}
	return s, nil
}

// traffic is the difference of two samples.
type traffic struct {
	took     time.Duration
	sent     float64 // control bytes sent by all daemons
	mean     float64 // control bytes sent and received per daemon and second
	busiest  float64 // the same of the busiest daemon
	who      host.ID
	linkUDP  float64 // bytes between regions, both directions
	linkTCP  float64
	dropped  float64 // packets dropped by the relay
	cpu      float64 // share of a core per daemon
	cpuMax   float64
	memory   float64 // resident bytes per daemon
	memMax   float64
	overflow float64 // messages that daemons dropped
}

// difference leaves out daemons that do not run at both samples or that were
// restarted in between.
func difference(a, b sample) traffic {
	t := traffic{
		took: b.at.Sub(a.at), linkUDP: float64(b.linkUDP - a.linkUDP), linkTCP: float64(b.linkTCP - a.linkTCP),
		dropped: float64(b.dropped - a.dropped),
	}
	seconds := t.took.Seconds()
	n := 0.0
	for id, now := range b.hosts {
		before, ok := a.hosts[id]
		if !ok || now[metricCPU] < before[metricCPU] {
			continue
		}
		n++
		sent := now[metricSent] - before[metricSent]
		rate := (sent + now[metricReceived] - before[metricReceived]) / seconds
		t.sent += sent
		t.mean += rate
		if rate > t.busiest {
			t.busiest, t.who = rate, id
		}
		cpu := (now[metricCPU] - before[metricCPU]) / seconds
		t.cpu += cpu
		t.cpuMax = max(t.cpuMax, cpu)
		t.memory += now[metricMemory]
		t.memMax = max(t.memMax, now[metricMemory])
		t.overflow += now[metricDropped] + now[metricLost] - before[metricDropped] - before[metricLost]
	}
	if n > 0 {
		t.mean, t.cpu, t.memory = t.mean/n, t.cpu/n, t.memory/n
	}
	return t
}

// during samples the fleet before and after f and a wait.
func during(ctx context.Context, m *mesh.Mesh, wait time.Duration, f func() error) (traffic, error) {
	before, err := takeSample(ctx, m)
	if err != nil {
		return traffic{}, err
	}
	if err := f(); err != nil {
		return traffic{}, err
	}
	if err := sleep(ctx, time.Until(before.at.Add(wait))); err != nil {
		return traffic{}, err
	}
	after, err := takeSample(ctx, m)
	return difference(before, after), err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Settling of the traffic after a start.
const (
	settleWindow = 5 * time.Second // one probe interval of the region link
	settleChange = 0.15
	settleLimit  = 90 * time.Second
)

// settle waits until the control traffic of two windows in a row differs by
// little. It reports the time it took, and false when the limit was reached.
func settle(ctx context.Context, m *mesh.Mesh) (time.Duration, bool, error) {
	start := time.Now()
	last, steady := 0.0, 0
	for time.Since(start) < settleLimit {
		t, err := during(ctx, m, settleWindow, func() error { return nil })
		if err != nil {
			return 0, false, fmt.Errorf("wait for steady traffic: %w", err)
		}
		rate := t.sent / t.took.Seconds()
		if last > 0 && rate > last*(1-settleChange) && rate < last*(1+settleChange) {
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
