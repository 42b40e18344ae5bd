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

// requestLimit bounds the requests to daemons that are under way at a time.
const requestLimit = 16

// Metrics holds the metrics of a daemon by name and labels.
type Metrics map[string]float64

// Metrics reads all metrics of a daemon.
func (h *Host) Metrics(ctx context.Context) (Metrics, error) {
	text, err := get(ctx, h.MetricsURL()+"/metrics")
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", h.ID, err)
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

// Metrics reads the metrics of all running daemons. A daemon that ends
// meanwhile is left out.
func (m *Mesh) Metrics(ctx context.Context) (map[host.ID]Metrics, error) {
	var mu sync.Mutex
	all := make(map[host.ID]Metrics)
	err := m.eachRunning(func(h *Host) error {
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

// Running returns the hosts whose daemon runs.
func (m *Mesh) Running() []*Host {
	var running []*Host
	for _, h := range m.Hosts {
		if h.Daemon != nil && h.Daemon.Running() {
			running = append(running, h)
		}
	}
	return running
}

// eachRunning calls f for every running daemon, a bounded number at a time.
func (m *Mesh) eachRunning(f func(*Host) error) error {
	var group errgroup.Group
	group.SetLimit(requestLimit)
	for _, h := range m.Running() {
		group.Go(func() error { return f(h) })
	}
	return group.Wait()
}

// RelayCounters returns the relay's counters.
func (m *Mesh) RelayCounters(ctx context.Context) (relay.Report, error) {
	text, err := get(ctx, "http://"+m.relayControl()+"/-/counters")
	if err != nil {
		return relay.Report{}, fmt.Errorf("relay counters: %w", err)
	}
	var report relay.Report
	if err := json.Unmarshal([]byte(text), &report); err != nil {
		return relay.Report{}, fmt.Errorf("relay counters: %w", err)
	}
	return report, nil
}

// OneWay returns the delay of the network between two hosts.
func (m *Mesh) OneWay(a, b *Host) time.Duration {
	switch {
	case a.Region != b.Region:
		return m.Deployment.RegionDelay
	case a.Zone != b.Zone:
		return m.Deployment.ZoneDelay
	default:
		return 0
	}
}

// Farthest returns the largest one-way delay from a host to a running daemon.
func (m *Mesh) Farthest(from *Host) time.Duration {
	var farthest time.Duration
	for _, h := range m.Running() {
		farthest = max(farthest, m.OneWay(from, h))
	}
	return farthest
}

// PlatformClient returns a client that reaches the platform as the daemon of a
// host does.
func (m *Mesh) PlatformClient(h *Host) (*platform.Remote, error) {
	endpoint := "http://" + m.platformAddr(h.zone)
	return platform.New(platform.Config{
		TableEndpoint: endpoint, ObjectEndpoint: endpoint, Table: "peridotlb", Bucket: "peridotlb",
		AccessKey: "test", SecretKey: "test", SigningRegion: "local", Source: h.addr,
	})
}

// SubmitSections submits changed sections as an operator of the token's team.
func (h *Host) SubmitSections(ctx context.Context, token, id string, base uint64, changed ...api.Section) (uint64, error) {
	client, err := h.Operator(token)
	if err != nil {
		return 0, fmt.Errorf("operator client: %w", err)
	}
	return submit(ctx, client, &api.Submission{ID: id, Base: base, Changed: changed})
}

// Timeline returns the events of a kind from all running daemons since a time.
// Daemons ask each other for them, so that the query itself is control traffic.
func (m *Mesh) Timeline(ctx context.Context, token, kind string, since time.Time) (*api.Timeline, error) {
	client, err := m.AnyDaemon().Operator(token)
	if err != nil {
		return nil, fmt.Errorf("operator client: %w", err)
	}
	line, err := client.QueryTimeline(ctx, api.QueryTimelineParams{
		Kind: api.NewOptString(kind), Since: api.NewOptDateTime(since), Limit: api.NewOptInt(maxTimeline),
	})
	if err != nil {
		return nil, fmt.Errorf("query timeline: %w", err)
	}
	return line, nil
}

// Complaints counts the warnings and errors in the logs of the daemons by their
// text, in the order of their number.
func (m *Mesh) Complaints() ([]Complaint, error) {
	counts := make(map[Complaint]int)
	var errs []error
	for _, h := range m.Hosts {
		if h.Daemon != nil {
			errs = append(errs, countComplaints(h.Daemon.Log, counts))
		}
	}
	var list []Complaint
	for c, n := range counts {
		c.Count = n
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Complaint) int { return b.Count - a.Count })
	return list, errors.Join(errs...)
}

// Complaint is a kind of warning or error in the logs.
type Complaint struct {
	Level  string `json:"level"`
	Logger string `json:"logger"`
	Text   string `json:"msg"`
	Error  string `json:"error"`
	Count  int    `json:"count"`
}

// countComplaints reads one log file. Lines that are no JSON objects, such as
// those of a panic, count as errors.
func countComplaints(name string, counts map[Complaint]int) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var c Complaint
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			c = Complaint{Level: "error", Logger: "process", Text: lines.Text()}
		}
		if c.Level != "info" && c.Level != "debug" {
			counts[c]++
		}
	}
	return lines.Err()
}
