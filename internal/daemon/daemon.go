// Package daemon connects the state machine of package fleet, the core, to its
// adapters: the link to other daemons, the platform, the call path and the
// interfaces for operators and backend servers.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/peridotlb/peridotlb/internal/announcement"
	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/claim"
	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/proxy"
	"github.com/peridotlb/peridotlb/internal/rollout"
	"github.com/peridotlb/peridotlb/internal/settings"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// A stopping daemon first closes the connections of its callers and then leaves
// the fleet. This order minimizes the time in which its backend server has no
// gate.
const (
	// callerDrainTime is how long a stopping daemon keeps serving while it closes
	// its connections as their responses complete. Callers poll its readiness once
	// per second and stop using it after the second negative answer. Of the calls of
	// those that cannot stop using it, it accepts after this time only those that end
	// within the drain timeout.
	callerDrainTime = 2200 * time.Millisecond
	// leavePropagationTime is how long the other daemons get to learn that this one
	// leaves the fleet and to stop sending calls to its gate.
	leavePropagationTime = 300 * time.Millisecond
)

const (
	// closeReserve is the end of the drain timeout that is reserved for closing
	// listeners and connections.
	closeReserve = 350 * time.Millisecond
	// abortTimeout is the part of closeReserve in which unfinished calls are
	// answered as failed.
	abortTimeout = 200 * time.Millisecond
)

// Config configures a Daemon.
type Config struct {
	Settings settings.Daemon
	Log      *zap.Logger
	// LinesDropped counts the log lines that Log and its writer have dropped; may be
	// nil.
	LinesDropped *atomic.Uint64
	// Platform replaces the platform of the settings; nil opens that one.
	Platform platform.Service
	// Environment adapts the daemon to the environment of its hosts.
	Environment Environment
}

// components are the adapters that the loop and the servers share.
type components struct {
	settings         settings.Daemon
	log              *zap.Logger
	platform         *instrumentedPlatform
	link             *link.Link
	nat              link.NAT
	signer           *link.Signer
	retained         retainedVersions
	timeline         *timeline.Ring
	pool             *pool.Pool
	gate             *gate.Gate
	memory           *connection.Memory // of callers' requests
	descriptors      int                // that the process may have open
	tracker          rollout.Tracker
	claims           *claim.Claims
	routing          routingState
	regions          regionTable
	quotas           *quotas
	metrics          *daemonMetrics
	leaving          atomic.Bool
	shutdownDeadline atomic.Pointer[time.Time] // time at which unfinished calls are canceled; nil until callerDrainTime has passed

	environment Environment
}

// Daemon is one daemon of the fleet.
type Daemon struct {
	*components
	loop          *loop
	acceptor      *submission.Acceptor
	transports    *proxy.Transports
	announcements *announcement.API
	servers       []*server
	serverTLS     *tls.Config
}

// New returns a daemon that listens on all its addresses. Run serves them.
func New(ctx context.Context, c Config) (*Daemon, error) {
	service := c.Platform
	if service == nil {
		var err error
		if service, err = openPlatform(ctx, c); err != nil {
			return nil, fmt.Errorf("open platform: %w", err)
		}
	}
	set := metrics.NewSet()
	d := &Daemon{components: &components{environment: c.Environment, settings: c.Settings, log: c.Log, platform: newInstrumentedPlatform(service, set)}}
	set.NewGauge("peridotlb_log_lines_dropped_total", func() float64 {
		if c.LinesDropped == nil {
			return 0
		}
		return float64(c.LinesDropped.Load())
	})
	if err := d.build(ctx, set); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build(ctx context.Context, set *metrics.Set) error {
	s := d.settings
	d.timeline = timeline.New(timeline.Config{Host: s.HostID, Zone: s.AvailabilityZone, Size: s.TimelineSize})
	d.gate = gate.New(gate.Config{Self: s.HostID, LearnCapacity: s.LearnedCapacity, OnLearned: proxy.LogLearned(d.log.Named("gate"))})
	d.pool = pool.New(pool.Config{
		Self: s.HostID, Zone: s.AvailabilityZone, Region: s.Region,
		FleetRetryBudget: pool.FleetRetryBudget{Ratio: s.RetryRatio, ExtraRetries: s.RetryExtra, Window: s.RetryWindow},
		OnEject:          func(id backend.ServerID, t time.Duration) { d.callEvent(proxy.EjectedEvent(id, t)) },
	})
	d.descriptors = descriptorLimit(s.FileDescriptors)
	d.memory = d.limitMemory()
	if d.environment.Rollouts == nil {
		d.pool.SetInformed()
	}
	d.claims = claim.New(claim.Config{Table: d.platform, Retention: s.OutcomeRetention})
	d.acceptor = submission.New(submission.Config{Platform: d.platform, Retention: s.OutcomeRetention, CachedVersion: d.retained.get, NewestVersion: d.retained.newest})
	d.metrics = newDaemonMetrics(set, d)
	d.quotas = newQuotas(s, time.Now(), set, d.log.Named("quota"))
	var err error
	if d.nat, err = newNAT(s.NAT); err != nil {
		return fmt.Errorf("setting nat: %w", err)
	}
	identity, err := d.loadTLS()
	if err != nil {
		return fmt.Errorf("load keys: %w", err)
	}
	d.serverTLS, d.signer = identity.Server, identity.Signer
	if err := message.PrepareEncoder(); err != nil {
		return fmt.Errorf("prepare the encoder: %w", err)
	}
	d.loop = newLoop(d.components, d.fleetConfig())
	if err := d.openLink(ctx, identity); err != nil {
		return err
	}
	return d.openServers(ctx, set, identity.Client)
}

// loadTLS loads the keys of the settings. Without keys, calls between daemons are
// not encrypted, and daemons do not verify each other.
func (d *Daemon) loadTLS() (link.Identity, error) {
	s := d.settings
	if s.Insecure() {
		d.log.Named("link").Warn("No keys are set: calls between daemons are not encrypted, and daemons do not verify each other.")
		return link.InsecureIdentity()
	}
	return link.LoadIdentity(link.CertificateConfig{CA: s.CAFile, Certificate: s.CertificateFile, Key: s.KeyFile, Log: d.log.Named("link")})
}

func (d *Daemon) fleetConfig() fleet.Config {
	s := d.settings
	return fleet.Config{
		Self: host.Row{
			ID: s.HostID, Zone: s.AvailabilityZone, Region: s.Region,
			ControlAddr: s.ControlAddress, GateAddr: s.GateAddress,
			Capacity: host.CapacityOf(s.Cores, s.LinkMbps),
		},
		Started: time.Now(), Peers: s.Peers, HeadPollWait: s.HeadPollWait,
		Distribution: s.Distribution, Rollouts: d.rolloutLimits(), Seed: rand.Uint64(),
	}
}

func (d *Daemon) openLink(ctx context.Context, identity link.Identity) error {
	s := d.settings
	// The link outlives ctx because a planned stop still notifies the other
	// daemons; Run closes it.
	l, err := link.Listen(context.WithoutCancel(ctx), link.Config{
		Addr: s.ControlAddress, Server: identity.Server, Client: identity.Client, Insecure: s.Insecure(), NAT: d.nat,
		Codec:         message.Codec{Lookup: d.retainedVersion, Deltas: new(message.DeltaCache)},
		HandleMessage: d.loop.receive, HandleQuery: d.answerQuery,
		Stamp: d.timeline.Stamp, Observe: d.timeline.Observe,
		IsCrossRegion: d.isCrossRegion, Log: d.log.Named("link"),
	})
	if err != nil {
		return fmt.Errorf("open control address %s: %w", s.ControlAddress, err)
	}
	d.link = l
	d.quotas.setSend(l.Send)
	return nil
}

// Run serves until ctx ends and then stops gracefully: it leaves the fleet, waits
// for the calls in flight and closes its connections.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { d.loop.run(runCtx); return nil })
	group.Go(func() error { d.announcements.Run(runCtx); return nil })
	group.Go(func() error { d.transports.Run(runCtx); return nil })
	group.Go(func() error { d.quotas.run(runCtx); return nil })
	for _, srv := range d.servers {
		group.Go(func() error { return srv.serve() })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			d.drain(runCtx)
		case <-runCtx.Done():
		}
		d.shutdown()
		stop()
		return d.link.Close()
	})
	d.log.Info("Started.", zap.String("host", string(d.settings.HostID)), zap.Stringer("control-address", d.settings.ControlAddress))
	if err := group.Wait(); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	d.log.Info("Stopped.")
	return nil
}

// drain leaves the fleet and waits for the calls in flight.
func (d *Daemon) drain(ctx context.Context) {
	d.log.Info("Leaving the fleet.", zap.Duration("drain-timeout", d.settings.DrainTimeout))
	d.leaving.Store(true)
	for _, srv := range d.servers {
		if srv.calls != nil {
			srv.calls.DisableKeepAlives()
		}
	}
	end := time.Now().Add(d.settings.DrainTimeout - closeReserve)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	sleep(ctx, callerDrainTime)
	d.shutdownDeadline.Store(&end)
	d.quotas.leave()
	d.loop.post(ctx, fleet.ShutdownRequested{})
	sleep(ctx, leavePropagationTime)
	if err := d.gate.DrainAll(ctx); err != nil {
		d.log.Warn("Calls were still in flight at the end of the drain timeout.", zap.Error(err))
	}
	var group sync.WaitGroup
	for _, srv := range d.servers {
		if srv.calls == nil {
			continue
		}
		group.Go(func() {
			d.shutdownCalls(ctx, srv)
		})
	}
	group.Wait()
	if err := d.claims.Drain(ctx); err != nil {
		d.log.Warn("Claim releases were still pending at the end of the drain timeout.", zap.Error(err))
	}
}

// shutdownCalls waits for the calls of a listener. Calls that have not ended
// before ctx are answered as failed.
func (d *Daemon) shutdownCalls(ctx context.Context, srv *server) {
	err := srv.calls.Shutdown(ctx)
	if err == nil {
		return
	}
	d.log.Warn("Canceled unfinished calls at the end of the drain timeout.", zap.String("listener", srv.name), zap.Int("calls", srv.calls.InFlight()), zap.Error(err))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	if err := srv.calls.CancelInFlight(ctx); err != nil {
		d.log.Warn("Could not answer all unfinished calls at the end of the drain timeout.", zap.String("listener", srv.name), zap.Error(err))
	}
}

// shutdownDeadlineOrZero implements proxy.Config.ShutdownDeadline.
func (d *Daemon) shutdownDeadlineOrZero() time.Time {
	if end := d.shutdownDeadline.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (d *Daemon) shutdown() {
	for _, srv := range d.servers {
		if srv.calls != nil {
			srv.calls.Close()
		} else {
			_ = srv.control.Close()
		}
	}
	d.transports.CloseIdle()
}

// callEvent records an event of the call path.
func (c *components) callEvent(e proxy.Event) {
	c.timeline.Add(timeline.Event{Kind: timeline.Kind(e.Kind), Call: timeline.CallID(e.CallID), Server: e.Server, Detail: e.Detail})
}

// isCrossRegion reports whether an address belongs to a host of another region.
func (c *components) isCrossRegion(addr netip.Addr) bool {
	region, ok := c.regions.lookup(addr)
	return ok && region != c.settings.Region
}
