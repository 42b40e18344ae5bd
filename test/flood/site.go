package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/test/platform/store"
)

// siteConfig describes a site of one host.
type siteConfig struct {
	Daemon      string // path of the built daemon
	Template    string // path of deploy/daemon.conf
	MemoryMB    int
	Descriptors int
	HeaderBytes int    // limit of the configuration
	Listener    string // that is attacked: outbound for the entry, inbound for the gate; empty for outbound
}

// site is a store, one daemon and one backend server, which runs in this process.
type site struct {
	config  siteConfig
	dir     string
	store   *http.Server
	backend *http.Server
	stop    context.CancelFunc
	cmd     *exec.Cmd
	ended   chan struct{}
	ports   map[string]string // addresses by listener
}

const (
	requestHost       = "shop.example"
	serverSlots       = 18
	serverTime        = 20 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	startTimeout      = 15 * time.Second
	largeBody         = 60 << 10 // of a response to a path that begins with largePath, bytes
	largePath         = "/stock/large"
)

// startSite starts a site and waits until it serves an ordinary request.
func startSite(c siteConfig) (*site, error) {
	dir, err := os.MkdirTemp("", "peridotlb-flood-")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &site{config: c, dir: dir, stop: stop, ports: make(map[string]string)}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.logTail(), s.close())
	}
	return s, nil
}

func (s *site) start(ctx context.Context) error {
	if err := s.choosePorts(); err != nil {
		return err
	}
	records := store.New(store.Config{Seed: 1})
	value, err := json.Marshal(s.configuration())
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	records.Put("op", "config", value)
	if s.store, err = serve(s.ports["store"], records); err != nil {
		return err
	}
	if s.backend, err = serve(s.ports["server"], http.HandlerFunc(serveBackend)); err != nil {
		return err
	}
	if err := s.startDaemon(); err != nil {
		return err
	}
	go s.sendHeartbeats(ctx)
	return s.waitForService(startTimeout)
}

func serve(addr string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// choosePorts chooses free ports. It holds all of them until the last one is chosen.
func (s *site) choosePorts() error {
	for _, name := range []string{"outbound", "inbound", "ready", "control", "internal", "operator", "metrics", "server", "store"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		s.ports[name] = l.Addr().String()
	}
	return nil
}

func (s *site) configuration() map[string]any {
	return map[string]any{
		"version": "r1",
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "weighted_services"},
			"rows":    [][]any{{"stock", requestHost, "/stock/", "safe", 1.5, 0.75, 1, "stockdesk", 2, nil}},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls"},
			"rows":    [][]any{{"stockdesk", "/health", 110, "h1", false}},
		},
		"limits": map[string]any{"max_header_bytes": s.config.HeaderBytes, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// startDaemon starts the daemon with the settings of the template. The memory and the
// descriptors are also passed in the environment, which releases without these
// settings ignore.
func (s *site) startDaemon() error {
	template, err := os.ReadFile(s.config.Template)
	if err != nil {
		return fmt.Errorf("read the template of the settings: %w", err)
	}
	port := func(name string) string { _, p, _ := net.SplitHostPort(s.ports[name]); return p }
	text := strings.NewReplacer(
		"{{node_name}}", "sidecar-1", "{{zone}}", "regina-a", "{{region}}", "regina", "{{service}}", "stockdesk",
		"{{limits.cpu_share}}", "0.32", "{{limits.link_mbps}}", "1000.0",
		"{{limits.memory_mb}}", strconv.Itoa(s.config.MemoryMB), "{{limits.file_descriptors}}", strconv.Itoa(s.config.Descriptors),
		"{{listen_addresses.outbound}}", s.ports["outbound"], "{{listen_addresses.inbound}}", s.ports["inbound"],
		"{{listen_addresses.control}}", s.ports["control"], "{{listen_addresses.ready}}", s.ports["ready"],
		"{{internal_ports.0}}", port("internal"), "{{internal_ports.1}}", port("operator"),
		"{{ip}}:9180", s.ports["metrics"], "{{ip}}", "127.0.0.1", "{{platform.address}}", s.ports["store"],
		"{{bounds.grace_s}}", "6", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_extra_retries}}", "58", "{{bounds.budget_window_s}}", "10",
	).Replace(string(template))
	file := filepath.Join(s.dir, "daemon.conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(s.dir, "daemon.log"))
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	s.cmd = exec.Command(s.config.Daemon, "--settings-file="+file)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	s.cmd.Env = append(os.Environ(), "PERIDOTLB_MEMORY_MB="+strconv.Itoa(s.config.MemoryMB), "PERIDOTLB_FILE_DESCRIPTORS="+strconv.Itoa(s.config.Descriptors))
	if err := s.cmd.Start(); err != nil {
		return fmt.Errorf("start the daemon: %w", err)
	}
	s.ended = make(chan struct{})
	go func() {
		_ = s.cmd.Wait()
		close(s.ended)
	}()
	return nil
}

// sendHeartbeats announces the backend server until ctx ends.
func (s *site) sendHeartbeats(ctx context.Context) {
	born := time.Now().UnixMilli()
	client := http.Client{Timeout: time.Second}
	for n := 1; ctx.Err() == nil; n++ {
		// Encoding cannot fail.
		data, _ := json.Marshal(map[string]any{
			"service": "stockdesk", "address": s.ports["server"], "zone": "regina-a", "version": "v1", "slots": serverSlots,
			"state": "ready", "cold_remaining_s": 0, "sequence": n, "born": born,
		})
		r, err := client.Post("http://"+s.ports["control"]+"/v1/Instances.Heartbeat/i-1", "application/json", bytes.NewReader(data))
		if err == nil {
			_ = r.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// serveBackend runs a request as a backend server.
func serveBackend(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", "i-1")
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Seal", "seal.i-1."+id)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(serverTime)
	body := []byte("ok " + id)
	if strings.HasPrefix(r.URL.Path, largePath) {
		body = make([]byte, largeBody)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

var errNotServed = errors.New("no ordinary request was answered")

// waitForService repeats an ordinary request until it is answered by the server.
func (s *site) waitForService(limit time.Duration) error {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := errNotServed
	for end := time.Now().Add(limit); time.Now().Before(end) && s.alive(); time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.ports["outbound"]+"/stock/1", nil)
		if err != nil {
			return fmt.Errorf("build a request: %w", err)
		}
		r.Host = requestHost
		r.Header.Set("X-Attempt-Id", strconv.FormatInt(time.Now().UnixNano(), 36))
		response, err := client.Do(r)
		if err != nil {
			last = err
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return fmt.Errorf("%w: %w", errNotServed, last)
}

// alive reports whether the daemon runs.
func (s *site) alive() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// peakMemory returns the peak resident memory of the daemon in bytes.
func (s *site) peakMemory() (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read the memory of the daemon: %w", err)
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb << 10, nil
		}
	}
	return 0, errors.New("the system reports no peak memory")
}

// openDescriptors returns the number of open descriptors of the daemon.
func (s *site) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// logTail returns the end of the log of the daemon as an error.
func (s *site) logTail() error {
	data, err := os.ReadFile(filepath.Join(s.dir, "daemon.log"))
	if err != nil {
		return err
	}
	return fmt.Errorf("log of the daemon: %s", data[max(0, len(data)-3000):])
}

// close ends the processes and removes the folder.
func (s *site) close() error {
	s.stop()
	if s.ended != nil {
		_ = s.cmd.Process.Kill()
		<-s.ended
	}
	for _, server := range []*http.Server{s.store, s.backend} {
		if server != nil {
			_ = server.Close()
		}
	}
	return os.RemoveAll(s.dir)
}
