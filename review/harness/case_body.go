package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of the case changedBody.
const (
	ordersPerSecond = 150     // of the route order-book in the site file, for its four servers
	clump           = 10      // orders that are sent at the same time, to one host
	orderBytes      = 100_000 // of the body of an order
	shedShare       = 0.55    // of the requests, while servers shed
	shedTime        = 8500 * time.Millisecond
	calmTime        = 1500 * time.Millisecond
	shedRounds      = 9
)

// headerDigest is the header in which the client states the digest of the body. Like
// other headers, it is passed on unchanged.
const headerDigest = "X-Body-Digest"

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// sheddingServer is a backend server that, while it sheds, rejects a share of its
// requests as soon as their headers have arrived. It reads their bodies later, and
// keeps the connections.
type sheddingServer struct {
	id       string
	record   *record
	listener net.Listener
	shedding atomic.Bool

	mu        sync.Mutex
	shed, ran int
	changed   int // requests that were run with another body than the client sent
}

// replaceServer starts a shedding server in place of the server of a host.
func (h *host) replaceServer() (*sheddingServer, error) {
	_ = h.server.http.Close()
	l, err := net.Listen("tcp", h.addr("server"))
	if err != nil {
		return nil, fmt.Errorf("listen for server %s: %w", h.server.id, err)
	}
	s := &sheddingServer{id: h.server.id, record: h.deployment.record, listener: l}
	go s.serve()
	return s, nil
}

func (s *sheddingServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for s.serveRequest(c, in) {
			}
		}()
	}
}

// serveRequest serves one request and reports whether the connection can be kept.
func (s *sheddingServer) serveRequest(c net.Conn, in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	id := r.Header.Get("X-Attempt-Id")
	if r.Header.Get("X-Target-Instance") != s.id {
		_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return err == nil && s.drain(r.Body)
	}
	if s.shedding.Load() && rand.Float64() < shedShare {
		_, err = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		s.mu.Lock()
		s.shed++
		s.mu.Unlock()
		s.record.write("server %s sheds %s", s.id, id)
		return err == nil && s.drain(r.Body)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.record.write("server %s gets %s only in part and doesn't run it: %v", s.id, id, err)
		return false
	}
	s.run(id, body, r.Header.Get(headerDigest))
	answer := "booked " + id
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(answer), answer)
	return err == nil
}

func (s *sheddingServer) drain(body io.Reader) bool {
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

// run runs a request whose body has arrived completely.
func (s *sheddingServer) run(id string, body []byte, sent string) {
	got := digestOf(body)
	s.mu.Lock()
	s.ran++
	if got != sent {
		s.changed++
	}
	s.mu.Unlock()
	s.record.write("server %s runs %s, %d bytes, digest %s", s.id, id, len(body), got)
	if got != sent {
		s.record.write("UNASKED: server %s runs %s with a body of %d bytes and digest %s; the client sent %d bytes with digest %s", s.id, id, len(body), got, orderBytes, sent)
	}
}

// changedBody checks the rule UNASKED for orders with long bodies, while servers shed.
func changedBody(ctx context.Context, d *deployment, trouble bool) (int, error) {
	if err := d.startOrders(ctx); err != nil {
		return 0, err
	}
	var servers []*sheddingServer
	for _, h := range d.hosts {
		s, err := h.replaceServer()
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
		defer s.listener.Close()
	}
	sendCtx, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var sending sync.WaitGroup
	sending.Go(func() { d.sendOrders(sendCtx) })
	for range shedRounds {
		for _, s := range servers {
			s.shedding.Store(trouble)
		}
		d.record.write("servers shed: %t", trouble)
		if err := sleep(ctx, shedTime); err != nil {
			return 0, err
		}
		for _, s := range servers {
			s.shedding.Store(false)
		}
		if err := sleep(ctx, calmTime); err != nil {
			return 0, err
		}
	}
	stopSending()
	sending.Wait()
	broken, ran := 0, 0
	for _, s := range servers {
		s.mu.Lock()
		d.record.write("server %s has shed %d requests and run %d, %d of them with another body", s.id, s.shed, s.ran, s.changed)
		broken, ran = broken+s.changed, ran+s.ran
		s.mu.Unlock()
	}
	if ran == 0 {
		return 0, errNotServed
	}
	return broken, nil
}

// sendOrders sends orders to all hosts in turn, until ctx ends.
func (d *deployment) sendOrders(ctx context.Context) {
	client := &http.Client{Timeout: clientDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	ticker := time.NewTicker(time.Second * clump / ordersPerSecond)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for i := range clump {
				wait.Go(func() { d.sendOrder(client, d.hosts[n%len(d.hosts)], fmt.Sprintf("%012x%04x", n+1, i)) })
			}
		}
	}
}

// sendOrder sends an order in chunks.
func (d *deployment) sendOrder(client *http.Client, h *host, id string) {
	body := make([]byte, orderBytes)
	for i := range body {
		body[i] = byte('A' + rand.IntN(26))
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+h.addr("outbound")+"/orders/book", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.ContentLength, r.GetBody, r.Host = -1, nil, requestHost
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	r.Header.Set(headerDigest, digestOf(body))
	d.record.write("client sends %s to %s, %d bytes, digest %s", id, h.name, len(body), digestOf(body))
	response, err := client.Do(r)
	if err != nil {
		d.record.write("client gets no answer to %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	d.record.write("client gets %d for %s: %q, seal %q, error %v", response.StatusCode, id, answer, response.Header.Get("X-Server-Seal"), err)
}
