package proxy

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

var latencyView = flag.Int("latency-view", 0, "servers of the view that BenchmarkLatency replaces every 50 ms; 0 replaces none")

// replaceView replaces the view of the entry every 50 ms, as often as a daemon
// does while rows change, until ctx ends.
func (m *mesh) replaceView(ctx context.Context, servers int) {
	for i := range servers {
		id := fmt.Sprint("other-", i)
		m.view.Hosts = append(m.view.Hosts, host.Row{ID: host.ID(id), Zone: "b", Region: "r"})
		m.view.Servers = append(m.view.Servers, backend.Server{ID: backend.ServerID(id), Service: "stock", Host: host.ID(id), State: backend.Ready})
	}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		m.pool.Update(m.view)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// BenchmarkLatency compares calls to a server directly, through an entry on the
// server's host (one hop) and through an entry and a gate with mutual TLS (two
// hops). The three take turns, so that noise of the machine hits them alike.
// Four callers make a call of each kind every 8 ms.
func BenchmarkLatency(b *testing.B) {
	const callers, interval = 4, 8 * time.Millisecond
	server := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"beads":4711}`) })
	local := newMesh(b)
	local.local = true
	local.start(server)
	two, direct := secureMesh(b, server)
	if *latencyView > 0 {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go local.replaceView(ctx, *latencyView)
		go two.replaceView(ctx, *latencyView)
	}
	kinds := []struct{ name, url string }{{"direct", direct}, {"one-hop", local.entry.URL}, {"two-hops", two.entry.URL}}
	took := make([][]time.Duration, len(kinds))
	var mu sync.Mutex
	var done sync.WaitGroup
	for i := range callers {
		done.Go(func() {
			time.Sleep(time.Duration(i) * interval / callers)
			for n := range b.N/callers + 1 {
				start := time.Now()
				for k := range kinds {
					k = (k + n) % len(kinds)
					d := timedGet(b, kinds[k].url+"/stock/beads")
					mu.Lock()
					took[k] = append(took[k], d)
					mu.Unlock()
				}
				time.Sleep(interval - time.Since(start))
			}
		})
	}
	done.Wait()
	for k, kind := range kinds {
		slices.Sort(took[k])
		for _, percent := range []int{50, 99} {
			b.ReportMetric(float64(took[k][len(took[k])*percent/100].Microseconds()), fmt.Sprintf("%s-p%d-us", kind.name, percent))
		}
	}
}

func timedGet(b *testing.B, url string) time.Duration {
	start := time.Now()
	r, _ := http.NewRequestWithContext(context.Background(), "GET", url, nil)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		b.Error(err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return time.Since(start)
}

// BenchmarkCall measures the time and allocations of a call over two hops, the
// caller and the server included.
func BenchmarkCall(b *testing.B) {
	m, _ := secureMesh(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	b.ReportAllocs()
	for b.Loop() {
		timedGet(b, m.entry.URL+"/stock")
	}
}
