// Package mesh runs a small fleet of real processes for the demo, the benchmark
// and the scenarios: the simulated platform, the relay that simulates the network
// between zones, daemons and backend servers, all on loopback.
package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/test/relay/relay"
)

// Deployment describes the topology and the network delays of a deployment.
type Deployment struct {
	Name        string
	Regions     [2]host.Region
	ZoneDelay   time.Duration // one way between zones of a region
	RegionDelay time.Duration // one way between regions
	CallerDelay time.Duration // one way between callers and daemons; not simulated
	LinkMbps    float64       // region link, each way
	Slots       int           // maximum concurrent calls of a backend server
	Connections int           // connections per backend server; not used
	// ServersPerService holds the number of backend servers of each service, in the
	// order of Services. Each backend server has a host of its own.
	ServersPerService []int
}

// Kujaza and Prairie are the deployments that a mesh can simulate.
var (
	Kujaza = Deployment{
		Name: "kujaza", Regions: [2]host.Region{"pwani", "kaskazini"},
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, CallerDelay: 8 * time.Millisecond,
		LinkMbps: 30, Slots: 9, Connections: 130, ServersPerService: []int{5, 4, 5},
	}
	Prairie = Deployment{
		Name: "prairie", Regions: [2]host.Region{"regina", "winnipeg"},
		ZoneDelay: 1400 * time.Microsecond, RegionDelay: 12 * time.Millisecond, CallerDelay: time.Millisecond,
		LinkMbps: 30, Slots: 18, Connections: 110, ServersPerService: []int{5, 4, 5},
	}
)

// Services lists the services of the example document.
var Services = []string{"bead-stock", "bead-prices", "bead-orders"}

// zoneCount is the number of availability zones, two per region.
const zoneCount = 4

// platformHostByte is the last byte of the platform's address.
const platformHostByte = 250

// Config holds the settings of a mesh.
type Config struct {
	Deployment Deployment
	BinDir     string   // directory of the built programs
	Daemons    int      // number of daemons; 0 means one per backend server
	Flags      []string // additional flags for every daemon
	Env        []string // additional environment variables for every daemon, "NAME=value"
	// Servers starts a backend server on each host.
	Servers bool
	// ServerFlags holds additional flags for every backend server.
	ServerFlags []string
	// OperatorTokens is the value of the setting operator-tokens. The default is
	// TeamTokens.
	OperatorTokens string
	// Peers passes the first host of each zone to every daemon as its initial peers,
	// so that daemons join without searching the table.
	Peers bool
	// KeepLogs keeps the directory with the logs after Close.
	KeepLogs bool
	// MaxConcurrentStarts limits the number of daemons that start at the same time;
	// 0 means defaultConcurrentStarts.
	MaxConcurrentStarts int
}

// defaultConcurrentStarts keeps a large mesh from using all cores while it starts.
const defaultConcurrentStarts = 8

// Mesh is a running fleet.
type Mesh struct {
	Config
	Dir            string
	Platform       *Process
	Relay          *Process
	Hosts          []*Host
	foreignDaemons []*Process
	basePort       uint16
	portLock       net.Listener // reserves the block of ports
}

// Host is a host of the mesh with its daemon and its backend server.
type Host struct {
	ID         host.ID
	Zone       host.AvailabilityZone
	Region     host.Region
	Service    string
	Daemon     *Process
	Server     *Process
	zoneNumber int // 1 to zoneCount
	addr       netip.Addr
	basePort   uint16
}

func (h *Host) portAddr(offset int) string {
	return netip.AddrPortFrom(h.addr, h.basePort+uint16(offset)).String()
}

// CallURL returns the base URL for calls.
func (h *Host) CallURL() string { return "http://" + h.portAddr(callPort) }

// OperatorURL returns the base URL of the operator API.
func (h *Host) OperatorURL() string { return "http://" + h.portAddr(operatorPort) }

// MetricsURL returns the base URL of the metrics and health endpoints.
func (h *Host) MetricsURL() string { return "http://" + h.portAddr(metricsPort) }

// ServerURL returns the base URL of the backend server.
func (h *Host) ServerURL() string { return "http://" + h.portAddr(serverPort) }

// ControlAddr returns the address for control traffic.
func (h *Host) ControlAddr() string { return h.portAddr(controlPort) }

// Start starts a mesh. Its processes run until ctx is done or Close is called.
func Start(ctx context.Context, c Config) (*Mesh, error) {
	dir, err := os.MkdirTemp("", "peridotlb-mesh-")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	m := &Mesh{Config: c, Dir: dir}
	if m.basePort, m.portLock, err = reservePorts(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	m.createHosts()
	if err := m.writeKeys(); err != nil {
		return nil, errors.Join(fmt.Errorf("write keys: %w", err), m.Close())
	}
	if err := m.startProcesses(ctx); err != nil {
		return m, errors.Join(err, m.Close())
	}
	return m, nil
}

// createHosts creates the hosts and assigns them to the zones round-robin.
func (m *Mesh) createHosts() {
	var services []string
	for i, n := range m.Deployment.ServersPerService {
		for range n {
			services = append(services, Services[i])
		}
	}
	if m.Daemons == 0 {
		m.Daemons = len(services)
	}
	for i := range m.Daemons {
		zone := i%zoneCount + 1
		region := m.Deployment.Regions[(zone-1)/2]
		name := host.AvailabilityZone(fmt.Sprintf("%s-%c", region, 'a'+(zone-1)%2))
		j := i/zoneCount + 1
		h := &Host{
			ID: host.ID(fmt.Sprintf("%s-%d", name, j)), Zone: name, Region: region,
			zoneNumber: zone, addr: netip.AddrFrom4([4]byte{127, byte(zone), 0, byte(j)}), basePort: m.basePort,
		}
		if m.Servers {
			h.Service = services[i%len(services)]
		}
		m.Hosts = append(m.Hosts, h)
	}
}

func (m *Mesh) writeKeys() error {
	now := time.Now().Add(-time.Hour)
	ca, err := link.NewCA("mesh", now, 24*time.Hour)
	if err != nil {
		return fmt.Errorf("create certificate authority: %w", err)
	}
	if err := os.WriteFile(m.filePath("ca.pem"), ca.Certificate, 0o600); err != nil {
		return fmt.Errorf("write certificate authority: %w", err)
	}
	for _, h := range m.Hosts {
		keys, err := link.NewHostKeyPair(ca, string(h.ID), now, 24*time.Hour)
		if err != nil {
			return fmt.Errorf("create keys of %s: %w", h.ID, err)
		}
		err = errors.Join(
			os.WriteFile(m.filePath(string(h.ID)+".pem"), keys.Certificate, 0o600),
			os.WriteFile(m.filePath(string(h.ID)+".key"), keys.Key, 0o600))
		if err != nil {
			return fmt.Errorf("write keys of %s: %w", h.ID, err)
		}
	}
	return nil
}

func (m *Mesh) filePath(name string) string { return filepath.Join(m.Dir, name) }

func (m *Mesh) startProcesses(ctx context.Context) error {
	var err error
	if m.Platform, err = m.startProcess(ctx, "platform", "platform", "--listen", m.platformAddr(1)); err != nil {
		return err
	}
	if err = m.startRelay(ctx); err != nil {
		return err
	}
	if err := m.StartDaemons(ctx, m.Hosts); err != nil {
		return err
	}
	for _, h := range m.Hosts {
		if h.Service == "" {
			continue
		}
		if err := m.StartServer(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// platformAddr returns the address at which hosts of a zone reach the platform,
// which runs in the first zone.
func (m *Mesh) platformAddr(fromZone int) string {
	network := byte(1)
	if fromZone != 1 {
		network += translationOffset
	}
	addr := netip.AddrFrom4([4]byte{127, network, 0, platformHostByte})
	return netip.AddrPortFrom(addr, m.basePort+platformPort).String()
}

// translationOffset is added to the second byte of a host's address to get the
// address at which hosts of other zones reach it. It must equal
// translationOffset of package relay.
const translationOffset = 100

func (m *Mesh) startRelay(ctx context.Context) error {
	data, err := json.Marshal(m.relayConfig())
	if err != nil {
		return fmt.Errorf("encode relay configuration: %w", err)
	}
	if err := os.WriteFile(m.filePath("relay.json"), data, 0o600); err != nil {
		return fmt.Errorf("write relay configuration: %w", err)
	}
	m.Relay, err = m.startProcess(ctx, "relay", "relay", "--config", m.filePath("relay.json"))
	return err
}

// StartDaemons starts the daemons of hosts, at most MaxConcurrentStarts at a time.
func (m *Mesh) StartDaemons(ctx context.Context, hosts []*Host) error {
	group, ctx2 := errgroup.WithContext(ctx)
	group.SetLimit(cmp.Or(m.MaxConcurrentStarts, defaultConcurrentStarts))
	for _, h := range hosts {
		group.Go(func() error {
			if ctx2.Err() != nil {
				return ctx2.Err()
			}
			// The process must outlive the group's context, so it gets ctx.
			return m.StartDaemon(ctx, h)
		})
	}
	return group.Wait()
}

// StartDaemon starts or restarts the daemon of a host.
func (m *Mesh) StartDaemon(ctx context.Context, h *Host) error {
	return m.startDaemon(ctx, h, KeyFiles{CA: m.filePath("ca.pem"), Certificate: m.filePath(string(h.ID) + ".pem"), Key: m.filePath(string(h.ID) + ".key")})
}

// KeyFiles holds the paths of a daemon's TLS files.
type KeyFiles struct{ CA, Certificate, Key string }

// foreignHostByte is the last byte of the address of a foreign daemon.
const foreignHostByte = 200

// StartForeignDaemon starts a daemon in the first zone that does not belong to the
// mesh and uses the given keys.
func (m *Mesh) StartForeignDaemon(ctx context.Context, id string, k KeyFiles) error {
	first := *m.Hosts[0]
	first.ID, first.addr = host.ID(id), netip.AddrFrom4([4]byte{127, 1, 0, foreignHostByte})
	if err := m.startDaemon(ctx, &first, k); err != nil {
		return err
	}
	m.foreignDaemons = append(m.foreignDaemons, first.Daemon)
	return nil
}

func (m *Mesh) startDaemon(ctx context.Context, h *Host, k KeyFiles) error {
	args := []string{
		"--host-id", string(h.ID), "--availability-zone", string(h.Zone), "--region", string(h.Region),
		"--control-address", h.portAddr(controlPort), "--gate-address", h.portAddr(gatePort),
		"--call-address", h.portAddr(callPort), "--announce-address", h.portAddr(announcePort),
		"--operator-address", h.portAddr(operatorPort), "--metrics-address", h.portAddr(metricsPort),
		"--ca-file", k.CA, "--certificate-file", k.Certificate, "--key-file", k.Key,
		"--platform", "aws",
		"--table-endpoint", "http://" + m.platformAddr(h.zoneNumber), "--object-endpoint", "http://" + m.platformAddr(h.zoneNumber),
		"--table-name", "peridotlb", "--bucket", "peridotlb",
		"--platform-access-key", "test", "--platform-secret-key", "test", "--platform-signing-region", "local",
		"--nat", m.natRules(h.zoneNumber), "--log-format", "json",
		"--operator-tokens", cmp.Or(m.OperatorTokens, TeamTokens()),
	}
	if m.Peers {
		args = append(args, "--peers", m.peerAddrs(h))
	}
	p, err := m.startProcessWithEnv(ctx, m.Env, string(h.ID), "peridotlbd", append(args, m.Flags...)...)
	if err != nil {
		return err
	}
	h.Daemon = p
	return nil
}

// peerAddrs returns the control addresses of the first host of each zone except h
// itself. The host in the same zone as h comes first.
func (m *Mesh) peerAddrs(h *Host) string {
	var own, others []string
	for _, p := range m.Hosts[:min(zoneCount, len(m.Hosts))] {
		switch {
		case p == h:
		case p.zoneNumber == h.zoneNumber:
			own = append(own, p.ControlAddr())
		default:
			others = append(others, p.ControlAddr())
		}
	}
	return strings.Join(append(own, others...), ",")
}

// natRules returns the address translation rules for daemons of a zone, in the
// format of the flag --nat.
func (m *Mesh) natRules(zone int) string {
	var rules []string
	for other := 1; other <= zoneCount; other++ {
		if other != zone {
			rules = append(rules, fmt.Sprintf("127.%d.0.0/16=127.%d.0.0/16", other, other+translationOffset))
		}
	}
	return strings.Join(rules, ",")
}

// relayConfig returns the relay configuration of the network between the zones.
func (m *Mesh) relayConfig() relay.Config {
	c := relay.Config{
		Control:     netip.MustParseAddrPort(m.relayControlAddr()),
		ZoneDelay:   relay.Duration(m.Deployment.ZoneDelay),
		RegionDelay: relay.Duration(m.Deployment.RegionDelay),
		Bandwidth:   int64(m.Deployment.LinkMbps * 1e6),
	}
	for i := range zoneCount {
		region := m.Deployment.Regions[i/2]
		c.Zones = append(c.Zones, relay.Zone{
			Name: fmt.Sprintf("%s-%c", region, 'a'+i%2), Number: byte(i + 1), Region: string(region),
		})
	}
	for _, h := range m.Hosts {
		c.Hosts = append(c.Hosts, relay.Host{
			Address: h.addr, UDP: []uint16{m.basePort + controlPort}, TCP: []uint16{m.basePort + gatePort},
		})
	}
	c.Hosts = append(c.Hosts, relay.Host{
		Address: netip.AddrFrom4([4]byte{127, 1, 0, platformHostByte}), TCP: []uint16{m.basePort + platformPort},
	})
	return c
}

func (m *Mesh) relayControlAddr() string {
	return fmt.Sprintf("127.0.0.1:%d", m.basePort+relayControlPort)
}
