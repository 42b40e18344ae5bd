package daemon

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/timeline"
	"github.com/peridotlb/peridotlb/internal/version"
)

// maxTimelineQueries bounds the concurrent timeline queries to other daemons.
const maxTimelineQueries = 32

// Submit implements operator.Backend. It passes an accepted version to the fleet
// before it returns.
func (d *Daemon) Submit(ctx context.Context, s submission.Submission) submission.Outcome {
	d.timeline.Add(timeline.Event{Kind: "submitted", Detail: string(s.ID)})
	outcome := d.acceptor.Accept(ctx, s)
	switch o := outcome.(type) {
	case submission.Accepted:
		d.metrics.submissionsAccepted.Inc()
		d.loop.post(ctx, fleet.VersionAccepted{Snapshot: o.Snapshot})
		d.timeline.Add(timeline.Event{Kind: "accepted", Version: o.Snapshot.Number(), Detail: string(s.ID)})
	case submission.Refused:
		d.metrics.submissionsRefused.Inc()
		d.timeline.Add(timeline.Event{Kind: "refused", Detail: string(s.ID) + ": " + o.Reason})
	case submission.Unknown:
		d.metrics.submissionsUnknown.Inc()
		d.timeline.Add(timeline.Event{Kind: "submission-unknown", Detail: string(s.ID)})
	}
	return outcome
}

// NewestSnapshot implements operator.Backend.
func (d *Daemon) NewestSnapshot(ctx context.Context) (version.Snapshot, error) {
	var s version.Snapshot
	err := d.loop.withCore(ctx, func(c *fleet.Core) { s = c.NewestSnapshot() })
	return s, err
}

// Version implements operator.Backend.
func (d *Daemon) Version(ctx context.Context, n version.Number) (version.Snapshot, error) {
	m, err := submission.ReadVersion(ctx, d.platform, n)
	if errors.Is(err, submission.ErrNoVersion) {
		return version.Snapshot{}, operator.ErrNotFound
	}
	if err != nil {
		return version.Snapshot{}, fmt.Errorf("read version: %w", err)
	}
	have, err := d.NewestSnapshot(ctx)
	if err != nil {
		return version.Snapshot{}, err
	}
	return submission.Load(ctx, d.platform, m, have)
}

// History implements operator.Backend.
func (d *Daemon) History(ctx context.Context, before version.Number, limit int) ([]version.Manifest, error) {
	if before == 0 {
		head, err := submission.ReadHead(ctx, d.platform)
		if err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		before = head.Number + 1
	}
	var manifests []version.Manifest
	for n := before - 1; n > 0 && len(manifests) < limit; n-- {
		m, err := submission.ReadVersion(ctx, d.platform, n)
		if err != nil {
			return nil, fmt.Errorf("read history: %w", err)
		}
		manifests = append(manifests, m)
	}
	return manifests, nil
}

// Status implements operator.Backend.
func (d *Daemon) Status(ctx context.Context) (operator.Status, error) {
	var status operator.Status
	var zones []fleet.ZoneStatus
	err := d.loop.withCore(ctx, func(c *fleet.Core) {
		status.Head = c.HighestKnownVersion()
		zones = c.Zones()
	})
	if err != nil {
		return status, fmt.Errorf("read the core: %w", err)
	}
	status.Unreadable = d.unreadableEntries()
	status.Zones = make([]operator.Zone, len(zones))
	var group errgroup.Group
	for i, z := range zones {
		group.Go(func() error {
			status.Zones[i] = d.zoneStatus(ctx, z)
			return nil
		})
	}
	_ = group.Wait()
	t := d.link.Traffic().Total
	status.Traffic = operator.Traffic{
		SentBytes: t.BytesSent, SentPackets: t.PacketsSent, ReceivedBytes: t.BytesReceived, ReceivedPackets: t.PacketsReceived,
	}
	return status, nil
}

// zoneStatus queries the root candidates of a zone in order until one responds.
func (d *Daemon) zoneStatus(ctx context.Context, z fleet.ZoneStatus) operator.Zone {
	zone := operator.Zone{Name: z.Zone, Region: z.Region, Hosts: z.LiveHosts, Applied: map[version.Number]int{}, Unreachable: true}
	for _, candidate := range z.RootCandidates {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		a, err := d.sendQuery(ctx, candidate, query{Status: &struct{}{}})
		cancel()
		if err != nil || a.Status == nil {
			continue
		}
		fillZone(&zone, *a.Status)
		break
	}
	return zone
}

func fillZone(zone *operator.Zone, r message.Report) {
	zone.Unreachable = false
	for _, c := range r.Counts {
		zone.Applied[c.Number] = int(c.Hosts)
	}
	zone.Stragglers = r.Stragglers
}

// Servers implements operator.Backend.
func (d *Daemon) Servers(ctx context.Context) ([]operator.Server, error) {
	var servers []operator.Server
	err := d.loop.withCore(ctx, func(c *fleet.Core) {
		hosts := make(map[host.ID]host.Row)
		for _, h := range c.Hosts() {
			hosts[h.ID] = h
		}
		for _, s := range c.Servers() {
			h := hosts[s.Host]
			servers = append(servers, operator.Server{Server: s, Zone: h.Zone, Region: h.Region, HostState: h.State})
		}
	})
	return servers, err
}
