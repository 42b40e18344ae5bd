package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
)

// simNetwork runs the cores of several hosts on a virtual clock and carries their
// messages, with delays, loss, partitions, pauses and restarts derived from a seed.
type simNetwork struct {
	random       *rand.Rand
	now          time.Duration
	events       simEvents
	sequence     int
	hosts        []*simHost
	byID         map[host.ID]*simHost
	limits       map[document.OrganisationName]Limit
	bound        Bound
	loss         float64
	cut          func(a, b *simHost) bool
	delay        func(a, b *simHost) time.Duration
	queueTime    float64       // part of the time until RunBy that a granted request waits, at most
	stalledUntil time.Duration // gates run nothing before

	runs    map[document.OrganisationName][]time.Duration
	refused int
}

type simHost struct {
	id          host.ID
	zone        int
	core        *Core
	start       time.Duration // of its clock, which differs from that of others
	run         uint64
	up          bool
	pausedUntil time.Duration
	waiting     map[Ticket]simCall
	granted     map[document.OrganisationName]int
	messages    int // sent and received
	bytes       int
}

type simCall struct {
	organisation document.OrganisationName
	arrived      time.Duration
	done         func(Decision)
}

type simEvent struct {
	at       time.Duration
	sequence int
	f        func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var testBound = Bound{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

func newSimNetwork(seed uint64, hosts int, limits map[document.OrganisationName]Limit, bound Bound) *simNetwork {
	n := &simNetwork{
		random: rand.New(rand.NewPCG(seed, 7)), byID: make(map[host.ID]*simHost), limits: limits, bound: bound,
		cut: func(_, _ *simHost) bool { return false }, runs: make(map[document.OrganisationName][]time.Duration),
	}
	n.delay = func(a, b *simHost) time.Duration {
		if a.zone != b.zone {
			return time.Duration(1+n.random.IntN(12)) * time.Millisecond
		}
		return time.Duration(200+n.random.IntN(400)) * time.Microsecond
	}
	for i := range hosts {
		h := &simHost{id: host.ID(fmt.Sprintf("host-%d", i)), zone: i % 4, granted: make(map[document.OrganisationName]int)}
		n.hosts = append(n.hosts, h)
		n.byID[h.id] = h
	}
	for _, h := range n.hosts {
		n.start(h)
	}
	n.updateFleets()
	return n
}

// clock returns the time by the clock of a host. Clocks have arbitrary offsets.
func (n *simNetwork) clock(h *simHost) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(hash(string(h.id))%1e6) * time.Second).Add(n.now)
}

func (n *simNetwork) at(delay time.Duration, f func()) {
	n.sequence++
	heap.Push(&n.events, simEvent{at: n.now + delay, sequence: n.sequence, f: f})
}

func (n *simNetwork) advance(d time.Duration) {
	end := n.now + d
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(simEvent)
		n.now = e.at
		e.f()
	}
	n.now = end
}

func (n *simNetwork) start(h *simHost) {
	h.run++
	h.up, h.waiting = true, make(map[Ticket]simCall)
	h.core = New(Config{Self: h.id, Run: h.run, Started: n.clock(h), Bound: n.bound})
	n.execute(h, h.core.SetLimits(n.clock(h), n.limits))
	n.tick(h, h.run)
}

func (n *simNetwork) stop(h *simHost) { h.up = false }

// whenRunning runs f on a host when it is not paused. An earlier run of the host does
// not run it.
func (n *simNetwork) whenRunning(h *simHost, run uint64, f func()) {
	if !h.up || h.run != run {
		return
	}
	if n.now < h.pausedUntil {
		n.at(h.pausedUntil-n.now, func() { n.whenRunning(h, run, f) })
		return
	}
	f()
}

func (n *simNetwork) tick(h *simHost, run uint64) {
	n.whenRunning(h, run, func() {
		effects, next := h.core.Tick(n.clock(h))
		n.execute(h, effects)
		n.at(next, func() { n.tick(h, run) })
	})
}

func (n *simNetwork) execute(h *simHost, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			n.send(h, n.byID[e.To], e.Message)
		case Decided:
			call, ok := h.waiting[e.Ticket]
			delete(h.waiting, e.Ticket)
			if ok {
				n.decided(h, call, e.Decision)
			}
		}
	}
}

func (n *simNetwork) send(from, to *simHost, m message.Message) {
	data, _ := message.Encode(m)
	for _, h := range []*simHost{from, to} {
		h.messages++
		h.bytes += len(data)
	}
	if n.cut(from, to) || n.random.Float64() < n.loss {
		return
	}
	n.at(n.delay(from, to), func() {
		n.whenRunning(to, to.run, func() { n.execute(to, to.core.Receive(n.clock(to), m)) })
	})
}

// call sends a request of an organisation to a host. done may be nil.
func (n *simNetwork) call(h *simHost, name document.OrganisationName, done func(Decision)) {
	if !h.up {
		return
	}
	n.whenRunning(h, h.run, func() {
		d, effects := h.core.Take(n.clock(h), name)
		c := simCall{organisation: name, arrived: n.now, done: done}
		if d.Ticket != 0 {
			h.waiting[d.Ticket] = c
		} else {
			n.decided(h, c, d)
		}
		n.execute(h, effects)
	})
}

// decided runs a granted request after it has waited in the queue of a gate.
func (n *simNetwork) decided(h *simHost, c simCall, d Decision) {
	if c.done != nil {
		c.done(d)
	}
	if !d.Granted {
		n.refused++
		return
	}
	h.granted[c.organisation]++
	longest := d.RunBy.Sub(n.clock(h))
	wait := time.Duration(n.random.Float64() * n.queueTime * float64(longest))
	if n.stalledUntil > n.now {
		wait = min(n.stalledUntil-n.now, longest)
	}
	n.at(max(wait, 0), func() { n.runs[c.organisation] = append(n.runs[c.organisation], n.now) })
}

// updateFleets tells all running hosts who is alive, in no particular order of time.
func (n *simNetwork) updateFleets() {
	for _, h := range n.hosts {
		n.updateFleet(h)
	}
}

// updateFleet tells a host who is alive and not cut off from it.
func (n *simNetwork) updateFleet(h *simHost) {
	if !h.up {
		return
	}
	n.believe(h, func(o *simHost) bool { return o.up && !n.cut(h, o) })
}

// believe makes a host believe that the hosts for which alive returns true are alive.
func (n *simNetwork) believe(h *simHost, alive func(*simHost) bool) {
	f := Fleet{Known: len(n.hosts)}
	for _, o := range n.hosts {
		if o == h || alive(o) {
			f.Alive = append(f.Alive, Host{ID: o.id})
		}
	}
	run := h.run
	n.at(time.Duration(n.random.IntN(300))*time.Millisecond, func() {
		n.whenRunning(h, run, func() { n.execute(h, h.core.SetFleet(n.clock(h), f)) })
	})
}

// worstExcess returns by how many requests the runs of an organisation exceed the bound
// in the worst window; negative if they keep it everywhere.
func (n *simNetwork) worstExcess(name document.OrganisationName) float64 {
	l := n.limits[name]
	allowed := (float64(l.Rate)*n.bound.Window.Seconds()+l.Burst)*(1+n.bound.Overrun) + n.bound.Slack
	runs := n.runs[name]
	worst, first := 0, 0
	for i := range runs {
		for runs[i]-runs[first] > n.bound.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return float64(worst) - allowed
}
