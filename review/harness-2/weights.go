package main

import (
	"syscall"
	"time"
)

func init() { cases["fractional-weights"] = fractionalWeights }

// fractionalWeights: a version splits one route by weights that are fractions, and moves
// another route to another service. The requests on the moved route show which version
// is in force. At the end all processes are killed and start again.
func fractionalWeights(s *site, o options) outcome {
	log := newRunLog()
	for i, service := range []string{"stock", "payments", "orders", "stock", "payments", "orders"} {
		s.addHost([]string{"kariakoo", "mbezi"}[i%2], "pwani", service)
	}
	config := &operatorConfig{version: 3, services: []string{"stock", "payments", "orders"}, routes: []routeConfig{
		{name: "r-stock", host: "stock.example", prefix: "/stock/", kind: "safe", service: "stock", timeout: 1.5, target: 0.6, priority: 2, attempts: 2},
		{name: "r-pay", host: "pay.example", prefix: "/pay/", kind: "unsafe", service: "payments", timeout: 1.2, target: 0.8, priority: 1, attempts: 2},
	}}
	s.submit(config)
	if !s.startAll() {
		return failed
	}
	service := make(map[string]string)
	for i, h := range s.hosts {
		a, err := startServer(h, "i-"+h.service+"-"+string(rune('a'+i)), log)
		if err != nil {
			s.report("could not start a server: %v", err)
			return failed
		}
		defer a.end()
		service[a.id] = h.service
	}
	time.Sleep(4 * time.Second)
	config.version = 5
	weights := []float64{9, 1}
	if o.trouble {
		weights = []float64{0.9, 0.1}
	}
	config.routes[0].weighted = []map[string]any{{"service": "stock", "weight": weights[0]}, {"service": "orders", "weight": weights[1]}}
	config.routes[1].service = "orders"
	s.submit(config)
	acknowledged := time.Now()
	ran, old, late, served := 0, 0, 0, 0
	callers := make([]*caller, len(s.hosts))
	for i, h := range s.hosts {
		callers[i] = &caller{host: h}
		defer callers[i].close()
	}
	round := func(judge func(sent time.Time, a answer, service string)) {
		for _, c := range callers {
			q := request{id: newID(), method: "POST", host: "pay.example", path: "/pay/1", body: []byte("x"), deadline: 2 * time.Second}
			sent := time.Now()
			a := c.do(q)
			ranBy := ""
			for _, r := range log.of(q.id) {
				ranBy = service[r.server]
			}
			s.rec.add("client on %s: %s sent %.1f s after the acknowledgement, answered %d, run by %q", c.host.name, q.id, sent.Sub(acknowledged).Seconds(), a.status, ranBy)
			judge(sent, a, ranBy)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for time.Since(acknowledged) < 10*time.Second {
		round(func(sent time.Time, _ answer, service string) {
			if sent.Sub(acknowledged) > 2*time.Second && service != "" {
				ran++
				if service == "payments" {
					old++
				}
			}
		})
	}
	// The final fault: all processes are killed, and started again.
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, h := range s.hosts {
		h.wait(5 * time.Second)
		if err := h.start(); err != nil {
			return failed
		}
	}
	back := time.Now()
	for time.Since(back) < 22*time.Second {
		round(func(sent time.Time, a answer, _ string) {
			if sent.Sub(back) > 15*time.Second {
				late++
				if a.err == nil && a.status == 200 {
					served++
				}
			}
		})
	}
	s.report("requests sent later than 2 s after the acknowledgement that ran: %d, of these run by the service of the older version: %d; requests sent later than 15 s after all processes were killed and started again: %d, served: %d", ran, old, late, served)
	if ran < 100 || late < 100 {
		return failed
	}
	if old > 0 || served*4 < late {
		return broken
	}
	return held
}
