package main

import (
	"net/http"
	"sync"
	"time"
)

// usualRun is the mean run time of the route with the changed time-out: that of
// history-pull of the site prh-mesh.
const usualRun = 240 * time.Millisecond

// runTime returns a run time between 0.4 and 1.6 of the mean, which depends on the attempt.
func runTime(attempt string, mean time.Duration) time.Duration {
	u := float64(hashOf([]byte(attempt))%10007) / 10007
	return time.Duration((0.4 + 1.2*u) * float64(mean))
}

// shorter shortens the time-out of a route that was added later.
func shorter(record string, trouble bool) (int, error) {
	s, err := newSite(record, []machine{
		{"regina-a", "regina", "stock"},
		{"regina-b", "regina", "stock"},
		{"winnipeg-a", "winnipeg", "stock"},
		{"winnipeg-b", "winnipeg", "hub"},
		{"regina-a", "regina", "hub"},
		{"winnipeg-a", "winnipeg", "hub"},
	})
	if err != nil {
		return failed, err
	}
	defer s.end()
	first := route{"r-stock", "a.example", "/stock/", "safe", "stock", 1, 2}
	added := route{"r-hub", "b.example", "/hub/", "safe", "hub", 2.5, 2}
	s.configure([]string{"stock", "hub"}, []route{first})
	err = s.start(18, func(r *http.Request) plan {
		if r.Host == added.host {
			return plan{work: runTime(r.Header.Get("X-Attempt-Id"), usualRun)}
		}
		return plan{work: 60 * time.Millisecond}
	})
	if err != nil {
		return failed, err
	}
	s.configure([]string{"stock", "hub"}, []route{first, added})
	time.Sleep(contactTime)
	if n, of, _ := s.ask(added, 40); n < of*9/10 {
		s.logf("only %d of %d served before the change", n, of)
		return failed, nil
	}
	if trouble {
		added.timeout = 0.2
	}
	s.configure([]string{"stock", "hub"}, []route{first, added})
	time.Sleep(contactTime + configApply)
	firstServed, firstAsked, _ := s.ask(first, 40)
	addedServed, addedAsked, inTime := s.ask(added, 120)
	s.logf("first route: %d of %d served; added route: %d of %d served, and %d have a run time that its time-out permits", firstServed, firstAsked, addedServed, addedAsked, inTime)
	if firstServed < firstAsked*9/10 {
		return failed, nil
	}
	if addedServed*firstAsked*4 < firstServed*addedAsked {
		return broken, nil
	}
	return held, nil
}

// ask sends requests from all machines, 5 a second on each. It returns how many were served
// and sent, and how many have a run time that is a tenth shorter than the time-out.
func (s *site) ask(to route, count int) (served, sent, inTime int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for range count {
		for _, n := range s.nodes {
			group.Add(1)
			go func() {
				defer group.Done()
				r := &request{attempt: newAttempt(), host: to.host, deadline: 5 * time.Second, method: "GET", path: to.prefix + "x?size=400"}
				c, err := dial(n.at("outbound"))
				if err != nil {
					return
				}
				x := c.do(r)
				_ = c.Close()
				s.logf("%s %s%s from %s -> %d after %v, ran %d times", r.method, r.host, r.path, n.name, x.status, x.took.Round(time.Millisecond), len(s.ledger.of(r.attempt)))
				mu.Lock()
				defer mu.Unlock()
				sent++
				if x.status == http.StatusOK {
					served++
				}
				if runTime(r.attempt, usualRun).Seconds() < 0.9*to.timeout {
					inTime++
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	return served, sent, inTime
}
