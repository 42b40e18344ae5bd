// Package relay simulates the network between availability zones and regions in
// tests. It translates addresses on loopback and adds delay, bandwidth limits,
// packet loss and cuts.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Relay is a running simulated network.
type Relay struct {
	config          Config
	zones           map[byte]Zone
	paths           map[[2]byte]*path // by zone numbers, sender first
	sockets         map[netip.AddrPort]*net.UDPConn
	controlListener net.Listener
	controlServer   *http.Server

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	cuts    map[[2]string]bool
	closers map[io.Closer]bool // listeners, sockets and connections
	closed  bool
}

// Start opens all sockets and starts the relay. It runs until ctx is done or Close
// is called.
func Start(ctx context.Context, config Config) (*Relay, error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("relay configuration: %w", err)
	}
	if config.Bandwidth == 0 {
		config.Bandwidth = defaultBandwidth
	}
	if config.Queue == 0 {
		config.Queue = defaultQueue
	}
	r := &Relay{
		config: config, zones: map[byte]Zone{}, paths: map[[2]byte]*path{}, sockets: map[netip.AddrPort]*net.UDPConn{},
		cuts: map[[2]string]bool{}, closers: map[io.Closer]bool{},
	}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.createPaths()
	if err := r.listen(); err != nil {
		r.Close()
		return nil, fmt.Errorf("start relay: %w", err)
	}
	context.AfterFunc(ctx, r.Close)
	return r, nil
}

// createPaths creates the paths between all zones with the configured delays.
func (r *Relay) createPaths() {
	limiters := map[[2]string]*bandwidthLimiter{}
	for _, from := range r.config.Zones {
		r.zones[from.Number] = from
		for _, to := range r.config.Zones {
			var limiter *bandwidthLimiter
			if from.Region != to.Region {
				key := [2]string{from.Region, to.Region}
				if limiters[key] == nil {
					limiters[key] = &bandwidthLimiter{bandwidth: r.config.Bandwidth, queue: r.config.Queue}
				}
				limiter = limiters[key]
			}
			p := newPath(from, to, limiter)
			switch {
			case from.Region != to.Region:
				p.delay.Store(int64(r.config.RegionDelay))
			case from != to:
				p.delay.Store(int64(r.config.ZoneDelay))
			}
			r.paths[[2]byte{from.Number, to.Number}] = p
			r.goroutines.Go(func() { p.deliverPackets(r.ctx) })
		}
	}
	for _, d := range r.config.Delays {
		for _, p := range r.findPaths(d.A, d.B) {
			p.delay.Store(int64(d.OneWay))
		}
	}
}

// listen opens the sockets of all hosts and the control API.
func (r *Relay) listen() error {
	for _, h := range r.config.Hosts {
		for _, port := range h.UDP {
			if err := r.listenUDP(netip.AddrPortFrom(h.Address, port)); err != nil {
				return err
			}
		}
		for _, port := range h.TCP {
			if err := r.listenTCP(netip.AddrPortFrom(h.Address, port)); err != nil {
				return err
			}
		}
	}
	for host, socket := range r.sockets {
		r.goroutines.Go(func() { r.forwardDatagrams(host, socket) })
	}
	return r.listenControl()
}

// findPaths returns the paths between two zones or two regions in both directions.
func (r *Relay) findPaths(a, b string) []*path {
	var found []*path
	for _, p := range r.paths {
		zones := p.from.Name == a && p.to.Name == b || p.from.Name == b && p.to.Name == a
		regions := p.from.Region == a && p.to.Region == b || p.from.Region == b && p.to.Region == a
		if zones || regions {
			found = append(found, p)
		}
	}
	return found
}

// findPathsOrError is findPaths, but returns an error if there is no path.
func (r *Relay) findPathsOrError(a, b string) ([]*path, error) {
	paths := r.findPaths(a, b)
	if len(paths) == 0 {
		return nil, fmt.Errorf("%q and %q are not two zones or two regions of the relay's configuration", a, b)
	}
	return paths, nil
}

// Cut interrupts the network between two zones or two regions. Datagrams are
// dropped, and TCP data is held back.
func (r *Relay) Cut(a, b string) error { return r.setCut(a, b, true) }

// Heal ends the cut between the same pair of zones or regions.
func (r *Relay) Heal(a, b string) error { return r.setCut(a, b, false) }

func (r *Relay) setCut(a, b string, cut bool) error {
	paths, err := r.findPathsOrError(a, b)
	if err != nil {
		return err
	}
	key := [2]string{min(a, b), max(a, b)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cuts[key] == cut {
		return nil
	}
	r.cuts[key] = cut
	change := -1
	if cut {
		change = 1
	}
	for _, p := range paths {
		p.addCuts(change)
	}
	return nil
}

// SetDelay changes the one-way delay between two zones or two regions.
func (r *Relay) SetDelay(a, b string, oneWay time.Duration) error {
	paths, err := r.findPathsOrError(a, b)
	if err != nil {
		return err
	}
	if oneWay < 0 {
		return fmt.Errorf("delay %s is negative", oneWay)
	}
	for _, p := range paths {
		p.delay.Store(int64(oneWay))
	}
	return nil
}

// SetLoss sets the percentage of datagrams that are dropped between two zones or
// two regions.
func (r *Relay) SetLoss(a, b string, percent float64) error {
	paths, err := r.findPathsOrError(a, b)
	if err != nil {
		return err
	}
	if !(percent >= 0 && percent <= 100) {
		return fmt.Errorf("loss of %v%% is not between 0%% and 100%%", percent)
	}
	for _, p := range paths {
		p.loss.Store(uint64(percent * 10_000))
	}
	return nil
}

// Report holds the counters of all pairs of regions and of the pairs of zones with
// traffic, with one entry per direction.
type Report struct {
	Regions []Counters `json:"regions"` // pairs of different regions
	Zones   []Counters `json:"zones"`   // pairs of zones with traffic
}

// Counters returns the counters in the order in which the zones are configured.
func (r *Relay) Counters() Report {
	report := Report{Regions: []Counters{}, Zones: []Counters{}}
	index := map[[2]string]int{}
	for _, from := range r.config.Zones {
		for _, to := range r.config.Zones {
			c := r.paths[[2]byte{from.Number, to.Number}].counters()
			if c.UDPPackets+c.UDPDropped+c.TCPBytes > 0 {
				report.Zones = append(report.Zones, c)
			}
			if from.Region == to.Region {
				continue
			}
			key := [2]string{from.Region, to.Region}
			i, ok := index[key]
			if !ok {
				i = len(report.Regions)
				index[key] = i
				report.Regions = append(report.Regions, Counters{From: from.Region, To: to.Region})
			}
			report.Regions[i].add(c)
		}
	}
	return report
}

// pathForAddrs returns the path from the zone of one host to that of another, or nil
// if there is none.
func (r *Relay) pathForAddrs(from, to netip.Addr) *path {
	if !from.Is4() || !to.Is4() {
		return nil
	}
	return r.paths[[2]byte{from.As4()[1], to.As4()[1]}]
}

// registerCloser registers c to be closed by Close. If the relay is already closed,
// it closes c and returns false.
func (r *Relay) registerCloser(c io.Closer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.closers[c] = true
	return true
}

// closeAndUnregister closes c and removes it from the registered closers.
func (r *Relay) closeAndUnregister(c io.Closer) {
	r.mu.Lock()
	delete(r.closers, c)
	r.mu.Unlock()
	_ = c.Close()
}

// runTracked runs f in a goroutine that Close waits for. It does nothing if the
// relay is already closed.
func (r *Relay) runTracked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.goroutines.Go(f)
	}
}

// Close closes all connections and sockets, and waits for the goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	closers := r.closers
	r.closers = map[io.Closer]bool{}
	r.mu.Unlock()
	r.cancel()
	for c := range closers {
		_ = c.Close()
	}
	r.goroutines.Wait()
}

// errUnknownSource is returned for a connection from an address in no zone.
var errUnknownSource = errors.New("source address does not belong to a zone")
