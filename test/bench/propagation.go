package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// propagation holds the times in which one version reached the daemons.
type propagation struct {
	commitTime  time.Duration            // from the time in the manifest to the end of the commit
	applyDelays map[string]time.Duration // from the end of the commit, by host
}

// propagations computes the propagation of each version from the timelines. For a
// daemon that skipped a version, the next version that it applied is used.
func (b *fleetBench) propagations(ctx context.Context, start time.Time, all []acceptedChange) ([]propagation, error) {
	applied, err := b.Timeline(ctx, teamToken(0), "version-applied", start)
	if err != nil {
		return nil, err
	}
	if n := len(applied.Unanswered); n > 0 {
		b.reporter.printNote("%d daemons did not respond to the timeline query: %v", n, applied.Unanswered[:min(n, 5)])
	}
	commits, err := b.Timeline(ctx, teamToken(0), "accepted", start)
	if err != nil {
		return nil, err
	}
	manifests, err := b.manifestTimes(ctx)
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
			return nil, fmt.Errorf("timelines contain no acceptance of version %d", a.version)
		}
		list = append(list, propagation{
			commitTime: committed.Sub(manifests[a.version]), applyDelays: firstApplyDelays(applied.Events, a.version, committed),
		})
	}
	return list, nil
}

// firstApplyDelays returns, by host, the delay until the version or a later one was
// first applied.
func firstApplyDelays(events []api.Event, version uint64, from time.Time) map[string]time.Duration {
	delays := make(map[string]time.Duration)
	for _, e := range events {
		if e.Version.Value < version {
			continue
		}
		d := max(0, e.Time.Sub(from))
		if old, ok := delays[e.Host]; !ok || d < old {
			delays[e.Host] = d
		}
	}
	return delays
}

// manifestTimes returns the acceptance times in the manifests of the newest
// versions.
func (b *fleetBench) manifestTimes(ctx context.Context) (map[uint64]time.Time, error) {
	client, err := b.AnyRunningHost().Operator(teamToken(0))
	if err != nil {
		return nil, fmt.Errorf("create operator client: %w", err)
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

// printConvergence prints the distribution of the apply delays over all changes
// and daemons, the daemon that was last, and the lower bounds of the changes.
func (b *fleetBench) printConvergence(ctx context.Context, situation string, start time.Time, all []acceptedChange, bounds []time.Duration) error {
	list, err := b.propagations(ctx, start, all)
	if err != nil {
		return err
	}
	var delays []time.Duration
	var maxCommitTime, maxBound, slowestOverall time.Duration
	var ratio float64
	last := ""
	for i, s := range list {
		var slowest time.Duration
		for id, d := range s.applyDelays {
			delays = append(delays, d)
			slowest = max(slowest, d)
			if d > slowestOverall {
				slowestOverall, last = d, id+" for "+fmt.Sprint(all[i].version)+" by "+string(all[i].host.ID)
			}
		}
		maxCommitTime = max(maxCommitTime, s.commitTime)
		maxBound = max(maxBound, bounds[i])
		ratio = max(ratio, float64(s.commitTime+slowest)/float64(bounds[i]))
	}
	slices.Sort(delays)
	return b.reporter.printTable("convergence", append(b.labels(situation),
		column{"changes", len(all)}, column{"applied", len(delays)},
		column{"p50-ms", milliseconds(quantile(delays, 0.5))}, column{"p99-ms", milliseconds(quantile(delays, 0.99))},
		column{"max-ms", milliseconds(quantile(delays, 1))}, column{"write-max-ms", milliseconds(maxCommitTime)},
		column{"floor-ms", milliseconds(maxBound)}, column{"max-to-floor", ratio}, column{"last", last}))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
