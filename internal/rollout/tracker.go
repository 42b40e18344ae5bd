package rollout

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
)

const (
	// Expiry is the age of the last refresh from which hosts send no calls to the target
	// version of a running roll-out. The leader refreshes every RefreshInterval.
	Expiry = 1200 * time.Millisecond
	// RaisedExpiry replaces Expiry from raisedShare on, since more calls are sent until
	// it has passed.
	RaisedExpiry = 800 * time.Millisecond
	raisedShare  = 100
	// ClosedExpiry is the age of the last refresh from which the gates of the other
	// versions accept calls again when the roll-out is closing. It is longer than the
	// time that the write of the verdict may take.
	ClosedExpiry = 4 * time.Second
	// RefreshInterval is the time between two refreshes of a running roll-out.
	RefreshInterval = 300 * time.Millisecond
	// EvidenceInterval is the time between two reports of a gate without servers of the
	// target version.
	EvidenceInterval = 300 * time.Millisecond
	// warmUpTime is the time after its start for which a server may be slow.
	warmUpTime = 5 * time.Second
)

// Applied is an update with the time of its arrival.
type Applied struct {
	Update
	At time.Time
}

// Share returns the share of the target version at a time.
func (a Applied) Share(now time.Time) Share {
	limit := Expiry
	switch {
	case a.Row.Closing:
		limit = ClosedExpiry
	case a.Row.Share >= raisedShare:
		limit = RaisedExpiry
	}
	switch {
	case a.Row.State == Completed:
		return AllCalls
	case a.Row.State == RolledBack, a.Hold, now.Sub(a.At) > limit:
		return 0
	default:
		return a.Row.Share
	}
}

// closing reports whether the other versions get no calls.
func (a Applied) closing(now time.Time) bool {
	return a.Row.State == Running && a.Row.Closing && !a.Hold && now.Sub(a.At) <= ClosedExpiry
}

// Permits reports whether servers of a version may get calls at all.
func (a Applied) Permits(v backend.Version, now time.Time) bool {
	switch {
	case slices.Contains(a.Row.Barred, v):
		return false
	case a.Row.State != Running:
		return true
	case v == a.Row.Target && a.Row.Share == AllCalls && !a.Hold:
		// The gates of the others may have closed already. Entries stop sending to the
		// target version by themselves when they get no refreshes.
		return now.Sub(a.At) <= ClosedExpiry
	case v == a.Row.Target:
		return a.Share(now) > 0
	default:
		return !a.closing(now)
	}
}

// Tracker is the part of the gates: it refuses calls that the roll-out does not
// permit, and counts the others. It is safe for concurrent use.
type Tracker struct {
	services atomic.Pointer[map[backend.ServiceName]*trackedService]

	mu       sync.Mutex // serializes Apply and Evidence
	sequence uint64
	warmAt   sync.Map // backend.ServerID to time.Time, of servers that have stated it
}

// SetWarmUp records how long a server still warms up. Servers that never state it are
// assumed to warm up for warmUpTime.
func (t *Tracker) SetWarmUp(id backend.ServerID, now time.Time, remaining time.Duration) {
	if remaining > 0 {
		t.warmAt.Store(id, now.Add(remaining))
	}
}

// trackedService is the state of the last roll-out of a service.
type trackedService struct {
	mu      sync.Mutex
	applied Applied
	origin  time.Time // reference of the sums of start times
	// reportedAt is the time of the last evidence, and reported the failures in it.
	reportedAt time.Time
	reported   uint32
	servers    map[backend.ServerID]*trackedServer
}

type trackedServer struct {
	version  backend.Version
	seenAt   time.Time
	inFlight uint32
	failures uint32
	routes   map[document.RouteName]*trackedRoute
}

type trackedRoute struct {
	calls, failures uint32
	warmDone        uint32
	warmTime        time.Duration // of the calls that have ended
	warmInFlight    int64
	warmStartSum    time.Duration // of the calls in flight, since the origin of the service
}

// Apply replaces the known roll-outs.
func (t *Tracker) Apply(all []Applied) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.services.Load()
	next := make(map[backend.ServiceName]*trackedService, len(all))
	for _, a := range all {
		var s *trackedService
		if old != nil {
			s = (*old)[a.Row.Service]
		}
		if s == nil {
			s = &trackedService{}
		}
		s.mu.Lock()
		if s.servers == nil || s.applied.Row.Order != a.Row.Order {
			s.servers, s.origin = make(map[backend.ServerID]*trackedServer), a.At
		}
		s.applied = a
		s.mu.Unlock()
		next[a.Row.Service] = s
	}
	t.services.Store(&next)
}

// TrackedCall is a call that a gate sends to a server of a service with a roll-out.
type TrackedCall struct {
	service *trackedService
	server  *trackedServer
	route   *trackedRoute
	start   time.Time
	warm    bool
	ended   atomic.Bool
}

// Begin counts a call to a server. It returns false if the server must not get it. The
// call is nil if the service has no running roll-out. Only otherwise routeOf is called.
func (t *Tracker) Begin(now time.Time, row backend.Server, routeOf func() document.RouteName) (*TrackedCall, bool) {
	services := t.services.Load()
	if services == nil {
		return nil, true
	}
	s := (*services)[row.Service]
	if s == nil {
		return nil, true
	}
	s.mu.Lock()
	if s.applied.Row.State != Running {
		defer s.mu.Unlock()
		return nil, s.applied.Permits(row.Version, now)
	}
	s.mu.Unlock()
	route := routeOf()
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.server(row, now)
	if !s.permits(row.Version, server, now) {
		return nil, false
	}
	r := server.routes[route]
	if r == nil {
		r = &trackedRoute{}
		server.routes[route] = r
	}
	c := &TrackedCall{service: s, server: server, route: r, start: now, warm: t.warm(server, row, now)}
	server.inFlight++
	r.calls++
	if c.warm {
		r.warmInFlight++
		r.warmStartSum += now.Sub(s.origin)
	}
	return c, true
}

// evidenceDue reports whether evidence is due. That about the target version is due
// more often than that about the others.
func (s *trackedService) evidenceDue(row backend.Server, now time.Time) bool {
	interval := EvidenceInterval
	if row.Version == s.applied.Row.Target {
		interval /= 3
	}
	return s.applied.closing(now) || s.failures() != s.reported || now.Sub(s.reportedAt) >= interval
}

// failures returns the number of failures of all servers.
func (s *trackedService) failures() (n uint32) {
	for _, server := range s.servers {
		n += server.failures
	}
	return n
}

// permits reports whether a server may get a call. A server of the target version gets
// none after too many failures, until the leader has judged them.
func (s *trackedService) permits(v backend.Version, server *trackedServer, now time.Time) bool {
	if !s.applied.Permits(v, now) {
		return false
	}
	return s.applied.Row.State != Running || v != s.applied.Row.Target || server.failures < s.applied.FailureLimit
}

func (s *trackedService) server(row backend.Server, now time.Time) *trackedServer {
	server := s.servers[row.ID]
	if server == nil || server.version != row.Version {
		server = &trackedServer{version: row.Version, seenAt: now, routes: make(map[document.RouteName]*trackedRoute)}
		s.servers[row.ID] = server
	}
	return server
}

// warm reports whether a server has warmed up. If it states neither that nor its start,
// the time since it was first seen counts.
func (t *Tracker) warm(s *trackedServer, row backend.Server, now time.Time) bool {
	if at, ok := t.warmAt.Load(row.ID); ok {
		return !now.Before(at.(time.Time))
	}
	if row.Started != 0 {
		return now.UnixMilli()-row.Started >= warmUpTime.Milliseconds()
	}
	return now.Sub(s.seenAt) >= warmUpTime
}

// End records the end of a call. Only the first call has an effect.
func (c *TrackedCall) End(now time.Time, failed bool) {
	if c == nil || c.ended.Swap(true) {
		return
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.server.inFlight--
	if failed {
		c.server.failures++
		c.route.failures++
	}
	if c.warm {
		c.route.warmDone++
		c.route.warmTime += now.Sub(c.start)
		c.route.warmInFlight--
		c.route.warmStartSum -= c.start.Sub(c.service.origin)
	}
}

// Evidence returns the evidence about the servers of this host in running roll-outs,
// without host and incarnation. It is due every EvidenceInterval, or at once after
// failures or while the roll-out is closing.
func (t *Tracker) Evidence(now time.Time, own []backend.Server) []Evidence {
	services := t.services.Load()
	if services == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	byService := make(map[backend.ServiceName]*Evidence)
	due := make(map[backend.ServiceName]bool)
	for _, row := range own {
		if s := (*services)[row.Service]; s != nil {
			s.mu.Lock()
			due[row.Service] = due[row.Service] || s.evidenceDue(row, now)
			s.mu.Unlock()
		}
	}
	for _, row := range own {
		s := (*services)[row.Service]
		if s == nil || !due[row.Service] {
			continue
		}
		s.mu.Lock()
		s.reportedAt, s.reported = now, s.failures()
		if s.applied.Row.State == Running {
			e := byService[row.Service]
			if e == nil {
				t.sequence++
				e = &Evidence{Service: row.Service, Revision: s.applied.Revision, Sequence: t.sequence}
				byService[row.Service] = e
			}
			e.Servers = append(e.Servers, t.evidence(s, row, now))
		}
		s.mu.Unlock()
	}
	all := make([]Evidence, 0, len(byService))
	for _, e := range byService {
		all = append(all, *e)
	}
	return all
}

func (t *Tracker) evidence(s *trackedService, row backend.Server, now time.Time) ServerEvidence {
	server := s.server(row, now)
	e := ServerEvidence{ID: row.ID, Version: row.Version, InFlight: server.inFlight, Closed: !s.permits(row.Version, server, now), Warm: t.warm(server, row, now)}
	for name, r := range server.routes {
		running := time.Duration(r.warmInFlight)*now.Sub(s.origin) - r.warmStartSum
		e.Routes = append(e.Routes, RouteEvidence{
			Route: name, Calls: r.calls, Failures: r.failures,
			WarmDone: r.warmDone, WarmInFlight: uint32(r.warmInFlight), WarmUS: uint64(max(0, (r.warmTime + running).Microseconds())),
		})
	}
	slices.SortFunc(e.Routes, func(a, b RouteEvidence) int { return cmp.Compare(a.Route, b.Route) })
	return e
}
