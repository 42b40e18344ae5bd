package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment: the store, hosts with a daemon and a server each, all on
// loopback addresses.
type site struct {
	rec      *record
	daemon   string // path of the daemon's program
	template string // text of deploy/daemon.conf
	dir      string // temporary folder
	prefix   string // first three parts of the hosts' addresses
	store    *platformStore
	hosts    []*siteHost
	config   *operatorConfig
	ports    struct{ app, outbound, inbound, ready, control, link int }
}

// siteHost is a machine of the class sidecar.
type siteHost struct {
	site         *site
	name         string
	ip           string
	zone, region string
	service      string
	operatorPort int
	extraEnv     []string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	ended   string // why the process ended by itself; "" if it did not
	wanted  bool   // the process is not being ended by the script
}

func newSite(rec *record, daemon, templatePath string) (*site, error) {
	text, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, daemon: daemon, template: string(text), dir: dir}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + 16*rand.IntN(700)
		s.ports.outbound, s.ports.inbound, s.ports.ready, s.ports.control, s.ports.app, s.ports.link = base, base+1, base+2, base+3, base+4, base+5
		if s.store, err = startStore(fmt.Sprintf("%s.250:%d", s.prefix, base)); err == nil {
			return s, nil
		}
	}
	return nil, err
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (s *site) addHost(zone, region, service string) *siteHost {
	n := len(s.hosts) + 1
	h := &siteHost{site: s, name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", s.prefix, n), zone: zone, region: region, service: service, operatorPort: freePort()}
	s.hosts = append(s.hosts, h)
	return h
}

func (h *siteHost) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

var placeholder = regexp.MustCompile(`\{\{[a-z_.0-9]+\}\}`)

// settings fills in the template of the deploy file with the values of a small
// deployment.
func (h *siteHost) settings() string {
	s := h.site
	values := map[string]string{
		"node_name": h.name, "zone": h.zone, "region": h.region, "service": h.service, "ip": h.ip,
		"limits.cpu_share": "0.32", "limits.link_mbps": "1000.0",
		"listen_addresses.outbound": h.addr(s.ports.outbound), "listen_addresses.inbound": h.addr(s.ports.inbound),
		"listen_addresses.control": h.addr(s.ports.control), "listen_addresses.ready": h.addr(s.ports.ready),
		"internal_ports.0": fmt.Sprint(s.ports.link), "internal_ports.1": fmt.Sprint(h.operatorPort),
		"platform.address": s.store.addr,
		"bounds.grace_s":   "6", "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "62", "bounds.budget_window_s": "10",
	}
	return placeholder.ReplaceAllStringFunc(s.template, func(p string) string { return values[strings.Trim(p, "{}")] })
}

// start starts the daemon with the command of the deploy file.
func (h *siteHost) start() error {
	path := filepath.Join(h.site.dir, h.name+".conf")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.site.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.site.daemon, "--settings-file="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"PERIDOTLB_MEMORY_MB=284", "PERIDOTLB_FILE_DESCRIPTORS=4100",
		"PERIDOTLB_QUOTA_WINDOW=", "PERIDOTLB_QUOTA_OVERRUN=", "PERIDOTLB_QUOTA_SLACK=",
		"PERIDOTLB_ROLLOUT_EXPOSURE_SHARE=", "PERIDOTLB_ROLLOUT_EXPOSURE_SLACK=",
	}, h.extraEnv...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.process, h.done, h.wanted = cmd, done, true
	h.mu.Unlock()
	h.site.rec.add("start %s pid %d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		if h.process == cmd && h.wanted {
			h.ended = fmt.Sprint(err)
			h.site.rec.add("%s ended by itself: %v", h.name, err)
		}
		h.mu.Unlock()
		close(done)
	}()
	return nil
}

func (h *siteHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	p := h.process
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		h.wanted = false
	}
	h.mu.Unlock()
	h.site.rec.add("signal %v to %s", sig, h.name)
	if p != nil {
		_ = p.Process.Signal(sig)
	}
}

// kill ends the daemon at once and waits for its end.
func (h *siteHost) kill() {
	h.signal(syscall.SIGKILL)
	h.wait(5 * time.Second)
}

func (h *siteHost) wait(limit time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// ready asks the readiness question of the platform.
func (h *siteHost) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.addr(h.site.ports.ready) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (s *site) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, h := range s.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// endedByThemselves returns the processes that ended without being asked to.
func (s *site) endedByThemselves() []string {
	var names []string
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.ended != "" {
			names = append(names, h.name+": "+h.ended)
		}
		h.mu.Unlock()
	}
	return names
}

// close ends all processes and removes the temporary folder.
func (s *site) close(keep bool) {
	for _, h := range s.hosts {
		h.mu.Lock()
		p := h.process
		h.wanted = false
		h.mu.Unlock()
		if p != nil {
			_ = p.Process.Signal(syscall.SIGCONT)
			_ = p.Process.Kill()
			h.wait(5 * time.Second)
		}
	}
	_ = s.store.server.Close()
	if !keep {
		_ = os.RemoveAll(s.dir)
	}
}

// operatorConfig is the operator's configuration.
type operatorConfig struct {
	version  int
	routes   []routeConfig
	services []string
	tenants  [][]any // nil leaves the field out
}

type routeConfig struct {
	name, host, prefix, kind, service string
	timeout, target                   float64
	priority, attempts                int
	public                            bool
	weighted                          any
}

// submit writes the configuration as the operator does.
func (s *site) submit(c *operatorConfig) {
	rows := [][]any{}
	for _, r := range c.routes {
		var service any = r.service
		if r.weighted != nil {
			service = nil
		}
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, r.target, r.priority, service, r.attempts, r.weighted, r.public})
	}
	services := [][]any{}
	for _, name := range c.services {
		services = append(services, []any{name, "/health", 130, "h1", false})
	}
	value := map[string]any{
		"version":  fmt.Sprintf("r%d", c.version),
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "weighted_services", "public"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls"}, "rows": services},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
	if c.tenants != nil {
		value["tenants"] = map[string]any{"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"}, "rows": c.tenants}
	}
	s.store.put("op", "config", value)
	s.rec.add("operator: configuration r%d acknowledged", c.version)
}
