// Package announcement serves the host-local API on which the backend servers of
// this host announce themselves, and probes their health.
package announcement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/header"
	"github.com/peridotlb/peridotlb/internal/host"
)

const (
	defaultLease = 5 * time.Second
	// withdrawAfterLeases is the age of the last renewal, in leases, after which a
	// server is withdrawn. It is drained after one lease.
	withdrawAfterLeases = 3
	probeInterval       = time.Second
	probeTimeout        = 500 * time.Millisecond
	maxBodyBytes        = 16 << 10 // of a request body
	maxProbeHeaderBytes = 64 << 10 // of the response to a health probe, whose body is not read
)

// Rate limits in requests per second, which are also the bursts. Every change of a
// row is sent to the whole fleet, so a backend server that sends requests in a
// loop must not cause many changes.
const (
	// renewalsPerSecond limits the renewals of each backend server, so that the
	// other servers of the host can renew their leases. The shortest lease of 1 s
	// needs 3 per second.
	renewalsPerSecond = 5
	// otherRequestsPerSecond limits all other requests on the host together.
	otherRequestsPerSecond = 20
)

// Config holds the settings of the API.
type Config struct {
	Lease time.Duration // time within which an announcement must be renewed; 0 uses 5 s
	// Publish publishes the row of a backend server. The returned channel is closed
	// when the row is persisted outside this process; nil if it is not persisted.
	Publish func(backend.Server) <-chan struct{}
	// OnHealth receives the results of health probes; true means healthy. It also
	// receives true when a server is no longer probed. With nil, nothing is probed.
	OnHealth func(backend.ServerID, bool)
	// OnWarmUp receives the remaining warm-up time of servers that state it; it may be
	// nil.
	OnWarmUp func(backend.ServerID, time.Duration)
	Now      func() time.Time // nil uses time.Now
	Log      *zap.Logger      // nil disables logging
}

// API is the handler of the announcement API.
type API struct {
	config       Config
	mux          *http.ServeMux
	client       *http.Client
	otherLimiter *rate.Limiter // for all requests other than renewals

	mu        sync.Mutex
	servers   map[backend.ServerID]*entry
	withdrawn map[backend.ServerID]withdrawal // the last withdrawal of each server
}

// announcementBody is the body of a PUT request.
type announcementBody struct {
	Service    backend.ServiceName `json:"service"`
	Address    string              `json:"address"`
	Slots      uint16              `json:"slots,omitempty"`
	State      string              `json:"state,omitempty"`
	HealthPath string              `json:"health-path,omitempty"`
}

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,127}$`)

// New returns the API. Run expires leases and probes health.
func New(c Config) *API {
	if c.Lease == 0 {
		c.Lease = defaultLease
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	a := &API{config: c, mux: http.NewServeMux(), servers: make(map[backend.ServerID]*entry), withdrawn: make(map[backend.ServerID]withdrawal)}
	a.otherLimiter = rate.NewLimiter(otherRequestsPerSecond, otherRequestsPerSecond)
	a.client = &http.Client{
		Timeout:   probeTimeout,
		Transport: &http.Transport{MaxResponseHeaderBytes: maxProbeHeaderBytes, IdleConnTimeout: 2 * probeInterval},
		// A health endpoint must not redirect probes to other addresses.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	a.mux.HandleFunc("PUT /backend-servers/{id}", a.handlePut)
	a.mux.HandleFunc("POST /backend-servers/{id}/drain", func(w http.ResponseWriter, r *http.Request) { a.handleSetState(w, r, backend.Draining) })
	a.mux.HandleFunc("DELETE /backend-servers/{id}", func(w http.ResponseWriter, r *http.Request) { a.handleSetState(w, r, backend.Gone) })
	a.mux.HandleFunc("GET /backend-servers", a.handleList)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// rateLimited reports whether a request exceeds its rate limit, and responds with
// status 429 in that case. The entry is nil for a request that does not renew a
// known server.
func (a *API) rateLimited(w http.ResponseWriter, e *entry) bool {
	limiter, err := a.otherLimiter, fmt.Errorf("more than %d requests per second on this host: wait a second, and find the server or script that sends them in a loop", otherRequestsPerSecond)
	if e != nil {
		limiter, err = e.renewalLimiter, fmt.Errorf("more than %d announcements of %q per second: renew it three times within the lease", renewalsPerSecond, e.row.ID)
	}
	if limiter.AllowN(a.config.Now(), 1) {
		return false
	}
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusTooManyRequests, err)
	return true
}

// Run expires leases that were not renewed and probes health until ctx ends.
func (a *API) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.expireLeases()
			a.probe(ctx)
		}
	}
}

func (a *API) handlePut(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	limited := a.rateLimited(w, a.servers[backend.ServerID(r.PathValue("id"))])
	a.mu.Unlock()
	if limited {
		return
	}
	row, healthPath, err := parseAnnouncement(backend.ServerID(r.PathValue("id")), http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	writeOutcome(w, a.Renew(r.Context(), Announcement{Server: row, HealthPath: healthPath}))
}

// writeOutcome writes the response to a request that changes a server. One that is
// not persisted yet gets status 503.
func writeOutcome(w http.ResponseWriter, err error) {
	if err != nil {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func parseAnnouncement(id backend.ServerID, body io.Reader) (backend.Server, string, error) {
	var m announcementBody
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return backend.Server{}, "", fmt.Errorf("decode request body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return backend.Server{}, "", errors.New("request body: unexpected data after the JSON object")
	}
	var errs []error
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil || host.CheckAddr(addr) != nil {
		errs = append(errs, fmt.Errorf("address %q must be a specific IP address with a non-zero port, for example 127.0.0.1:8080", m.Address))
	}
	if !validName.MatchString(string(id)) {
		errs = append(errs, fmt.Errorf("id %q must consist of at most 128 lower-case letters, digits and hyphens and not start with a hyphen", id))
	}
	if !validName.MatchString(string(m.Service)) {
		errs = append(errs, fmt.Errorf("service %q must consist of at most 128 lower-case letters, digits and hyphens and not start with a hyphen", m.Service))
	}
	if _, err := url.Parse(m.HealthPath); err != nil || (m.HealthPath != "" && !strings.HasPrefix(m.HealthPath, "/")) {
		errs = append(errs, fmt.Errorf("health-path %q must be a path that starts with /", m.HealthPath))
	}
	state, err := parseState(m.State)
	errs = append(errs, err)
	row := backend.Server{ID: id, Service: m.Service, Addr: addr, Slots: m.Slots, State: state}
	return row, m.HealthPath, errors.Join(errs...)
}

func parseState(s string) (backend.State, error) {
	switch s {
	case "", "ready":
		return backend.Ready, nil
	case "starting":
		return backend.Starting, nil
	case "draining":
		return backend.Draining, nil
	default:
		return 0, fmt.Errorf("state %q must be starting, ready or draining", s)
	}
}

// handleSetState handles the requests to drain and to withdraw a server.
func (a *API) handleSetState(w http.ResponseWriter, r *http.Request, s backend.State) {
	id := backend.ServerID(r.PathValue("id"))
	a.mu.Lock()
	if a.rateLimited(w, nil) {
		a.mu.Unlock()
		return
	}
	known := a.requestState(id, s)
	persisted := a.leavingPersisted(id)
	a.mu.Unlock()
	if !known {
		writeError(w, http.StatusNotFound, fmt.Errorf("no backend server %q is announced on this host", id))
		return
	}
	writeOutcome(w, awaitPersisted(r.Context(), persisted))
}

// requestState sets the state that an operator or a server has requested. It reports
// whether the server is known; one that is gone already may be withdrawn again.
func (a *API) requestState(id backend.ServerID, s backend.State) bool {
	e := a.servers[id]
	if e == nil {
		_, withdrawn := a.withdrawn[id]
		return withdrawn && s == backend.Gone
	}
	e.requested = s
	if s == backend.Gone {
		a.remove(e)
	} else {
		a.advanceState(e, s)
	}
	return true
}

// probe starts a health probe of each server with a health path. The result only
// changes the preference for a server, since endpoints can be stale or
// misleading.
func (a *API) probe(ctx context.Context) {
	if a.config.OnHealth == nil {
		return
	}
	for _, e := range a.probeTargets() {
		go func() { a.reportHealth(e, a.probeURL(ctx, "http://"+e.row.Addr.String()+e.healthPath)) }()
	}
}

// reportHealth reports the result of a probe, unless the server was withdrawn or
// changed its address or health path in the meantime.
func (a *API) reportHealth(probed entry, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.servers[probed.row.ID]
	if e == nil || e.healthPath != probed.healthPath || e.row.Addr != probed.row.Addr {
		return
	}
	malformed := errors.Is(err, header.ErrMalformed)
	if malformed && !e.probeMalformed {
		a.config.Log.Warn("A backend server answers health probes with bytes that are no response; it counts as failing.", zap.String("server", string(e.row.ID)), zap.Stringer("address", e.row.Addr), zap.Error(err))
	}
	e.probeMalformed = malformed
	a.config.OnHealth(e.row.ID, err == nil)
}

func (a *API) probeTargets() []entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []entry
	for _, e := range a.servers {
		if e.healthPath != "" {
			list = append(list, *e)
		}
	}
	return list
}

// probeURL probes a URL and returns nil if the server is healthy. Every response with a
// status below 500 counts as healthy, including a redirect, which is not followed.
func (a *API) probeURL(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("create the probe: %w", err)
	}
	response, err := a.client.Do(r)
	if err != nil {
		return fmt.Errorf("send the probe: %w", err)
	}
	defer response.Body.Close()
	if err := header.CheckParsed(response); err != nil {
		return fmt.Errorf("check the response to the probe: %w", err)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (a *API) handleList(w http.ResponseWriter, _ *http.Request) {
	if a.rateLimited(w, nil) {
		return
	}
	type row struct {
		ID backend.ServerID `json:"id"`
		announcementBody
	}
	rows := []row{}
	a.mu.Lock()
	for _, e := range a.servers {
		rows = append(rows, row{e.row.ID, announcementBody{
			Service: e.row.Service, Address: e.row.Addr.String(), Slots: e.row.Slots, State: e.row.State.String(), HealthPath: e.healthPath,
		}})
	}
	a.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(string(a.ID), string(b.ID)) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows)
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}
