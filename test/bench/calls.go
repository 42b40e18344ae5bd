package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/test/mesh"
)

// Settings of the call measurements.
const (
	latencyCallers  = 4
	latencyInterval = 8 * time.Millisecond // between the calls of one caller
	loadRounds      = 3
	callPath        = "/calls/1"
	// callDaemons places the first and the last daemon in the same zone, so that
	// the simulated network delays do not add to the latency.
	callDaemons = 5
)

// accessPath is a path on which calls reach the backend server.
type accessPath struct {
	name    string
	url     string
	daemons []*mesh.Host // hosts whose daemons forward the call
	client  *http.Client
}

// measureCalls compares calls to a backend server directly, through the daemon on
// its host and through a daemon on another host. The access paths are measured in
// turn, so that other load on the machine affects all of them.
func measureCalls(ctx context.Context, o options, r *reporter) (err error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	m, err := mesh.Start(ctx, mesh.Config{
		Deployment: mesh.Kujaza, BinDir: o.binDir, Daemons: callDaemons, OperatorTokens: operatorTokens(1), KeepLogs: o.keepLogs,
		ServerFlags: []string{"--service-time", "0s", "--slots", "256"},
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, m.Close()) }()
	paths, err := setUpCalls(ctx, m, o)
	if err != nil {
		return err
	}
	if err := measureLatency(ctx, o, r, paths); err != nil {
		return fmt.Errorf("measure latency: %w", err)
	}
	if err := measureFixedRates(ctx, o, r, paths[1:]); err != nil {
		return fmt.Errorf("measure fixed rates: %w", err)
	}
	if err := measureThroughput(ctx, o, r, paths); err != nil {
		return fmt.Errorf("measure throughput: %w", err)
	}
	return nil
}

// setUpCalls starts a backend server on the first host and waits until calls
// succeed on every access path.
func setUpCalls(ctx context.Context, m *mesh.Mesh, o options) ([]accessPath, error) {
	local, other := m.Hosts[0], m.Hosts[callDaemons-1]
	section := document.Section{
		Name: "section-0", Team: teamName(0),
		Services: []document.Service{{Name: serviceName(0), Slots: 256, Connections: 1000}},
		Routes: []document.Route{{
			Name: "read-calls", PathPrefix: "/calls", Methods: []string{"GET"}, Service: serviceName(0), Timeout: 2 * time.Second,
		}},
	}
	version, err := local.SubmitSections(ctx, teamToken(0), "calls", 0, operator.SectionToAPI(section))
	if err != nil {
		return nil, err
	}
	if err := m.WaitApplied(ctx, version); err != nil {
		return nil, fmt.Errorf("wait for the first version: %w", err)
	}
	local.Service = string(serviceName(0))
	if err := m.StartServer(ctx, local); err != nil {
		return nil, err
	}
	paths := []accessPath{
		{name: "direct", url: local.ServerURL()},
		{name: "local-server", url: local.CallURL(), daemons: []*mesh.Host{local}},
		{name: "server-on-other-host", url: other.CallURL(), daemons: []*mesh.Host{other, local}},
	}
	for i := range paths {
		paths[i].client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: o.callers}}
		if err := paths[i].waitReady(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", paths[i].name, err)
		}
	}
	return paths, nil
}

// waitReady retries a call until it succeeds.
func (p accessPath) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		_, err := p.call(ctx)
		if err == nil {
			return nil
		}
		if ended := sleep(ctx, 50*time.Millisecond); ended != nil {
			return fmt.Errorf("%w: %w", ended, err)
		}
	}
}

// call makes one call and checks that the response is complete.
func (p accessPath) call(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url+callPath, nil)
	if err != nil {
		return 0, fmt.Errorf("create request: %w", err)
	}
	response, err := p.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode != http.StatusOK || !strings.Contains(string(text), callPath) {
		return 0, fmt.Errorf("%s: %s: %s", p.url, response.Status, text)
	}
	return time.Since(start), nil
}

// measureLatency runs a few callers that call each access path in turn, at a rate
// far below the capacity of the daemons.
func measureLatency(ctx context.Context, o options, r *reporter, paths []accessPath) error {
	latencies := make([][]time.Duration, len(paths))
	failed := make([]int, len(paths))
	var mu sync.Mutex
	var group errgroup.Group
	end := time.Now().Add(o.callDuration)
	for caller := range latencyCallers {
		group.Go(func() error {
			if err := sleep(ctx, time.Duration(caller)*latencyInterval/latencyCallers); err != nil {
				return err
			}
			for n := 0; time.Now().Before(end); n++ {
				start := time.Now()
				for k := range paths {
					k = (k + n) % len(paths)
					d, err := paths[k].call(ctx)
					mu.Lock()
					if err != nil {
						failed[k]++
					} else {
						latencies[k] = append(latencies[k], d)
					}
					mu.Unlock()
				}
				if err := sleep(ctx, latencyInterval-time.Since(start)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	var rows []row
	for k, p := range paths {
		slices.Sort(latencies[k])
		added := func(q float64) float64 {
			return milliseconds(quantile(latencies[k], q) - quantile(latencies[0], q))
		}
		rows = append(rows, row{
			{"way", p.name},
			{"calls", len(latencies[k])},
			{"failed", failed[k]},
			{"p50-ms", milliseconds(quantile(latencies[k], 0.5))},
			{"p99-ms", milliseconds(quantile(latencies[k], 0.99))},
			{"added-p50-ms", added(0.5)},
			{"added-p99-ms", added(0.99)},
		})
	}
	return r.printTable("latency of calls", rows...)
}

// measureFixedRates measures the CPU time per call at fixed rates. The CPU time
// of the idle daemons is subtracted.
func measureFixedRates(ctx context.Context, o options, r *reporter, paths []accessPath) error {
	var rows []row
	for _, p := range paths {
		_, _, idleSeconds, err := p.callAtRate(ctx, 0, o.callDuration)
		if err != nil {
			return err
		}
		for _, rate := range o.rates {
			calls, failed, cpuSeconds, err := p.callAtRate(ctx, rate, o.callDuration)
			if err != nil {
				return err
			}
			rows = append(rows, row{
				{"way", p.name},
				{"rate", rate},
				{"calls", calls},
				{"failed", failed},
				{"idle-core-seconds", idleSeconds},
				{"core-seconds", cpuSeconds},
				{"ms-per-call", milliseconds(time.Duration((cpuSeconds - idleSeconds) / float64(max(calls, 1)) * float64(time.Second)))},
			})
		}
	}
	return r.printTable("CPU time of calls at fixed rates", rows...)
}

// callAtRate makes calls at a fixed rate for the duration d. It returns the
// number of calls, the number of failed calls, and the CPU time in seconds of the
// daemons on the access path.
func (p accessPath) callAtRate(ctx context.Context, rate int, d time.Duration) (calls, failed int, cpuSeconds float64, err error) {
	before, err := cpuTime(ctx, p.daemons)
	if err != nil {
		return 0, 0, 0, err
	}
	var failures atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	calls = int(float64(rate) * d.Seconds())
	for n := range calls {
		if err := sleep(ctx, time.Until(start.Add(d*time.Duration(n)/time.Duration(calls)))); err != nil {
			return 0, 0, 0, err
		}
		group.Go(func() {
			if _, err := p.call(ctx); err != nil {
				failures.Add(1)
			}
		})
	}
	group.Wait()
	if err := sleep(ctx, time.Until(start.Add(d))); err != nil {
		return 0, 0, 0, err
	}
	after, err := cpuTime(ctx, p.daemons)
	return calls, int(failures.Load()), after - before, err
}

// measureThroughput makes as many calls as the callers can on each access path in
// turn, and divides their number by the CPU time of the daemons on the path.
func measureThroughput(ctx context.Context, o options, r *reporter, paths []accessPath) error {
	calls := make([]int, len(paths))
	failed := make([]int, len(paths))
	cpuSeconds := make([]float64, len(paths))
	seconds := make([]float64, len(paths))
	for range loadRounds {
		for k, p := range paths {
			before, err := cpuTime(ctx, p.daemons)
			if err != nil {
				return err
			}
			start := time.Now()
			done, failures := p.callUnderLoad(ctx, o.callers, o.callDuration/time.Duration(loadRounds*len(paths)))
			calls[k] += done
			failed[k] += failures
			seconds[k] += time.Since(start).Seconds()
			after, err := cpuTime(ctx, p.daemons)
			if err != nil {
				return err
			}
			cpuSeconds[k] += after - before
		}
	}
	var rows []row
	for k, p := range paths {
		var perCore any = "-"
		if cpuSeconds[k] > 0 {
			perCore = float64(calls[k]) / cpuSeconds[k]
		}
		rows = append(rows, row{
			{"way", p.name},
			{"callers", o.callers},
			{"calls", calls[k]},
			{"failed", failed[k]},
			{"calls-s", float64(calls[k]) / seconds[k]},
			{"daemon-core-seconds", cpuSeconds[k]},
			{"calls-s-per-daemon-core", perCore},
		})
	}
	return r.printTable("calls under load", rows...)
}

// callUnderLoad makes calls without a pause for the duration d, and returns how
// many succeeded and how many failed.
func (p accessPath) callUnderLoad(ctx context.Context, callers int, d time.Duration) (calls, failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for range callers {
		group.Go(func() {
			done, failures := 0, 0
			for time.Now().Before(end) && ctx.Err() == nil {
				if _, err := p.call(ctx); err != nil {
					failures++
				} else {
					done++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			calls += done
			failed += failures
		})
	}
	group.Wait()
	return calls, failed
}

// cpuTime returns the total CPU time of the daemons in seconds.
func cpuTime(ctx context.Context, hosts []*mesh.Host) (float64, error) {
	sum := 0.0
	for _, h := range hosts {
		metrics, err := h.Metrics(ctx)
		if err != nil {
			return 0, err
		}
		sum += metrics[metricCPU]
	}
	return sum, nil
}
