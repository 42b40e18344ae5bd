package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// spread is how one version reached the daemons.
type propagation struct {
	commitTime  time.Duration            // from the manifest's time to the end of the commit
	applyDelays map[string]time.Duration // from the end of the commit, by host
}

// spreads reads the time lines and returns how each version spread. A daemon
// that skipped a version counts with the next one that it applied.
func (t *fleetBench) propagations(ctx context.Context, start time.Time, all []acceptedChange) ([]propagation, error) {
	applied, err := t.Timeline(ctx, teamToken(0), "version-applied", start)
	if err != nil {
		return nil, err
	}
	if n := len(applied.Unanswered); n > 0 {
		t.reporter.printNote("%d daemons did not answer the query of their time lines: %v", n, applied.Unanswered[:min(n, 5)])
	}
	commits, err := t.Timeline(ctx, teamToken(0), "accepted", start)
	if err != nil {
		return nil, err
	}
	manifests, err := t.manifestTimes(ctx)
	if err != nil {
		return nil, err
	}
	var list []propagation
	for _, a := range all {
		var committed time.Time
		for _, e := range commits.Events {
			if e.Version.Value == a.version && (committed.IsZero() || e.Time.Before(committed)) {
				committed = e.Time
			}
		}
		if committed.IsZero() {
			return nil, fmt.Errorf("time lines lack the acceptance of version %d", a.version)
		}
		list = append(list, propagation{
			commitTime: committed.Sub(manifests[a.version]), applyDelays: firstApplyDelays(applied.Events, a.version, committed),
		})
	}
	return list, nil
}

// firstApplied returns when each host first had the version or a later one.
func firstApplyDelays(events []api.Event, version uint64, from time.Time) map[string]time.Duration {
	took := make(map[string]time.Duration)
	for _, e := range events {
		if e.Version.Value < version {
			continue
		}
		d := max(0, e.Time.Sub(from))
		if old, ok := took[e.Host]; !ok || d < old {
			took[e.Host] = d
		}
	}
	return took
}

// manifests returns the times in the manifests of the newest versions.
func (t *fleetBench) manifestTimes(ctx context.Context) (map[uint64]time.Time, error) {
	client, err := t.AnyRunningHost().Operator(teamToken(0))
	if err != nil {
		return nil, fmt.Errorf("operator client: %w", err)
	}
	list, err := client.ListVersions(ctx, api.ListVersionsParams{Limit: api.NewOptInt(50)})
	if err != nil {
		return nil, fmt.Errorf("list versions: %w", err)
	}
	times := make(map[uint64]time.Time)
	for _, v := range list.Versions {
		times[v.Number] = v.AcceptedAt
	}
	return times, nil
}

// printConvergence prints the times over all changes and daemons together, and
// names the daemon that was last.
func (t *fleetBench) printConvergence(ctx context.Context, situation string, start time.Time, all []acceptedChange, floors []time.Duration) error {
	spreads, err := t.propagations(ctx, start, all)
	if err != nil {
		return err
	}
	var took []time.Duration
	var write, floor, worst time.Duration
	var ratio float64
	last := ""
	for i, s := range spreads {
		var slowest time.Duration
		for id, d := range s.applyDelays {
			took = append(took, d)
			slowest = max(slowest, d)
			if d > worst {
				worst, last = d, id+" for "+fmt.Sprint(all[i].version)+" by "+string(all[i].host.ID)
			}
		}
		write = max(write, s.commitTime)
		floor = max(floor, floors[i])
		ratio = max(ratio, float64(s.commitTime+slowest)/float64(floors[i]))
	}
	slices.Sort(took)
	return t.reporter.printTable("convergence", append(t.labels(situation),
		column{"changes", len(all)}, column{"applied", len(took)},
		column{"p50-ms", milliseconds(quantile(took, 0.5))}, column{"p99-ms", milliseconds(quantile(took, 0.99))},
		column{"max-ms", milliseconds(quantile(took, 1))}, column{"write-max-ms", milliseconds(write)},
		column{"floor-ms", milliseconds(floor)}, column{"max-to-floor", ratio}, column{"last", last}))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
