// Package pool selects the backend server for a call that enters at this
// daemon.
package pool

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/host"
)

// SubsetSize is the number of backend servers of a service that a daemon
// normally sends calls to. It bounds the number of connections in a fleet of
// 1,200 daemons.
const SubsetSize = 8

// reportLifetime is the time after which a reported load is ignored. Otherwise a
// server that was full once would never be chosen again.
const reportLifetime = time.Second

// ErrUnknownService is returned for a service that is not in the current view.
var ErrUnknownService = errors.New("no such service")

// ErrNoServer is returned when no backend server or daemon is left to try.
var ErrNoServer = errors.New("no backend server or daemon is left to try")

// Config holds the settings of a pool.
type Config struct {
	Self             host.ID
	Zone             host.AvailabilityZone
	Region           host.Region
	Now              func() time.Time  // nil uses time.Now
	Random           rand.Source       // nil uses a random seed; the pool synchronizes access
	RetryBudget      RetryBudgetConfig // per service; the zero value uses DefaultRetryBudget
	FleetRetryBudget FleetRetryBudget  // shared by all daemons; replaces RetryBudget when its Window is set
	// OnEject is called when a server is ejected; it may be nil.
	OnEject func(server backend.ServerID, d time.Duration)
}

// View is a snapshot of the services, hosts and backend servers.
type View struct {
	Services []document.Service
	Hosts    []host.Row
	Servers  []backend.Server
}

// Pool chooses backend servers. Its view is immutable and replaced as a whole.
// The load and ejection of servers and the retry budgets of services that remain
// in the view are kept.
type Pool struct {
	config   Config
	updateMu sync.Mutex // serializes Update
	view     atomic.Pointer[view]
	random   struct {
		sync.Mutex
		*rand.Rand
	}
	unhealthy  sync.Map // keys: backend.ServerID of servers whose health probe fails
	leaving    sync.Map // backend.ServerID to *leavingServer
	routeStats routeStats
	rollouts   atomic.Pointer[map[backend.ServiceName]*Rollout]
	informed   atomic.Bool // the roll-outs are known
	daemons    daemonSet
}

// New returns a pool with an empty view.
func New(c Config) *Pool {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if c.RetryBudget == (RetryBudgetConfig{}) {
		c.RetryBudget = DefaultRetryBudget()
	}
	p := &Pool{config: c}
	p.random.Rand = rand.New(c.Random)
	p.view.Store(&view{})
	p.daemons = daemonSet{withVersion: make(map[host.ID]bool), avoidedUntil: make(map[host.ID]time.Time)}
	return p
}

// Choice is a chosen backend server. The caller must call Done when the call ends.
type Choice struct {
	Server   backend.Server
	GateAddr netip.AddrPort // call address of the daemon on the server's host
	Local    bool           // the server is on this host
	// MaxWait bounds the wait for a slot of the server; zero when the call has no
	// target.
	MaxWait time.Duration
	// ExpectedWait is the expected wait for a slot, ExpectedRunTime the expected run
	// time at the server.
	ExpectedWait, ExpectedRunTime time.Duration
	// TransferCost is the cost of transferring the bytes of the call to and from
	// the server, in the units of the selection cost; for a call without a target,
	// the cost of the tier.
	TransferCost float64
	// Notice is the limit that the server named last in a response to this daemon.
	Notice gate.Notice

	call       Call
	pool       *Pool
	poolServer *poolServer
	done       atomic.Bool
}

// Outcome is the outcome of a call to a backend server.
type Outcome uint8

// Outcomes of a call.
const (
	Succeeded   Outcome = iota
	Failed              // error or refused connection; counts towards ejection
	Refused             // refused by the gate because the server is full
	LinkFull            // refused by the gate because the link of its host has no room for the response
	Unusable            // refused by the gate because the server is unknown there or accepts no calls
	Unreachable         // no connection to the gate; counts towards ejection too
	Abandoned           // canceled by the caller; no evidence about the server
)

// Result reports the end of a call.
type Result struct {
	Outcome Outcome
	// InFlight and Slots are the load that the gate reported. InFlight includes this
	// call unless it was refused. Slots is zero when the gate reported none.
	InFlight, Slots int
	// ProbeFailing is set when the gate reported a failed health probe.
	ProbeFailing bool
	// ForecastWait is the wait for a slot that the gate forecast, by priority band.
	ForecastWait [gate.PriorityBands]time.Duration
	// LinkWait is the time that the link of the gate takes for large responses.
	LinkWait time.Duration
	// ExpectedSlotTime is the time for which the gate expects a call to hold a slot
	// of the server; zero when unknown.
	ExpectedSlotTime time.Duration
	// RunTime is the time that the server took; zero when unknown.
	RunTime time.Duration
	// Bytes is the total size of the request and the response.
	Bytes int
}

// Pick chooses a server of a service that is not in tried. When tried is nil, it
// counts a new call towards the retry budgets.
func (p *Pool) Pick(name backend.ServiceName, tried []backend.ServerID) (*Choice, error) {
	return p.Choose(Call{Service: name, Tried: tried, AlreadyCounted: tried != nil})
}

// Choose chooses a server for a call. It returns a NoRoomError when the call has
// a target and even the best server is expected to respond after the deadline.
func (p *Pool) Choose(call Call) (*Choice, error) {
	s := p.view.Load().services[call.Service]
	if s == nil {
		return nil, ErrUnknownService
	}
	if !call.AlreadyCounted {
		s.retryBudget.recordCall()
		s.refusedRetryBudget.recordCall()
	}
	var c *candidate
	var sel *selection
	switch r := p.rolloutOf(call.Service); {
	case r != nil:
		c, sel = p.chooseByVersion(s, call, r)
	case s.mixed && !p.informed.Load():
		c, sel = p.chooseOldest(s, call)
	default:
		c, sel = p.choose(s, call)
	}
	if c == nil {
		return nil, ErrNoServer
	}
	if call.TimeToTarget > 0 && c.wait+c.runTime > call.TimeToDeadline {
		return nil, &NoRoomError{Wait: c.wait}
	}
	server := c.server
	server.state.inFlight.Add(1)
	return &Choice{
		Server: server.row, GateAddr: server.gateAddr, Local: server.row.Host == p.config.Self, MaxWait: sel.maxWait(c),
		ExpectedWait: c.wait, ExpectedRunTime: c.runTime, TransferCost: c.transferCost,
		Notice: server.state.notice(server.row), call: call, pool: p, poolServer: server,
	}, nil
}

// NoRoomError is returned when no server of a service is expected to respond
// before the deadline of the call.
type NoRoomError struct{ Wait time.Duration } // expected wait for a slot of the best server

// Error implements error.
func (e *NoRoomError) Error() string {
	return "no backend server is expected to respond before the deadline; expected wait for a slot of the best one: " + e.Wait.String()
}

// TakeRetry takes one retry from the budget of a service. It returns false when the
// budget is exhausted.
func (p *Pool) TakeRetry(name backend.ServiceName) bool {
	s := p.view.Load().services[name]
	return s != nil && s.retryBudget.takeRetry(p.config.Now())
}

// TakeRefusedRetry takes one retry for a call that was refused and not run. These
// retries have a separate budget of the same size: they add no work to the
// servers, and refusals must not use up the retries for failed calls.
func (p *Pool) TakeRefusedRetry(name backend.ServiceName) bool {
	s := p.view.Load().services[name]
	return s != nil && s.refusedRetryBudget.takeRetry(p.config.Now())
}

// SetHealth records the result of a health probe. A failed probe only makes a
// server less preferred, because probes can be stale or misleading.
func (p *Pool) SetHealth(id backend.ServerID, healthy bool) {
	if healthy {
		p.unhealthy.Delete(id)
	} else {
		p.unhealthy.Store(id, struct{}{})
	}
	if server := p.view.Load().server(id); server != nil {
		server.state.unhealthy.Store(!healthy)
	}
}

// Done reports the result of the call. Only the first call has an effect.
func (c *Choice) Done(r Result) {
	if c.done.Swap(true) {
		return
	}
	now := c.pool.config.Now()
	st := c.poolServer.state
	ownCalls := st.inFlight.Add(-1)
	if r.Slots > 0 {
		st.reportHealth(now, r.ProbeFailing)
	}
	switch {
	case r.Outcome == Refused:
		// A server that refused a call counts as full until the report expires.
		slots := max(r.Slots, int(c.poolServer.slots), 1)
		st.setLoad(now, max(slots, r.InFlight-int(ownCalls)), slots, r.ForecastWait, r.ExpectedSlotTime)
	case r.Outcome == LinkFull && r.Slots > 0:
		st.setLoad(now, max(0, r.InFlight-int(ownCalls)), r.Slots, r.ForecastWait, r.ExpectedSlotTime)
	case r.Slots > 0:
		st.setLoad(now, max(0, r.InFlight-1-int(ownCalls)), r.Slots, r.ForecastWait, r.ExpectedSlotTime)
	}
	if r.Slots > 0 {
		st.setLinkWait(r.LinkWait)
	}
	switch r.Outcome {
	case Succeeded:
		st.recordSuccess(now)
		if r.RunTime > 0 {
			st.recordRunTimeRatio(now, c.pool.routeStats.record(c.call.Route, r.RunTime, r.Bytes))
		}
	case Failed:
		c.pool.recordFailure(c.poolServer, now)
	case Unusable:
		st.unusableUntil.Store(now.Add(unusableTime).UnixNano())
	case Unreachable:
		st.unusableUntil.Store(now.Add(unusableTime).UnixNano())
		c.pool.recordFailure(c.poolServer, now)
	case Refused, LinkFull, Abandoned:
	}
}
