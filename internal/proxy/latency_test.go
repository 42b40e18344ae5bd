package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkLatency compares calls to a server directly, through an entry on the
// server's host (one hop) and through an entry and a gate with mutual TLS (two
// hops). Calls are paced at about 500 a second, with four callers.
func BenchmarkLatency(b *testing.B) {
	server := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"beads":4711}`) })
	local := newMesh(b)
	local.local = true
	local.start(server)
	two, direct := secure(b, server)
	for _, c := range []struct{ name, url string }{{"direct", direct}, {"one-hop", local.entry.URL}, {"two-hops", two.entry.URL}} {
		b.Run(c.name, func(b *testing.B) { benchmarkPaced(b, c.url+"/stock/beads") })
	}
}

func benchmarkPaced(b *testing.B, url string) {
	const callers, interval = 4, 8 * time.Millisecond
	results := make(chan []time.Duration)
	for i := range callers {
		go func() {
			var took []time.Duration
			time.Sleep(time.Duration(i) * interval / callers)
			for range b.N/callers + 1 {
				start := time.Now()
				r, _ := http.NewRequestWithContext(context.Background(), "GET", url, nil)
				resp, err := http.DefaultTransport.RoundTrip(r)
				if err != nil {
					b.Error(err)
					break
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				took = append(took, time.Since(start))
				time.Sleep(interval - time.Since(start))
			}
			results <- took
		}()
	}
	var all []time.Duration
	for range callers {
		all = append(all, <-results...)
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

// BenchmarkCall measures the CPU time and allocations of a call over two hops.
func BenchmarkCall(b *testing.B) {
	m, _ := secure(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	b.ReportAllocs()
	for b.Loop() {
		if got := m.do("GET", "/stock", ""); got.StatusCode != 200 {
			b.Fatal(got.StatusCode, got.body)
		}
	}
}
