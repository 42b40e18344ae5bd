package daemon

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/announcement"
	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/proxy"
	"github.com/peridotlb/peridotlb/internal/release"
	"github.com/peridotlb/peridotlb/internal/route"
)

// server is an HTTP listener of the daemon, either for calls or for control.
type server struct {
	name     string
	calls    *connection.Server
	control  *http.Server
	listener net.Listener
}

func (d *Daemon) openServers(ctx context.Context, set *metrics.Set, clientTLS *tls.Config) error {
	s := d.settings
	gateTLS := d.serverTLS
	if s.Insecure() {
		gateTLS, clientTLS = nil, nil
	}
	d.transports = proxy.NewTransports(proxy.TransportConfig{TLS: clientTLS, Translate: d.nat.Outside, Source: s.GateAddress.Addr(), Dialect: d.environment.Dialect})
	calls := proxy.Config{
		Bandwidth: d.newBandwidth(set),
		Self:      s.HostID, Routes: func() *route.Table { return d.routing.routes.Load() },
		Pool: d.pool, Gate: d.gate, Rollouts: &d.tracker, Claims: instrumentedClaims{d.claims, d.metrics}, Quotas: d.quotas, Transports: d.transports,
		ShutdownDeadline: d.shutdownDeadlineOrZero, Events: d.callEvent, Metrics: set, Dialect: d.environment.Dialect, Log: d.log.Named("call"), CallerService: s.CallerService, LearnedCapacity: s.LearnedCapacity, RankNestedCalls: s.RankNestedCalls,
	}
	api, err := operator.New(operator.Config{
		Backend: d, Host: d.fleetConfig().Self, Release: release.Number(), Tokens: s.OperatorTokens, Log: d.log.Named("operator"),
	})
	if err != nil {
		return fmt.Errorf("operator API: %w", err)
	}
	d.announcements = announcement.New(announcement.Config{
		Lease:    s.AnnounceLease,
		Log:      d.log,
		Publish:  func(b backend.Server) <-chan struct{} { return d.loop.announce(ctx, b) },
		OnWarmUp: func(id backend.ServerID, remaining time.Duration) { d.tracker.SetWarmUp(id, time.Now(), remaining) },
		OnHealth: func(id backend.ServerID, healthy bool) {
			d.pool.SetHealth(id, healthy)
			d.gate.SetHealth(id, healthy)
		},
	})
	d.loop.adopt = d.announcements.Restore
	operatorServer := newControlServer(api)
	operatorServer.WriteTimeout = 30 * time.Second
	if s.OperatorTLS {
		operatorServer.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: d.serverTLS.GetCertificate, Certificates: d.serverTLS.Certificates}
	}
	d.servers = []*server{
		{name: "call-address", calls: proxy.NewEntryServer(proxy.ServerConfig{Handler: proxy.NewEntry(calls), Limits: d.callerLimits, HeaderFirst: d.routing.hasOrganisations, Log: d.log.Named("call"), Memory: d.memory})},
		{name: "gate-address", calls: proxy.NewGateServer(proxy.ServerConfig{Handler: proxy.NewGate(calls), Limits: d.callerLimits, Log: d.log.Named("gate"), Memory: d.memory}, gateTLS)},
		{name: "announce-address", control: newControlServer(d.announcementHandler())},
		{name: "operator-address", control: operatorServer},
		{name: "metrics-address", control: newControlServer(d.metricsHandler(set))},
	}
	addresses := []netip.AddrPort{s.CallAddress, s.GateAddress, s.AnnounceAddress, s.OperatorAddress, s.MetricsAddress}
	if s.ReadyAddress.IsValid() {
		d.servers = append(d.servers, &server{name: "ready-address", control: newControlServer(d.readiness())})
		addresses = append(addresses, s.ReadyAddress)
	}
	for i, srv := range d.servers {
		if srv.listener, err = net.Listen("tcp", addresses[i].String()); err != nil {
			d.closeListeners()
			return fmt.Errorf("open --%s: %w", srv.name, err)
		}
		if srv.control == nil {
			continue
		}
		limited := newLimitedListener(srv.listener, controlConnections(d.descriptors))
		srv.listener, srv.control.ConnState = limited, limited.recordState
		srv.control.ErrorLog = stdlog.New(httpLogWriter{d.log.Named("http")}, "", 0)
	}
	return nil
}

func (d *Daemon) announcementHandler() http.Handler {
	if d.environment.Announcements != nil {
		return d.environment.Announcements(d.announcements)
	}
	return d.announcements
}

// readiness returns the handler that reports whether callers may use this
// daemon.
func (d *Daemon) readiness() http.Handler {
	h := http.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeProblems(w, d.readinessProblems()) }))
	if d.environment.Readiness != nil {
		h = d.environment.Readiness(h)
	}
	return h
}

func (d *Daemon) closeListeners() {
	for _, srv := range d.servers {
		if srv.listener != nil {
			_ = srv.listener.Close()
		}
	}
	_ = d.link.Close()
}

// callerLimits returns the request limits that the applied version sets for
// callers.
func (d *Daemon) callerLimits() connection.Limits {
	limits := connection.DefaultLimits()
	configured := d.routing.limits.Load()
	if configured == nil {
		return limits
	}
	limits.HeaderBytes = cmp.Or(int(configured.HeaderBytes), limits.HeaderBytes)
	limits.BodyBytes = int64(configured.BodyBytes) // 0 sets no limit
	limits.HeaderTimeout = cmp.Or(configured.HeaderTimeout, limits.HeaderTimeout)
	limits.IdleTimeout = cmp.Or(configured.IdleTimeout, limits.IdleTimeout)
	return limits
}

func (s *server) serve() error {
	var err error
	switch {
	case s.calls != nil:
		err = s.calls.Serve(s.listener)
	case s.control.TLSConfig != nil:
		err = s.control.ServeTLS(s.listener, "", "")
	default:
		err = s.control.Serve(s.listener)
	}
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("%s: %w", s.name, err)
}
