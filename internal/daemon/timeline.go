package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// Timeline implements operator.Backend. It queries the daemons of this region and
// one daemon of each other region, which queries the daemons of its region.
func (d *Daemon) Timeline(ctx context.Context, q operator.Query) (operator.Timeline, error) {
	regions := make(map[host.AvailabilityZone]host.Region)
	var queried []host.ID
	var zones []fleet.ZoneStatus
	err := d.loop.withCore(ctx, func(c *fleet.Core) {
		zones = c.Zones()
		for _, h := range c.Hosts() {
			if h.State < host.Dead && (q.Zone == "" || h.Zone == q.Zone) {
				queried = append(queried, h.ID)
				regions[h.Zone] = h.Region
			}
		}
	})
	if err != nil {
		return operator.Timeline{}, fmt.Errorf("read the core: %w", err)
	}
	request := timelineQuery{Since: q.StartStamp(), Filter: q.Filter()}
	var group errgroup.Group
	var own, others []timeline.Page
	group.Go(func() (err error) {
		own, err = d.queryRegion(ctx, request)
		return err
	})
	group.Go(func() error {
		others = d.queryOtherRegions(ctx, request, zones)
		return nil
	})
	if err := group.Wait(); err != nil {
		return operator.Timeline{}, err
	}
	merged := timeline.Merge(queried, append(own, others...)...)
	return q.Result(merged, func(z host.AvailabilityZone) host.Region { return regions[z] }), nil
}

// answerTimeline returns the timeline of this host, or those of the region if the
// query asks for them.
func (d *Daemon) answerTimeline(ctx context.Context, q timelineQuery) ([]timeline.Page, error) {
	if q.Gather {
		q.Gather = false
		return d.queryRegion(ctx, q)
	}
	return []timeline.Page{d.timeline.Since(q.Since, q.Filter)}, nil
}

// queryRegion returns the timelines of the hosts of this region that respond.
func (d *Daemon) queryRegion(ctx context.Context, q timelineQuery) ([]timeline.Page, error) {
	var addrs []netip.AddrPort
	err := d.loop.withCore(ctx, func(c *fleet.Core) {
		for _, h := range c.Hosts() {
			if h.State < host.Dead && h.Region == d.settings.Region && (q.Filter.Zone == "" || h.Zone == q.Filter.Zone) {
				addrs = append(addrs, h.ControlAddr)
			}
		}
	})
	if err != nil {
		return nil, fmt.Errorf("read the core: %w", err)
	}
	var mu sync.Mutex
	var pages []timeline.Page
	var group errgroup.Group
	group.SetLimit(maxTimelineQueries)
	for _, addr := range addrs {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
			defer cancel()
			if a, err := d.sendQuery(ctx, addr, query{Timeline: &q}); err == nil {
				mu.Lock()
				defer mu.Unlock()
				pages = append(pages, a.Timeline...)
			}
			return nil
		})
	}
	return pages, group.Wait()
}

// queryOtherRegions queries one host of each other region for all timelines of its
// region, and the next host if it does not respond.
func (d *Daemon) queryOtherRegions(ctx context.Context, q timelineQuery, zones []fleet.ZoneStatus) []timeline.Page {
	q.Gather = true
	var pages []timeline.Page
	var done []host.Region
	for _, z := range zones {
		if z.Region == d.settings.Region || slices.Contains(done, z.Region) || (q.Filter.Zone != "" && q.Filter.Zone != z.Zone) {
			continue
		}
		for _, candidate := range z.RootCandidates {
			ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
			a, err := d.sendQuery(ctx, candidate, query{Timeline: &q})
			cancel()
			if err == nil {
				pages = append(pages, a.Timeline...)
				done = append(done, z.Region)
				break
			}
		}
	}
	return pages
}
