package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

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
	return operatorTimeline(merged, hosts, q.Limit), nil
}

// timelinePages returns the rings of the hosts that answer.
func (d *Daemon) timelinePages(ctx context.Context, q operator.Query, hosts map[host.ID]host.Row) []timeline.Page {
	request := query{Timeline: &timelineQuery{Filter: timeline.Filter{
		Version: q.Version, Server: q.Server, Call: timeline.CallID(q.CallID), Zone: q.Zone,
	}}}
	if q.Kind != "" {
		request.Timeline.Filter.Kinds = []timeline.Kind{timeline.Kind(q.Kind)}
	}
	if !q.Since.IsZero() {
		request.Timeline.Since.WallMS = q.Since.UnixMilli() - 1
	}
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

// operatorTimeline keeps the newest events of a merged time line.
func operatorTimeline(m timeline.Merged, hosts map[host.ID]host.Row, limit int) operator.Timeline {
	events := m.Events
	if limit > 0 && len(events) > limit {
		events = events[len(events)-limit:]
	}
	t := operator.Timeline{Unanswered: m.Missing}
	for _, e := range events {
		detail := e.Detail
		if e.Subject != "" {
			detail = joinDetail(string(e.Subject), detail)
		}
		t.Events = append(t.Events, operator.Event{
			Time: time.UnixMilli(e.Stamp.WallMS), Counter: e.Stamp.Counter, Kind: string(e.Kind),
			Host: e.Host, Zone: e.Zone, Region: hosts[e.Host].Region,
			Version: e.Version, Server: e.Server, CallID: string(e.Call), Detail: detail,
		})
	}
	return t
}

func joinDetail(a, b string) string {
	if b == "" {
		return a
	}
	return a + ": " + b
}
