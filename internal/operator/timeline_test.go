package operator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// Guards against events lost at the edge of the time asked for, and against a
// limit that drops the newest events.
func TestTimelineQuery(t *testing.T) {
	now := time.UnixMilli(1_790_000_000_000)
	ring := timeline.New(timeline.Config{Host: "pwani-a-1", Zone: "pwani-a", Now: func() time.Time { return now }})
	ring.Add(timeline.Event{Kind: "early"})
	now = now.Add(time.Millisecond)
	for _, k := range []timeline.Kind{"first", "second", "third"} {
		ring.Add(timeline.Event{Kind: k})
	}
	ask := func(q operator.Query) string {
		m := timeline.Merge([]host.ID{"pwani-a-1", "pwani-b-1"}, ring.Since(q.StartStamp(), q.Filter()))
		answer := q.Result(m, func(host.AvailabilityZone) host.Region { return "pwani" })
		out := fmt.Sprint(answer.Unanswered)
		for _, e := range answer.Events {
			out += fmt.Sprintf(" %s:%s@%d", e.Region, e.Kind, e.Time.UnixMilli()-1_790_000_000_000)
		}
		return out
	}
	for _, c := range []struct {
		query operator.Query
		want  string
	}{
		{operator.Query{}, "[pwani-b-1] pwani:early@0 pwani:first@1 pwani:second@1 pwani:third@1"},
		{operator.Query{Since: now}, "[pwani-b-1] pwani:first@1 pwani:second@1 pwani:third@1"},
		{operator.Query{Limit: 2}, "[pwani-b-1] pwani:second@1 pwani:third@1"},
		{operator.Query{Kind: "second"}, "[pwani-b-1] pwani:second@1"},
		{operator.Query{Zone: "other"}, "[pwani-b-1]"},
	} {
		if got := ask(c.query); got != c.want {
			t.Errorf("%+v: got %s, want %s", c.query, got, c.want)
		}
	}
}
