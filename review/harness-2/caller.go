package main

import (
	"time"
)

func init() { cases["caller-service"] = callerService }

// callerService: a client names X-Caller-Service in its Connection header.
func callerService(s *site, o options) outcome {
	log := newRunLog()
	s.addHost("kariakoo", "pwani", "orders")
	s.addHost("mbezi", "pwani", "payments")
	s.submit(&operatorConfig{version: 3, services: []string{"payments", "orders"}, routes: []routeConfig{
		{name: "r-pay", host: "pay.example", prefix: "/pay/", kind: "unsafe", service: "payments", timeout: 1.2, target: 0.8, priority: 1, attempts: 2},
	}})
	if !s.startAll() {
		return failed
	}
	for i, h := range s.hosts {
		a, err := startServer(h, "i-"+h.service+string(rune('a'+i)), log)
		if err != nil {
			return failed
		}
		defer a.end()
	}
	time.Sleep(3 * time.Second)
	wrong, ran := 0, 0
	c := &caller{host: s.hosts[0]}
	defer c.close()
	for range 50 {
		q := request{id: newID(), method: "POST", host: "pay.example", path: "/pay/1", body: []byte("x"), deadline: 2 * time.Second, header: []string{"X-Caller-Service: payments"}}
		if o.trouble {
			q.header = append(q.header, "Connection: keep-alive, X-Caller-Service")
		}
		a := c.do(q)
		for _, r := range log.of(q.id) {
			ran++
			if r.caller != "orders" {
				wrong++
			}
		}
		s.rec.add("client sent %s with %q and got %d", q.id, q.header, a.status)
		time.Sleep(20 * time.Millisecond)
	}
	s.report("requests that ran: %d; with another X-Caller-Service than that of the machine: %d", ran, wrong)
	if ran < 40 {
		return failed
	}
	if wrong > 0 {
		return broken
	}
	return held
}
