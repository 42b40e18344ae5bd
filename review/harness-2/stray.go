package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stray-refusal"] = strayRefusal }

// strayRefusal: for 5 s, at most 3 of 100 answers of half of the servers are followed by
// additional bytes, which come late, where the next answer on the connection is due: a
// second answer in the form in which servers refuse, without an id. Everything else at
// the servers is sound.
func strayRefusal(s *site, o options) outcome {
	log := newRunLog()
	for _, zone := range []string{"kariakoo", "mbezi", "kariakoo", "mbezi"} {
		s.addHost(zone, "pwani", "payments")
	}
	s.submit(&operatorConfig{version: 3, services: []string{"payments"}, routes: []routeConfig{
		{name: "r-pay", host: "pay.example", prefix: "/pay/", kind: "unsafe", service: "payments", timeout: 1.2, target: 0.8, priority: 1, attempts: 2},
	}})
	if !s.startAll() {
		return failed
	}
	strays, faultyAnswers := 0, 0
	var mu sync.Mutex
	var faulty atomic.Bool
	for i, h := range s.hosts {
		a, err := startServer(h, "i-pay-"+string(rune('a'+i)), log)
		if err != nil {
			s.report("could not start a server: %v", err)
			return failed
		}
		defer a.end()
		a.work = func(*http.Request) time.Duration { return time.Duration(20+rand.IntN(20)) * time.Millisecond }
		if !o.trouble || i%2 == 1 {
			continue
		}
		a.before = func(n int, _ *http.Request) []byte {
			if !faulty.Load() {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			// No more than 3 of 100 answers in the faulty time, however the dice fall.
			if faultyAnswers++; n == 1 || rand.Float64() >= 0.06 || 100*(strays+1) > 3*faultyAnswers {
				return nil
			}
			strays++
			s.rec.add("server %s: additional bytes after the answer to the request before", a.id)
			return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	status := make(map[string]int)
	end := time.Now().Add(11 * time.Second)
	time.AfterFunc(3*time.Second, func() { faulty.Store(true) })
	time.AfterFunc(8*time.Second, func() { faulty.Store(false) })
	for i := range 8 {
		wg.Go(func() {
			c := &caller{host: s.hosts[i%len(s.hosts)]}
			defer c.close()
			for time.Now().Before(end) {
				q := request{id: newID(), method: "POST", host: "pay.example", path: "/pay/" + newID(), body: []byte("amount=1"), deadline: 2 * time.Second}
				s.rec.add("client on %s sends %s", c.host.name, q.id)
				a := c.do(q)
				s.rec.add("client gets %d for %s (error %v)", a.status, q.id, a.err)
				mu.Lock()
				status[http.StatusText(a.status)]++
				if a.err == nil && (a.status == 503 || a.status == 429) && len(log.of(q.id)) > 0 {
					status["REFUSED although run"]++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	requests, twice := 0, 0
	for id, runs := range log.all() {
		requests++
		if len(runs) > 1 {
			twice++
			s.rec.add("TWICE: %s ran %d times: first at %s, then at %s", id, len(runs), runs[0].server, runs[1].server)
		}
	}
	s.report("requests that ran: %d; answers by status: %v; additional answers: %d of %d of the faulty servers; unsafe requests that ran more than once: %d", requests, status, strays, faultyAnswers, twice)
	if requests < 500 {
		return failed
	}
	if twice > 0 || status["REFUSED although run"] > 0 {
		return broken
	}
	return held
}
