package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["planned-stop"] = plannedStop }

// zoneGate decides where clients may send, as the platform does: it asks each daemon once
// a second. A host with two misses gets no new work, unless fewer than half of the hosts
// of its zone are in.
type zoneGate struct {
	site *site
	in   []atomic.Bool
}

func newZoneGate(s *site, stop chan struct{}) *zoneGate {
	g := &zoneGate{site: s, in: make([]atomic.Bool, len(s.hosts))}
	for i, h := range s.hosts {
		g.in[i].Store(true)
		go func() {
			for misses := 0; ; {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
				if misses++; h.ready() {
					misses = 0
				}
				g.in[i].Store(misses < 2)
			}
		}()
	}
	return g
}

func (g *zoneGate) open(i int) bool {
	in, of := 0, 0
	for j, h := range g.site.hosts {
		if h.zone == g.site.hosts[i].zone {
			of++
			if g.in[j].Load() {
				in++
			}
		}
	}
	return g.in[i].Load() || 2*in < of
}

// plannedStop: the hosts of four zones are stopped with SIGTERM and started again in
// turn, one each second. Nothing else is disturbed. Of 100 orders, 96 take about 0.1 s at
// their server and 4 take 3 s.
func plannedStop(s *site, o options) outcome {
	const (
		length  = 42 * time.Second
		rate    = 150.0 // requests per second
		timeout = 4 * time.Second
		grace   = 6 * time.Second
	)
	log := newRunLog()
	zones := []string{"kariakoo", "ngarenaro", "mbezi", "sakina"}
	for i := range 8 {
		s.addHost(zones[i/2], "pwani", "orders")
	}
	s.submit(&operatorConfig{version: 3, services: []string{"orders"}, routes: []routeConfig{
		{name: "r-order", host: "orders.example", prefix: "/order/", kind: "unsafe", service: "orders", timeout: timeout.Seconds(), target: 2.5, priority: 1, attempts: 2},
	}})
	if !s.startAll() {
		return failed
	}
	for i, h := range s.hosts {
		a, err := startServer(h, fmt.Sprintf("i-orders-%d", i+1), log)
		if err != nil {
			s.report("could not start a server: %v", err)
			return failed
		}
		defer a.end()
		a.work = func(*http.Request) time.Duration {
			if rand.IntN(100) < 4 {
				return 3 * time.Second
			}
			return time.Duration(60+rand.IntN(80)) * time.Millisecond
		}
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	gate := newZoneGate(s, stop)
	var mu sync.Mutex
	stopped := make([]time.Time, len(s.hosts)) // last SIGTERM
	started := make([]time.Time, len(s.hosts)) // last start after a SIGTERM
	answers := make(map[int]int)
	late, lost := 0, 0
	pools := make([]chan *caller, len(s.hosts))
	for i := range pools {
		pools[i] = make(chan *caller, 100)
	}
	send := func(i int) {
		var c *caller
		select {
		case c = <-pools[i]:
		default:
			c = &caller{host: s.hosts[i]}
		}
		q := request{id: newID(), method: "POST", host: "orders.example", path: "/order/1", body: []byte("panels=1"), deadline: 6 * time.Second}
		mu.Lock()
		term, running := stopped[i], started[i].Before(stopped[i])
		mu.Unlock()
		sent := time.Now()
		a := c.do(q)
		select {
		case pools[i] <- c:
		default:
			c.close()
		}
		s.rec.add("client on %s: %s sent, and after %.2f s answered %d (error %v)", s.hosts[i].name, q.id, a.at.Sub(sent).Seconds(), a.status, a.err)
		after := sent.Sub(term)
		runs := log.of(q.id)
		mu.Lock()
		defer mu.Unlock()
		answers[a.status]++
		// Only requests that the stopping process itself has taken.
		if term.IsZero() || !running || after <= 3050*time.Millisecond || after >= grace {
			return
		}
		late++
		// Not counted: the timeout of the route was reached.
		if a.status == http.StatusOK || len(runs) == 0 || a.at.Sub(sent) >= timeout-100*time.Millisecond {
			return
		}
		lost++
		s.rec.add("LOST: %s was sent to %s %.2f s after its SIGTERM; %s was at work on it for %.2f s; the client gets %d (error %v) %.2f s after the SIGTERM: %s",
			q.id, s.hosts[i].name, after.Seconds(), runs[0].server, a.at.Sub(runs[0].at).Seconds(), a.status, a.err, a.at.Sub(term).Seconds(), a.body)
	}
	end := time.Now().Add(length)
	var planned sync.WaitGroup
	if o.trouble {
		planned.Go(func() {
			for time.Until(end) > 16*time.Second {
				var turn sync.WaitGroup
				for i, h := range s.hosts {
					turn.Go(func() {
						time.Sleep(time.Duration(i) * time.Second)
						mu.Lock()
						stopped[i] = time.Now()
						mu.Unlock()
						h.signal(syscall.SIGTERM)
						if !h.wait(grace) {
							h.kill()
						}
						mu.Lock()
						started[i] = time.Now()
						mu.Unlock()
						_ = h.start()
					})
				}
				turn.Wait()
			}
		})
	}
	var sending sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if i := rand.IntN(len(s.hosts)); gate.open(i) {
			sending.Go(func() { send(i) })
		}
	}
	sending.Wait()
	planned.Wait()
	s.report("answers by status (0 for none): %v; requests sent to a stopping host later than 3 s after its SIGTERM: %d; of these broken off while their server was at work: %d", answers, late, lost)
	if answers[http.StatusOK] < 1500 {
		return failed
	}
	if lost > 0 {
		return broken
	}
	return held
}
