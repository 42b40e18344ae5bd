package timeline

import (
	"encoding/json"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/host"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// TestMergeKeepsCausality verifies that a merged timeline shows a cause before its
// effect when clocks are wrong, differ by minutes or are set back.
func TestMergeKeepsCausality(t *testing.T) {
	hosts := []host.ID{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		wall := make([]int64, len(hosts))
		rings := make([]*Ring, len(hosts))
		for i, id := range hosts {
			wall[i] = rapid.Int64Range(0, 10*60_000).Draw(t, "clock")
			rings[i] = New(Config{Host: id, Size: 1000, Now: func() time.Time { return time.UnixMilli(wall[i]) }})
		}
		type eventKey struct {
			host  host.ID
			stamp Stamp
		}
		// past[i] holds the events that happened before the next event of host i.
		past := make([]map[eventKey]bool, len(hosts))
		for i := range past {
			past[i] = map[eventKey]bool{}
		}
		type causalPair struct{ cause, effect eventKey }
		var known []causalPair
		record := func(i int) Stamp {
			effect := eventKey{hosts[i], rings[i].Add(Event{Kind: "step"})}
			for cause := range past[i] {
				known = append(known, causalPair{cause, effect})
			}
			past[i][effect] = true
			return effect.stamp
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from := rapid.IntRange(0, len(hosts)-1).Draw(t, "from")
			to := rapid.IntRange(0, len(hosts)-1).Draw(t, "to")
			wall[from] += rapid.Int64Range(-60_000, 60_000).Draw(t, "time")
			sent := record(from)
			if to == from {
				continue
			}
			rings[to].Observe(sent)
			maps.Copy(past[to], past[from])
			record(to)
		}
		var pages []Page
		for _, r := range rings {
			pages = append(pages, r.Since(Stamp{}, Filter{}))
		}
		position := map[eventKey]int{}
		for i, e := range Merge(hosts, pages...).Events {
			position[eventKey{e.Host, e.Stamp}] = i
		}
		for _, k := range known {
			if position[k.cause] >= position[k.effect] {
				t.Fatalf("got %v after its effect %v, want it before", k.cause, k.effect)
			}
		}
	})
}

func TestRing(t *testing.T) { // verifies that overwritten events are counted and that filters select only matching events
	now := time.UnixMilli(1000)
	r := New(Config{Host: "a", Zone: "z", Size: 3, Now: func() time.Time { return now }})
	r.Add(Event{Kind: "version-applied", Version: 1})
	first := r.Add(Event{Kind: "version-applied", Version: 2})
	r.Add(Event{Kind: "call-refused", Server: "s-1", Call: "c-1"})
	if got := r.Since(Stamp{}, Filter{}); len(got.Events) != 3 || got.Overwritten != 0 {
		t.Errorf("got %+v, want three events and none overwritten", got)
	}
	r.Add(Event{Kind: "call-refused", Server: "s-2", Call: "c-2", Zone: "y"})
	if got := r.Since(Stamp{}, Filter{}); len(got.Events) != 3 || got.Overwritten != 1 || got.Events[0].Stamp != first {
		t.Errorf("got %+v, want the newest three events and one overwritten", got)
	}
	if got := r.Since(first, Filter{}); len(got.Events) != 2 || got.Overwritten != 0 {
		t.Errorf("got %+v, want two events after %v and none overwritten", got, first)
	}
	for name, c := range map[string]struct {
		f    Filter
		want int
	}{
		"kind":           {Filter{Kinds: []Kind{"call-refused"}}, 2},
		"several kinds":  {Filter{Kinds: []Kind{"call-refused", "version-applied"}}, 3},
		"version":        {Filter{Version: 2}, 1},
		"server":         {Filter{Server: "s-2"}, 1},
		"call":           {Filter{Call: "c-1"}, 1},
		"zone":           {Filter{Zone: "y"}, 1},
		"server of zone": {Filter{Server: "s-2", Zone: "z"}, 0},
	} {
		if got := r.Since(Stamp{}, c.f); len(got.Events) != c.want {
			t.Errorf("%s: got %d events, want %d", name, len(got.Events), c.want)
		}
	}
	r.Observe(Stamp{WallMS: 5000, Counter: 1<<32 - 1})
	if got, want := r.Add(Event{}), (Stamp{WallMS: 5001}); got != want {
		t.Errorf("after a peer's stamp with the highest counter: got %v, want %v", got, want)
	}
}

func TestMerge(t *testing.T) { // verifies that a merged timeline names the hosts that did not respond and those whose ring overflowed
	a := Page{Host: "a", Events: []Event{{Stamp: Stamp{1, 0}, Host: "a"}, {Stamp: Stamp{3, 0}, Host: "a"}}, Overwritten: 2}
	b := Page{Host: "b", Events: []Event{{Stamp: Stamp{2, 0}, Host: "b"}}}
	got := Merge([]host.ID{"d", "a", "b", "c"}, b, a, a)
	var stamps []string
	for _, e := range got.Events {
		stamps = append(stamps, e.Stamp.String())
	}
	if want := []string{"1.0", "2.0", "3.0"}; !reflect.DeepEqual(stamps, want) {
		t.Errorf("got stamps %v, want %v", stamps, want)
	}
	if want := []host.ID{"c", "d"}; !reflect.DeepEqual(got.Unanswered, want) {
		t.Errorf("got unanswered hosts %v, want %v", got.Unanswered, want)
	}
	if want := []host.ID{"a"}; !reflect.DeepEqual(got.Overflowed, want) {
		t.Errorf("got overflowed hosts %v, want %v", got.Overflowed, want)
	}
}

func TestJSON(t *testing.T) { // verifies that JSON keys are in kebab case and that stamps keep all digits
	e := Event{Stamp: Stamp{1_790_000_000_000, 7}, Kind: "call-refused", Host: "a", Zone: "z", Subject: "b", Server: "s", Version: 3, Call: "c", Detail: "queue full"}
	got, err := json.Marshal(Merged{Events: []Event{e}, Unanswered: []host.ID{"b"}, Overflowed: []host.ID{"a"}})
	want := `{"events":[{"stamp":"1790000000000.7","kind":"call-refused","host":"a","zone":"z","subject-host":"b","server":"s",` +
		`"version":3,"call-id":"c","detail":"queue full"}],"missing-hosts":["b"],"overflowed-hosts":["a"]}`
	if err != nil || string(got) != want {
		t.Errorf("got %s and error %v, want %s", got, err, want)
	}
	var back Merged
	if err := json.Unmarshal(got, &back); err != nil || !reflect.DeepEqual(back.Events, []Event{e}) {
		t.Errorf("got %+v and error %v, want %+v", back, err, e)
	}
	for _, bad := range []string{`"1"`, `"x.1"`, `"1.-1"`, `"1.99999999999"`} {
		if err := json.Unmarshal([]byte(bad), new(Stamp)); err == nil {
			t.Errorf("stamp %s was accepted", bad)
		}
	}
}
