// Package pool chooses the backend server of a call at the entry.
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

// SubsetSize is the number of servers of a service that an entry normally
// uses. It bounds the connections between 1,200 daemons.
const SubsetSize = 8

// reportLifetime is the time after which a reported load is ignored. Without a
// bound, a server that was full once would not be chosen again.
const reportLifetime = time.Second

// ErrUnknownService is returned for a service that the view does not have.
var ErrUnknownService = errors.New("no such service")

// ErrNoServer is returned when no server is left to choose.
var ErrNoServer = errors.New("no backend server can be chosen")

// Config holds the settings of a pool.
type Config struct {
	Self             host.ID
	Zone             host.AvailabilityZone
	Region           host.Region
	Now              func() time.Time  // nil takes time.Now
	Random           rand.Source       // nil takes a random seed; the pool guards it
	RetryBudget      RetryBudgetConfig // of each service; the zero value takes DefaultBudget
	FleetRetryBudget FleetRetryBudget  // shared by all daemons; with a window, it replaces Budget
	// Ejected is called when a server is ejected; nil for none.
	OnEject func(server backend.ServerID, d time.Duration)
}

// View is what the pool knows of services, hosts and servers.
type View struct {
	Services []document.Service
	Hosts    []host.Row
	Servers  []backend.Server
}

// Pool chooses backend servers. Its view is immutable and replaced as a whole;
// load, ejection and retry budget of what stays are kept.
type Pool struct {
	config   Config
	updateMu sync.Mutex // serialises Update
	view     atomic.Pointer[view]
	random   struct {
		sync.Mutex
		*rand.Rand
	}
	unhealthy  sync.Map // backend.ServerID of servers whose probe fails
	routeStats routeStats
	daemons    daemonSet
}

// New returns a pool without services.
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
	p.daemons = daemonSet{applied: make(map[host.ID]bool), avoidedUntil: make(map[host.ID]time.Time)}
	return p
}

// Choice is a chosen backend server. Done must be called once.
type Choice struct {
	Server   backend.Server
	GateAddr netip.AddrPort // call address of the daemon on the server's host
	Local    bool           // the server is on this host
	// MaxWait is how long the call may wait for a slot there; zero when the call
	// has no target.
	MaxWait time.Duration
	// Wait and Run are what is expected there: for a slot, and at the server.
	ExpectedWait, ExpectedRun time.Duration
	// Toll is the cost of the bytes of the call between here and there, in calls.
	TransferCost float64

	call   Call
	pool   *Pool
	member *member
	done   atomic.Bool
}

// Outcome tells how a call to a server went.
type Outcome uint8

// Outcomes of a call.
const (
	Succeeded Outcome = iota
	Failed            // failure or refused connection; counts towards ejection
	Refused           // the gate refused it: the server is full
	Unusable          // the gate refused it: it knows no such server, or one that takes no work
	Abandoned         // the caller went away; says nothing about the server
)

// Result reports the end of a call.
type Result struct {
	Outcome Outcome
	// InFlight and Slots are the load that the gate reported; Slots zero means
	// that it did not.
	InFlight, Slots int
	// Failing says that the gate reported a failed health probe.
	ProbeFailing bool
	// Wait is the wait for a slot that the gate forecast, by band of priority.
	ForecastWait [gate.PriorityBands]time.Duration
	// Hold is the mean time for which calls hold a slot there; zero when unknown.
	MeanSlotTime time.Duration
	// Took is the time that the server took; zero when unknown.
	RunTime time.Duration
	// Bytes is the size of request and response.
	Bytes int
}

// Pick chooses a server of a service that is not in tried. With nil tried, it
// counts a new call for the retry budget.
func (p *Pool) Pick(name backend.ServiceName, tried []backend.ServerID) (*Choice, error) {
	return p.Choose(Call{Service: name, Tried: tried, AlreadyCounted: tried != nil})
}

// Choose chooses a server for a call. ErrNoRoom says that every server would
// answer too late.
func (p *Pool) Choose(call Call) (*Choice, error) {
	s := p.view.Load().services[call.Service]
	if s == nil {
		return nil, ErrUnknownService
	}
	if !call.AlreadyCounted {
		s.retryBudget.recordCall()
		s.refusedRetryBudget.recordCall()
	}
	c, a := p.choose(s, call)
	if c == nil {
		return nil, ErrNoServer
	}
	if call.TimeToTarget > 0 && c.wait+c.runTime > call.TimeToDeadline {
		return nil, &NoRoomError{Wait: c.wait}
	}
	m := c.member
	m.state.inFlight.Add(1)
	return &Choice{
		Server: m.row, GateAddr: m.gateAddr, Local: m.row.Host == p.config.Self, MaxWait: a.maxWait(c),
		ExpectedWait: c.wait, ExpectedRun: c.runTime, TransferCost: c.transferCost, call: call, pool: p, member: m,
	}, nil
}

// NoRoomError says that every server of a service would answer too late.
type NoRoomError struct{ Wait time.Duration } // for a slot of the best server

// Error returns the wait.
func (e *NoRoomError) Error() string {
	return "no backend server has room in time; the shortest wait is " + e.Wait.String()
}

// Retry takes one retry from the budget of a service. It returns false when
// the budget is used up.
func (p *Pool) Retry(name backend.ServiceName) bool {
	s := p.view.Load().services[name]
	return s != nil && s.retryBudget.takeRetry(p.config.Now())
}

// RetryRefused takes one retry of a call that was not run from a budget of its
// own, of the same size: such a retry adds no work to the servers, and refusals
// must not use up the retries of calls that failed.
func (p *Pool) RetryRefused(name backend.ServiceName) bool {
	s := p.view.Load().services[name]
	return s != nil && s.refusedRetryBudget.takeRetry(p.config.Now())
}

// SetHealth takes the result of a health probe. It only lowers the preference
// for a server, because a probe can be stale or misleading.
func (p *Pool) SetHealth(id backend.ServerID, healthy bool) {
	if healthy {
		p.unhealthy.Delete(id)
	} else {
		p.unhealthy.Store(id, struct{}{})
	}
	if m := p.view.Load().member(id); m != nil {
		m.state.unhealthy.Store(!healthy)
	}
}

// Done reports the result of the call. Further calls have no effect.
func (c *Choice) Done(r Result) {
	if c.done.Swap(true) {
		return
	}
	now := c.pool.config.Now()
	st := c.member.state
	own := st.inFlight.Add(-1)
	if r.Slots > 0 {
		st.reportHealth(now, r.ProbeFailing)
	}
	switch {
	case r.Outcome == Refused:
		// A refusing server counts as full until the report expires.
		slots := max(r.Slots, int(c.member.slots), 1)
		st.setLoad(now, max(slots, r.InFlight-int(own)), slots, r.ForecastWait, r.MeanSlotTime)
	case r.Slots > 0:
		st.setLoad(now, max(0, r.InFlight-1-int(own)), r.Slots, r.ForecastWait, r.MeanSlotTime)
	}
	switch r.Outcome {
	case Succeeded:
		st.recordSuccess(now)
		if r.RunTime > 0 {
			st.recordLatency(now, c.pool.routeStats.record(c.call.Route, r.RunTime, r.Bytes))
		}
	case Failed:
		c.pool.recordFailure(c.member, now)
	case Unusable:
		st.unusableUntil.Store(now.Add(unusableTime).UnixNano())
	case Refused, Abandoned:
	}
}
