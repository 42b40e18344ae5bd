package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/rollout"
)

// simRollouts adds backend servers of two versions, calls, and the rows of roll-outs to
// a simNetwork. Every host has a server of each version and calls its own.
type simRollouts struct {
	n          *simNetwork
	order      rollout.Order
	stored     rollout.Stored
	trackers   map[*simHost]*rollout.Tracker
	applied    map[*simHost]rollout.Applied
	calls      map[*simHost]uint64
	loseAnswer bool // writes take effect, but their results are lost
	reads      int
	writes     int
	verdicts   []rollout.State
	verdictAt  time.Time
	ordered    time.Time
	failing    bool // every third call to the target version fails
	all        int  // calls between the order and its deadline
	target     int  // of these to the target version
	afterwards int  // calls to the target version 1 s after a roll-back, or to the other after a completion
	cut        int  // calls that were in flight at the former version when the roll-out was completed
	inFlight   int  // at the former version
	ends       []simCallEnd
	steps      []string
}

// simCallEnd is the end of a call in flight.
type simCallEnd struct {
	at  time.Time
	end func(time.Time)
}

const simDuration = 15 * time.Second

func newSimRollouts(t failer, seed uint64) *simRollouts {
	limits := rollout.DefaultLimits()
	n := newSimNetwork(t, seed, 3, func(c *Config) { c.Rollouts, c.HeadPollWait = &limits, 700*time.Millisecond })
	r := &simRollouts{n: n, trackers: make(map[*simHost]*rollout.Tracker), applied: make(map[*simHost]rollout.Applied), calls: make(map[*simHost]uint64)}
	n.rollouts, n.headWithSnapshot, n.callTimeout = r, true, 1500*time.Millisecond
	n.commitVersion()
	for _, h := range n.hosts {
		r.trackers[h] = new(rollout.Tracker)
		n.schedule(h, time.Second, ServerAnnounced{Server: r.server(h, "v1")})
	}
	n.advance(20 * time.Second)
	return r
}

func (r *simRollouts) server(h *simHost, v backend.Version) backend.Server {
	return backend.Server{ID: backend.ServerID(string(h.row.ID) + "-" + string(v)), Service: "stock", Host: h.row.ID, Slots: 9, State: backend.Ready, Version: v}
}

// start orders the roll-out and starts the servers of the target version.
func (r *simRollouts) start() {
	r.ordered = r.n.now
	r.order = rollout.Order{Service: "stock", Target: "v2", Duration: simDuration, Number: 1}
	r.n.schedule(r.reader(), 5*time.Millisecond, ReadHeadResult{Position: 1, Orders: []rollout.Order{r.order}})
	for _, h := range r.n.hosts {
		r.n.schedule(h, time.Second, ServerAnnounced{Server: r.server(h, "v2")})
	}
}

func (r *simRollouts) reader() *simHost {
	i := slices.IndexFunc(r.n.hosts, func(h *simHost) bool { return h.up && h.core.rollouts.isReader })
	if i < 0 {
		r.n.t.Fatalf("got no reader")
	}
	return r.n.hosts[i]
}

func (r *simRollouts) hostOf(id backend.ServerID) *simHost {
	i := slices.IndexFunc(r.n.hosts, func(h *simHost) bool { return r.server(h, "v2").ID == id })
	return r.n.hosts[i]
}

// leader returns the host that leads the roll-out.
func (r *simRollouts) leader() *simHost {
	i := slices.IndexFunc(r.n.hosts, func(h *simHost) bool { return h.row.ID == r.stored.Row.Leader })
	if i < 0 {
		r.n.t.Fatalf("got no leader")
	}
	return r.n.hosts[i]
}

func (r *simRollouts) execute(h *simHost, effect Effect, down bool) bool {
	delay := r.n.tableLatency(h)
	switch e := effect.(type) {
	case ReadRollouts:
		r.reads++
		result := ReadRolloutsResult{}
		switch {
		case down:
			result.Err, delay = errTableDown, delay+time.Second
		case r.order.Number > 0:
			result.Orders = []rollout.Order{r.order}
		}
		if r.stored.Revision > 0 && !down {
			result.Rows = []rollout.Stored{r.stored}
		}
		r.n.schedule(h, delay, result)
	case WriteRollout:
		r.n.schedule(h, delay, r.write(e, down))
	case ApplyRollouts:
		r.trackers[h].Apply(e.Rollouts)
		if len(e.Rollouts) > 0 {
			r.applied[h] = e.Rollouts[0]
		}
	default:
		return false
	}
	return true
}

func (r *simRollouts) write(e WriteRollout, down bool) WriteRolloutResult {
	result := WriteRolloutResult{Row: e.Row}
	switch {
	case down:
		return result
	case e.IfRevision != r.stored.Revision:
		result.Outcome = Conflict
		return result
	}
	r.writes++
	if r.stored.Row.State > rollout.Running && e.Row.State != r.stored.Row.State {
		r.n.t.Fatalf("verdict changed from %v to %v", r.stored.Row, e.Row)
	}
	r.stored = rollout.Stored{Row: e.Row, Revision: r.stored.Revision + 1}
	r.steps = append(r.steps, fmt.Sprintf("%.2f by %s: %v", r.n.now.Sub(r.ordered).Seconds(), e.Row.Leader, e.Row))
	if e.Row.State > rollout.Running {
		r.verdicts, r.verdictAt = append(r.verdicts, e.Row.State), r.n.now
		if e.Row.State == rollout.Completed {
			r.cut += r.inFlight
		}
	}
	if !r.loseAnswer {
		result.Outcome, result.Revision = Written, r.stored.Revision
	}
	return result
}

// advance advances the time with calls through all hosts.
func (r *simRollouts) advance(d time.Duration) {
	for end := r.n.now.Add(d); r.n.now.Before(end); r.n.advance(20 * time.Millisecond) {
		for len(r.ends) > 0 && !r.ends[0].at.After(r.n.now) {
			r.ends[0].end(r.n.now)
			r.ends = r.ends[1:]
		}
		for _, h := range r.n.hosts {
			if h.up && !h.paused {
				r.call(h)
			}
		}
		if r.n.now.Sub(r.ordered)%(100*time.Millisecond) < 20*time.Millisecond {
			r.collect()
		}
	}
}

func (r *simRollouts) collect() {
	for _, h := range r.n.hosts {
		own := []backend.Server{r.server(h, "v1")}
		if !r.ordered.IsZero() && r.n.now.Sub(r.ordered) > time.Second {
			own = append(own, r.server(h, "v2"))
		}
		if evidence := r.trackers[h].Evidence(r.n.now, own); h.up && !h.paused && len(evidence) > 0 {
			r.n.schedule(h, 0, EvidenceCollected{Evidence: evidence})
		}
	}
}

// call sends one call to a server of the host, by the share that the host knows.
func (r *simRollouts) call(h *simHost) {
	a := r.applied[h]
	r.calls[h]++
	version, at := backend.Version("v1"), h
	if share := uint64(a.Share(r.n.now)); a.Row.Service != "" && (r.calls[h]*share+uint64(h.row.ControlAddr.Addr().As4()[3])*331)%uint64(rollout.AllCalls) < share {
		version = "v2"
		if len(a.Active) > 0 {
			at = r.hostOf(a.Active[int(r.calls[h])%len(a.Active)])
		}
	}
	if !at.up || at.paused {
		return
	}
	route := func() document.RouteName { return "r" }
	tracked, ok := r.trackers[at].Begin(r.n.now, r.server(at, version), route)
	if !ok {
		return
	}
	if version == "v1" {
		r.inFlight++
	}
	if r.n.now.Sub(r.ordered) <= simDuration {
		r.all++
		if version == "v2" {
			r.target++
		}
	}
	if since := r.n.now.Sub(r.verdictAt); len(r.verdicts) > 0 && since > time.Second && (r.verdicts[0] == rollout.Completed) == (version == "v1") {
		r.afterwards++
	}
	failed := version == "v2" && r.failing && r.target%3 == 0
	r.ends = append(r.ends, simCallEnd{r.n.now.Add(40 * time.Millisecond), func(now time.Time) {
		tracked.End(now, failed)
		if version == "v1" {
			r.inFlight--
		}
	}})
}

// Guards against roll-outs that get stuck, exceed the permitted calls, change their
// verdict or complete with calls in flight at the former version when the leader or the
// store fails halfway: each failure, at different steps, for a good and a bad version.
func TestRolloutSurvivesFailures(t *testing.T) {
	failures := []struct {
		name    string
		begin   func(*simRollouts) (end func())
		lasting time.Duration
	}{
		{"none", func(*simRollouts) func() { return func() {} }, 0},
		{"leader dies", func(r *simRollouts) func() { r.n.stop(r.leader()); return func() {} }, 0},
		{"leader restarts", func(r *simRollouts) func() {
			h := r.leader()
			r.n.stop(h)
			return func() { r.trackers[h] = new(rollout.Tracker); r.applied[h] = rollout.Applied{}; r.n.start(h) }
		}, time.Second},
		{"all hosts restart", func(r *simRollouts) func() {
			for _, h := range r.n.hosts {
				r.n.stop(h)
				r.trackers[h], r.applied[h] = new(rollout.Tracker), rollout.Applied{}
				r.n.start(h)
				r.n.schedule(h, 300*time.Millisecond, ServerAnnounced{Server: r.server(h, "v1")})
				r.n.schedule(h, max(300*time.Millisecond, time.Second-r.n.now.Sub(r.ordered)), ServerAnnounced{Server: r.server(h, "v2")})
			}
			return func() {}
		}, 0},
		{"leader pauses", func(r *simRollouts) func() {
			h := r.leader()
			h.paused = true
			return func() { h.paused = false }
		}, 3 * time.Second},
		{"leader stops as planned", func(r *simRollouts) func() {
			h := r.leader()
			r.n.schedule(h, 0, ShutdownRequested{})
			return func() { r.n.stop(h) }
		}, time.Second},
		{"leader is cut off from the store", func(r *simRollouts) func() {
			id := r.leader().row.ID
			r.n.tableUnreachable = func(row host.Row) bool { return row.ID == id }
			return func() {}
		}, 0},
		{"store down", func(r *simRollouts) func() {
			r.n.tableDown = true
			return func() { r.n.tableDown = false }
		}, 2 * time.Second},
		{"answers of the store lost", func(r *simRollouts) func() {
			r.loseAnswer = true
			return func() { r.loseAnswer = false }
		}, 3 * time.Second},
	}
	for _, failing := range []bool{false, true} {
		for _, f := range failures {
			for _, at := range []time.Duration{500 * time.Millisecond, 4 * time.Second, 10300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s after %v, bad version %v", f.name, at, failing), func(t *testing.T) {
					t.Parallel()
					r := newSimRollouts(t, 1)
					r.failing = failing
					r.start()
					r.advance(at)
					end := f.begin(r)
					r.advance(f.lasting)
					end()
					r.advance(simDuration - at - f.lasting + 5*time.Second)
					r.check(t)
				})
			}
		}
	}
}

// Guards against roll-outs without a verdict, or with a completion, when the servers of
// the target version never appear, all leave or are not enough, and against a completion
// that is missed because some restart. The roll-out of another service must not matter.
func TestRolloutFollowsServers(t *testing.T) {
	for _, c := range []struct {
		name  string
		want  rollout.State
		leave func(*simRollouts, int) bool // which servers of the target version leave
		at    time.Duration
		back  bool // they return 2 s later
	}{
		{"never appear", rollout.RolledBack, func(*simRollouts, int) bool { return true }, 1500 * time.Millisecond, false},
		{"all leave while probed", rollout.RolledBack, func(*simRollouts, int) bool { return true }, 7 * time.Second, false},
		{"all leave while the share rises", rollout.RolledBack, func(*simRollouts, int) bool { return true }, 10600 * time.Millisecond, false},
		{"most leave", rollout.RolledBack, func(_ *simRollouts, i int) bool { return i > 2 }, 5 * time.Second, false},
		{"some leave", rollout.Completed, func(_ *simRollouts, i int) bool { return i < 3 }, 5 * time.Second, false},
		{"all restart", rollout.Completed, func(*simRollouts, int) bool { return true }, 3 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newSimRollouts(t, 2)
			r.start()
			r.advance(c.at)
			announce := func(state backend.State) {
				for i, h := range r.n.hosts {
					if c.leave(r, i) {
						s := r.server(h, "v2")
						s.State = state
						r.n.schedule(h, 0, ServerAnnounced{Server: s})
					}
				}
			}
			announce(backend.Gone)
			r.advance(2 * time.Second)
			if c.back {
				announce(backend.Ready)
			}
			r.advance(simDuration - c.at)
			if len(r.verdicts) != 1 || r.verdicts[0] != c.want {
				t.Errorf("got verdicts %v, want %v:\n%s", r.verdicts, c.want, strings.Join(r.steps, "\n"))
			}
		})
	}
}

// Guards against a completion, after which the former servers are stopped, while a
// region that can't be reached still uses them.
func TestRolloutWaitsForRegions(t *testing.T) {
	r := newSimRollouts(t, 4)
	r.start()
	r.advance(6 * time.Second)
	region := r.leader().row.Region
	r.n.partitioned = func(a, b host.Row) bool { return a.Region != b.Region }
	r.n.tableUnreachable = func(h host.Row) bool { return h.Region != region }
	r.advance(simDuration)
	if len(r.verdicts) != 1 || r.verdicts[0] != rollout.RolledBack {
		t.Errorf("got verdicts %v, want a roll-back:\n%s", r.verdicts, strings.Join(r.steps, "\n"))
	}
}

// Guards against a share that stays in effect at a host that receives no refreshes.
func TestRolloutExpires(t *testing.T) {
	r := newSimRollouts(t, 3)
	r.start()
	r.advance(8 * time.Second)
	cut := r.n.hosts[len(r.n.hosts)-1]
	if r.applied[cut].Share(r.n.now) == 0 {
		t.Fatal("got share 0 after 8 s, want more")
	}
	r.n.partitioned = func(a, b host.Row) bool { return a.ID == cut.row.ID || b.ID == cut.row.ID }
	r.advance(rollout.Expiry + rollout.RefreshInterval)
	if got := r.applied[cut].Share(r.n.now); got != 0 {
		t.Errorf("got share %d at a host without refreshes, want 0", got)
	}
}

func (r *simRollouts) check(t *testing.T) {
	t.Helper()
	want := rollout.Completed
	if r.failing {
		want = rollout.RolledBack
	}
	if len(r.verdicts) != 1 || r.verdicts[0] != want || r.verdictAt.Sub(r.ordered) > simDuration {
		t.Errorf("got verdicts %v after %v, want %v within %v: %v", r.verdicts, r.verdictAt.Sub(r.ordered), want, simDuration, strings.Join(r.steps, "\n"))
	}
	if limit := float64(r.all)/10 + 50; r.failing && float64(r.target) > limit {
		t.Errorf("got %d of %d calls to the bad version, want at most %.0f", r.target, r.all, limit)
	}
	if r.afterwards > 0 || r.cut > 0 {
		t.Errorf("got %d calls to the wrong version after the verdict and %d in flight at a stopped one, want none", r.afterwards, r.cut)
	}
	if limit := 25; r.reads+r.writes > limit {
		t.Errorf("got %d reads and %d writes, want at most %d together", r.reads, r.writes, limit)
	}
}
