package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id     string
	host   *host // where it was sent
	path   string
	sentAt time.Time
	status int // 0 for none
	body   string
	seal   string
}

// clients send requests to the daemons of some hosts at a steady rate.
type clients struct {
	record *record
	method string
	path   string
	next   atomic.Uint64
	http   http.Client

	mu       sync.Mutex
	requests map[string]*request
	wait     sync.WaitGroup
}

const clientDeadline = 2 * time.Second

func newClients(r *record, method, path string) *clients {
	return &clients{
		record: r, method: method, path: path, requests: make(map[string]*request),
		http: http.Client{Timeout: clientDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}},
	}
}

// send sends a request to the daemon of each host once per interval, until ctx ends.
// A host whose daemon is not ready gets none, as on the platform.
func (c *clients) send(ctx context.Context, hosts []*host, interval time.Duration) {
	for _, h := range hosts {
		c.wait.Go(func() {
			for sleep(ctx, interval) == nil {
				c.wait.Go(func() { c.attempt(ctx, h) })
			}
		})
	}
}

// attempt sends one request and records its answer.
func (c *clients) attempt(ctx context.Context, h *host) *request {
	q := &request{id: fmt.Sprintf("%016x", c.next.Add(1)), host: h, path: c.path}
	r, err := http.NewRequestWithContext(context.WithoutCancel(ctx), c.method, "http://"+h.addr("outbound")+q.path, strings.NewReader(strings.Repeat("x", 200)))
	if err != nil {
		return q
	}
	if c.method == http.MethodGet {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	r.Host = requestHost
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	q.sentAt = time.Now()
	c.mu.Lock()
	c.requests[q.id] = q
	c.mu.Unlock()
	c.record.write("client sends %s to %s", q.id, h.name)
	response, err := c.http.Do(r)
	if err != nil {
		c.record.write("client gets no answer to %s: %v", q.id, err)
		return q
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		q.status, q.body, q.seal = response.StatusCode, string(body), response.Header.Get("X-Server-Seal")
	}
	c.record.write("client gets %d for %s", response.StatusCode, q.id)
	return q
}

// finish waits for the requests in flight and returns all requests by id.
func (c *clients) finish() map[string]*request {
	c.wait.Wait()
	return c.requests
}
