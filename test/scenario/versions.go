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

// convergenceLimit is the guaranteed maximum time until all daemons have applied
// an accepted version.
const convergenceLimit = 7 * time.Second

// submit changes the timeout of a route: submit TEAM ROUTE.timeout=DURATION [HOST].
func submit(st *scriptState, _ *testscript.TestScript, args []string) error {
	plain, named := parseArgs(args)
	if len(plain) < 1 || len(named) != 1 {
		return errUsage
	}
	h := st.mesh.AnyRunningHost()
	if len(plain) == 2 {
		hosts, err := st.hosts(plain[1])
		if err != nil {
			return err
		}
		h = hosts[0]
	}
	for edit, value := range named {
		if err := st.changeTimeout(edit, value); err != nil {
			return err
		}
	}
	ctx, cancel := st.withTimeout(10 * time.Second)
	defer cancel()
	id := fmt.Sprintf("submission-%d", time.Now().UnixNano())
	v, err := h.Submit(ctx, document.TeamName(plain[0]), id, st.latestVersion, st.doc)
	if err != nil {
		return err
	}
	st.latestVersion = v
	return nil
}

func (st *scriptState) changeTimeout(edit, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	for i, s := range st.doc.Sections {
		for j, r := range s.Routes {
			if string(r.Name)+".timeout" == edit {
				st.doc.Sections[i].Routes[j].Timeout = d
				return nil
			}
		}
	}
	return fmt.Errorf("no route for %q; want ROUTE.timeout=DURATION", edit)
}

// race makes concurrent submissions to several daemons, each with a section of its
// own: race N. A submission with an unknown outcome is retried with the same ID at
// another daemon. Each submission must result in a version of its own, and the
// newest version must contain all sections.
func race(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := st.withTimeout(30 * time.Second)
	defer cancel()
	versions := make(chan uint64, n)
	errs := make(chan error, n)
	base := st.latestVersion
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			v, err := st.submitRaceSection(ctx, base, i)
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
	return st.checkRace(ctx, base, n, versions)
}

func raceName(base uint64, i int) string { return fmt.Sprintf("race-%d-%d", base, i) }

func (st *scriptState) submitRaceSection(ctx context.Context, base uint64, i int) (uint64, error) {
	teams := slices.Sorted(maps.Keys(mesh.TokenByTeam))
	name := raceName(base, i)
	service := st.doc.Sections[0].Services[0]
	service.Name = "service-" + service.Name[:0] + convertName(service.Name, name)
	route := st.doc.Sections[0].Routes[1]
	route.Name, route.Service = convertName(route.Name, "route-"+name), service.Name
	route.PathPrefix = "/" + name
	d := document.Document{Sections: []document.Section{{
		Name: document.SectionName(name), Team: teams[i%len(teams)],
		Services: []document.Service{service}, Routes: []document.Route{route},
	}}}
	for try := 0; ; try++ {
		h := st.mesh.Hosts[(i+try)%len(st.mesh.Hosts)]
		v, err := h.Submit(ctx, teams[i%len(teams)], "submission-"+name, base, d)
		if err == nil || errors.Is(err, mesh.ErrRefused) || ctx.Err() != nil {
			return v, err
		}
		st.mu.Lock()
		st.logf("%s at %s: %v", name, h.ID, err)
		st.mu.Unlock()
	}
}

// convertName converts a name to the type of its first argument.
func convertName[T ~string](_ T, name string) T { return T(name) }

func (st *scriptState) checkRace(ctx context.Context, base uint64, n int, versions <-chan uint64) error {
	distinct := make(map[uint64]bool)
	for v := range versions {
		distinct[v] = true
	}
	head, err := st.readLatestManifest(ctx)
	if err != nil {
		return err
	}
	st.latestVersion = uint64(head.Number)
	if len(distinct) != n || st.latestVersion != base+uint64(n) {
		return fmt.Errorf("%d submissions were accepted as %d versions, and the newest version is %d after %d", n, len(distinct), st.latestVersion, base)
	}
	var missing []string
	for i := range n {
		if !slices.ContainsFunc(head.Sections, func(s version.SectionRef) bool { return string(s.Name) == raceName(base, i) }) {
			missing = append(missing, raceName(base, i)+" is missing")
		}
	}
	return violationError(missing)
}

// readLatestManifest reads the manifest of the newest version from the table.
func (st *scriptState) readLatestManifest(ctx context.Context) (version.Manifest, error) {
	p, err := platform.New(platform.Config{
		TableEndpoint: st.mesh.PlatformURL(), ObjectEndpoint: st.mesh.PlatformURL(), SigningRegion: "local",
		AccessKey: "test", SecretKey: "test", Table: "peridotlb", Bucket: "peridotlb",
	})
	if err != nil {
		return version.Manifest{}, err
	}
	return submission.ReadHead(ctx, p)
}

// applied waits until daemons have applied a version: applied VERSION|head
// [within=DURATION] [HOST...]. The default time limit is convergenceLimit.
// Scripts use a longer limit only after an outage of the platform, since daemons
// retry their reads with a backoff of up to 7.5 s.
func applied(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	want := st.latestVersion
	if args[0] != "head" {
		var err error
		if want, err = strconv.ParseUint(args[0], 10, 64); err != nil {
			return err
		}
	}
	patterns, named := parseArgs(args[1:])
	limit := convergenceLimit
	if text, ok := named["within"]; ok {
		var err error
		if limit, err = time.ParseDuration(text); err != nil {
			return err
		}
	}
	if len(patterns) == 0 {
		patterns = []string{"*"}
	}
	ctx, cancel := st.withTimeout(limit)
	defer cancel()
	return st.forEachHost(patterns, func(h *mesh.Host) error { return waitApplied(ctx, h, want) })
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

// statusLacks waits until the status that a host reports shows that a region does
// not have the newest version or is unreachable: status-lacks REGION HOST.
func statusLacks(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	hosts, err := st.hosts(args[1])
	if err != nil {
		return err
	}
	ctx, cancel := st.withTimeout(20 * time.Second)
	defer cancel()
	var last error
	for {
		shown, err := st.checkRegionLacks(ctx, hosts[0], args[0])
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			last = fmt.Errorf("%w; last status: %s", err, shown)
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (st *scriptState) checkRegionLacks(ctx context.Context, h *mesh.Host, region string) (shown string, err error) {
	client, err := h.Operator(mesh.ReadToken())
	if err != nil {
		return "", err
	}
	status, err := client.GetStatus(ctx)
	if err != nil {
		return "", err
	}
	text, _ := json.Marshal(status)
	if status.Head != st.latestVersion {
		return string(text), fmt.Errorf("status shows newest version %d, want %d", status.Head, st.latestVersion)
	}
	return string(text), checkZonesLack(status.Zones, region, st.latestVersion)
}

func checkZonesLack(zones []api.ZoneStatus, region string, head uint64) error {
	seen := false
	for _, z := range zones {
		if z.Region != region {
			continue
		}
		seen = true
		for _, a := range z.Applied {
			if !z.Unreachable && a.Version == head {
				return fmt.Errorf("status shows version %d in zone %s, want the zone without this version", head, z.Zone)
			}
		}
		if !z.Unreachable && len(z.Applied) == 0 {
			return fmt.Errorf("status shows zone %s as reachable without any version, want it unreachable or with an older version", z.Zone)
		}
	}
	if !seen {
		return fmt.Errorf("status shows no zone of region %s", region)
	}
	return nil
}

// versionsMonotonic checks that the log of each host, which includes the time
// before restarts, shows no version that is older than the previous one.
func versionsMonotonic(st *scriptState, _ *testscript.TestScript, _ []string) error {
	var violations []string
	for _, h := range st.mesh.Hosts {
		versions, err := st.mesh.AppliedVersions(h)
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
	return violationError(violations)
}
