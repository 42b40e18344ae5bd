// Package gate admits calls to the backend servers of this host: it counts
// slots, queues briefly, starts cold servers slowly and drains.
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

// QueueWait bounds the time that a call waits for a slot, unless it states a
// bound of its own.
const DefaultMaxWait = 50 * time.Millisecond

// Call is what the gate needs to know of a call to order its queue. The zero
// value is a call of the highest priority without a target.
type Call struct {
	Priority uint8 // 0 is the highest
	// Target is the time until which a response is useful in full. Of calls of the
	// same priority, one that can't meet it any more comes after those that can.
	// Zero means none.
	Target time.Time
	// Run is the time that the call is expected to take; zero takes the mean of the
	// server.
	ExpectedRun time.Duration
	// MaxWait bounds the wait for a slot; a call that is expected to wait longer
	// is refused at once. Zero takes QueueWait and lets the call try.
	MaxWait time.Duration
}

// Errors of Enter. Each of them proves that the call was not run.
var (
	ErrUnknownServer = errors.New("no such backend server on this host")
	ErrNotReady      = errors.New("backend server is not ready")
	ErrDraining      = errors.New("backend server is draining")
	ErrSuspended     = errors.New("host is suspended for this service")
	ErrFull          = errors.New("all slots and the queue are full")
	ErrQueueTimeout  = errors.New("no slot became free in time")
	ErrDeadline      = errors.New("deadline has passed")
	ErrCancelled     = errors.New("call was cancelled while it waited")
)

// Config holds the settings of a gate.
type Config struct {
	Self host.ID
	Now  func() time.Time // nil takes time.Now
}

// Gate is the admission control of one host.
type Gate struct {
	config   Config
	updateMu sync.Mutex // serialises Update and DrainAll
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

// Update takes the services of the version in effect and the rows of the
// backend servers of this host. Rows of other hosts are ignored. Servers that
// stay keep their calls in flight and their warm-up.
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
			s = &server{now: g.config.Now, origin: g.config.Now(), idle: make(chan struct{})}
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

// Enter admits a call of the highest priority to a backend server. It waits up
// to QueueWait for a slot. An error proves that the call was not run.
func (g *Gate) AdmitDefault(ctx context.Context, id backend.ServerID) (*Permit, error) {
	return g.Admit(ctx, id, Call{})
}

// Admit admits a call to a backend server, after a wait for a slot when none is
// free. An error proves that the call was not run.
func (g *Gate) Admit(ctx context.Context, id backend.ServerID, c Call) (*Permit, error) {
	s := (*g.servers.Load())[id]
	if s == nil {
		return nil, ErrUnknownServer
	}
	return s.admit(ctx, c)
}

// Bands is the number of priorities whose waits a forecast tells apart. All
// priorities from the last band on wait for each other.
const PriorityBands = 3

// Band returns the band of a priority.
func PriorityBand(priority uint8) int { return min(int(priority), PriorityBands-1) }

// Forecast is what a call to a backend server can expect.
type Forecast struct {
	Wait         [PriorityBands]time.Duration // until it gets a slot, by band of priority
	MeanSlotTime time.Duration                // mean time for which recent calls held a slot; 0 when unknown
}

// Forecast returns what the next call to a backend server can expect. It is zero
// for an unknown server.
func (g *Gate) Forecast(id backend.ServerID) Forecast {
	s := (*g.servers.Load())[id]
	if s == nil {
		return Forecast{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := Forecast{MeanSlotTime: s.expectedSlotTime()}
	ahead := 0
	var queued [PriorityBands]int
	now := s.now()
	for _, w := range s.queue {
		// A new call goes before late ones.
		if !w.call.late(now, f.MeanSlotTime) {
			queued[PriorityBand(w.call.Priority)]++
		}
	}
	for band := range f.Wait {
		ahead += queued[band]
		f.Wait[band] = s.expectedWait(ahead)
	}
	return f
}

// Load is the use of a backend server.
type Load struct {
	InFlight     int
	Queued       int
	Slots        int  // slots usable now; lower than configured during slow start
	ProbeFailing bool // the last health probe failed
}

// SetHealth takes the result of a health probe. It changes what Load tells, and
// not what is admitted, because a probe can be stale or misleading.
func (g *Gate) SetHealth(id backend.ServerID, healthy bool) {
	if s := (*g.servers.Load())[id]; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.probeFailing = !healthy
	}
}

// Load returns the use of a backend server; zero when it is unknown.
func (g *Gate) Load(id backend.ServerID) Load {
	s := (*g.servers.Load())[id]
	if s == nil {
		return Load{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

// Loads returns the use of every backend server of this host.
func (g *Gate) Loads() map[backend.ServerID]Load {
	servers := *g.servers.Load()
	loads := make(map[backend.ServerID]Load, len(servers))
	for id := range servers {
		loads[id] = g.Load(id)
	}
	return loads
}

// Drain stops admission to a backend server and waits until no call is in
// flight. Admission resumes when a newer row says that the server is ready.
func (g *Gate) Drain(ctx context.Context, id backend.ServerID) error {
	s := (*g.servers.Load())[id]
	if s == nil {
		return ErrUnknownServer
	}
	s.drain()
	return s.waitIdle(ctx)
}

// DrainAll stops admission for good, for a planned stop of the daemon, and
// waits until no call is in flight.
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
