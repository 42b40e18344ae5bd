package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/operator/api"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
	"github.com/peridotlb/peridotlb/test/mesh"
)

// inForceLimit is the promised time until a version is in force.
const inForceLimit = 7 * time.Second

// submit changes the timeout of a route: submit TEAM ROUTE.timeout=DURATION [HOST].
func submit(w *world, _ *testscript.TestScript, args []string) error {
	plain, named := options(args)
	if len(plain) < 1 || len(named) != 1 {
		return errUsage
	}
	h := w.mesh.AnyDaemon()
	if len(plain) == 2 {
		hosts, err := w.hosts(plain[1])
		if err != nil {
			return err
		}
		h = hosts[0]
	}
	for edit, value := range named {
		if err := w.edit(edit, value); err != nil {
			return err
		}
	}
	ctx, cancel := w.within(10 * time.Second)
	defer cancel()
	id := fmt.Sprintf("submission-%d", time.Now().UnixNano())
	v, err := h.Submit(ctx, document.TeamName(plain[0]), id, w.head, w.doc)
	if err != nil {
		return err
	}
	w.head = v
	return nil
}

func (w *world) edit(edit, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	for i, s := range w.doc.Sections {
		for j, r := range s.Routes {
			if string(r.Name)+".timeout" == edit {
				w.doc.Sections[i].Routes[j].Timeout = d
				return nil
			}
		}
	}
	return fmt.Errorf("no edit %q; want ROUTE.timeout=DURATION", edit)
}

// race sends submissions at the same moment from several daemons, each with a
// section of its own, and repeats those whose outcome is unknown with the same
// id at another daemon: race N. As many versions as submissions must exist, and
// the newest must hold all edits.
func race(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := w.within(30 * time.Second)
	defer cancel()
	versions := make(chan uint64, n)
	errs := make(chan error, n)
	base := w.head
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			v, err := w.raceOne(ctx, base, i)
			if err != nil {
				errs <- err
				return
			}
			versions <- v
		})
	}
	group.Wait()
	close(versions)
	close(errs)
	for e := range errs {
		err = errors.Join(err, e)
	}
	if err != nil {
		return err
	}
	return w.checkRace(ctx, base, n, versions)
}

func raceName(base uint64, i int) string { return fmt.Sprintf("race-%d-%d", base, i) }

func (w *world) raceOne(ctx context.Context, base uint64, i int) (uint64, error) {
	teams := slices.Sorted(maps.Keys(mesh.Teams))
	name := raceName(base, i)
	service := w.doc.Sections[0].Services[0]
	service.Name = "service-" + service.Name[:0] + typed(service.Name, name)
	route := w.doc.Sections[0].Routes[1]
	route.Name, route.Service = typed(route.Name, "route-"+name), service.Name
	route.PathPrefix = "/" + name
	d := document.Document{Sections: []document.Section{{
		Name: document.SectionName(name), Team: teams[i%len(teams)],
		Services: []document.Service{service}, Routes: []document.Route{route},
	}}}
	for try := 0; ; try++ {
		h := w.mesh.Hosts[(i+try)%len(w.mesh.Hosts)]
		v, err := h.Submit(ctx, teams[i%len(teams)], "submission-"+name, base, d)
		if err == nil || errors.Is(err, mesh.ErrRefused) || ctx.Err() != nil {
			return v, err
		}
		w.mu.Lock()
		w.logf("%s at %s: %v", name, h.ID, err)
		w.mu.Unlock()
	}
}

// typed converts a name to the type of another.
func typed[T ~string](_ T, name string) T { return T(name) }

func (w *world) checkRace(ctx context.Context, base uint64, n int, versions <-chan uint64) error {
	distinct := make(map[uint64]bool)
	for v := range versions {
		distinct[v] = true
	}
	head, err := w.readHead(ctx)
	if err != nil {
		return err
	}
	w.head = uint64(head.Number)
	if len(distinct) != n || w.head != base+uint64(n) {
		return fmt.Errorf("%d submissions were accepted as %d versions, and the newest is %d after %d", n, len(distinct), w.head, base)
	}
	var missing []string
	for i := range n {
		if !slices.ContainsFunc(head.Sections, func(s version.SectionRef) bool { return string(s.Name) == raceName(base, i) }) {
			missing = append(missing, raceName(base, i)+" is missing")
		}
	}
	return report(missing)
}

// readHead reads the newest manifest from the table.
func (w *world) readHead(ctx context.Context) (version.Manifest, error) {
	p, err := platform.New(platform.Config{
		TableEndpoint: w.mesh.PlatformURL(), ObjectEndpoint: w.mesh.PlatformURL(), SigningRegion: "local",
		AccessKey: "test", SecretKey: "test", Table: "peridotlb", Bucket: "peridotlb",
	})
	if err != nil {
		return version.Manifest{}, err
	}
	return submission.ReadHead(ctx, p)
}

// applied waits until daemons have applied a version: applied VERSION|head
// [within=DURATION] [HOST...]. The limit is the promised time by default; it is
// longer only after an outage of the platform, which readers notice with a
// backoff of up to 10 s.
func applied(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	want := w.head
	if args[0] != "head" {
		var err error
		if want, err = strconv.ParseUint(args[0], 10, 64); err != nil {
			return err
		}
	}
	patterns, named := options(args[1:])
	limit := inForceLimit
	if text, ok := named["within"]; ok {
		var err error
		if limit, err = time.ParseDuration(text); err != nil {
			return err
		}
	}
	if len(patterns) == 0 {
		patterns = []string{"*"}
	}
	ctx, cancel := w.within(limit)
	defer cancel()
	return w.each(patterns, func(h *mesh.Host) error { return waitApplied(ctx, h, want) })
}

func waitApplied(ctx context.Context, h *mesh.Host, want uint64) error {
	for {
		got, err := h.Metric(ctx, "peridotlb_version_applied")
		if err == nil && uint64(got) >= want {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s has version %v applied (%v), want %d", h.ID, got, err, want)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// statusLacks waits until the status, asked at a host, shows that a region lacks
// the newest version or cannot be reached: status-lacks REGION HOST.
func statusLacks(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	hosts, err := w.hosts(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := w.within(20 * time.Second)
	defer cancel()
	var last error
	for {
		shown, err := w.lacks(ctx, hosts[0], args[0])
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			last = fmt.Errorf("%w; status: %s", err, shown)
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (w *world) lacks(ctx context.Context, h *mesh.Host, region string) (shown string, err error) {
	client, err := h.Operator(mesh.AnyToken())
	if err != nil {
		return "", err
	}
	status, err := client.GetStatus(ctx)
	if err != nil {
		return "", err
	}
	text, _ := json.Marshal(status)
	if status.Head != w.head {
		return string(text), fmt.Errorf("status shows head %d, want %d", status.Head, w.head)
	}
	return string(text), regionLacks(status.Zones, region, w.head)
}

func regionLacks(zones []api.ZoneStatus, region string, head uint64) error {
	seen := false
	for _, z := range zones {
		if z.Region != region {
			continue
		}
		seen = true
		for _, a := range z.Applied {
			if !z.Unreachable && a.Version == head {
				return fmt.Errorf("status shows version %d in zone %s, want it to lack it", head, z.Zone)
			}
		}
		if !z.Unreachable && len(z.Applied) == 0 {
			return fmt.Errorf("status shows zone %s as reachable without any version, want it unreachable or with an older one", z.Zone)
		}
	}
	if !seen {
		return fmt.Errorf("status lacks the zones of region %s", region)
	}
	return nil
}

// versionsMonotonic checks the versions that each host applied, by the log of
// all its runs.
func versionsMonotonic(w *world, _ *testscript.TestScript, _ []string) error {
	var violations []string
	for _, h := range w.mesh.Hosts {
		versions, err := w.mesh.AppliedLog(h)
		if err != nil {
			return err
		}
		if len(versions) == 0 {
			violations = append(violations, string(h.ID)+" applied no version")
		}
		for i := 1; i < len(versions); i++ {
			if versions[i] < versions[i-1] {
				violations = append(violations, fmt.Sprintf("%s applied version %d after %d", h.ID, versions[i], versions[i-1]))
			}
		}
	}
	return report(violations)
}
