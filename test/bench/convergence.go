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

// measureConvergence measures every deployment at every fleet size.
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

// Memory limits of the fleet. The fleet may use at most half of a machine of 32 GiB,
// since other work runs on the machine.
const (
	maxFleetMemory       = 15 << 30 // bytes
	fleetSoftMemoryLimit = 11 << 30 // bytes
	maxUnlimitedDaemons  = 60       // daemons; a larger fleet runs with fleetSoftMemoryLimit
)

// fleetBench measures a running fleet.
type fleetBench struct {
	*mesh.Mesh
	options
	reporter    *reporter
	doc         *benchDocument
	rng         *rand.Rand
	daemonCount int
	idleTraffic traffic // measured in the situation "idle"

	mu sync.Mutex // guards latestVersion
	// latestVersion is the newest accepted version.
	latestVersion uint64
}

// measureFleet starts a fleet and measures the selected situations in turn.
func measureFleet(ctx context.Context, o options, r *reporter, d mesh.Deployment, n int) (err error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	start := time.Now()
	c := mesh.Config{
		Deployment: d, BinDir: o.binDir, Daemons: n, OperatorTokens: operatorTokens(o.sections), KeepLogs: o.keepLogs,
		Flags: []string{"--distribution", o.distribution},
	}
	// The daemons of a large fleet get a soft memory limit, so that the fleet stays
	// within maxFleetMemory. The measured memory is then lower than what a daemon
	// would use without the limit.
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
	b := &fleetBench{Mesh: m, options: o, reporter: r, rng: rand.New(rand.NewPCG(uint64(n), 1)), daemonCount: n}
	if b.doc, err = newBenchDocument(o.sections, o.sectionBytes); err != nil {
		return err
	}
	if err := b.submitInitialVersion(ctx); err != nil {
		return fmt.Errorf("submit the first version: %w", err)
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
		if err := b.measure(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return b.printLogProblems()
}

func (b *fleetBench) measure(ctx context.Context, situation string) error {
	switch situation {
	case "idle":
		return b.measureIdle(ctx)
	case "change":
		return b.measureChanges(ctx, situation, b.doc.changeSlots)
	case "large-change":
		return b.measureChanges(ctx, situation, b.doc.replaceRoutes)
	case "burst":
		return b.measureBurst(ctx)
	default:
		return b.measureKill(ctx)
	}
}

// submitInitialVersion submits the sections of each team in turn.
func (b *fleetBench) submitInitialVersion(ctx context.Context) error {
	for i := range b.doc.sections {
		if _, err := b.submit(ctx, b.Hosts[0], i); err != nil {
			return err
		}
	}
	return b.WaitApplied(ctx, b.latestVersion)
}

// acceptedChange is a change that the fleet accepted.
type acceptedChange struct {
	version uint64
	host    *mesh.Host
	sentAt  time.Time
}

// submit submits the current content of a section to the daemon of a host.
func (b *fleetBench) submit(ctx context.Context, h *mesh.Host, section int) (acceptedChange, error) {
	b.mu.Lock()
	base := b.latestVersion
	b.mu.Unlock()
	a := acceptedChange{host: h, sentAt: time.Now()}
	id := fmt.Sprintf("bench-%d-%d", section, a.sentAt.UnixNano())
	var err error
	a.version, err = h.SubmitSections(ctx, teamToken(section), id, base, operator.SectionToAPI(b.doc.sections[section]))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latestVersion = max(b.latestVersion, a.version)
	return a, err
}

// randomHost returns a random host whose daemon runs.
func (b *fleetBench) randomHost() *mesh.Host {
	running := b.RunningHosts()
	return running[b.rng.IntN(len(running))]
}

func (b *fleetBench) labels(situation string) row {
	return row{{"deployment", b.Deployment.Name}, {"daemons", b.daemonCount}, {"situation", situation}}
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

// measureIdle measures the traffic in three parts, so that traffic that is not yet
// steady shows as a difference between the parts.
func (b *fleetBench) measureIdle(ctx context.Context) error {
	const parts = 3
	var rows []row
	var samples []sample
	for range parts {
		s, err := takeSample(ctx, b.Mesh)
		if err != nil {
			return err
		}
		samples = append(samples, s)
		if err := sleep(ctx, b.options.idleDuration/parts); err != nil {
			return err
		}
	}
	last, err := takeSample(ctx, b.Mesh)
	if err != nil {
		return err
	}
	samples = append(samples, last)
	for i := range parts {
		rows = append(rows, append(b.labels(fmt.Sprintf("idle-part-%d", i+1)), trafficBetween(samples[i], samples[i+1]).columns()...))
	}
	b.idleTraffic = trafficBetween(samples[0], last)
	rows = append(rows, append(b.labels("idle"), b.idleTraffic.columns()...))
	return b.reporter.printTable("traffic", rows...)
}

// idleLinkRate returns the bytes per second over the region link in the idle
// fleet, or zero if idle traffic was not measured.
func (b *fleetBench) idleLinkRate(link func(traffic) float64) float64 {
	if b.idleTraffic.duration == 0 {
		return 0
	}
	return link(b.idleTraffic) / b.idleTraffic.duration.Seconds()
}

// measureChanges submits single changes, each in a separate time window. The
// timelines are read at the end, since reading them adds control traffic.
func (b *fleetBench) measureChanges(ctx context.Context, situation string, edit func(int)) error {
	start := time.Now()
	var all []acceptedChange
	var sum traffic
	sizes := 0
	for range b.changes {
		section := b.rng.IntN(len(b.doc.sections))
		previous := b.doc.sections[section]
		edit(section)
		size, err := compressedDeltaSize(previous, b.doc.sections[section])
		if err != nil {
			return err
		}
		sizes += size
		tr, err := measureTraffic(ctx, b.Mesh, b.changeWindow, func() error {
			a, err := b.submit(ctx, b.randomHost(), section)
			if err != nil {
				return err
			}
			all = append(all, a)
			return b.WaitApplied(ctx, a.version)
		})
		if err != nil {
			return err
		}
		sum = sum.combine(tr)
	}
	bounds, err := b.lowerBounds(ctx, all)
	if err != nil {
		return err
	}
	if err := b.printConvergence(ctx, situation, start, all, bounds); err != nil {
		return err
	}
	n := float64(b.changes)
	seconds := sum.duration.Seconds()
	udp := (sum.linkUDPBytes - b.idleLinkRate(func(i traffic) float64 { return i.linkUDPBytes })*seconds) / n
	tcp := (sum.linkTCPBytes - b.idleLinkRate(func(i traffic) float64 { return i.linkTCPBytes })*seconds) / n
	deltaBytes := float64(sizes) / n
	if err := b.reporter.printTable("link bytes per change", append(b.labels(situation),
		column{"compressed-delta-bytes", deltaBytes}, column{"link-udp-bytes", udp}, column{"link-tcp-bytes", tcp},
		column{"udp-to-delta", udp / deltaBytes}, column{"all-to-delta", (udp + tcp) / deltaBytes})); err != nil {
		return err
	}
	return b.reporter.printTable("traffic", append(b.labels(situation), sum.columns()...))
}

// combine adds up the bytes of two measurements, averages the mean rates and takes
// the higher of the maximum rates.
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

// measureBurst submits 20 changes, with the operators of all sections working in
// parallel.
func (b *fleetBench) measureBurst(ctx context.Context) error {
	const changes = 20
	start := time.Now()
	var mu sync.Mutex
	var all []acceptedChange
	hosts := make([]*mesh.Host, changes)
	for i := range hosts {
		hosts[i] = b.randomHost()
	}
	tr, err := measureTraffic(ctx, b.Mesh, 2*b.changeWindow, func() error {
		var group errgroup.Group
		for section := range b.doc.sections {
			group.Go(func() error {
				for i := section; i < changes; i += len(b.doc.sections) {
					b.doc.changeSlots(section)
					a, err := b.submit(ctx, hosts[i], section)
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
		return b.WaitApplied(ctx, b.latestVersion)
	})
	if err != nil {
		return err
	}
	bounds, err := b.lowerBounds(ctx, all)
	if err != nil {
		return err
	}
	if err := b.printConvergence(ctx, "burst", start, all, bounds); err != nil {
		return err
	}
	return b.reporter.printTable("traffic", append(b.labels("burst"), tr.columns()...))
}

// measureKill kills 30% of the daemons during a change and then restarts them.
func (b *fleetBench) measureKill(ctx context.Context) error {
	start := time.Now()
	by := b.randomHost()
	var victims []*mesh.Host
	for _, i := range b.rng.Perm(len(b.Hosts)) {
		if h := b.Hosts[i]; h != by && len(victims) < b.daemonCount*3/10 {
			victims = append(victims, h)
		}
	}
	var change acceptedChange
	tr, err := measureTraffic(ctx, b.Mesh, 20*time.Second, func() error {
		b.doc.changeSlots(0)
		var group errgroup.Group
		group.Go(func() (err error) {
			change, err = b.submit(ctx, by, 0)
			return err
		})
		// Kill the daemons while the change is being accepted and forwarded over the
		// first hops.
		time.Sleep(10 * time.Millisecond)
		for _, h := range victims {
			group.Go(h.Daemon.Kill)
		}
		if err := group.Wait(); err != nil {
			return err
		}
		return b.WaitApplied(ctx, change.version)
	})
	if err != nil {
		return err
	}
	bounds, err := b.lowerBounds(ctx, []acceptedChange{change})
	if err != nil {
		return err
	}
	if err := b.printConvergence(ctx, "kill", start, []acceptedChange{change}, bounds); err != nil {
		return err
	}
	if err := b.reporter.printTable("traffic", append(b.labels("kill"), tr.columns()...)); err != nil {
		return err
	}
	return b.measureRestart(ctx, victims)
}

// measureRestart starts the killed daemons together and measures the time until
// they have applied the newest version.
func (b *fleetBench) measureRestart(ctx context.Context, victims []*mesh.Host) error {
	start := time.Now()
	var running, applied time.Duration
	tr, err := measureTraffic(ctx, b.Mesh, 20*time.Second, func() error {
		if err := b.StartDaemons(ctx, victims); err != nil {
			return err
		}
		running = time.Since(start)
		err := b.WaitApplied(ctx, b.latestVersion)
		applied = time.Since(start)
		return err
	})
	if err != nil {
		return err
	}
	b.reporter.printNote("%d killed daemons started within %.1f s; all had applied the newest version after %.1f s", len(victims), running.Seconds(), applied.Seconds())
	return b.reporter.printTable("traffic", append(b.labels("restart"), tr.columns()...))
}

// lowerBounds returns the shortest possible convergence time of each change: the
// time of a table write from the accepting host plus the one-way delay to the
// farthest daemon.
func (b *fleetBench) lowerBounds(ctx context.Context, all []acceptedChange) ([]time.Duration, error) {
	writes := make(map[host.AvailabilityZone]time.Duration)
	var bounds []time.Duration
	for _, a := range all {
		write, ok := writes[a.host.Zone]
		if !ok {
			var err error
			if write, err = b.measureTableWrite(ctx, a.host); err != nil {
				return nil, err
			}
			writes[a.host.Zone] = write
		}
		bounds = append(bounds, write+b.MaxOneWayDelay(a.host))
	}
	return bounds, nil
}

// measureTableWrite returns the median time of a transaction that writes three
// rows, as the acceptance of a submission does.
func (b *fleetBench) measureTableWrite(ctx context.Context, h *mesh.Host) (time.Duration, error) {
	const writes = 11
	client, err := b.PlatformClient(h)
	if err != nil {
		return 0, fmt.Errorf("platform client: %w", err)
	}
	var durations []time.Duration
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
		durations = append(durations, time.Since(start))
	}
	slices.Sort(durations)
	return durations[writes/2], nil
}

func (b *fleetBench) printLogProblems() error {
	list, err := b.LogProblems()
	if err != nil {
		return err
	}
	const maxRows = 12
	var rows []row
	for _, c := range list[:min(len(list), maxRows)] {
		rows = append(rows, append(b.labels("all"), column{"count", c.Count}, column{"level", c.Level},
			column{"logger", c.Logger}, column{"text", c.Text}, column{"error", c.Error}))
	}
	return b.reporter.printTable("warnings and errors in the logs", rows...)
}
