package main

import (
	"fmt"
	"syscall"
	"time"
)

// Bounds of the site file prh-mesh.
const (
	drainTime    = 2 * time.Second
	reuseAfter   = 2 * time.Second
	contactTime  = 3 * time.Second
	configApply  = 2 * time.Second
	stayedLonger = time.Second // a leaving server continues a little longer than drainTime
)

// reuse replaces the server of a machine by one of another service at the same address.
func reuse(record string, trouble bool) (int, error) {
	s, err := newSite(record, []machine{
		{"regina-a", "regina", "stock"},
		{"regina-b", "regina", "mill"},
		{"winnipeg-a", "winnipeg", "stock"},
		{"winnipeg-b", "winnipeg", "mill"},
		{"regina-a", "regina", "mill"},
		{"regina-b", "regina", "stock"},
		{"winnipeg-a", "winnipeg", "stock"},
	})
	if err != nil {
		return failed, err
	}
	defer s.end()
	s.configure([]string{"stock", "mill"}, []route{
		{"r-stock", "a.example", "/stock/", "safe", "stock", 1, 2}, {"r-mill", "a.example", "/unsafe/", "unsafe", "mill", 1, 2},
	})
	if err := s.start(18, nil); err != nil {
		return failed, err
	}
	n, old := s.nodes[0], s.servers[0]
	if wrong, err := s.callAndCheck(n, 20); err != nil || wrong > 0 {
		return failed, fmt.Errorf("%d wrong callers before the disruption: %w", wrong, err)
	}
	if trouble {
		old.setState("draining")
		if !old.say() {
			return failed, fmt.Errorf("draining of %s wasn't acknowledged", old.id)
		}
		time.Sleep(drainTime + stayedLonger)
		status, _ := post(old.control, "Deregister", old.id, nil)
		s.logf("%s deregisters -> %d, and exits", old.id, status)
		old.crash()
		time.Sleep(reuseAfter + 500*time.Millisecond)
		n.service = "mill"
		if err := n.writeSettings(); err != nil {
			return failed, err
		}
		next := s.serverAt(n, "i-9", 18)
		if err := startServer(next); err != nil {
			return failed, err
		}
		s.servers = append(s.servers, next)
		n.signal(syscall.SIGHUP)
		s.logf("%s of service mill starts at %s; the settings of %s name service mill; SIGHUP", next.id, next.address, n.name)
	}
	time.Sleep(contactTime + configApply + time.Second)
	wrong, err := s.callAndCheck(n, 60)
	if err != nil {
		return failed, err
	}
	s.logf("%d requests ran with a wrong X-Caller-Service", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// callAndCheck sends requests from a machine and returns how many ran with another
// X-Caller-Service than the service of that machine.
func (s *site) callAndCheck(n *node, count int) (int, error) {
	wrong, ran := 0, 0
	for i := range count {
		r := &request{attempt: newAttempt(), host: "a.example", deadline: time.Second, method: "GET", path: "/stock/x?size=400"}
		if i%2 == 1 {
			r.method, r.path, r.body = "POST", "/unsafe/x?size=400", []byte("order")
		}
		c, err := dial(n.at("outbound"))
		if err != nil {
			return 0, err
		}
		x := c.do(r)
		_ = c.Close()
		for _, v := range s.ledger.of(r.attempt) {
			ran++
			if v.Caller != n.service {
				wrong++
			}
			s.logf("%s %s from a client on %s -> %d; ran at %s of %s with X-Caller-Service: %s, service of the machine %s", r.method, r.path, n.name, x.status, v.Server, v.Service, v.Caller, n.service)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if ran < count/2 {
		return 0, fmt.Errorf("only %d of %d requests ran", ran, count)
	}
	return wrong, nil
}
