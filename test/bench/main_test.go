package main

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator/api"
	"github.com/peridotlb/peridotlb/test/mesh"
)

// TestFirstApplied guards against a daemon that skipped a version in a burst
// being left out, or counted with a version after the first one that it applied.
func TestFirstApplyDelays(t *testing.T) {
	from := time.Unix(100, 0)
	event := func(host string, version uint64, after time.Duration) api.Event {
		return api.Event{Host: host, Version: api.NewOptUint64(version), Time: from.Add(after)}
	}
	got := firstApplyDelays([]api.Event{
		event("a", 4, -time.Second), event("a", 6, 20*time.Millisecond), event("a", 7, 30*time.Millisecond),
		event("b", 5, 10*time.Millisecond), event("c", 5, -time.Millisecond),
	}, 5, from)
	want := map[string]time.Duration{"a": 20 * time.Millisecond, "b": 10 * time.Millisecond, "c": 0}
	if len(got) != len(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	for host, d := range want {
		if got[host] != d {
			t.Errorf("%s: got %v, want %v", host, got[host], d)
		}
	}
}

// TestDifferenceLeavesOutRestarts guards against negative rates of a daemon
// whose counters began anew.
func TestTrafficBetweenSkipsRestartedDaemons(t *testing.T) {
	at := time.Unix(100, 0)
	counters := func(sent, cpu float64) mesh.Metrics { return mesh.Metrics{metricSent: sent, metricCPU: cpu} }
	before := sample{takenAt: at, linkUDPBytes: 10, hosts: map[host.ID]mesh.Metrics{"a": counters(100, 5), "b": counters(900, 9)}}
	after := sample{takenAt: at.Add(2 * time.Second), linkUDPBytes: 40, hosts: map[host.ID]mesh.Metrics{"a": counters(300, 6), "b": counters(10, 1), "c": counters(5, 1)}}
	got := trafficBetween(before, after)
	if got.sentBytes != 200 || got.meanRate != 100 || got.maxRate != 100 || got.busiestHost != "a" || got.linkUDPBytes != 30 {
		t.Errorf("got %+v, want 200 bytes sent by a at 100 bytes a second and 30 bytes over the link", got)
	}
}

// TestParseBenchmarks guards against a change of the names of the benchmarks
// that would silently leave rows out of the tables.
func TestParseBenchmarks(t *testing.T) {
	out := "goos: linux\nBenchmarkCore/probe/role=region-root/hosts=1200-10  \t 2000\t 512.5 ns/op\t 224 B/op\t 7 allocs/op\nPASS\n"
	got := parseBenchmarks([]byte(out))
	if len(got) != 1 || got[0].step != "probe" || got[0].role != "region-root" || got[0].hosts != 1200 || got[0].values["ns/op"] != 512.5 {
		t.Errorf("got %+v, want the probe of a region root with 1200 hosts in 512.5 ns", got)
	}
}

// TestJSONRow guards against output that is no JSON object per measurement.
func TestJSONRow(t *testing.T) {
	var out bytes.Buffer
	r := &reporter{out: &out, json: true}
	if err := r.printTable("traffic", row{{"daemons", 15}, {"last", `pwani-"a"`}}); err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || got["measurement"] != "traffic" || got["daemons"] != 15.0 {
		t.Errorf("got %s (%v), want an object with measurement and daemons", out.String(), err)
	}
}

// TestParse guards against a misspelt name that silently measures nothing.
func TestParseFlags(t *testing.T) {
	for _, args := range [][]string{{"convergenc"}, {"--situations", "idle,brst"}, {"--daemons", "1000"}, {"--deployments", "lake"}} {
		if _, err := parseFlags(args, &bytes.Buffer{}); err == nil {
			t.Errorf("%v: got no error, want one", args)
		}
	}
}
