package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ordinaryRequest returns a request with 10 header lines, 500 bytes and a body.
func ordinaryRequest(body int) string {
	lines := repeatLines(400, func(i int) string { return fmt.Sprintf("X-Header-%d: %s\r\n", i, strings.Repeat("v", 40)) })
	return post("/stock/a", fmt.Sprintf("Content-Length: %d\r\n", body)+lines, strings.Repeat("b", body))
}

// measureOrdinary prints the peak memory under callers that each repeat an ordinary
// request, and how many responses had each status.
func measureOrdinary(config siteConfig, connections, body int, duration time.Duration) error {
	s, err := startSite(config)
	if err != nil {
		return fmt.Errorf("start a site: %w", err)
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range connections {
		group.Go(func() {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", s.ports["outbound"])
			if err != nil {
				return
			}
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			in := bufio.NewReader(conn)
			for ctx.Err() == nil {
				if _, err := io.WriteString(conn, ordinaryRequest(body)); err != nil {
					return
				}
				r, err := http.ReadResponse(in, nil)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				mu.Lock()
				statuses[r.StatusCode]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(duration / 2)
	metrics := s.memoryMetrics()
	group.Wait()
	peak, err := s.peakMemory()
	fmt.Printf("%d connections, bodies of %d bytes, host of %d MB: peak memory %.0f MB, responses by status %v\n%s", connections, body, config.MemoryMB, float64(peak)/1e6, statuses, metrics)
	return err
}

// memoryMetrics returns the metrics of requests' memory that are not zero.
func (s *site) memoryMetrics() string {
	r, err := http.Get("http://" + s.ports["metrics"] + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer r.Body.Close()
	var b strings.Builder
	in := bufio.NewScanner(r.Body)
	for in.Scan() {
		line := in.Text()
		if (strings.Contains(line, "request_memory") || strings.HasPrefix(line, "go_memstats_next_gc_bytes") || strings.HasPrefix(line, "go_memstats_stack_inuse_bytes") || strings.HasPrefix(line, "peridotlb_in_flight")) && !strings.HasSuffix(line, " 0") {
			b.WriteString(line + "\n")
		}
	}
	return b.String()
}
