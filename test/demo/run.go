package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/test/caller/load"
	"github.com/peridotlb/peridotlb/test/mesh"
)

const (
	callRate         = 200 // calls per second
	paidShare        = 0.15
	steadyLoadTime   = 3 * time.Second
	stopTimeout      = 15 * time.Second
	convergenceLimit = 7 * time.Second // the promise
	sectionChanges   = 3
)

// result is what one deployment did. Times are in milliseconds.
type result struct {
	Deployment     string   `json:"deployment,omitempty"`
	Daemons        int      `json:"daemons"`
	Version        uint64   `json:"version"`
	ConvergenceP50 int64    `json:"convergence-p50-ms"`
	ConvergenceMax int64    `json:"convergence-max-ms"`
	ControlBytes   uint64   `json:"control-bytes"`
	LinkBytes      uint64   `json:"link-bytes"`
	Calls          int      `json:"calls"`
	Failed         int      `json:"calls-failed"`
	Duplicated     int      `json:"calls-duplicated"`
	Refused        int      `json:"calls-refused"`
	LatencyP99     float64  `json:"latency-p99-ms"`
	Violations     []string `json:"broken"`
}

// total adds up the deployments.
func totals(results []result) any {
	sum := result{Violations: []string{}}
	for _, r := range results {
		sum.Daemons += r.Daemons
		sum.Version = max(sum.Version, r.Version)
		sum.ConvergenceP50 = max(sum.ConvergenceP50, r.ConvergenceP50)
		sum.ConvergenceMax = max(sum.ConvergenceMax, r.ConvergenceMax)
		sum.ControlBytes += r.ControlBytes
		sum.LinkBytes += r.LinkBytes
		sum.Calls += r.Calls
		sum.Failed += r.Failed
		sum.Duplicated += r.Duplicated
		sum.Refused += r.Refused
		sum.LatencyP99 = max(sum.LatencyP99, r.LatencyP99)
		sum.Violations = append(sum.Violations, r.Violations...)
	}
	return struct {
		result
		Deployments []result `json:"deployments"`
	}{sum, results}
}

// scene is a running demo of one deployment.
type demoRun struct {
	mesh *mesh.Mesh
	doc  document.Document
	result
}

func (s *demoRun) addViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf(format, args...))
}

func run(ctx context.Context, d mesh.Deployment, bin, file string, logs bool) (result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return result{}, fmt.Errorf("read document: %w", err)
	}
	doc, err := document.Parse(file, data)
	if err != nil {
		return result{}, fmt.Errorf("parse document: %w", err)
	}
	m, err := mesh.Start(ctx, mesh.Config{Deployment: d, BinDir: bin, Servers: true, KeepLogs: logs})
	if err != nil {
		return result{}, fmt.Errorf("start mesh: %w", err)
	}
	defer m.Close()
	if logs {
		fmt.Println("logs:", m.Dir)
	}
	s := &demoRun{mesh: m, doc: doc, result: result{Deployment: d.Name, Daemons: len(m.Hosts), Violations: []string{}}}
	if err := s.setUp(ctx); err != nil {
		return result{}, err
	}
	return s.result, s.runUnderLoad(ctx)
}

// prepare submits the document and waits until all backend servers are known.
func (s *demoRun) setUp(ctx context.Context) error {
	version, err := s.mesh.SubmitAll(ctx, s.doc)
	if err != nil {
		return err
	}
	if err := s.mesh.WaitApplied(ctx, version); err != nil {
		return fmt.Errorf("first version: %w", err)
	}
	if err := s.mesh.WaitServers(ctx, len(s.mesh.Hosts)); err != nil {
		return fmt.Errorf("announcements: %w", err)
	}
	s.Version = version
	return nil
}

// play makes calls while a section changes and a backend server drains.
func (s *demoRun) runUnderLoad(ctx context.Context) error {
	var targets []string
	for _, h := range s.mesh.Hosts {
		targets = append(targets, h.CallURL())
	}
	l := load.Start(ctx, load.Config{
		Targets: targets, Rate: callRate, PaidShare: paidShare, Seed: 1, Retries: 2,
		ReadPaths: []string{"/stock", "/prices", "/orders"}, PaidPath: "/orders",
	})
	time.Sleep(steadyLoadTime)
	if err := s.changeSection(ctx); err != nil {
		l.Stop()
		return err
	}
	ended, err := s.drainServer(ctx)
	if err != nil {
		l.Stop()
		return err
	}
	time.Sleep(steadyLoadTime)
	return s.checkResults(ctx, l.Stop(), ended)
}

// change changes a section several times under load.
func (s *demoRun) changeSection(ctx context.Context) error {
	for i := range sectionChanges {
		for j, section := range s.doc.Sections {
			if section.Name == "stock" {
				s.doc.Sections[j].Routes[0].Timeout += 100 * time.Millisecond
			}
		}
		h := s.mesh.Hosts[(3*i+1)%len(s.mesh.Hosts)]
		version, err := h.Submit(ctx, "stock-team", fmt.Sprintf("change-%d", i), s.Version, s.doc)
		if err != nil {
			return fmt.Errorf("change a section: %w", err)
		}
		s.Version = version
		c, err := s.mesh.MeasureConvergence(ctx, version)
		if err != nil {
			return fmt.Errorf("convergence: %w", err)
		}
		s.ConvergenceP50 = max(s.ConvergenceP50, c.P50.Milliseconds())
		s.ConvergenceMax = max(s.ConvergenceMax, c.Max.Milliseconds())
		if c.Max > convergenceLimit {
			s.addViolation("version %d was in force after %v, want at most %v", version, c.Max, convergenceLimit)
		}
		time.Sleep(time.Second)
	}
	return nil
}

// drain stops one backend server gracefully and returns the actions that it
// ran.
func (s *demoRun) drainServer(ctx context.Context) (map[string]int, error) {
	for _, h := range s.mesh.Hosts {
		if h.Service != "bead-orders" {
			continue
		}
		if err := h.DrainServer(ctx); err != nil {
			return nil, fmt.Errorf("drain: %w", err)
		}
		time.Sleep(convergenceLimit / 2)
		runs, err := h.RunCounts(ctx)
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		again, err := h.RunCounts(ctx)
		if err != nil {
			return nil, err
		}
		if len(again) != len(runs) {
			s.addViolation("%s ran %d actions more than 3 s after it began to drain", h.ServerID(), len(again)-len(runs))
		}
		return again, h.Server.Stop(stopTimeout)
	}
	return nil, fmt.Errorf("no backend server of bead-orders")
}

// account compares what callers saw with what the backend servers ran.
func (s *demoRun) checkResults(ctx context.Context, r load.Result, ended map[string]int) error {
	runs, err := s.mesh.RunCounts(ctx, ended)
	if err != nil {
		return fmt.Errorf("runs: %w", err)
	}
	s.Calls, s.Failed, s.Refused = r.Calls, r.Failed, r.Refused
	s.LatencyP99 = float64(r.Quantile(0.99).Microseconds()) / 1000
	for key, n := range runs {
		if n > 1 {
			s.Duplicated++
			s.addViolation("action %s ran %d times", key, n)
		}
	}
	for _, key := range r.AcknowledgedKeys {
		if runs[key] == 0 {
			s.addViolation("action %s was acknowledged and did not run", key)
		}
	}
	for _, key := range r.NotRunKeys {
		if runs[key] > 0 {
			s.addViolation("action %s ran although a refusal said that it did not", key)
		}
	}
	if r.Mismatched > 0 {
		s.addViolation("%d callers got the answer to another request", r.Mismatched)
	}
	if r.Failed > 0 {
		s.addViolation("%d calls failed, for example: %v", r.Failed, r.Errors)
	}
	s.ControlBytes = uint64(s.mesh.SumMetric(ctx, `peridotlb_control_sent_bytes{path="all"}`))
	udp, _, err := s.mesh.LinkBytes(ctx)
	s.LinkBytes = udp
	return err
}
