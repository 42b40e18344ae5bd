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
	callRate      = 200 // calls per second
	paidShare     = 0.15
	steadyTime    = 3 * time.Second
	stopTimeout   = 15 * time.Second
	convergeLimit = 7 * time.Second // the promise
	changes       = 3
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
	Broken         []string `json:"broken"`
}

// total adds up the deployments.
func total(results []result) any {
	sum := result{Broken: []string{}}
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
		sum.Broken = append(sum.Broken, r.Broken...)
	}
	return struct {
		result
		Deployments []result `json:"deployments"`
	}{sum, results}
}

// scene is a running demo of one deployment.
type scene struct {
	mesh *mesh.Mesh
	doc  document.Document
	result
}

func (s *scene) broken(format string, args ...any) {
	s.Broken = append(s.Broken, fmt.Sprintf(format, args...))
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
	m, err := mesh.Start(ctx, mesh.Config{Deployment: d, Bin: bin, Servers: true, Logs: logs})
	if err != nil {
		return result{}, fmt.Errorf("start mesh: %w", err)
	}
	defer m.Close()
	if logs {
		fmt.Println("logs:", m.Dir)
	}
	s := &scene{mesh: m, doc: doc, result: result{Deployment: d.Name, Daemons: len(m.Hosts), Broken: []string{}}}
	if err := s.prepare(ctx); err != nil {
		return result{}, err
	}
	return s.result, s.play(ctx)
}

// prepare submits the document and waits until all backend servers are known.
func (s *scene) prepare(ctx context.Context) error {
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
func (s *scene) play(ctx context.Context) error {
	var targets []string
	for _, h := range s.mesh.Hosts {
		targets = append(targets, h.CallURL())
	}
	l := load.Start(ctx, load.Config{
		Targets: targets, Rate: callRate, PaidShare: paidShare, Seed: 1, Retries: 2,
		ReadPaths: []string{"/stock", "/prices", "/orders"}, PaidPath: "/orders",
	})
	time.Sleep(steadyTime)
	if err := s.change(ctx); err != nil {
		l.Stop()
		return err
	}
	ended, err := s.drain(ctx)
	if err != nil {
		l.Stop()
		return err
	}
	time.Sleep(steadyTime)
	return s.account(ctx, l.Stop(), ended)
}

// change changes a section several times under load.
func (s *scene) change(ctx context.Context) error {
	for i := range changes {
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
		c, err := s.mesh.Converge(ctx, version)
		if err != nil {
			return fmt.Errorf("convergence: %w", err)
		}
		s.ConvergenceP50 = max(s.ConvergenceP50, c.P50.Milliseconds())
		s.ConvergenceMax = max(s.ConvergenceMax, c.Max.Milliseconds())
		if c.Max > convergeLimit {
			s.broken("version %d was in force after %v, want at most %v", version, c.Max, convergeLimit)
		}
		time.Sleep(time.Second)
	}
	return nil
}

// drain stops one backend server gracefully and returns the actions that it
// ran.
func (s *scene) drain(ctx context.Context) (map[string]int, error) {
	for _, h := range s.mesh.Hosts {
		if h.Service != "bead-orders" {
			continue
		}
		if err := h.DrainServer(ctx); err != nil {
			return nil, fmt.Errorf("drain: %w", err)
		}
		time.Sleep(convergeLimit / 2)
		runs, err := h.Runs(ctx)
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		again, err := h.Runs(ctx)
		if err != nil {
			return nil, err
		}
		if len(again) != len(runs) {
			s.broken("%s ran %d actions more than 3 s after it began to drain", h.ServerID(), len(again)-len(runs))
		}
		return again, h.Server.Stop(stopTimeout)
	}
	return nil, fmt.Errorf("no backend server of bead-orders")
}

// account compares what callers saw with what the backend servers ran.
func (s *scene) account(ctx context.Context, r load.Result, ended map[string]int) error {
	runs, err := s.mesh.Runs(ctx, ended)
	if err != nil {
		return fmt.Errorf("runs: %w", err)
	}
	s.Calls, s.Failed, s.Refused = r.Calls, r.Failed, r.Refused
	s.LatencyP99 = float64(r.Quantile(0.99).Microseconds()) / 1000
	for key, n := range runs {
		if n > 1 {
			s.Duplicated++
			s.broken("action %s ran %d times", key, n)
		}
	}
	for _, key := range r.Acknowledged {
		if runs[key] == 0 {
			s.broken("action %s was acknowledged and did not run", key)
		}
	}
	for _, key := range r.NotRun {
		if runs[key] > 0 {
			s.broken("action %s ran although a refusal said that it did not", key)
		}
	}
	if r.Wrong > 0 {
		s.broken("%d callers got the answer to another request", r.Wrong)
	}
	if r.Failed > 0 {
		s.broken("%d calls failed, for example: %v", r.Failed, r.Errors)
	}
	s.ControlBytes = uint64(s.mesh.SumMetric(ctx, `peridotlb_control_sent_bytes{path="all"}`))
	udp, _, err := s.mesh.LinkBytes(ctx)
	s.LinkBytes = udp
	return err
}
