package daemon

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// Timeline implements operator.Backend. It asks every live daemon.
func (d *Daemon) Timeline(ctx context.Context, q operator.Query) (operator.Timeline, error) {
	hosts := make(map[host.ID]host.Row)
	err := d.loop.view(ctx, func(c *fleet.Core) {
		for _, h := range c.Hosts() {
			if h.State < host.Dead && (q.Zone == "" || h.Zone == q.Zone) {
				hosts[h.ID] = h
			}
		}
	})
	if err != nil {
		return operator.Timeline{}, fmt.Errorf("read the core: %w", err)
	}
	asked := make([]host.ID, 0, len(hosts))
	for id := range hosts {
		asked = append(asked, id)
	}
	merged := timeline.Merge(asked, d.timelinePages(ctx, q, hosts)...)
	regions := make(map[host.AvailabilityZone]host.Region)
	for _, h := range hosts {
		regions[h.Zone] = h.Region
	}
	return q.Answer(merged, func(z host.AvailabilityZone) host.Region { return regions[z] }), nil
}

// timelinePages returns the rings of the hosts that answer.
func (d *Daemon) timelinePages(ctx context.Context, q operator.Query, hosts map[host.ID]host.Row) []timeline.Page {
	request := query{Timeline: &timelineQuery{Since: q.After(), Filter: q.Filter()}}
	var mu sync.Mutex
	var pages []timeline.Page
	var group errgroup.Group
	group.SetLimit(timelineQueries)
	for _, h := range hosts {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
			defer cancel()
			if a, err := d.ask(ctx, h.ControlAddr, request); err == nil && a.Timeline != nil {
				mu.Lock()
				defer mu.Unlock()
				pages = append(pages, *a.Timeline)
			}
			return nil
		})
	}
	_ = group.Wait()
	return pages
}
