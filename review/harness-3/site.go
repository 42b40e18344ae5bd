package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment of the project with stand-ins for all else.
type site struct {
	dir     string
	store   *store
	nodes   []*node
	servers []*server
	ledger  *ledger
	version int
	record  *os.File
	began   time.Time
	tenants []tenant
	acksMu  sync.Mutex
	acks    map[string]time.Time
}

type machine struct{ zone, region, service string }

// newSite reserves addresses and starts the store with a first configuration.
func newSite(record string, machines []machine) (*site, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, ledger: &ledger{runs: make(map[string][]*run)}, began: time.Now(), version: 10}
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	// Another run of a script on the same machine gets another network.
	net3 := os.Getpid()%200 + 20
	l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.1:0", net3))
	if err != nil {
		return nil, err
	}
	s.store = newStore(l)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		s.end()
		os.Exit(failed)
	}()
	for i, m := range machines {
		n, err := newNode(dir, fmt.Sprintf("sidecar-%s-%d", m.zone, i+1), m.zone, m.region, m.service, fmt.Sprintf("127.77.%d.%d", net3, i+10), s.store.address)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	return s, nil
}

func (s *site) logf(format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout                           float64
	attempts                          int
}

// configure writes a configuration.
func (s *site) configure(services []string, routes []route) {
	s.version += 3
	rows := []any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, r.timeout / 2, 1, r.service, r.attempts, nil})
	}
	named := []any{}
	for _, n := range services {
		named = append(named, []any{n, "/health", 110, "h1", false})
	}
	config := map[string]any{
		"version":  fmt.Sprintf("r%d", s.version),
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "weighted_services"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls"}, "rows": named},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
	if len(s.tenants) > 0 {
		rows := []any{}
		for _, t := range s.tenants {
			rows = append(rows, []any{t.name, t.keys, t.rate, t.burst})
		}
		config["tenants"] = map[string]any{"columns": []string{"name", "api_keys", "rate_per_s", "burst"}, "rows": rows}
	}
	value, _ := json.Marshal(config)
	s.store.put("op", "config", value)
	s.logf("configuration r%d acknowledged", s.version)
}

// serverAt returns a server of a machine, which isn't started yet.
func (s *site) serverAt(n *node, id string, slots int) *server {
	return &server{id: id, service: n.service, zone: n.zone, address: n.at("app"), control: n.at("control"), slots: slots, ledger: s.ledger, beats: true, logf: s.logf}
}

// start starts all daemons and servers and waits until calls work.
func (s *site) start(slots int, p func(*http.Request) plan) error {
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for i, n := range s.nodes {
		v := s.serverAt(n, fmt.Sprintf("i-%d", i+1), slots)
		v.plan = p
		if err := startServer(v); err != nil {
			return err
		}
		s.servers = append(s.servers, v)
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	s.logf("%d daemons and servers run", len(s.nodes))
	return nil
}

// end ends all processes.
func (s *site) end() {
	for _, n := range s.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
	_ = s.record.Close()
}

// tenant is a tenant of the configuration.
type tenant struct {
	name        string
	keys        []string
	rate, burst float64
}
