package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a backend server has run.
type run struct {
	id     string // X-Attempt-Id
	server string
	at     time.Time // when the request reached the server
}

// backendServer is a backend server as the pages of the platform describe it.
type backendServer struct {
	host     *host
	id       string
	born     int64 // Unix milliseconds
	work     time.Duration
	http     *http.Server
	inFlight atomic.Int64

	mu       sync.Mutex
	sequence int
	state    string
	runs     []run
	stopBeat context.CancelFunc
}

// startServer starts a backend server beside the daemon of a host.
func (h *host) startServer(id string, work time.Duration) (*backendServer, error) {
	l, err := net.Listen("tcp", h.addr("server"))
	if err != nil {
		return nil, fmt.Errorf("listen for server %s: %w", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &backendServer{host: h, id: id, born: time.Now().UnixMilli(), work: work, state: "ready", stopBeat: cancel}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat(ctx)
	h.server = s
	h.deployment.record.write("server %s of %s starts at %s", id, h.service, l.Addr())
	return s, nil
}

// crash ends the server without notice.
func (s *backendServer) crash() {
	s.stopBeat()
	_ = s.http.Close()
}

// beat sends a heartbeat at once and then one per heartbeatInterval.
func (s *backendServer) beat(ctx context.Context) {
	for {
		s.heartbeat()
		if sleep(ctx, heartbeatInterval) != nil {
			return
		}
	}
}

func (s *backendServer) heartbeat() bool { return s.tell("Heartbeat", s.nextHeartbeat()) }

// nextHeartbeat returns the body of the next heartbeat.
func (s *backendServer) nextHeartbeat() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.host.service, "address": s.host.addr("server"), "zone": s.host.zone, "version": "v1", "slots": serverSlots,
		"state": s.state, "cold_remaining_s": 0, "sequence": s.sequence, "born": s.born,
	}
}

// deregister says that the server leaves, and repeats that until it is acknowledged.
// It returns the time of the acknowledgement.
func (s *backendServer) deregister(ctx context.Context) (time.Time, error) {
	s.stopBeat()
	for ctx.Err() == nil {
		s.host.deployment.record.write("server %s sends Deregister", s.id)
		if s.tell("Deregister", map[string]any{"born": s.born}) {
			at := time.Now()
			s.host.deployment.record.write("server %s: Deregister is acknowledged", s.id)
			return at, nil
		}
	}
	return time.Time{}, ctx.Err()
}

// tell calls the announcement API of the daemon and reports whether the call was
// acknowledged within a second.
func (s *backendServer) tell(call string, body map[string]any) bool {
	data, _ := json.Marshal(body) // cannot fail
	client := http.Client{Timeout: time.Second}
	r, err := client.Post("http://"+s.host.addr("control")+"/v1/Instances."+call+"/"+s.id, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode/100 == 2
}

// ServeHTTP runs a request.
func (s *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer s.inFlight.Add(-1)
	running := s.inFlight.Add(1)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, serverSlots))
	if id == "" || running > serverSlots {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	at := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, server: s.id, at: at})
	s.mu.Unlock()
	s.host.deployment.record.write("server %s runs %s", s.id, id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	body := []byte(s.id + " " + id)
	w.Header().Set("X-Server-Seal", "seal."+s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// allRuns returns the requests that the server has run.
func (s *backendServer) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
