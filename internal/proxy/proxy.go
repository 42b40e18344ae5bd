// Package proxy holds the HTTP handlers of the call path: the entry, which
// callers reach, and the gate, which entries reach.
package proxy

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/route"
)

// Headers of the call path, in canonical form.
const (
	HeaderCallID    = "Peridotlb-Call-Id"
	HeaderTimeoutMS = "Peridotlb-Timeout-Ms"
	HeaderNotRun    = "Peridotlb-Not-Run"
	HeaderOutcome   = "Peridotlb-Outcome"
	HeaderLoad      = "Peridotlb-Load" // <in-flight>/<slots>, and ;health=failing
	HeaderServer    = "Peridotlb-Server"
	HeaderQueue     = "Peridotlb-Queue" // <priority>,<ms until the target>,<longest wait in ms>,<expected run in ms>
	HeaderNoRetry   = "Peridotlb-No-Retry"
	HeaderReplayed  = "Peridotlb-Replayed"
	// HeaderForwarded marks a call that an entry without a version passes to the
	// entry of another daemon. Only the gate listener accepts it.
	HeaderForwarded = "Peridotlb-Forwarded"
	// HeaderReason marks a response that the gate itself made, and says why.
	HeaderReason = "Peridotlb-Reason"
	// HeaderServerUS is the time that the backend server took, in microseconds.
	HeaderServerUS = "Peridotlb-Server-Us"

	headerIdempotencyKey = "Idempotency-Key"
)

// bufferLimit is the size in bytes up to which request and response bodies are
// buffered as a whole.
const bufferLimit = 64 << 10

// Event is an entry of the time line.
type Event struct {
	Kind   string // kebab case: retry-denied, ejected, claim-lost or call-id-mismatch
	CallID string
	Server backend.ServerID
	Detail string
}

// EjectedEvent is the event for pool.Config.OnEject.
func EjectedEvent(server backend.ServerID, d time.Duration) Event {
	return Event{Kind: "ejected", Server: server, Detail: "for " + d.String()}
}

// Pool chooses backend servers and other daemons; pool.Pool implements it.
type Pool interface {
	Choose(call pool.Call) (*pool.Choice, error)
	Retry(service backend.ServiceName) bool
	RetryRefused(service backend.ServiceName) bool
	PickDaemon(tried []host.ID, applied bool) (pool.Daemon, error)
	ReportDaemon(id host.ID, applied bool)
}

// Config holds what the handlers work with. The entry and the gate of a daemon
// share one Config.
type Config struct {
	Self       host.ID
	Routes     func() *route.Table // nil table: no version is applied yet
	Pool       Pool
	Gate       *gate.Gate
	Claims     Claims // nil refuses paid calls
	Transports *Transports
	Now        func() time.Time // nil takes time.Now
	Events     func(Event)      // nil for none
	Metrics    *metrics.Set     // nil takes a new set
	Dialect    Dialect
	Log        *zap.Logger // of decisions; nil for none
	// CallerService is the service of this host, whose backend server and callers
	// reach the entry. It is told to the servers called, where the dialect has a
	// header for it.
	CallerService string
	// EndsAt tells when this daemon cuts the calls in flight, once it is so near to
	// its end that it takes only calls that are likely to end before. It returns the
	// zero time otherwise; nil for a daemon that does not stop.
	ShutdownDeadline func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Events == nil {
		c.Events = func(Event) {}
	}
	if c.Routes == nil {
		c.Routes = func() *route.Table { return nil }
	}
	if c.ShutdownDeadline == nil {
		c.ShutdownDeadline = func() time.Time { return time.Time{} }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Transports == nil {
		c.Transports = NewTransports(TransportConfig{})
	}
	return c
}

// NewEntry returns the handler for callers.
func NewEntry(c Config) http.Handler {
	c = c.withDefaults()
	m := newCallMetrics(c.Metrics)
	return newEntryHandler(c, &gateHandler{config: c, metrics: m})
}

func newEntryHandler(c Config, g *gateHandler) *entryHandler {
	return &entryHandler{config: c, metrics: g.metrics, gate: g, callIDs: newCallIDGenerator()}
}

// NewGate returns the handler for the entries of other daemons. It also takes
// the calls that daemons without a version pass on.
func NewGate(c Config) http.Handler {
	c = c.withDefaults()
	g := &gateHandler{config: c, metrics: newCallMetrics(c.Metrics)}
	g.entry = newEntryHandler(c, g)
	return g
}
