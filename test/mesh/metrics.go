package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator/api"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/test/relay/relay"
)

// maxConcurrentRequests limits the number of concurrent requests to daemons.
const maxConcurrentRequests = 16

// Metrics holds the metrics of a daemon by name and labels.
type Metrics map[string]float64

// Metrics reads all metrics of a daemon.
func (h *Host) Metrics(ctx context.Context) (Metrics, error) {
	text, err := get(ctx, h.MetricsURL()+"/metrics")
	if err != nil {
		return nil, fmt.Errorf("read metrics of %s: %w", h.ID, err)
	}
	metrics := Metrics{}
	for line := range strings.Lines(text) {
		i := strings.LastIndexByte(line, ' ')
		if i < 0 || line[0] == '#' {
			continue
		}
		if v, err := strconv.ParseFloat(strings.TrimSpace(line[i+1:]), 64); err == nil {
			metrics[line[:i]] = v
		}
	}
	return metrics, nil
}

// Metrics reads the metrics of all running daemons. Daemons that end in the
// meantime are skipped.
func (m *Mesh) Metrics(ctx context.Context) (map[host.ID]Metrics, error) {
	var mu sync.Mutex
	all := make(map[host.ID]Metrics)
	err := m.forEachRunning(func(h *Host) error {
		metrics, err := h.Metrics(ctx)
		if err != nil {
			if h.Daemon.Running() {
				return err
			}
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		all[h.ID] = metrics
		return nil
	})
	return all, err
}

// RunningHosts returns the hosts whose daemon runs.
func (m *Mesh) RunningHosts() []*Host {
	var running []*Host
	for _, h := range m.Hosts {
		if h.Daemon != nil && h.Daemon.Running() {
			running = append(running, h)
		}
	}
	return running
}

// forEachRunning calls f for every running daemon, at most maxConcurrentRequests at
// a time.
func (m *Mesh) forEachRunning(f func(*Host) error) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for _, h := range m.RunningHosts() {
		group.Go(func() error { return f(h) })
	}
	return group.Wait()
}

// RelayCounters reads the counters of the relay.
func (m *Mesh) RelayCounters(ctx context.Context) (relay.Report, error) {
	text, err := get(ctx, "http://"+m.relayControlAddr()+"/-/counters")
	if err != nil {
		return relay.Report{}, fmt.Errorf("read relay counters: %w", err)
	}
	var report relay.Report
	if err := json.Unmarshal([]byte(text), &report); err != nil {
		return relay.Report{}, fmt.Errorf("decode relay counters: %w", err)
	}
	return report, nil
}

// OneWayDelay returns the one-way network delay between two hosts.
func (m *Mesh) OneWayDelay(a, b *Host) time.Duration {
	switch {
	case a.Region != b.Region:
		return m.Deployment.RegionDelay
	case a.Zone != b.Zone:
		return m.Deployment.ZoneDelay
	default:
		return 0
	}
}

// MaxOneWayDelay returns the largest one-way delay from a host to a running daemon.
func (m *Mesh) MaxOneWayDelay(from *Host) time.Duration {
	var farthest time.Duration
	for _, h := range m.RunningHosts() {
		farthest = max(farthest, m.OneWayDelay(from, h))
	}
	return farthest
}

// PlatformClient returns a platform client that uses the same network path as the
// daemon of a host.
func (m *Mesh) PlatformClient(h *Host) (*platform.Remote, error) {
	endpoint := "http://" + m.platformAddr(h.zoneNumber)
	return platform.New(platform.Config{
		TableEndpoint: endpoint, ObjectEndpoint: endpoint, Table: "peridotlb", Bucket: "peridotlb",
		AccessKey: "test", SecretKey: "test", SigningRegion: "local", Source: h.addr,
	})
}

// SubmitSections submits changed sections with the token of a team.
func (h *Host) SubmitSections(ctx context.Context, token, id string, base uint64, changed ...api.Section) (uint64, error) {
	client, err := h.Operator(token)
	if err != nil {
		return 0, fmt.Errorf("create operator client: %w", err)
	}
	return submit(ctx, client, &api.Submission{ID: id, Base: base, Changed: changed})
}

// Timeline returns the events of a kind that all running daemons recorded since a
// time. The daemons query each other, so the query itself adds control traffic.
func (m *Mesh) Timeline(ctx context.Context, token, kind string, since time.Time) (*api.Timeline, error) {
	client, err := m.AnyRunningHost().Operator(token)
	if err != nil {
		return nil, fmt.Errorf("create operator client: %w", err)
	}
	line, err := client.QueryTimeline(ctx, api.QueryTimelineParams{
		Kind: api.NewOptString(kind), Since: api.NewOptDateTime(since), Limit: api.NewOptInt(maxTimelineEvents),
	})
	if err != nil {
		return nil, fmt.Errorf("query timeline: %w", err)
	}
	return line, nil
}

// LogProblems counts the distinct warnings and errors in the logs of the daemons
// and returns them with the most frequent first.
func (m *Mesh) LogProblems() ([]LogProblem, error) {
	counts := make(map[LogProblem]int)
	var errs []error
	for _, h := range m.Hosts {
		if h.Daemon != nil {
			errs = append(errs, countLogProblems(h.Daemon.Log, counts))
		}
	}
	var list []LogProblem
	for c, n := range counts {
		c.Count = n
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b LogProblem) int { return b.Count - a.Count })
	return list, errors.Join(errs...)
}

// LogProblem is a distinct warning or error in the logs.
type LogProblem struct {
	Level  string `json:"level"`
	Logger string `json:"logger"`
	Text   string `json:"msg"`
	Error  string `json:"error"`
	Count  int    `json:"count"`
}

// countLogProblems adds the problems in one log file to counts. Lines that are not
// JSON objects, such as those of a panic, count as errors.
func countLogProblems(name string, counts map[LogProblem]int) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var c LogProblem
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			c = LogProblem{Level: "error", Logger: "process", Text: lines.Text()}
		}
		if c.Level != "info" && c.Level != "debug" {
			counts[c]++
		}
	}
	return lines.Err()
}
