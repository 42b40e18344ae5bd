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
	callRate         = 200              // calls per second
	paidShare        = 0.15             // share of calls that are paid actions
	steadyLoadTime   = 3 * time.Second  // load before the changes and after the drain
	stopTimeout      = 15 * time.Second // limits the graceful stop of a backend server
	convergenceLimit = 7 * time.Second  // guaranteed maximum time until all daemons have applied an accepted version
	sectionChanges   = 3                // changes submitted under load
)

// result holds the measurements of one deployment. Times are in milliseconds.
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

// totals aggregates the results: counts are added up, and times and versions
// are the maximum.
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

// demoRun is the demo of one deployment.
type demoRun struct {
	mesh *mesh.Mesh
	doc  document.Document
	result
}

func (d *demoRun) addViolation(format string, args ...any) {
	d.Violations = append(d.Violations, fmt.Sprintf(format, args...))
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
	running := &demoRun{mesh: m, doc: doc, result: result{Deployment: d.Name, Daemons: len(m.Hosts), Violations: []string{}}}
	if err := running.setUp(ctx); err != nil {
		return result{}, err
	}
	return running.result, running.runUnderLoad(ctx)
}

// setUp submits the document and waits until every daemon knows all backend
// servers.
func (d *demoRun) setUp(ctx context.Context) error {
	version, err := d.mesh.SubmitAll(ctx, d.doc)
	if err != nil {
		return err
	}
	if err := d.mesh.WaitApplied(ctx, version); err != nil {
		return fmt.Errorf("wait for the first version: %w", err)
	}
	if err := d.mesh.WaitServers(ctx, len(d.mesh.Hosts)); err != nil {
		return fmt.Errorf("wait for the announcements of backend servers: %w", err)
	}
	d.Version = version
	return nil
}

// runUnderLoad changes a section and drains a backend server while calls are
// made.
func (d *demoRun) runUnderLoad(ctx context.Context) error {
	var targets []string
	for _, h := range d.mesh.Hosts {
		targets = append(targets, h.CallURL())
	}
	l := load.Start(ctx, load.Config{
		Targets: targets, Rate: callRate, PaidShare: paidShare, Seed: 1, Retries: 2,
		ReadPaths: []string{"/stock", "/prices", "/orders"}, PaidPath: "/orders",
	})
	time.Sleep(steadyLoadTime)
	if err := d.changeSection(ctx); err != nil {
		l.Stop()
		return err
	}
	ended, err := d.drainServer(ctx)
	if err != nil {
		l.Stop()
		return err
	}
	time.Sleep(steadyLoadTime)
	return d.checkResults(ctx, l.Stop(), ended)
}

// changeSection submits several changes of a section under load.
func (d *demoRun) changeSection(ctx context.Context) error {
	for i := range sectionChanges {
		for j, section := range d.doc.Sections {
			if section.Name == "stock" {
				d.doc.Sections[j].Routes[0].Timeout += 100 * time.Millisecond
			}
		}
		h := d.mesh.Hosts[(3*i+1)%len(d.mesh.Hosts)]
		version, err := h.Submit(ctx, "stock-team", fmt.Sprintf("change-%d", i), d.Version, d.doc)
		if err != nil {
			return fmt.Errorf("change a section: %w", err)
		}
		d.Version = version
		c, err := d.mesh.MeasureConvergence(ctx, version)
		if err != nil {
			return fmt.Errorf("measure convergence: %w", err)
		}
		d.ConvergenceP50 = max(d.ConvergenceP50, c.P50.Milliseconds())
		d.ConvergenceMax = max(d.ConvergenceMax, c.Max.Milliseconds())
		if c.Max > convergenceLimit {
			d.addViolation("version %d was applied everywhere after %v, want at most %v", version, c.Max, convergenceLimit)
		}
		time.Sleep(time.Second)
	}
	return nil
}

// drainServer stops one backend server gracefully and returns the run counts of
// its paid actions.
func (d *demoRun) drainServer(ctx context.Context) (map[string]int, error) {
	for _, h := range d.mesh.Hosts {
		if h.Service != "bead-orders" {
			continue
		}
		if err := h.DrainServer(ctx); err != nil {
			return nil, fmt.Errorf("drain backend server: %w", err)
		}
		// A draining backend server gets no new calls after 3 s. This waits 3.5 s.
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
			d.addViolation("%s started %d actions more than 3 s after it began to drain", h.ServerID(), len(again)-len(runs))
		}
		return again, h.Server.Stop(stopTimeout)
	}
	return nil, fmt.Errorf("no host has a backend server of bead-orders")
}

// checkResults compares the responses that callers got with the actions that the
// backend servers ran.
func (d *demoRun) checkResults(ctx context.Context, r load.Result, ended map[string]int) error {
	runs, err := d.mesh.RunCounts(ctx, ended)
	if err != nil {
		return fmt.Errorf("read run counts: %w", err)
	}
	d.Calls, d.Failed, d.Refused = r.Calls, r.Failed, r.Refused
	d.LatencyP99 = float64(r.Quantile(0.99).Microseconds()) / 1000
	for key, n := range runs {
		if n > 1 {
			d.Duplicated++
			d.addViolation("action %s ran %d times", key, n)
		}
	}
	for _, key := range r.AcknowledgedKeys {
		if runs[key] == 0 {
			d.addViolation("action %s was acknowledged but did not run", key)
		}
	}
	for _, key := range r.NotRunKeys {
		if runs[key] > 0 {
			d.addViolation("action %s was refused as not run but ran", key)
		}
	}
	if r.Mismatched > 0 {
		d.addViolation("%d calls got a truncated response or the response to another request", r.Mismatched)
	}
	if r.Failed > 0 {
		d.addViolation("%d calls failed, for example: %v", r.Failed, r.Errors)
	}
	d.ControlBytes = uint64(d.mesh.SumMetric(ctx, `peridotlb_control_sent_bytes{path="all"}`))
	udp, _, err := d.mesh.LinkBytes(ctx)
	d.LinkBytes = udp
	return err
}
