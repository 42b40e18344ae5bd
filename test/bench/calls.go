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

// Load of the measurements of calls.
const (
	latencyCallers  = 4
	latencyInterval = 8 * time.Millisecond // between the calls of one caller
	loadRounds      = 3
	callPath        = "/calls/1"
	// callDaemons puts the first and the last daemon into the same zone, so that
	// the delays of the network are no part of the latency.
	callDaemons = 5
)

// way is a way to reach the backend server.
type accessPath struct {
	name    string
	url     string
	daemons []*mesh.Host // on the way
	client  *http.Client
}

// runCalls compares calls to a backend server directly, through the daemon on
// its host and through a daemon on another host. The ways take turns, so that
// other work on the machine affects all of them.
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
	ways, err := setUpCalls(ctx, m, o)
	if err != nil {
		return err
	}
	if err := measureLatency(ctx, o, r, ways); err != nil {
		return fmt.Errorf("latency: %w", err)
	}
	if err := measureFixedRates(ctx, o, r, ways[1:]); err != nil {
		return fmt.Errorf("rates: %w", err)
	}
	if err := measureThroughput(ctx, o, r, ways); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

// prepareCalls starts a backend server on the first host and waits until the
// daemons reach it.
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
		return nil, fmt.Errorf("first version: %w", err)
	}
	local.Service = string(serviceName(0))
	if err := m.StartServer(ctx, local); err != nil {
		return nil, err
	}
	ways := []accessPath{
		{name: "direct", url: local.ServerURL()},
		{name: "local-server", url: local.CallURL(), daemons: []*mesh.Host{local}},
		{name: "server-on-other-host", url: other.CallURL(), daemons: []*mesh.Host{other, local}},
	}
	for i := range ways {
		ways[i].client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: o.callers}}
		if err := ways[i].waitReady(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", ways[i].name, err)
		}
	}
	return ways, nil
}

// wait repeats a call until it succeeds.
func (w accessPath) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		_, err := w.call(ctx)
		if err == nil {
			return nil
		}
		if ended := sleep(ctx, 50*time.Millisecond); ended != nil {
			return fmt.Errorf("%w: %w", ended, err)
		}
	}
}

// call makes one call and checks that the response is complete.
func (w accessPath) call(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, w.url+callPath, nil)
	if err != nil {
		return 0, fmt.Errorf("make request: %w", err)
	}
	response, err := w.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode != http.StatusOK || !strings.Contains(string(text), callPath) {
		return 0, fmt.Errorf("%s: %s: %s", w.url, response.Status, text)
	}
	return time.Since(start), nil
}

// callLatency lets a few callers make a call on each way in turn, at a rate far
// below what the daemons can take.
func measureLatency(ctx context.Context, o options, r *reporter, ways []accessPath) error {
	took := make([][]time.Duration, len(ways))
	failed := make([]int, len(ways))
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
				for k := range ways {
					k = (k + n) % len(ways)
					d, err := ways[k].call(ctx)
					mu.Lock()
					if err != nil {
						failed[k]++
					} else {
						took[k] = append(took[k], d)
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
	for k, w := range ways {
		slices.Sort(took[k])
		added := func(q float64) float64 {
			return milliseconds(quantile(took[k], q) - quantile(took[0], q))
		}
		rows = append(rows, row{
			{"way", w.name},
			{"calls", len(took[k])},
			{"failed", failed[k]},
			{"p50-ms", milliseconds(quantile(took[k], 0.5))},
			{"p99-ms", milliseconds(quantile(took[k], 0.99))},
			{"added-p50-ms", added(0.5)},
			{"added-p99-ms", added(0.99)},
		})
	}
	return r.printTable("latency of calls", rows...)
}

// callRates measures the processor time of a call at fixed rates. The processor
// time of the daemons without calls is taken off.
func measureFixedRates(ctx context.Context, o options, r *reporter, ways []accessPath) error {
	var rows []row
	for _, w := range ways {
		_, _, idle, err := w.callAtRate(ctx, 0, o.callDuration)
		if err != nil {
			return err
		}
		for _, rate := range o.rates {
			calls, failed, cpu, err := w.callAtRate(ctx, rate, o.callDuration)
			if err != nil {
				return err
			}
			rows = append(rows, row{
				{"way", w.name},
				{"rate", rate},
				{"calls", calls},
				{"failed", failed},
				{"idle-core-seconds", idle},
				{"core-seconds", cpu},
				{"ms-per-call", milliseconds(time.Duration((cpu - idle) / float64(max(calls, 1)) * float64(time.Second)))},
			})
		}
	}
	return r.printTable("processor time of calls at fixed rates", rows...)
}

// pace makes calls at a rate for a while, and returns how many it made, how many
// of them failed, and the processor time of the daemons on the way in seconds.
func (w accessPath) callAtRate(ctx context.Context, rate int, d time.Duration) (calls, failed int, cpu float64, err error) {
	before, err := cpuTime(ctx, w.daemons)
	if err != nil {
		return 0, 0, 0, err
	}
	var bad atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	calls = int(float64(rate) * d.Seconds())
	for n := range calls {
		if err := sleep(ctx, time.Until(start.Add(d*time.Duration(n)/time.Duration(calls)))); err != nil {
			return 0, 0, 0, err
		}
		group.Go(func() {
			if _, err := w.call(ctx); err != nil {
				bad.Add(1)
			}
		})
	}
	group.Wait()
	if err := sleep(ctx, time.Until(start.Add(d))); err != nil {
		return 0, 0, 0, err
	}
	after, err := cpuTime(ctx, w.daemons)
	return calls, int(bad.Load()), after - before, err
}

// callLoad makes as many calls as the callers can on each way in turn, and
// divides them by the processor time of the daemons on the way.
func measureThroughput(ctx context.Context, o options, r *reporter, ways []accessPath) error {
	calls := make([]int, len(ways))
	failed := make([]int, len(ways))
	cpu := make([]float64, len(ways))
	seconds := make([]float64, len(ways))
	for range loadRounds {
		for k, w := range ways {
			before, err := cpuTime(ctx, w.daemons)
			if err != nil {
				return err
			}
			start := time.Now()
			done, bad := w.callUnderLoad(ctx, o.callers, o.callDuration/time.Duration(loadRounds*len(ways)))
			calls[k] += done
			failed[k] += bad
			seconds[k] += time.Since(start).Seconds()
			after, err := cpuTime(ctx, w.daemons)
			if err != nil {
				return err
			}
			cpu[k] += after - before
		}
	}
	var rows []row
	for k, w := range ways {
		var perCore any = "-"
		if cpu[k] > 0 {
			perCore = float64(calls[k]) / cpu[k]
		}
		rows = append(rows, row{
			{"way", w.name},
			{"callers", o.callers},
			{"calls", calls[k]},
			{"failed", failed[k]},
			{"calls-s", float64(calls[k]) / seconds[k]},
			{"daemon-core-seconds", cpu[k]},
			{"calls-s-per-daemon-core", perCore},
		})
	}
	return r.printTable("calls under load", rows...)
}

// load makes calls without a pause and returns how many succeeded and failed.
func (w accessPath) callUnderLoad(ctx context.Context, callers int, d time.Duration) (calls, failed int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for range callers {
		group.Go(func() {
			done, bad := 0, 0
			for time.Now().Before(end) && ctx.Err() == nil {
				if _, err := w.call(ctx); err != nil {
					bad++
				} else {
					done++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			calls += done
			failed += bad
		})
	}
	group.Wait()
	return calls, failed
}

// processorTime returns the processor time of daemons in seconds.
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
