package timeline

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// rolloutEvents returns the events of a rollout over two zones. The other region
// is 12 ms behind.
func rolloutEvents() *api.Timeline {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	timeline := &api.Timeline{Unanswered: []string{"kaskazini-a-<9>"}}
	add := func(kind, zone, host string, ms float64) {
		timeline.Events = append(timeline.Events, api.Event{
			Time: start.Add(time.Duration(ms * float64(time.Millisecond))), Kind: kind, Zone: zone, Host: host,
			Region: api.NewOptString(strings.TrimSuffix(zone, "-a")), Version: api.NewOptUint64(4),
		})
	}
	add("accepted", "pwani-a", "pwani-a-1", 0)
	add("version-loaded", "pwani-a", "pwani-a-1", 2.5)
	add("version-applied", "pwani-a", "pwani-a-1", 2.6)
	for i := 2; i <= 5; i++ {
		add("version-fetched", "pwani-a", fmt.Sprintf("pwani-a-%d", i), 3+float64(i))
		add("version-applied", "pwani-a", fmt.Sprintf("pwani-a-%d", i), 5+float64(i))
	}
	for i := 1; i <= 4; i++ {
		add("version-fetched", "kaskazini-a", fmt.Sprintf("kaskazini-a-%d", i), 28+2*float64(i))
		if i < 4 {
			add("version-applied", "kaskazini-a", fmt.Sprintf("kaskazini-a-%d", i), 30+2*float64(i))
		}
	}
	add("version-applied", "kaskazini-a", "kaskazini-a-1", 900) // after a restart
	add("call-refused", "pwani-a", "pwani-a-1", 950)
	other := timeline.Events[0]
	other.Version, other.Host = api.NewOptUint64(3), "other"
	timeline.Events = append(timeline.Events, other)
	return timeline
}

// Guards against a picture that is not well-formed XML, has marks of other versions
// or kinds of events, or does not name hosts that did not answer. If the environment
// variable PICTURE is set to a path, the picture is written there for inspection.
func TestRenderRollout(t *testing.T) {
	got, err := RenderRollout(4, rolloutEvents())
	if err != nil {
		t.Fatal(err)
	}
	if path := os.Getenv("PICTURE"); path != "" {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	marks := map[string]int{}
	var texts []string
	for d := xml.NewDecoder(strings.NewReader(string(got))); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("not well formed: %v", err)
		}
		switch v := token.(type) {
		case xml.StartElement:
			if v.Name.Local == "path" {
				marks[v.Attr[0].Value]++
			}
		case xml.CharData:
			texts = append(texts, string(v))
		}
	}
	// The legend has one more mark of each kind that occurred.
	if got, want := fmt.Sprint(marks), "map[accepted:2 version-applied:9 version-fetched:9 version-loaded:2]"; got != want {
		t.Errorf("marks: got %s, want %s", got, want)
	}
	all := strings.Join(texts, "\n")
	for _, want := range []string{
		"Rollout of version 4: applied on 8 of 9 hosts with events; last event after 36 ms",
		"pwani-a (region pwani)", "applied on 5 of 5 hosts with events, last applied after 10 ms",
		"applied on 3 of 4 hosts with events, last applied after 36 ms",
		"did not answer: kaskazini-a-<9>", "pwani-a-1: loaded from the object store after 2.5 ms",
	} {
		if !strings.Contains(all, want) {
			t.Errorf("texts: got %q, want %q among them", all, want)
		}
	}
	if strings.Contains(all, "other") {
		t.Error("picture has a host of another version")
	}
	if strings.Index(all, "kaskazini-a-1") > strings.Index(all, "pwani-a-1") {
		t.Error("zones are not sorted by region")
	}
	var refused command.Error
	if _, err := RenderRollout(5, rolloutEvents()); !errors.As(err, &refused) || refused.Hint == "" {
		t.Errorf("version without events: got %v, want an error with a hint", err)
	}
}

// Guards against an axis without ticks or with too many ticks.
func TestAxisTicks(t *testing.T) {
	for _, length := range []time.Duration{0, time.Microsecond, 999 * time.Microsecond, 36 * time.Millisecond, 7 * time.Second, time.Hour} {
		step, end := axisTicks(length)
		if n := end / step; n < 1 || n > 10 || end < length || end%step != 0 {
			t.Errorf("%v: got step %v and end %v, want 1 to 10 steps that cover it", length, step, end)
		}
	}
}
