package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/test/mesh"
)

// runConvergence measures every deployment at every size.
func measureConvergence(ctx context.Context, o options, r *reporter) error {
	for _, d := range o.deployments {
		for _, n := range o.daemons {
			if err := measureFleet(ctx, o, r, d, n); err != nil {
				return fmt.Errorf("%s with %d daemons: %w", d.Name, n, err)
			}
		}
	}
	return nil
}

// Memory of the fleet in bytes. Half of a machine of 32 GiB is the limit, since
// other work runs on it.
const (
	maxFleetMemory       = 15 << 30
	fleetSoftMemoryLimit = 11 << 30
	maxUnlimitedDaemons  = 60
)

// trial is a running fleet under measurement.
type fleetBench struct {
	*mesh.Mesh
	options
	reporter    *reporter
	doc         *benchDocument
	rng         *rand.Rand
	daemonCount int
	idleTraffic traffic // measured in the situation idle

	mu sync.Mutex // guards version
	// version is the newest one accepted.
	latestVersion uint64
}

// converge starts a fleet and measures the situations in turn.
func measureFleet(ctx context.Context, o options, r *reporter, d mesh.Deployment, n int) (err error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	start := time.Now()
	c := mesh.Config{
		Deployment: d, BinDir: o.binDir, Daemons: n, OperatorTokens: operatorTokens(o.sections), KeepLogs: o.keepLogs,
		Flags: []string{"--distribution", o.distribution},
	}
	// A large fleet gets a soft limit, so that it stays within fleetMemory; its
	// figures of memory are then no measure of what a daemon would take.
	if n > maxUnlimitedDaemons {
		c.Env = []string{fmt.Sprintf("GOMEMLIMIT=%d", fleetSoftMemoryLimit/n)}
		r.printNote("%d daemons run with a soft memory limit of %d MB each", n, fleetSoftMemoryLimit/n/1e6)
	}
	m, err := mesh.Start(ctx, c)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, m.Close()) }()
	started := time.Since(start)
	t := &fleetBench{Mesh: m, options: o, reporter: r, rng: rand.New(rand.NewPCG(uint64(n), 1)), daemonCount: n}
	if t.doc, err = newBenchDocument(o.sections, o.sectionBytes); err != nil {
		return err
	}
	if err := t.submitInitialVersion(ctx); err != nil {
		return fmt.Errorf("first version: %w", err)
	}
	settled, steady, err := waitSteadyTraffic(ctx, m)
	if err != nil {
		return err
	}
	r.printNote("\n%s, %d daemons, %s distribution, %d sections of %d bytes: started in %.1f s, traffic steady after %.0f s: %v",
		d.Name, n, o.distribution, o.sections, o.sectionBytes, started.Seconds(), settled.Seconds(), steady)
	if o.keepLogs {
		r.printNote("logs in %s", m.Dir)
	}
	for _, s := range o.situations {
		if err := t.measure(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return t.printLogProblems()
}

func (t *fleetBench) measure(ctx context.Context, situation string) error {
	switch situation {
	case "idle":
		return t.measureIdle(ctx)
	case "change":
		return t.measureChanges(ctx, situation, t.doc.changeSlots)
	case "large-change":
		return t.measureChanges(ctx, situation, t.doc.replaceRoutes)
	case "burst":
		return t.measureBurst(ctx)
	default:
		return t.measureKill(ctx)
	}
}

// firstVersion submits the sections team by team.
func (t *fleetBench) submitInitialVersion(ctx context.Context) error {
	for i := range t.doc.sections {
		if _, err := t.submit(ctx, t.Hosts[0], i); err != nil {
			return err
		}
	}
	return t.WaitApplied(ctx, t.latestVersion)
}

// accepted is a change that the fleet accepted.
type acceptedChange struct {
	version uint64
	host    *mesh.Host
	sentAt  time.Time
}

// submit submits the present content of a section at a host.
func (t *fleetBench) submit(ctx context.Context, h *mesh.Host, section int) (acceptedChange, error) {
	t.mu.Lock()
	base := t.latestVersion
	t.mu.Unlock()
	a := acceptedChange{host: h, sentAt: time.Now()}
	id := fmt.Sprintf("bench-%d-%d", section, a.sentAt.UnixNano())
	var err error
	a.version, err = h.SubmitSections(ctx, teamToken(section), id, base, operator.SectionToAPI(t.doc.sections[section]))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestVersion = max(t.latestVersion, a.version)
	return a, err
}

// anyHost returns a running host.
func (t *fleetBench) randomHost() *mesh.Host {
	running := t.RunningHosts()
	return running[t.rng.IntN(len(running))]
}

func (t *fleetBench) labels(situation string) row {
	return row{{"deployment", t.Deployment.Name}, {"daemons", t.daemonCount}, {"situation", situation}}
}

func (t traffic) columns() row {
	return row{
		{"seconds", t.duration.Seconds()},
		{"sent-bytes", t.sentBytes},
		{"bytes-per-daemon-s", t.meanRate},
		{"busiest-bytes-s", t.maxRate},
		{"busiest", string(t.busiestHost)},
		{"link-udp-bytes", t.linkUDPBytes},
		{"link-tcp-bytes", t.linkTCPBytes},
		{"core-percent", 100 * t.meanCPU},
		{"core-percent-max", 100 * t.maxCPU},
		{"memory-mb", t.meanMemory / 1e6},
		{"memory-mb-max", t.maxMemory / 1e6},
		{"dropped", t.relayDropped + t.daemonDropped},
	}
}

// measureIdle measures the traffic in three parts, so that traffic which does
// not settle shows.
func (t *fleetBench) measureIdle(ctx context.Context) error {
	const parts = 3
	var rows []row
	var samples []sample
	for range parts {
		s, err := takeSample(ctx, t.Mesh)
		if err != nil {
			return err
		}
		samples = append(samples, s)
		if err := sleep(ctx, t.options.idleDuration/parts); err != nil {
			return err
		}
	}
	last, err := takeSample(ctx, t.Mesh)
	if err != nil {
		return err
	}
	samples = append(samples, last)
	for i := range parts {
		rows = append(rows, append(t.labels(fmt.Sprintf("idle-part-%d", i+1)), trafficBetween(samples[i], samples[i+1]).columns()...))
	}
	t.idleTraffic = trafficBetween(samples[0], last)
	rows = append(rows, append(t.labels("idle"), t.idleTraffic.columns()...))
	return t.reporter.printTable("traffic", rows...)
}

// idleRate returns the bytes per second over the region link when idle, or
// zero when that was not measured.
func (t *fleetBench) idleLinkRate(link func(traffic) float64) float64 {
	if t.idleTraffic.duration == 0 {
		return 0
	}
	return link(t.idleTraffic) / t.idleTraffic.duration.Seconds()
}

// measureChanges makes single changes, each in a time of its own. The time
// lines are read at the end, since reading them is control traffic too.
func (t *fleetBench) measureChanges(ctx context.Context, situation string, edit func(int)) error {
	start := time.Now()
	var all []acceptedChange
	var sum traffic
	sizes := 0
	for range t.changes {
		section := t.rng.IntN(len(t.doc.sections))
		previous := t.doc.sections[section]
		edit(section)
		size, err := compressedDeltaSize(previous, t.doc.sections[section])
		if err != nil {
			return err
		}
		sizes += size
		tr, err := measureTraffic(ctx, t.Mesh, t.changeWindow, func() error {
			a, err := t.submit(ctx, t.randomHost(), section)
			if err != nil {
				return err
			}
			all = append(all, a)
			return t.WaitApplied(ctx, a.version)
		})
		if err != nil {
			return err
		}
		sum = sum.combine(tr)
	}
	floors, err := t.lowerBounds(ctx, all)
	if err != nil {
		return err
	}
	if err := t.printConvergence(ctx, situation, start, all, floors); err != nil {
		return err
	}
	n := float64(t.changes)
	seconds := sum.duration.Seconds()
	udp := (sum.linkUDPBytes - t.idleLinkRate(func(i traffic) float64 { return i.linkUDPBytes })*seconds) / n
	tcp := (sum.linkTCPBytes - t.idleLinkRate(func(i traffic) float64 { return i.linkTCPBytes })*seconds) / n
	packed := float64(sizes) / n
	if err := t.reporter.printTable("link bytes per change", append(t.labels(situation),
		column{"compressed-delta-bytes", packed}, column{"link-udp-bytes", udp}, column{"link-tcp-bytes", tcp},
		column{"udp-to-delta", udp / packed}, column{"all-to-delta", (udp + tcp) / packed})); err != nil {
		return err
	}
	return t.reporter.printTable("traffic", append(t.labels(situation), sum.columns()...))
}

// plus adds up the bytes of two times and takes the highest rates.
func (t traffic) combine(o traffic) traffic {
	sum := o
	if seconds := (t.duration + o.duration).Seconds(); seconds > 0 {
		a, b := t.duration.Seconds()/seconds, o.duration.Seconds()/seconds
		sum.meanRate = a*t.meanRate + b*o.meanRate
		sum.meanCPU = a*t.meanCPU + b*o.meanCPU
	}
	if t.maxRate > o.maxRate {
		sum.maxRate, sum.busiestHost = t.maxRate, t.busiestHost
	}
	sum.maxCPU = max(t.maxCPU, o.maxCPU)
	sum.maxMemory = max(t.maxMemory, o.maxMemory)
	sum.duration += t.duration
	sum.sentBytes += t.sentBytes
	sum.linkUDPBytes += t.linkUDPBytes
	sum.linkTCPBytes += t.linkTCPBytes
	sum.relayDropped += t.relayDropped
	sum.daemonDropped += t.daemonDropped
	return sum
}

// measureBurst lets the operators of all sections make 20 changes at the same
// time.
func (t *fleetBench) measureBurst(ctx context.Context) error {
	const changes = 20
	start := time.Now()
	var mu sync.Mutex
	var all []acceptedChange
	hosts := make([]*mesh.Host, changes)
	for i := range hosts {
		hosts[i] = t.randomHost()
	}
	tr, err := measureTraffic(ctx, t.Mesh, 2*t.changeWindow, func() error {
		var group errgroup.Group
		for section := range t.doc.sections {
			group.Go(func() error {
				for i := section; i < changes; i += len(t.doc.sections) {
					t.doc.changeSlots(section)
					a, err := t.submit(ctx, hosts[i], section)
					if err != nil {
						return err
					}
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		return t.WaitApplied(ctx, t.latestVersion)
	})
	if err != nil {
		return err
	}
	floors, err := t.lowerBounds(ctx, all)
	if err != nil {
		return err
	}
	if err := t.printConvergence(ctx, "burst", start, all, floors); err != nil {
		return err
	}
	return t.reporter.printTable("traffic", append(t.labels("burst"), tr.columns()...))
}

// measureKill kills 30% of the daemons during a change and starts them again.
func (t *fleetBench) measureKill(ctx context.Context) error {
	start := time.Now()
	by := t.randomHost()
	var victims []*mesh.Host
	for _, i := range t.rng.Perm(len(t.Hosts)) {
		if h := t.Hosts[i]; h != by && len(victims) < t.daemonCount*3/10 {
			victims = append(victims, h)
		}
	}
	var change acceptedChange
	tr, err := measureTraffic(ctx, t.Mesh, 20*time.Second, func() error {
		t.doc.changeSlots(0)
		var group errgroup.Group
		group.Go(func() (err error) {
			change, err = t.submit(ctx, by, 0)
			return err
		})
		// The kills fall into the acceptance and the first hops.
		time.Sleep(10 * time.Millisecond)
		for _, h := range victims {
			group.Go(h.Daemon.Kill)
		}
		if err := group.Wait(); err != nil {
			return err
		}
		return t.WaitApplied(ctx, change.version)
	})
	if err != nil {
		return err
	}
	floors, err := t.lowerBounds(ctx, []acceptedChange{change})
	if err != nil {
		return err
	}
	if err := t.printConvergence(ctx, "kill", start, []acceptedChange{change}, floors); err != nil {
		return err
	}
	if err := t.reporter.printTable("traffic", append(t.labels("kill"), tr.columns()...)); err != nil {
		return err
	}
	return t.measureRestart(ctx, victims)
}

// restart starts the killed daemons at once and measures the time until they
// have applied the newest version.
func (t *fleetBench) measureRestart(ctx context.Context, victims []*mesh.Host) error {
	start := time.Now()
	var running, applied time.Duration
	tr, err := measureTraffic(ctx, t.Mesh, 20*time.Second, func() error {
		if err := t.StartDaemons(ctx, victims); err != nil {
			return err
		}
		running = time.Since(start)
		err := t.WaitApplied(ctx, t.latestVersion)
		applied = time.Since(start)
		return err
	})
	if err != nil {
		return err
	}
	t.reporter.printNote("%d killed daemons started within %.1f s; all had applied the newest version after %.1f s", len(victims), running.Seconds(), applied.Seconds())
	return t.reporter.printTable("traffic", append(t.labels("restart"), tr.columns()...))
}

// floors returns the shortest possible time for each change: a write to the
// table from the accepting host and the delay to the farthest daemon.
func (t *fleetBench) lowerBounds(ctx context.Context, all []acceptedChange) ([]time.Duration, error) {
	writes := make(map[host.AvailabilityZone]time.Duration)
	var floors []time.Duration
	for _, a := range all {
		write, ok := writes[a.host.Zone]
		if !ok {
			var err error
			if write, err = t.measureTableWrite(ctx, a.host); err != nil {
				return nil, err
			}
			writes[a.host.Zone] = write
		}
		floors = append(floors, write+t.MaxOneWayDelay(a.host))
	}
	return floors, nil
}

// tableWrite returns the median time of a transaction of three rows, as an
// acceptance makes it.
func (t *fleetBench) measureTableWrite(ctx context.Context, h *mesh.Host) (time.Duration, error) {
	const writes = 11
	client, err := t.PlatformClient(h)
	if err != nil {
		return 0, fmt.Errorf("platform client: %w", err)
	}
	var took []time.Duration
	for i := range writes {
		key := func(part string) platform.Key {
			return platform.Key(fmt.Sprintf("bench/%d-%d-%s", time.Now().UnixNano(), i, part))
		}
		value := make([]byte, 400)
		start := time.Now()
		_, err := client.Commit(ctx, platform.Write{Key: key("a"), Value: value},
			platform.Write{Key: key("b"), Value: value}, platform.Write{Key: key("c"), Value: value})
		if err != nil {
			return 0, fmt.Errorf("write to the table: %w", err)
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	return took[writes/2], nil
}

func (t *fleetBench) printLogProblems() error {
	list, err := t.LogProblems()
	if err != nil {
		return err
	}
	const most = 12
	var rows []row
	for _, c := range list[:min(len(list), most)] {
		rows = append(rows, append(t.labels("all"), column{"count", c.Count}, column{"level", c.Level},
			column{"logger", c.Logger}, column{"text", c.Text}, column{"error", c.Error}))
	}
	return t.reporter.printTable("warnings and errors in the logs", rows...)
}
