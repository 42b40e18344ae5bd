package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/peridotlb/peridotlb/test/platform/store"
)

// Bounds of the small site prh-mesh.
const (
	contactTime       = 3 * time.Second
	drainTime         = 2 * time.Second
	graceTime         = 6 * time.Second
	heartbeatInterval = 870 * time.Millisecond
	serverSlots       = 18
)

// Paths in the repository, in which the harness is started.
const (
	daemonProgram  = "target/peridotlbd"
	daemonTemplate = "deploy/daemon.conf"
)

// deployment is a small deployment: a store, and hosts with a daemon and a backend
// server each.
type deployment struct {
	record       *record
	dir          string // temporary folder
	store        *store.Store
	storeServer  *http.Server
	storeAddress string
	hosts        []*host
	closing      atomic.Bool
}

// host is a host with its own loopback address, a daemon and a backend server.
type host struct {
	deployment         *deployment
	name, zone, region string
	service, ip        string
	ports              map[string]int // by listener
	server             *backendServer

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	startedAt time.Time // of the newest process of the daemon
}

func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	d := &deployment{record: r, dir: dir, store: store.New(store.Config{Seed: 1}), storeAddress: l.Addr().String()}
	d.storeServer = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.storeServer.Serve(l) }()
	return d, nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.closing.Store(true)
	for _, h := range d.hosts {
		h.kill()
		if h.server != nil {
			h.server.crash()
		}
	}
	_ = d.storeServer.Close()
	_ = os.RemoveAll(d.dir)
}

// recordUnlessClosing writes a line to the record until the processes are ended.
func (d *deployment) recordUnlessClosing(format string, args ...any) {
	if !d.closing.Load() {
		d.record.write(format, args...)
	}
}

// setStore sets the faults of the store.
func (d *deployment) setStore(what string, f store.Faults) {
	d.store.SetFaults(f)
	d.record.write("store %s", what)
}

// putConfiguration writes the operator's configuration.
func (d *deployment) putConfiguration(c configuration) error {
	value, err := json.Marshal(c.encode())
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	d.store.Put("op", "config", value)
	d.record.write("operator: configuration r%d is acknowledged", c.version)
	return nil
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     float64 // seconds
	attempts                    int
}

// configuration is the configuration that the operator writes.
type configuration struct {
	version  int
	services []string
	routes   []route
}

// requestHost is the Host header of all routes.
const requestHost = "shop.example"

func (c configuration) encode() map[string]any {
	routes := [][]any{}
	for _, r := range c.routes {
		routes = append(routes, []any{r.name, requestHost, r.prefix, r.kind, r.timeout, r.timeout / 2, 1, r.service, r.attempts, nil})
	}
	services := [][]any{}
	for _, s := range c.services {
		services = append(services, []any{s, "/health", 110, "h1", false})
	}
	return map[string]any{
		"version": "r" + strconv.Itoa(c.version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "weighted_services"},
			"rows":    routes,
		},
		"services": map[string]any{"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls"}, "rows": services},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// listeners are the names of the ports of a host.
var listeners = []string{"outbound", "inbound", "ready", "control", "internal", "operator", "metrics", "server"}

// addHost adds a host whose daemon and server are not started yet.
func (d *deployment) addHost(zone, region, service string) (*host, error) {
	n := len(d.hosts) + 1
	h := &host{
		deployment: d, zone: zone, region: region, service: service,
		name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: fmt.Sprintf("127.0.%d.1", n), ports: make(map[string]int),
	}
	if err := h.choosePorts(); err != nil {
		return nil, err
	}
	d.hosts = append(d.hosts, h)
	return h, nil
}

// choosePorts chooses free ports. It holds all of them until the last one is chosen.
func (h *host) choosePorts() error {
	for _, name := range listeners {
		l, err := net.Listen("tcp", h.ip+":0")
		if err != nil {
			return fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		h.ports[name] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

func (h *host) addr(listener string) string {
	return net.JoinHostPort(h.ip, strconv.Itoa(h.ports[listener]))
}

// settings fills the template of the deploy file.
func (h *host) settings() (string, error) {
	template, err := os.ReadFile(daemonTemplate)
	if err != nil {
		return "", fmt.Errorf("read the template of the settings: %w", err)
	}
	text := strings.NewReplacer(
		"{{node_name}}", h.name, "{{zone}}", h.zone, "{{region}}", h.region, "{{service}}", h.service,
		"{{limits.cpu_share}}", "0.32", "{{limits.link_mbps}}", "1000.0",
		"{{listen_addresses.outbound}}", h.addr("outbound"), "{{listen_addresses.inbound}}", h.addr("inbound"),
		"{{listen_addresses.control}}", h.addr("control"), "{{listen_addresses.ready}}", h.addr("ready"),
		"{{internal_ports.0}}", strconv.Itoa(h.ports["internal"]), "{{internal_ports.1}}", strconv.Itoa(h.ports["operator"]),
		"{{ip}}:9180", h.addr("metrics"), "{{ip}}", h.ip, "{{platform.address}}", h.deployment.storeAddress,
		"{{bounds.grace_s}}", "6", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_extra_retries}}", "58", "{{bounds.budget_window_s}}", "10",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template of the settings has unknown fields: %s", text)
	}
	return text, nil
}

// start starts the daemon of a host.
func (h *host) start() error {
	text, err := h.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(h.deployment.dir, h.name+".conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(h.deployment.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(daemonProgram, "--settings-file="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start the daemon of %s: %w", h.name, err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended, h.startedAt = cmd, ended, time.Now()
	h.mu.Unlock()
	h.deployment.record.write("daemon of %s starts, process %d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		h.deployment.recordUnlessClosing("daemon of %s ends, process %d: %v", h.name, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	h.deployment.recordUnlessClosing("daemon of %s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// kill kills the daemon and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.waitForEnd()
}

// stop stops the daemon as the platform does: SIGTERM, and SIGKILL after the grace
// time.
func (h *host) stop() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.endedChan():
	case <-time.After(graceTime):
		h.kill()
	}
}

func (h *host) endedChan() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return h.ended
}

func (h *host) waitForEnd() { <-h.endedChan() }

// waitReady waits until the daemon says that it is ready.
func (h *host) waitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		r, err := client.Get("http://" + h.addr("ready") + "/v1/readiness")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				h.deployment.record.write("daemon of %s is ready", h.name)
				return nil
			}
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return ctx.Err()
}

var errNotServed = errors.New("the deployment did not serve")

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
