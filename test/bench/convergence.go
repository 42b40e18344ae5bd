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
func runConvergence(ctx context.Context, o options, r *reporter) error {
	for _, d := range o.deployments {
		for _, n := range o.daemons {
			if err := converge(ctx, o, r, d, n); err != nil {
				return fmt.Errorf("%s with %d daemons: %w", d.Name, n, err)
			}
		}
	}
	return nil
}

// Memory of the fleet in bytes. Half of a machine of 32 GiB is the limit, since
// other work runs on it.
const (
	fleetMemory      = 15 << 30
	softLimit        = 11 << 30
	unlimitedDaemons = 60
)

// trial is a running fleet under measurement.
type trial struct {
	*mesh.Mesh
	options
	report   *reporter
	sections *sections
	random   *rand.Rand
	count    int
	idle     traffic // measured in the situation idle

	mu sync.Mutex // guards version
	// version is the newest one accepted.
	version uint64
}

// converge starts a fleet and measures the situations in turn.
func converge(ctx context.Context, o options, r *reporter, d mesh.Deployment, n int) (err error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	start := time.Now()
	c := mesh.Config{
		Deployment: d, Bin: o.bin, Daemons: n, Tokens: tokens(o.sections), Logs: o.logs,
		Flags: []string{"--distribution", o.distribution},
	}
	// A large fleet gets a soft limit, so that it stays within fleetMemory; its
	// figures of memory are then no measure of what a daemon would take.
	if n > unlimitedDaemons {
		c.Env = []string{fmt.Sprintf("GOMEMLIMIT=%d", softLimit/n)}
		r.note("%d daemons run with a soft memory limit of %d MB each", n, softLimit/n/1e6)
	}
	m, err := mesh.Start(ctx, c)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, m.Close()) }()
	started := time.Since(start)
	t := &trial{Mesh: m, options: o, report: r, random: rand.New(rand.NewPCG(uint64(n), 1)), count: n}
	if t.sections, err = newSections(o.sections, o.sectionBytes); err != nil {
		return err
	}
	if err := t.firstVersion(ctx); err != nil {
		return fmt.Errorf("first version: %w", err)
	}
	settled, steady, err := settle(ctx, m)
	if err != nil {
		return err
	}
	r.note("\n%s, %d daemons, %s distribution, %d sections of %d bytes: started in %.1f s, traffic steady after %.0f s: %v",
		d.Name, n, o.distribution, o.sections, o.sectionBytes, started.Seconds(), settled.Seconds(), steady)
	if o.logs {
		r.note("logs in %s", m.Dir)
	}
	for _, s := range o.situations {
		if err := t.measure(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return t.printComplaints()
}

func (t *trial) measure(ctx context.Context, situation string) error {
	switch situation {
	case "idle":
		return t.measureIdle(ctx)
	case "change":
		return t.measureChanges(ctx, situation, t.sections.editValue)
	case "large-change":
		return t.measureChanges(ctx, situation, t.sections.editRoutes)
	case "burst":
		return t.measureBurst(ctx)
	default:
		return t.measureKill(ctx)
	}
}

// firstVersion submits the sections team by team.
func (t *trial) firstVersion(ctx context.Context) error {
	for i := range t.sections.list {
		if _, err := t.submit(ctx, t.Hosts[0], i); err != nil {
			return err
		}
	}
	return t.WaitApplied(ctx, t.version)
}

// accepted is a change that the fleet accepted.
type accepted struct {
	version uint64
	by      *mesh.Host
	sentAt  time.Time
}

// submit submits the present content of a section at a host.
func (t *trial) submit(ctx context.Context, h *mesh.Host, section int) (accepted, error) {
	t.mu.Lock()
	base := t.version
	t.mu.Unlock()
	a := accepted{by: h, sentAt: time.Now()}
	id := fmt.Sprintf("bench-%d-%d", section, a.sentAt.UnixNano())
	var err error
	a.version, err = h.SubmitSections(ctx, token(section), id, base, operator.SectionToAPI(t.sections.list[section]))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, a.version)
	return a, err
}

// anyHost returns a running host.
func (t *trial) anyHost() *mesh.Host {
	running := t.Running()
	return running[t.random.IntN(len(running))]
}

func (t *trial) label(situation string) row {
	return row{{"deployment", t.Deployment.Name}, {"daemons", t.count}, {"situation", situation}}
}

func (t traffic) columns() row {
	return row{
		{"seconds", t.took.Seconds()},
		{"sent-bytes", t.sent},
		{"bytes-per-daemon-s", t.mean},
		{"busiest-bytes-s", t.busiest},
		{"busiest", string(t.who)},
		{"link-udp-bytes", t.linkUDP},
		{"link-tcp-bytes", t.linkTCP},
		{"core-percent", 100 * t.cpu},
		{"core-percent-max", 100 * t.cpuMax},
		{"memory-mb", t.memory / 1e6},
		{"memory-mb-max", t.memMax / 1e6},
		{"dropped", t.dropped + t.overflow},
	}
}

// measureIdle measures the traffic in three parts, so that traffic which does
// not settle shows.
func (t *trial) measureIdle(ctx context.Context) error {
	const parts = 3
	var rows []row
	var samples []sample
	for range parts {
		s, err := takeSample(ctx, t.Mesh)
		if err != nil {
			return err
		}
		samples = append(samples, s)
		if err := sleep(ctx, t.options.idle/parts); err != nil {
			return err
		}
	}
	last, err := takeSample(ctx, t.Mesh)
	if err != nil {
		return err
	}
	samples = append(samples, last)
	for i := range parts {
		rows = append(rows, append(t.label(fmt.Sprintf("idle-part-%d", i+1)), difference(samples[i], samples[i+1]).columns()...))
	}
	t.idle = difference(samples[0], last)
	rows = append(rows, append(t.label("idle"), t.idle.columns()...))
	return t.report.print("traffic", rows...)
}

// idleRate returns the bytes per second over the region link when idle, or
// zero when that was not measured.
func (t *trial) idleRate(link func(traffic) float64) float64 {
	if t.idle.took == 0 {
		return 0
	}
	return link(t.idle) / t.idle.took.Seconds()
}

// measureChanges makes single changes, each in a time of its own. The time
// lines are read at the end, since reading them is control traffic too.
func (t *trial) measureChanges(ctx context.Context, situation string, edit func(int)) error {
	start := time.Now()
	var all []accepted
	var sum traffic
	sizes := 0
	for range t.changes {
		section := t.random.IntN(len(t.sections.list))
		previous := t.sections.list[section]
		edit(section)
		size, err := packed(previous, t.sections.list[section])
		if err != nil {
			return err
		}
		sizes += size
		tr, err := during(ctx, t.Mesh, t.window, func() error {
			a, err := t.submit(ctx, t.anyHost(), section)
			if err != nil {
				return err
			}
			all = append(all, a)
			return t.WaitApplied(ctx, a.version)
		})
		if err != nil {
			return err
		}
		sum = sum.plus(tr)
	}
	floors, err := t.floors(ctx, all)
	if err != nil {
		return err
	}
	if err := t.printConvergence(ctx, situation, start, all, floors); err != nil {
		return err
	}
	n := float64(t.changes)
	seconds := sum.took.Seconds()
	udp := (sum.linkUDP - t.idleRate(func(i traffic) float64 { return i.linkUDP })*seconds) / n
	tcp := (sum.linkTCP - t.idleRate(func(i traffic) float64 { return i.linkTCP })*seconds) / n
	packed := float64(sizes) / n
	if err := t.report.print("link bytes per change", append(t.label(situation),
		column{"compressed-delta-bytes", packed}, column{"link-udp-bytes", udp}, column{"link-tcp-bytes", tcp},
		column{"udp-to-delta", udp / packed}, column{"all-to-delta", (udp + tcp) / packed})); err != nil {
		return err
	}
	return t.report.print("traffic", append(t.label(situation), sum.columns()...))
}

// plus adds up the bytes of two times and takes the highest rates.
func (t traffic) plus(o traffic) traffic {
	sum := o
	if seconds := (t.took + o.took).Seconds(); seconds > 0 {
		a, b := t.took.Seconds()/seconds, o.took.Seconds()/seconds
		sum.mean = a*t.mean + b*o.mean
		sum.cpu = a*t.cpu + b*o.cpu
	}
	if t.busiest > o.busiest {
		sum.busiest, sum.who = t.busiest, t.who
	}
	sum.cpuMax = max(t.cpuMax, o.cpuMax)
	sum.memMax = max(t.memMax, o.memMax)
	sum.took += t.took
	sum.sent += t.sent
	sum.linkUDP += t.linkUDP
	sum.linkTCP += t.linkTCP
	sum.dropped += t.dropped
	sum.overflow += t.overflow
	return sum
}

// measureBurst lets the operators of all sections make 20 changes at the same
// time.
func (t *trial) measureBurst(ctx context.Context) error {
	const changes = 20
	start := time.Now()
	var mu sync.Mutex
	var all []accepted
	hosts := make([]*mesh.Host, changes)
	for i := range hosts {
		hosts[i] = t.anyHost()
	}
	tr, err := during(ctx, t.Mesh, 2*t.window, func() error {
		var group errgroup.Group
		for section := range t.sections.list {
			group.Go(func() error {
				for i := section; i < changes; i += len(t.sections.list) {
					t.sections.editValue(section)
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
		return t.WaitApplied(ctx, t.version)
	})
	if err != nil {
		return err
	}
	floors, err := t.floors(ctx, all)
	if err != nil {
		return err
	}
	if err := t.printConvergence(ctx, "burst", start, all, floors); err != nil {
		return err
	}
	return t.report.print("traffic", append(t.label("burst"), tr.columns()...))
}

// measureKill kills 30% of the daemons during a change and starts them again.
func (t *trial) measureKill(ctx context.Context) error {
	start := time.Now()
	by := t.anyHost()
	var victims []*mesh.Host
	for _, i := range t.random.Perm(len(t.Hosts)) {
		if h := t.Hosts[i]; h != by && len(victims) < t.count*3/10 {
			victims = append(victims, h)
		}
	}
	var change accepted
	tr, err := during(ctx, t.Mesh, 20*time.Second, func() error {
		t.sections.editValue(0)
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
	floors, err := t.floors(ctx, []accepted{change})
	if err != nil {
		return err
	}
	if err := t.printConvergence(ctx, "kill", start, []accepted{change}, floors); err != nil {
		return err
	}
	if err := t.report.print("traffic", append(t.label("kill"), tr.columns()...)); err != nil {
		return err
	}
	return t.restart(ctx, victims)
}

// restart starts the killed daemons at once and measures the time until they
// have applied the newest version.
func (t *trial) restart(ctx context.Context, victims []*mesh.Host) error {
	start := time.Now()
	var running, applied time.Duration
	tr, err := during(ctx, t.Mesh, 20*time.Second, func() error {
		if err := t.StartDaemons(ctx, victims); err != nil {
			return err
		}
		running = time.Since(start)
		err := t.WaitApplied(ctx, t.version)
		applied = time.Since(start)
		return err
	})
	if err != nil {
		return err
	}
	t.report.note("%d killed daemons started within %.1f s; all had applied the newest version after %.1f s", len(victims), running.Seconds(), applied.Seconds())
	return t.report.print("traffic", append(t.label("restart"), tr.columns()...))
}

// floors returns the shortest possible time for each change: a write to the
// table from the accepting host and the delay to the farthest daemon.
func (t *trial) floors(ctx context.Context, all []accepted) ([]time.Duration, error) {
	writes := make(map[host.AvailabilityZone]time.Duration)
	var floors []time.Duration
	for _, a := range all {
		write, ok := writes[a.by.Zone]
		if !ok {
			var err error
			if write, err = t.tableWrite(ctx, a.by); err != nil {
				return nil, err
			}
			writes[a.by.Zone] = write
		}
		floors = append(floors, write+t.Farthest(a.by))
	}
	return floors, nil
}

// tableWrite returns the median time of a transaction of three rows, as an
// acceptance makes it.
func (t *trial) tableWrite(ctx context.Context, h *mesh.Host) (time.Duration, error) {
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

func (t *trial) printComplaints() error {
	list, err := t.Complaints()
	if err != nil {
		return err
	}
	const most = 12
	var rows []row
	for _, c := range list[:min(len(list), most)] {
		rows = append(rows, append(t.label("all"), column{"count", c.Count}, column{"level", c.Level},
			column{"logger", c.Logger}, column{"text", c.Text}, column{"error", c.Error}))
	}
	return t.report.print("warnings and errors in the logs", rows...)
}
