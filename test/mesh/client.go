package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// tokenSource provides the bearer token of an operator API client.
type tokenSource string

// Bearer implements api.SecuritySource.
func (t tokenSource) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(t)}, nil
}

// httpClient does not reuse connections, since hosts are stopped and restarted.
var httpClient = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Operator returns a client for the operator API of the host's daemon.
func (h *Host) Operator(token string) (*api.Client, error) {
	return api.NewClient(h.OperatorURL(), tokenSource(token), api.WithClient(httpClient))
}

// maxTimelineEvents limits the number of events in a query result.
const maxTimelineEvents = 100000

// Convergence holds the distribution of the times in which the daemons applied a
// version, and the number of these daemons.
type Convergence struct {
	P50, P99, Max time.Duration
	DaemonCount   int
}

// MeasureConvergence waits until every running daemon has applied the version, and
// returns the times since its acceptance as the daemons measured them. All daemons
// run on one machine, so their clocks agree.
func (m *Mesh) MeasureConvergence(ctx context.Context, version uint64) (Convergence, error) {
	if err := m.WaitApplied(ctx, version); err != nil {
		return Convergence{}, err
	}
	var delays []time.Duration
	for _, h := range m.Hosts {
		if !h.Daemon.Running() {
			continue
		}
		seconds, err := h.Metric(ctx, "peridotlb_version_apply_delay_seconds")
		if err != nil {
			return Convergence{}, err
		}
		delays = append(delays, time.Duration(seconds*float64(time.Second)))
	}
	slices.Sort(delays)
	return Convergence{P50: quantile(delays, 0.5), P99: quantile(delays, 0.99), Max: delays[len(delays)-1], DaemonCount: len(delays)}, nil
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// AnyRunningHost returns a host whose daemon runs, or the first host if there is
// none.
func (m *Mesh) AnyRunningHost() *Host {
	for _, h := range m.Hosts {
		if h.Daemon != nil && h.Daemon.Running() {
			return h
		}
	}
	return m.Hosts[0]
}

// WaitApplied waits until every running daemon has applied the version or a
// later one.
func (m *Mesh) WaitApplied(ctx context.Context, version uint64) error {
	return m.waitForDaemons(ctx, func(h *Host) error {
		got, err := h.Metric(ctx, "peridotlb_version_applied")
		if err != nil {
			return err
		}
		if uint64(got) < version {
			return fmt.Errorf("%s has applied version %d, want at least %d", h.ID, uint64(got), version)
		}
		return nil
	})
}

// waitForDaemons repeats a check for every running daemon until it passes or the
// daemon has ended.
func (m *Mesh) waitForDaemons(ctx context.Context, check func(*Host) error) error {
	return m.forEachRunning(func(h *Host) error {
		for h.Daemon.Running() {
			err := check(h)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%w: %w", ctx.Err(), err)
			case <-time.After(50 * time.Millisecond):
			}
		}
		return nil
	})
}

// WaitServers waits until every running daemon knows n ready backend servers.
func (m *Mesh) WaitServers(ctx context.Context, n int) error {
	return m.waitForDaemons(ctx, func(h *Host) error {
		client, err := h.Operator(ReadToken())
		if err != nil {
			return err
		}
		list, err := client.ListServers(ctx, api.ListServersParams{})
		if err != nil {
			return fmt.Errorf("list backend servers known to %s: %w", h.ID, err)
		}
		ready := 0
		for _, s := range list.Servers {
			if s.State == api.ServerStateReady {
				ready++
			}
		}
		if ready < n {
			return fmt.Errorf("%s knows %d ready backend servers, want at least %d", h.ID, ready, n)
		}
		return nil
	})
}

// Metric reads the value of one metric of the host's daemon. The name includes the
// labels.
func (h *Host) Metric(ctx context.Context, name string) (float64, error) {
	text, err := get(ctx, h.MetricsURL()+"/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, fmt.Errorf("%s: no metric %s", h.ID, name)
}

// SumMetric returns the sum of a metric over the running daemons. Daemons whose
// metric cannot be read are skipped.
func (m *Mesh) SumMetric(ctx context.Context, name string) float64 {
	var sum float64
	for _, h := range m.Hosts {
		if h.Daemon.Running() {
			if v, err := h.Metric(ctx, name); err == nil {
				sum += v
			}
		}
	}
	return sum
}

// SetPlatformFaults changes the given faults of the platform, for example
// {"down": true}.
func (m *Mesh) SetPlatformFaults(ctx context.Context, faults map[string]any) error {
	return m.post(ctx, "http://"+m.platformAddr(1)+"/-/faults", faults)
}

func (m *Mesh) post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request body: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(data)))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	_, err = do(r)
	return err
}

func get(ctx context.Context, url string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", fmt.Errorf("create request: %w", err)
	}
	return do(r)
}

func do(r *http.Request) (string, error) {
	response, err := httpClient.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("read response from %s: %w", r.URL, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return "", fmt.Errorf("%s: %s: %s", r.URL, response.Status, text)
	}
	return string(text), nil
}

// LinkBytes returns the bytes that crossed the region link in both directions, as
// counted by the relay. UDP carries control traffic, and TCP carries calls and the
// platform's traffic.
func (m *Mesh) LinkBytes(ctx context.Context) (udp, tcp uint64, err error) {
	text, err := get(ctx, "http://"+m.relayControlAddr()+"/-/counters")
	if err != nil {
		return 0, 0, err
	}
	var counters struct {
		Regions []struct {
			UDP uint64 `json:"udp-bytes"`
			TCP uint64 `json:"tcp-bytes"`
		} `json:"regions"`
	}
	if err := json.Unmarshal([]byte(text), &counters); err != nil {
		return 0, 0, fmt.Errorf("decode relay counters: %w", err)
	}
	for _, r := range counters.Regions {
		udp += r.UDP
		tcp += r.TCP
	}
	return udp, tcp, nil
}

// RunCounts returns how often each paid action ran on the running backend servers,
// by idempotency key. The counts of stopped servers are passed in ended.
func (m *Mesh) RunCounts(ctx context.Context, ended ...map[string]int) (map[string]int, error) {
	sum := make(map[string]int)
	for _, runs := range ended {
		for k, n := range runs {
			sum[k] += n
		}
	}
	for _, h := range m.Hosts {
		if h.Server == nil || !h.Server.Running() {
			continue
		}
		runs, err := h.RunCounts(ctx)
		if err != nil {
			return nil, err
		}
		for k, n := range runs {
			sum[k] += n
		}
	}
	return sum, nil
}

// RunCounts returns how often each paid action ran on the host's backend server,
// by idempotency key.
func (h *Host) RunCounts(ctx context.Context) (map[string]int, error) {
	text, err := get(ctx, h.ServerURL()+"/-/runs")
	if err != nil {
		return nil, fmt.Errorf("read run counts of %s: %w", h.ServerID(), err)
	}
	runs := make(map[string]int)
	if err := json.Unmarshal([]byte(text), &runs); err != nil {
		return nil, fmt.Errorf("decode run counts of %s: %w", h.ServerID(), err)
	}
	return runs, nil
}
