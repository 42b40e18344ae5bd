package main

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/test/caller/load"
)

// TestScheduleIsSeeded guards against a failed seed that can't be played again.
func TestScheduleIsSeeded(t *testing.T) {
	c := scheduleConfig{seed: 7, length: time.Minute, hosts: 9, zones: 4}
	first := newSchedule(c)
	if again := newSchedule(c); !reflect.DeepEqual(first, again) {
		t.Error("got two schedules for one seed")
	}
	c.seed = 8
	if other := newSchedule(c); reflect.DeepEqual(first, other) {
		t.Error("got one schedule for two seeds")
	}
}

// TestScheduleKeepsItsBounds guards against a soak whose faults leave no host to serve
// calls, last beyond its end, meet on one process, or never overlap.
func TestScheduleKeepsItsBounds(t *testing.T) {
	kinds := make(map[string]int)
	overlaps := 0
	for seed := range uint64(50) {
		c := scheduleConfig{seed: seed, length: time.Minute, hosts: 9, zones: 4}
		events := newSchedule(c)
		if !slices.IsSortedFunc(events, func(a, b event) int { return int(a.at - b.at) }) {
			t.Errorf("seed %d: got events that are not sorted", seed)
		}
		for i, e := range events {
			kinds[fmt.Sprintf("%T", e.fault)]++
			if e.end() > c.length {
				t.Errorf("seed %d: got %s until %v, after the end", seed, e.fault.describe(), e.end())
			}
			hosts := make(map[int]bool)
			for j, o := range events {
				if i == j || o.at > e.at || o.end() < e.at {
					continue
				}
				overlaps++
				if sameResource(o.fault, e.fault) {
					t.Errorf("seed %d: got %s during %s", seed, e.fault.describe(), o.fault.describe())
				}
				if f, ok := o.fault.(processFault); ok {
					hosts[f.host] = true
				}
			}
			if len(hosts) > c.hosts/3 {
				t.Errorf("seed %d: got %d hosts affected at %v, want at most %d", seed, len(hosts), e.at, c.hosts/3)
			}
		}
	}
	for _, f := range []fault{processFault{}, platformFault{}, zoneCut{}, regionCut{}, change{}} {
		if kinds[fmt.Sprintf("%T", f)] < 50 {
			t.Errorf("%T: got %d in 50 seeds, want 50 or more", f, kinds[fmt.Sprintf("%T", f)])
		}
	}
	if overlaps < 500 {
		t.Errorf("got %d overlaps in 50 seeds, want 500 or more", overlaps)
	}
}

// TestChecksFindBrokenPromises guards against checks that pass whatever the servers ran.
func TestChecksFindBrokenPromises(t *testing.T) {
	sound := load.Result{AcknowledgedKeys: []string{"a"}, RefusedAttempts: []string{"r-1"}, Latencies: []time.Duration{1}}
	for name, c := range map[string]struct {
		lines  []string
		change func(*load.Result)
		want   int
	}{
		"sound":          {lines: []string{"POST /orders/a a-0", "GET /stock g-0"}},
		"twice":          {lines: []string{"POST /orders/a a-0", "POST /orders/a a-1"}, want: 1},
		"lost":           {lines: []string{"GET /stock g-0"}, want: 1},
		"refused, ran":   {lines: []string{"POST /orders/a a-0", "GET /stock r-1"}, want: 1},
		"mismatched":     {lines: []string{"POST /orders/a a-0"}, change: func(r *load.Result) { r.Mismatched = 2 }, want: 1},
		"nothing served": {lines: []string{"POST /orders/a a-0"}, change: func(r *load.Result) { r.Latencies = nil }, want: 1},
	} {
		r := sound
		if c.change != nil {
			c.change(&r)
		}
		if got := checkCalls(r, countRuns(c.lines)); len(got) != c.want {
			t.Errorf("%s: got %q, want %d", name, got, c.want)
		}
	}
	if got := checkVersions("h", []uint64{1, 3, 3, 2, 4}); len(got) != 1 {
		t.Errorf("versions: got %q, want 1", got)
	}
}
