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

// tokenSource gives the operator API client its token.
type tokenSource string

// Bearer implements api.SecuritySource.
func (t tokenSource) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(t)}, nil
}

// httpClient does not reuse connections: hosts come and go.
var httpClient = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Operator returns a client of the operator API of a host.
func (h *Host) Operator(token string) (*api.Client, error) {
	return api.NewClient(h.OperatorURL(), tokenSource(token), api.WithClient(httpClient))
}

// maxTimeline is the number of events that a query returns at most.
const maxTimelineEvents = 100000

// Convergence is how long a version took to be in force everywhere.
type Convergence struct {
	P50, P99, Max time.Duration
	Hosts         int
}

// Converge waits until every running daemon has applied the version and
// returns the time from its acceptance, as the daemons measured it. All run on
// one machine, so that their clocks agree.
func (m *Mesh) MeasureConvergence(ctx context.Context, version uint64) (Convergence, error) {
	if err := m.WaitApplied(ctx, version); err != nil {
		return Convergence{}, err
	}
	var took []time.Duration
	for _, h := range m.Hosts {
		if !h.Daemon.Running() {
			continue
		}
		seconds, err := h.Metric(ctx, "peridotlb_version_apply_delay_seconds")
		if err != nil {
			return Convergence{}, err
		}
		took = append(took, time.Duration(seconds*float64(time.Second)))
	}
	slices.Sort(took)
	return Convergence{P50: quantile(took, 0.5), P99: quantile(took, 0.99), Max: took[len(took)-1], Hosts: len(took)}, nil
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// AnyDaemon returns a host whose daemon runs.
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
			return fmt.Errorf("%s: got version %d, want %d", h.ID, uint64(got), version)
		}
		return nil
	})
}

// waitAll repeats a check for every running daemon until it passes.
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
		client, err := h.Operator(AnyToken())
		if err != nil {
			return err
		}
		list, err := client.ListServers(ctx, api.ListServersParams{})
		if err != nil {
			return fmt.Errorf("%s: %w", h.ID, err)
		}
		ready := 0
		for _, s := range list.Servers {
			if s.State == api.ServerStateReady {
				ready++
			}
		}
		if ready < n {
			return fmt.Errorf("%s: got %d ready backend servers, want %d", h.ID, ready, n)
		}
		return nil
	})
}

// Metric reads one metric of a daemon. The name includes its labels.
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

// SumMetric adds up a metric over the running daemons.
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

// Fault changes the faults of the platform, for example {"down": true}.
func (m *Mesh) SetPlatformFaults(ctx context.Context, faults map[string]any) error {
	return m.post(ctx, "http://"+m.platformAddr(1)+"/-/faults", faults)
}

func (m *Mesh) post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(data)))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	_, err = do(r)
	return err
}

func get(ctx context.Context, url string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", fmt.Errorf("make request: %w", err)
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
		return "", fmt.Errorf("read %s: %w", r.URL, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return "", fmt.Errorf("%s: %s: %s", r.URL, response.Status, text)
	}
	return string(text), nil
}

// LinkBytes returns the bytes that crossed the region link, both ways, as the
// relay counted them: control traffic (UDP) and calls with the platform's
// traffic (TCP).
func (m *Mesh) LinkBytes(ctx context.Context) (udp, tcp uint64, err error) {
	text, err := get(ctx, "http://"+m.relayControl()+"/-/counters")
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

// Runs returns how often each paid action ran, over all backend servers. Those
// of servers that have ended are in ended.
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

// Runs returns how often each paid action ran on the backend server of a host.
func (h *Host) RunCounts(ctx context.Context) (map[string]int, error) {
	text, err := get(ctx, h.ServerURL()+"/-/runs")
	if err != nil {
		return nil, fmt.Errorf("runs of %s: %w", h.ServerID(), err)
	}
	runs := make(map[string]int)
	if err := json.Unmarshal([]byte(text), &runs); err != nil {
		return nil, fmt.Errorf("decode runs of %s: %w", h.ServerID(), err)
	}
	return runs, nil
}
