package main

import "time"

func init() { cases["fractional-weights"] = fractionalWeights }

// fractionalWeights: a version splits one route by weights that are fractions, and moves
// another route to another service. The requests on the moved route show which version
// is in force.
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
	ran, old := 0, 0
	callers := make([]*caller, len(s.hosts))
	for i, h := range s.hosts {
		callers[i] = &caller{host: h}
		defer callers[i].close()
	}
	for time.Since(acknowledged) < 20*time.Second {
		for _, c := range callers {
			q := request{id: newID(), method: "POST", host: "pay.example", path: "/pay/1", body: []byte("x"), deadline: 2 * time.Second}
			sent := time.Now()
			a := c.do(q)
			for _, r := range log.of(q.id) {
				s.rec.add("client on %s: %s sent %.1f s after the acknowledgement, answered %d, run by %s of %s", c.host.name, q.id, sent.Sub(acknowledged).Seconds(), a.status, r.server, service[r.server])
				if sent.Sub(acknowledged) > 2*time.Second {
					ran++
					if service[r.server] == "payments" {
						old++
					}
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.report("requests sent later than 2 s after the acknowledgement that ran: %d; run by the service of the older version: %d", ran, old)
	if ran < 300 {
		return failed
	}
	if old > 0 {
		return broken
	}
	return held
}
