package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
)

// fault describes how the target version of a world is bad. The zero value is good.
type fault struct {
	failing  float64       // part of its responses that are failures
	slow     float64       // part of its responses that take slowFactor times as long
	factor   float64       // of the slow responses
	after    time.Duration // since the start of its servers; the fault begins then
	inFlight int           // the fault shows only with so many calls in flight at a server
	route    int           // the only route that is bad, from 1; 0 means all
}

func (f fault) bad() bool { return f.failing > 0 || f.slow > 0 }

// worldConfig describes a fleet with one service.
type worldConfig struct {
	Seed     uint64
	Hosts    int
	Servers  int // of each version
	Rate     float64
	Duration time.Duration
	RunTime  time.Duration // mean
	Steady   bool          // run times do not vary
	Cold     time.Duration // in which new servers take three times as long
	Fault    fault
	Loss     float64       // part of the messages that are lost
	Delay    time.Duration // longest delay of a message
	Write    time.Duration // duration of a write
	// ChangeLeaders replaces the leader at random times without telling it, so that
	// several act at the same time.
	ChangeLeaders bool
}

// world is a model of a fleet: real trackers and controllers, with modelled entries,
// servers, messages and store.
type world struct {
	worldConfig
	rng       *rand.Rand
	now       time.Time
	start     time.Time
	events    eventQueue
	servers   []*worldServer
	trackers  []*Tracker
	applied   []Applied // of each host
	leaders   map[int]*Controller
	writing   map[int]bool
	stored    Stored
	verdicts  []State
	verdictAt time.Time
	calls     int // sent to servers between the order and the deadline
	exposed   int // of these to the target version
	lost      int // calls that no server took, or that were in flight at a stopped server
	order     int
	route     int
	steps     []string
}

type worldServer struct {
	row      backend.Server
	host     int
	inFlight int
	readyAt  time.Time
}

const worldRoutes = 6

func newWorld(c worldConfig) *world {
	w := &world{worldConfig: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), start: time.Unix(1e9, 0), leaders: make(map[int]*Controller), writing: make(map[int]bool)}
	w.now = w.start
	w.trackers, w.applied = make([]*Tracker, c.Hosts), make([]Applied, c.Hosts)
	for i := range w.trackers {
		w.trackers[i] = new(Tracker)
	}
	for i := range 2 * c.Servers {
		s := &worldServer{host: i % c.Servers % c.Hosts, readyAt: w.start.Add(-time.Hour)}
		s.row = backend.Server{ID: backend.ServerID(fmt.Sprintf("s-%03d", i)), Service: "stock", Host: host.ID(fmt.Sprint(s.host)), Slots: 12, State: backend.Ready, Version: "v1"}
		if i >= c.Servers {
			s.row.Version = "v2"
			s.readyAt = w.start.Add(time.Second + time.Duration(w.rng.Float64()*float64(time.Second)))
		}
		s.row.Started = s.readyAt.UnixMilli()
		w.servers = append(w.servers, s)
	}
	row, _ := Follow(Row{}, Order{Service: "stock", Target: "v2", Duration: c.Duration, Number: 1}, w.start)
	row.Leader = "0"
	w.stored = Stored{Row: row, Revision: 1}
	w.leaders[0] = New(DefaultLimits(), "0", w.stored, w.start, w.start)
	return w
}

// run runs the world until some seconds after the deadline.
func (w *world) run() {
	const tick = 10 * time.Millisecond
	next := w.now
	end := w.start.Add(w.Duration + 5*time.Second)
	for ; w.now.Before(end); w.now = w.now.Add(tick) {
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			heap.Pop(&w.events).(event).do()
		}
		for ; next.Before(w.now); next = next.Add(time.Duration(w.rng.ExpFloat64() / w.Rate * float64(time.Second))) {
			w.call()
		}
		elapsed := w.now.Sub(w.start)
		if elapsed%(100*time.Millisecond) == 0 {
			w.report()
		}
		if elapsed%(50*time.Millisecond) == 0 {
			for _, id := range []int{0, 1, 2} {
				w.lead(id)
			}
		}
		if w.ChangeLeaders && elapsed%time.Second == 0 && w.rng.IntN(4) == 0 {
			w.takeOver(w.rng.IntN(3))
		}
	}
}

// takeOver makes a host lead from the stored row.
func (w *world) takeOver(id int) {
	if w.leaders[id] == nil {
		w.leaders[id] = New(DefaultLimits(), host.ID(fmt.Sprint(id)), w.stored, w.start, w.now)
	}
}

// lead runs a leader, whose writes take effect under the condition of the revision.
func (w *world) lead(id int) {
	c := w.leaders[id]
	if c == nil || w.writing[id] {
		return
	}
	held := c.Held()
	row, changed := c.Next(w.now, w.view())
	if changed {
		w.writing[id] = true
		expected := c.Revision()
		w.at(time.Duration(w.rng.Float64()*float64(w.Write)), func() {
			w.writing[id] = false
			if w.stored.Revision != expected {
				delete(w.leaders, id)
				return
			}
			w.stored = Stored{Row: row, Revision: expected + 1}
			if row.State != Running {
				w.verdicts, w.verdictAt = append(w.verdicts, row.State), w.now
				if row.State == Completed {
					w.stopFormer()
				}
			}
			w.steps = append(w.steps, fmt.Sprintf("%5.2f %v exposed %d of %d", w.now.Sub(w.start).Seconds(), row, w.exposed, w.calls))
			c.Written(w.now, w.stored)
			w.broadcast(c.Update(w.now))
		})
	}
	if held != c.Held() || w.now.Sub(w.start)%RefreshInterval == 0 {
		w.broadcast(c.Update(w.now))
	}
}

// stopFormer stops the servers of the former version without draining.
func (w *world) stopFormer() {
	for _, s := range w.servers {
		if s.row.Version == "v1" {
			w.lost += s.inFlight
			s.row.State = backend.Gone
		}
	}
}

func (w *world) view() []Server {
	var all []Server
	for _, s := range w.servers {
		if !s.readyAt.After(w.now) {
			all = append(all, Server{Row: s.row, Alive: true})
		}
	}
	return all
}

func (w *world) delay() time.Duration {
	return 2*time.Millisecond + time.Duration(w.rng.Float64()*float64(w.Delay))
}

func (w *world) broadcast(u Update) {
	u.Active = append([]backend.ServerID(nil), u.Active...)
	for i := range w.Hosts {
		if w.rng.Float64() < w.Loss {
			continue
		}
		w.at(w.delay(), func() {
			if w.applied[i].Row.Service == "" || u.Supersedes(w.applied[i].Update) {
				w.applied[i] = Applied{Update: u, At: w.now}
				w.trackers[i].Apply([]Applied{w.applied[i]})
			}
		})
	}
}

// report sends the evidence of all hosts to the leaders that they know.
func (w *world) report() {
	own := make([][]backend.Server, w.Hosts)
	for _, s := range w.view() {
		var h int
		_, _ = fmt.Sscan(string(s.Row.Host), &h)
		own[h] = append(own[h], s.Row)
	}
	for i, t := range w.trackers {
		for _, e := range t.Evidence(w.now, own[i]) {
			if w.rng.Float64() < w.Loss {
				continue
			}
			e.Host, e.Incarnation = host.ID(fmt.Sprint(i)), 1
			var leader int
			_, _ = fmt.Sscan(string(w.applied[i].Row.Leader), &leader)
			w.at(w.delay(), func() {
				if c := w.leaders[leader]; c != nil {
					c.Report(w.now, e)
				}
			})
		}
	}
}

// call sends one call through a random entry, which chooses as the pool does: by share,
// then the server with the fewest calls of two.
func (w *world) call() {
	entry := w.rng.IntN(w.Hosts)
	a := w.applied[entry]
	share := a.Share(w.now)
	w.route = (w.route + 1) % worldRoutes
	toTarget := a.Row.Service != "" && w.rng.IntN(int(AllCalls)) < int(share)
	for attempt := range 4 {
		match := func(s *worldServer) bool { return s.row.Version == "v1" }
		if toTarget && (attempt == 0 || a.Row.Share == AllCalls) {
			match = func(s *worldServer) bool {
				if a.Row.Share == AllCalls && s.row.Version == "v2" {
					return true
				}
				for _, id := range a.Active {
					if id == s.row.ID {
						return true
					}
				}
				return a.Row.State == Completed && s.row.Version == "v2"
			}
		}
		if s := w.pick(match); s != nil && w.send(s) {
			return
		}
		if attempt == 1 {
			toTarget = !toTarget && a.Row.Share == AllCalls
		}
	}
	w.lost++
}

func (w *world) pick(match func(*worldServer) bool) *worldServer {
	var best *worldServer
	n := 0
	for _, s := range w.servers {
		if s.row.State == backend.Ready && !s.readyAt.After(w.now) && match(s) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	i, j, k := w.rng.IntN(n), w.rng.IntN(n), 0
	for _, s := range w.servers {
		if s.row.State != backend.Ready || s.readyAt.After(w.now) || !match(s) {
			continue
		}
		if (k == i || k == j) && (best == nil || s.inFlight < best.inFlight) {
			best = s
		}
		k++
	}
	return best
}

// send sends a call to a server through its gate.
func (w *world) send(s *worldServer) bool {
	route := w.route
	tracked, ok := w.trackers[s.host].Begin(w.now, s.row, func() document.RouteName { return document.RouteName(fmt.Sprint("r-", route)) })
	if !ok {
		return false
	}
	target := s.row.Version == "v2"
	if w.now.Before(w.start.Add(w.Duration)) {
		w.calls++
		if target {
			w.exposed++
		}
	}
	s.inFlight++
	run := float64(w.RunTime) * (0.5 + float64(route)/worldRoutes)
	if !w.Steady {
		run *= w.rng.ExpFloat64()
	}
	failed := false
	if target {
		age := w.now.Sub(s.readyAt)
		if age < w.Cold {
			run *= 3
		}
		f := w.Fault
		if f.bad() && age >= f.after && s.inFlight >= f.inFlight && (f.route == 0 || f.route == route+1) {
			failed = w.rng.Float64() < f.failing
			if w.rng.Float64() < f.slow {
				run *= f.factor
			}
		}
	}
	w.at(time.Duration(run), func() {
		s.inFlight--
		tracked.End(w.now, failed)
	})
	return true
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	do  func()
	seq int
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) at(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), do: do, seq: w.order})
}
