package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/test/caller/load"
	"github.com/peridotlb/peridotlb/test/mesh"
)

const (
	callRate  = 100 // calls per second
	paidShare = 0.4 // share of calls that are paid actions
	// serviceTime is how long calls run, so that some are in flight at each fault.
	serviceTime = "120ms"
	// stopTimeout bounds a planned stop: the drain timeout of the daemon and its exit.
	stopTimeout = 15 * time.Second
	// setUpTimeout bounds the start of the mesh.
	setUpTimeout = 40 * time.Second
	// recoveryTime is the time from the end of the last fault until every host must
	// serve calls, with the newest version.
	recoveryTime = 15 * time.Second
	// watchInterval is the time between two checks while faults are in progress.
	watchInterval = 2 * time.Second
)

// config configures a soak.
type config struct {
	seed     uint64
	duration time.Duration
	hosts    int
	bin      string // directory of the built programs
	document document.Document
	keepLogs bool
	out      io.Writer
}

// soak is a run of a schedule.
type soak struct {
	config
	mesh  *mesh.Mesh
	start time.Time

	// processes is held for each host while a fault affects a process of it. A planned
	// stop can take longer than its fault, and the next fault then waits.
	processes []sync.Mutex

	submitting sync.Mutex // held during a submission
	submitted  int        // submissions so far
	version    uint64     // newest accepted version

	mu       sync.Mutex
	stopped  map[int]bool // hosts whose daemon was stopped or killed on purpose
	broken   []string
	reported map[string]bool
}

// run runs a soak and returns the promises that were broken.
func run(ctx context.Context, c config) ([]string, error) {
	s := &soak{config: c, processes: make([]sync.Mutex, c.hosts), stopped: make(map[int]bool), reported: make(map[string]bool)}
	d := mesh.Kujaza
	d.ServersPerService = []int{c.hosts / 3, c.hosts / 3, c.hosts - 2*(c.hosts/3)}
	var err error
	s.mesh, err = mesh.Start(ctx, mesh.Config{
		Deployment: d, BinDir: c.bin, Daemons: c.hosts, Servers: true, Peers: true, KeepLogs: c.keepLogs, ServerFlags: []string{"--service-time", serviceTime},
	})
	if err != nil {
		return nil, fmt.Errorf("start mesh: %w", err)
	}
	defer func() { _ = s.mesh.Close() }()
	if c.keepLogs {
		s.print("logs: %s", s.mesh.Dir)
	}
	if err := s.setUp(ctx); err != nil {
		return nil, err
	}
	calls := load.Start(ctx, load.Config{
		Targets: s.targets(), Rate: callRate, PaidShare: paidShare, Seed: c.seed, Retries: 2,
		ReadPaths: []string{"/stock", "/prices", "/orders"}, PaidPath: "/orders",
	})
	s.start = time.Now()
	s.play(ctx)
	s.checkRecovery(ctx)
	result := calls.Stop()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("run seed %d: %w", c.seed, err)
	}
	s.print("%d calls, %d failed, %d attempts refused, %d outcomes unknown, %d versions", result.Calls, result.Failed, result.Refused, result.Unknown, s.submitted)
	if err := s.checkAll(result); err != nil {
		return nil, err
	}
	return s.broken, nil
}

func (s *soak) targets() []string {
	var all []string
	for _, h := range s.mesh.Hosts {
		all = append(all, h.CallURL())
	}
	return all
}

func (s *soak) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setUpTimeout)
	defer cancel()
	var err error
	if s.version, err = s.mesh.SubmitAll(ctx, s.document); err != nil {
		return fmt.Errorf("submit the document: %w", err)
	}
	if err := s.mesh.WaitApplied(ctx, s.version); err != nil {
		return fmt.Errorf("wait for the first version: %w", err)
	}
	if err := s.mesh.WaitServers(ctx, len(s.mesh.Hosts)); err != nil {
		return fmt.Errorf("wait for the backend servers: %w", err)
	}
	return nil
}

// play runs the schedule and waits until all faults have ended.
func (s *soak) play(ctx context.Context) {
	watched, stopWatch := context.WithCancel(ctx)
	var watching, playing sync.WaitGroup
	watching.Go(func() { s.watch(watched) })
	for _, e := range newSchedule(scheduleConfig{seed: s.seed, length: s.duration, hosts: len(s.mesh.Hosts), zones: len(s.mesh.Zones())}) {
		select {
		case <-time.After(time.Until(s.start.Add(e.at))):
		case <-ctx.Done():
		}
		playing.Go(func() { s.playEvent(ctx, e) })
	}
	playing.Wait()
	stopWatch()
	watching.Wait()
}

// playEvent applies a fault and ends it.
func (s *soak) playEvent(ctx context.Context, e event) {
	if f, ok := e.fault.(processFault); ok {
		s.processes[f.host].Lock()
		defer s.processes[f.host].Unlock()
	}
	s.print("%s for %v", e.fault.describe(), e.duration.Round(time.Millisecond))
	if err := s.apply(ctx, e.fault); err != nil {
		s.violate("%s: %v", e.fault.describe(), err)
	}
	select {
	case <-time.After(time.Until(s.start.Add(e.end()))):
	case <-ctx.Done():
		return
	}
	if err := s.end(ctx, e.fault); err != nil {
		s.violate("end of %s: %v", e.fault.describe(), err)
	}
}

func (s *soak) apply(ctx context.Context, f fault) error {
	switch f := f.(type) {
	case processFault:
		return s.applyProcess(f)
	case platformFault:
		return s.mesh.SetPlatformFaults(ctx, map[string]any{f.name: f.value})
	case zoneCut:
		return s.changeZone(ctx, "cut", f.zone)
	case regionCut:
		return s.changeRegions(ctx, "cut")
	case change:
		return s.submit(ctx)
	}
	return fmt.Errorf("unknown fault %T", f)
}

func (s *soak) end(ctx context.Context, f fault) error {
	switch f := f.(type) {
	case processFault:
		return s.endProcess(ctx, f)
	case platformFault:
		return s.mesh.SetPlatformFaults(ctx, map[string]any{"down": false, "slow-ms": 0, "lose-answers": 0})
	case zoneCut:
		return s.changeZone(ctx, "heal", f.zone)
	case regionCut:
		return s.changeRegions(ctx, "heal")
	}
	return nil
}

func (s *soak) process(f processFault) *mesh.Process {
	h := s.mesh.Hosts[f.host]
	if f.target == server {
		return h.Server
	}
	return h.Daemon
}

func (s *soak) applyProcess(f processFault) error {
	if f.target == daemon && f.action != freeze {
		s.setStopped(f.host, true)
	}
	switch f.action {
	case kill:
		return s.process(f).Kill()
	case stop:
		return s.process(f).Stop(stopTimeout)
	case freeze:
		return s.process(f).Freeze()
	}
	return fmt.Errorf("unknown action %d", f.action)
}

func (s *soak) endProcess(ctx context.Context, f processFault) error {
	h := s.mesh.Hosts[f.host]
	switch {
	case f.action == freeze:
		return s.process(f).Resume()
	case f.target == server:
		return s.mesh.StartServer(ctx, h)
	}
	err := s.mesh.StartDaemon(ctx, h)
	s.setStopped(f.host, false)
	return err
}

func (s *soak) setStopped(host int, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped[host] = stopped
}

// changeZone cuts a zone off from the others, or heals that.
func (s *soak) changeZone(ctx context.Context, action string, zone int) error {
	zones := s.mesh.Zones()
	for i, other := range zones {
		if i == zone {
			continue
		}
		if err := s.mesh.ChangeNetwork(ctx, action, zones[zone], other, nil); err != nil {
			return fmt.Errorf("%s %s and %s: %w", action, zones[zone], other, err)
		}
	}
	return nil
}

func (s *soak) changeRegions(ctx context.Context, action string) error {
	r := s.mesh.Deployment.Regions
	return s.mesh.ChangeNetwork(ctx, action, string(r[0]), string(r[1]), nil)
}

// submit changes a timeout. During faults a submission may be refused or have an unknown
// outcome, which breaks no promise.
func (s *soak) submit(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxFault)
	defer cancel()
	s.submitting.Lock()
	defer s.submitting.Unlock()
	s.submitted++
	section := &s.document.Sections[0]
	section.Routes[0].Timeout = time.Duration(2000+s.submitted) * time.Millisecond
	v, err := s.mesh.AnyRunningHost().Submit(ctx, section.Team, fmt.Sprintf("soak-%d-%d", s.seed, s.submitted), s.version, document.Document{Sections: s.document.Sections[:1]})
	if err == nil {
		s.version = max(s.version, v)
		return nil
	}
	s.print("not accepted: %v", err)
	return nil
}

// watch checks what can be seen while faults are in progress.
func (s *soak) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.checkProcesses()
			if lines, err := s.runLogs(); err == nil {
				for _, b := range countRuns(lines).duplicates() {
					s.violate("%s", b)
				}
			}
		}
	}
}

// checkProcesses reports the daemons that ended by themselves.
func (s *soak) checkProcesses() {
	for i, h := range s.mesh.Hosts {
		s.mu.Lock()
		stopped := s.stopped[i]
		s.mu.Unlock()
		if !stopped && !h.Daemon.Running() {
			s.violate("the daemon of %s ended by itself", h.ID)
		}
	}
}

// checkRecovery checks that every host serves calls again, with the newest version.
func (s *soak) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	if err := s.mesh.WaitApplied(ctx, s.version); err != nil {
		s.violate("%v after the last fault: %v", recoveryTime, err)
	}
	var waiting sync.WaitGroup
	for _, h := range s.mesh.Hosts {
		waiting.Go(func() {
			if err := waitServing(ctx, h); err != nil {
				s.violate("%s does not serve %v after the last fault: %v", h.ID, recoveryTime, err)
			}
		})
	}
	waiting.Wait()
}

// waitServing waits until a host answers calls of each service.
func waitServing(ctx context.Context, h *mesh.Host) error {
	for _, path := range []string{"/stock", "/prices", "/orders"} {
		for {
			err := get(ctx, h.CallURL()+path)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return err
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

func get(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return nil
}

// checkAll checks the promises to callers and the versions of all hosts.
func (s *soak) checkAll(l load.Result) error {
	s.checkProcesses()
	lines, err := s.runLogs()
	if err != nil {
		return err
	}
	for _, b := range checkCalls(l, countRuns(lines)) {
		s.violate("%s", b)
	}
	for _, h := range s.mesh.Hosts {
		versions, err := s.mesh.AppliedVersions(h)
		if err != nil {
			return err
		}
		for _, b := range checkVersions(string(h.ID), versions) {
			s.violate("%s", b)
		}
	}
	return nil
}

// runLogs returns the run logs of all backend servers.
func (s *soak) runLogs() ([]string, error) {
	var all []string
	for _, h := range s.mesh.Hosts {
		lines, err := s.mesh.RunLog(h)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// violate records a broken promise once, with the time since the start of the load.
func (s *soak) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.mu.Lock()
	if !s.reported[text] {
		s.reported[text] = true
		s.broken = append(s.broken, fmt.Sprintf("%.1f s: %s", time.Since(s.start).Seconds(), text))
	}
	s.mu.Unlock()
}

func (s *soak) print(format string, args ...any) {
	at := 0.0
	if !s.start.IsZero() {
		at = time.Since(s.start).Seconds()
	}
	fmt.Fprintf(s.out, "%6.1f s  %s\n", at, fmt.Sprintf(format, args...))
}
