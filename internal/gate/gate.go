// Package gate implements admission control for the backend servers of this
// host: a limit on concurrent calls (slots), a short queue, warm-up and draining.
package gate

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

// DefaultMaxWait limits the wait for a slot of a call that sets no MaxWait.
const DefaultMaxWait = 50 * time.Millisecond

// Call holds the properties of a call that determine its place in the queue. The
// zero value is a call of the highest priority without a target.
type Call struct {
	Priority uint8 // 0 is the highest
	// Target is the time by which the response should arrive; after it, a response
	// is late and worth less. Among calls of the same priority, those that can no
	// longer meet their target come after those that can. Zero means none.
	Target time.Time
	// ExpectedRunTime is the expected run time of the call; zero uses the mean slot
	// time of the server.
	ExpectedRunTime time.Duration
	// MaxWait is the maximum expected wait for a slot: a call that is expected to
	// wait longer is refused immediately. A queued call may wait up to maxWaitFactor
	// times as long, within its deadline. With zero the call may wait up to
	// DefaultMaxWait, whatever the expected wait is.
	MaxWait time.Duration
	// Notice is what the server stated last in a response that the entry of the call
	// passed on. It replaces what a gate forgets when its daemon restarts, until the
	// server responds again.
	Notice Notice
}

// Errors of Admit and AdmitDefault. Each of them guarantees that the call was not
// run.
var (
	ErrUnknownServer = errors.New("no such backend server on this host")
	ErrNotReady      = errors.New("backend server is not ready")
	ErrDraining      = errors.New("backend server is draining")
	ErrSuspended     = errors.New("host is suspended for this service")
	ErrLimited       = errors.New("backend server has got as many calls as it accepts")
	ErrFull          = errors.New("all slots and the queue are full")
	ErrQueueTimeout  = errors.New("no slot became free in time")
	ErrDeadline      = errors.New("deadline has passed")
	ErrCanceled      = errors.New("call was canceled or its deadline passed while it waited")
)

// Config holds the settings of a gate.
type Config struct {
	Self host.ID
	Now  func() time.Time // nil uses time.Now
	// LearnCapacity limits the concurrent calls of a server to the number that it
	// handles well, as learned from its run times.
	LearnCapacity bool
	// OnLearned is called when the learned number of a server has changed. It must not
	// block or call the gate. It may be nil.
	OnLearned func(LearnedChange)
}

// Gate is the admission control of one host.
type Gate struct {
	config   Config
	updateMu sync.Mutex // serializes Update and DrainAll
	stopped  bool
	servers  atomic.Pointer[map[backend.ServerID]*server]
}

// New returns a gate without backend servers.
func New(c Config) *Gate {
	if c.Now == nil {
		c.Now = time.Now
	}
	g := &Gate{config: c}
	g.servers.Store(&map[backend.ServerID]*server{})
	return g
}

// Update applies the services of the current version and the rows of the backend
// servers. Rows of other hosts are ignored. Servers that remain keep their calls
// in flight and the progress of their warm-up.
func (g *Gate) Update(services []document.Service, rows []backend.Server) {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	byName := make(map[backend.ServiceName]document.Service, len(services))
	for _, s := range services {
		byName[s.Name] = s
	}
	old := *g.servers.Load()
	next := make(map[backend.ServerID]*server)
	for _, row := range rows {
		service, ok := byName[row.Service]
		if row.Host != g.config.Self || !ok {
			continue
		}
		s := old[row.ID]
		if s == nil {
			s = &server{now: g.config.Now, learnCapacity: g.config.LearnCapacity, onLearned: g.config.OnLearned, origin: g.config.Now(), idle: make(chan struct{})}
		}
		next[row.ID] = s
		if g.stopped {
			row.State = backend.Draining
		}
		s.update(row, service, slices.Contains(service.SuspendedHosts, row.Host))
	}
	g.servers.Store(&next)
	for id, s := range old {
		if next[id] == nil {
			s.drain()
		}
	}
}

// AdmitDefault is Admit for a call of the highest priority without a target,
// which waits up to DefaultMaxWait for a slot.
func (g *Gate) AdmitDefault(ctx context.Context, id backend.ServerID) (*Permit, error) {
	return g.Admit(ctx, id, Call{})
}

// Admit admits a call to a backend server. It waits for a slot when none is free.
// An error guarantees that the call was not run.
func (g *Gate) Admit(ctx context.Context, id backend.ServerID, c Call) (*Permit, error) {
	s := (*g.servers.Load())[id]
	if s == nil {
		return nil, ErrUnknownServer
	}
	return s.admit(ctx, c)
}

// PriorityBands is the number of priority bands, for which a forecast has
// separate waits. The last band holds all remaining priorities.
const PriorityBands = 3

// PriorityBand returns the band of a priority.
func PriorityBand(priority uint8) int { return min(int(priority), PriorityBands-1) }

// Forecast holds the expected wait for a slot and the expected slot time of a call
// to a backend server.
type Forecast struct {
	Wait             [PriorityBands]time.Duration // expected wait for a slot, by priority band
	LinkWait         time.Duration                // time that the link of this host takes for the large responses that were admitted; set by the caller of Forecast
	ExpectedSlotTime time.Duration                // time for which a call is expected to hold a slot; 0 when unknown
}

// Forecast returns the forecast for the next call to a backend server. It is zero
// for an unknown server.
func (g *Gate) Forecast(id backend.ServerID) Forecast {
	s := (*g.servers.Load())[id]
	if s == nil {
		return Forecast{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := Forecast{ExpectedSlotTime: s.expectedSlotTime()}
	ahead := 0
	var queued [PriorityBands]int
	now := s.now()
	for _, w := range s.queue {
		// A new call precedes late ones.
		if !w.call.late(now, f.ExpectedSlotTime) {
			queued[PriorityBand(w.call.Priority)]++
		}
	}
	for band := range f.Wait {
		ahead += queued[band]
		f.Wait[band] = s.expectedWait(ahead)
	}
	return f
}

// Load is the load of a backend server.
type Load struct {
	InFlight     int
	Queued       int
	Slots        int  // currently usable; fewer than configured during warm-up, if fewer are learned, or while the server limits its calls
	ProbeFailing bool // the last health probe failed
}

// SetHealth records the result of a health probe. The result is reported by Load
// and does not affect admission, because a probe can be stale or misleading.
func (g *Gate) SetHealth(id backend.ServerID, healthy bool) {
	if s := (*g.servers.Load())[id]; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.probeFailing = !healthy
	}
}

// Load returns the load of a backend server; zero when it is unknown.
func (g *Gate) Load(id backend.ServerID) Load {
	s := (*g.servers.Load())[id]
	if s == nil {
		return Load{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

// Loads returns the load of every backend server of this host.
func (g *Gate) Loads() map[backend.ServerID]Load {
	servers := *g.servers.Load()
	loads := make(map[backend.ServerID]Load, len(servers))
	for id := range servers {
		loads[id] = g.Load(id)
	}
	return loads
}

// Drain stops admission to a backend server and waits until no call is in
// flight. Admission resumes when a newer row marks the server as ready.
func (g *Gate) Drain(ctx context.Context, id backend.ServerID) error {
	s := (*g.servers.Load())[id]
	if s == nil {
		return ErrUnknownServer
	}
	s.drain()
	return s.waitIdle(ctx)
}

// DrainAll permanently stops admission to all backend servers, for a planned stop
// of the daemon, and waits until no call is in flight.
func (g *Gate) DrainAll(ctx context.Context) error {
	g.updateMu.Lock()
	g.stopped = true
	servers := slices.Collect(maps.Values(*g.servers.Load()))
	for _, s := range servers {
		s.drain()
	}
	g.updateMu.Unlock()
	for _, s := range servers {
		if err := s.waitIdle(ctx); err != nil {
			return err
		}
	}
	return nil
}
