// Command backendserver is a test backend server. It announces itself to the
// daemon on its host and serves calls with configurable delays and response sizes.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/peridotlb/peridotlb/test/answer"
	"github.com/peridotlb/peridotlb/test/caller/load"
)

type server struct {
	id, service, daemon, address             string
	slots                                    int
	serviceTime, coldPeriod, coldServiceTime time.Duration
	alwaysHealthy                            bool
	responseSize                             int
	bodyDuration                             time.Duration
	runLog                                   *os.File // one line per call; nil disables it
	started                                  time.Time
	inFlight                                 atomic.Int64
	draining                                 atomic.Bool
	mu                                       sync.Mutex
	runCounts                                map[string]int
}

func main() {
	s := &server{started: time.Now(), runCounts: make(map[string]int)}
	listen := flag.String("listen", "127.0.0.1:0", "address to listen on")
	flag.StringVar(&s.id, "id", "server-1", "ID of the backend server")
	flag.StringVar(&s.service, "service", "bead-stock", "service that the backend server belongs to")
	flag.StringVar(&s.daemon, "daemon", "", "base URL of the daemon's announcement API; empty disables announcements")
	flag.IntVar(&s.slots, "slots", 9, "maximum number of concurrent calls; more are refused")
	flag.DurationVar(&s.serviceTime, "service-time", 5*time.Millisecond, "processing time of a call")
	flag.DurationVar(&s.coldPeriod, "cold", 0, "period after the start in which --cold-time applies instead of --service-time")
	flag.DurationVar(&s.coldServiceTime, "cold-time", 50*time.Millisecond, "processing time of a call in the --cold period")
	flag.BoolVar(&s.alwaysHealthy, "lie", false, "always pass health checks, even when draining or full")
	flag.IntVar(&s.responseSize, "size", 100, "minimum size of a response body in bytes")
	flag.DurationVar(&s.bodyDuration, "body-time", 0, "time over which a response body is written")
	runLog := flag.String("run-log", "", "file to which a line is appended for each call before it runs; it is kept across restarts")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := s.openRunLog(*runLog); err != nil {
		fmt.Fprintln(os.Stderr, "backendserver:", err)
		os.Exit(1)
	}
	if err := s.run(ctx, *listen); err != nil {
		fmt.Fprintln(os.Stderr, "backendserver:", err)
		os.Exit(1)
	}
}

func (s *server) openRunLog(name string) (err error) {
	if name != "" {
		s.runLog, err = os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	return err
}

func (s *server) run(ctx context.Context, listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.address = listener.Addr().String()
	fmt.Println("listening on", s.address)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/runs", s.handleRuns)
	mux.HandleFunc("GET /-/health", s.handleHealth)
	mux.HandleFunc("/", s.handleCall)
	h := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = h.Serve(listener) }()
	s.announce(ctx)
	s.drain()
	return h.Close()
}

// announce renews the announcement every second until ctx is done.
func (s *server) announce(ctx context.Context) {
	s.putAnnouncement("starting") // ends the draining state of a previous process with the same address
	for ctx.Err() == nil {
		s.putAnnouncement("ready")
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (s *server) putAnnouncement(state string) {
	if s.daemon == "" {
		return
	}
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "slots": s.slots, "state": state, "health-path": "/-/health",
	})
	r, err := http.NewRequest(http.MethodPut, s.daemon+"/backend-servers/"+s.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

// drain announces the shutdown and waits until no call has been in flight for
// one second.
func (s *server) drain() {
	s.draining.Store(true)
	s.putAnnouncement("draining")
	for idle := 0; idle < 20; idle++ {
		if s.inFlight.Load() > 0 {
			idle = 0
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *server) handleCall(w http.ResponseWriter, r *http.Request) {
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > int64(s.slots) {
		w.Header().Set("Peridotlb-Not-Run", "true")
		http.Error(w, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.runLog != nil {
		// A single write per line keeps every line complete if the process is killed.
		_, _ = fmt.Fprintf(s.runLog, "%s %s %s\n", r.Method, r.URL.Path, r.Header.Get(load.AttemptHeader))
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" && r.Method != http.MethodGet {
		s.mu.Lock()
		s.runCounts[key]++
		s.mu.Unlock()
	}
	wait := s.serviceTime
	if time.Since(s.started) < s.coldPeriod {
		wait = s.coldServiceTime
	}
	time.Sleep(wait)
	w.Header().Set("Content-Type", "text/plain")
	s.writeResponse(w, answer.Body(s.id, r.Method, r.URL.RequestURI(), string(body), s.responseSize))
}

// bodyChunks is the number of parts in which a delayed body is written.
const bodyChunks = 8

// writeResponse writes a response body. No Content-Length is set, so net/http
// uses chunked encoding for bodies larger than its 2 KiB buffer.
func (s *server) writeResponse(w http.ResponseWriter, text string) {
	if s.bodyDuration == 0 {
		_, _ = io.WriteString(w, text)
		return
	}
	control := http.NewResponseController(w)
	for i := range bodyChunks {
		_, _ = io.WriteString(w, text[len(text)*i/bodyChunks:len(text)*(i+1)/bodyChunks])
		_ = control.Flush()
		time.Sleep(s.bodyDuration / bodyChunks)
	}
}

func (s *server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.alwaysHealthy && (s.draining.Load() || s.inFlight.Load() >= int64(s.slots)) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.runCounts)
}
