package operator

import (
	"math"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// Filter returns the filter that each daemon applies to the events that it keeps.
func (q Query) Filter() timeline.Filter {
	f := timeline.Filter{Version: q.Version, Server: q.Server, Call: timeline.CallID(q.CallID), Zone: q.Zone}
	if q.Kind != "" {
		f.Kinds = []timeline.Kind{timeline.Kind(q.Kind)}
	}
	return f
}

// StartStamp returns the stamp after which events are requested: the last one
// before the millisecond of Since.
func (q Query) StartStamp() timeline.Stamp {
	if q.Since.IsZero() {
		return timeline.Stamp{}
	}
	return timeline.Stamp{WallMS: q.Since.UnixMilli() - 1, Counter: math.MaxUint32}
}

// Result returns the newest events of a merged timeline, up to the limit of the
// query. The function region maps zones to regions.
func (q Query) Result(m timeline.Merged, region func(host.AvailabilityZone) host.Region) Timeline {
	events := m.Events
	if q.Limit > 0 {
		events = events[max(0, len(events)-q.Limit):]
	}
	out := Timeline{Unanswered: m.Unanswered, Overflowed: m.Overflowed}
	for _, e := range events {
		out.Events = append(out.Events, Event{
			Time: time.UnixMilli(e.Stamp.WallMS).UTC(), Counter: e.Stamp.Counter, Kind: string(e.Kind),
			Host: e.Host, Zone: e.Zone, Region: region(e.Zone), Subject: e.Subject,
			Version: e.Version, Server: e.Server, CallID: string(e.Call), Detail: e.Detail,
		})
	}
	return out
}
