// Package mesh starts a small fleet of real processes for the demo, the
// benchmark and the scenarios: the platform stand-in, the relay between zones,
// daemons and backend servers, all on loopback.
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

// Deployment is the shape and the delays of a site.
type Deployment struct {
	Name        string
	Regions     [2]host.Region
	ZoneDelay   time.Duration // one way between zones of a region
	RegionDelay time.Duration // one way between regions
	ClientDelay time.Duration // one way between callers and daemons; not applied
	LinkMbps    float64       // region link, each way
	Slots       int
	Connections int
	// ServersPerService is indexed by service; each server has a host.
	ServersPerService []int
}

// Deployments of today.
var (
	Kujaza = Deployment{
		Name: "kujaza", Regions: [2]host.Region{"pwani", "kaskazini"},
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, ClientDelay: 8 * time.Millisecond,
		LinkMbps: 30, Slots: 9, Connections: 130, ServersPerService: []int{5, 4, 5},
	}
	Prairie = Deployment{
		Name: "prairie", Regions: [2]host.Region{"regina", "winnipeg"},
		ZoneDelay: 1400 * time.Microsecond, RegionDelay: 12 * time.Millisecond, ClientDelay: time.Millisecond,
		LinkMbps: 30, Slots: 18, Connections: 110, ServersPerService: []int{5, 4, 5},
	}
)

// Services of the example document, in the order of ServersPerService.
var Services = []string{"bead-stock", "bead-prices", "bead-orders"}

// zoneCount is the number of availability zones, two per region.
const zoneCount = 4

// platformHost is the last byte of the platform's address.
const platformHostByte = 250

// Config holds the settings of a mesh.
type Config struct {
	Deployment Deployment
	BinDir     string   // directory of the built programs
	Daemons    int      // 0 takes one per backend server of the deployment
	Flags      []string // more flags for every daemon
	Env        []string // more environment variables for every daemon, "NAME=value"
	// Servers is false for a mesh without backend servers.
	Servers bool
	// ServerFlags are more flags for every backend server.
	ServerFlags []string
	// Tokens are the operator tokens, as in the setting operator-tokens; empty
	// takes TeamTokens.
	OperatorTokens string
	// Peers gives every daemon the first host of each zone as first contacts, so
	// that the fleet forms without searches of the table.
	Peers bool
	// Logs keeps the directory with the logs.
	KeepLogs bool
	// StartLimit is the number of daemons that start at the same time; 0 takes
	// defaultStartLimit.
	MaxConcurrentStarts int
}

// defaultStartLimit keeps a large mesh from taking all cores while it starts.
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
	portLock       net.Listener // keeps the block of ports
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

// CallURL returns the base URL for callers.
func (h *Host) CallURL() string { return "http://" + h.portAddr(callPort) }

// OperatorURL returns the base URL of the operator API.
func (h *Host) OperatorURL() string { return "http://" + h.portAddr(operatorPort) }

// MetricsURL returns the base URL of metrics and health.
func (h *Host) MetricsURL() string { return "http://" + h.portAddr(metricsPort) }

// ServerURL returns the base URL of the backend server.
func (h *Host) ServerURL() string { return "http://" + h.portAddr(backendPort) }

// ControlAddr returns the address of the control traffic.
func (h *Host) ControlAddr() string { return h.portAddr(controlPort) }

// Start starts a mesh. The processes end with ctx or Close.
func Start(ctx context.Context, c Config) (*Mesh, error) {
	dir, err := os.MkdirTemp("", "peridotlb-mesh-")
	if err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
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

// layOut spreads the hosts over the zones in turn.
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
		return fmt.Errorf("make authority: %w", err)
	}
	if err := os.WriteFile(m.filePath("ca.pem"), ca.Certificate, 0o600); err != nil {
		return fmt.Errorf("write authority: %w", err)
	}
	for _, h := range m.Hosts {
		keys, err := link.NewHostKeyPair(ca, string(h.ID), now, 24*time.Hour)
		if err != nil {
			return fmt.Errorf("make keys of %s: %w", h.ID, err)
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

// platformAddr returns the address at which a zone reaches the platform, which
// runs in the first zone.
func (m *Mesh) platformAddr(fromZone int) string {
	network := byte(1)
	if fromZone != 1 {
		network += translatedOffset
	}
	addr := netip.AddrFrom4([4]byte{127, network, 0, platformHostByte})
	return netip.AddrPortFrom(addr, m.basePort+platformPort).String()
}

// translatedOffset is added to the second byte of an address for hosts of
// other zones.
const translatedOffset = 100

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

// StartDaemons starts the daemons of hosts, at most StartLimit at a time.
func (m *Mesh) StartDaemons(ctx context.Context, hosts []*Host) error {
	group, ctx2 := errgroup.WithContext(ctx)
	group.SetLimit(cmp.Or(m.MaxConcurrentStarts, defaultConcurrentStarts))
	for _, h := range hosts {
		group.Go(func() error {
			if ctx2.Err() != nil {
				return ctx2.Err()
			}
			// The process lives longer than the group's context.
			return m.StartDaemon(ctx, h)
		})
	}
	return group.Wait()
}

// StartDaemon starts the daemon of a host, or starts it again.
func (m *Mesh) StartDaemon(ctx context.Context, h *Host) error {
	return m.startDaemon(ctx, h, KeyFiles{CA: m.filePath("ca.pem"), Certificate: m.filePath(string(h.ID) + ".pem"), Key: m.filePath(string(h.ID) + ".key")})
}

// Keys are the key files of a daemon.
type KeyFiles struct{ CA, Certificate, Key string }

// foreignHost is the last byte of the address of a foreign daemon.
const foreignHostByte = 200

// StartForeign starts a daemon in the first zone that is not a host of the mesh
// and has keys of its own.
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

// peers returns the control addresses of the first host of each zone, the own
// zone's first.
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

// nat returns the translation rules of a zone.
func (m *Mesh) natRules(zone int) string {
	var rules []string
	for other := 1; other <= zoneCount; other++ {
		if other != zone {
			rules = append(rules, fmt.Sprintf("127.%d.0.0/16=127.%d.0.0/16", other, other+translatedOffset))
		}
	}
	return strings.Join(rules, ",")
}

// relayConfig describes the network between the zones.
func (m *Mesh) relayConfig() relay.Config {
	c := relay.Config{
		Control:     netip.MustParseAddrPort(m.relayControl()),
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

func (m *Mesh) relayControl() string { return fmt.Sprintf("127.0.0.1:%d", m.basePort+relayControlPort) }
