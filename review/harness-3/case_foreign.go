package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// foreign lets another writer send a heartbeat with missing fields that names another
// service for a server.
func foreign(record string, trouble bool) (int, error) {
	s, err := newSite(record, []machine{{"regina-a", "regina", "stock"}, {"regina-b", "regina", "stock"}, {"winnipeg-a", "winnipeg", "mill"}, {"winnipeg-b", "winnipeg", "mill"}})
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
	v := s.servers[0]
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"service": "mill", "address": v.address, "version": "v1", "slots": v.slots,
			"state": "ready", "sequence": 1000, "born": v.born,
		})
		status, answer := post(v.control, "Heartbeat", v.id, body)
		s.logf("another writer's heartbeat for %s without zone and cold_remaining_s: %s -> %d %s", v.id, body, status, answer)
	}
	time.Sleep(time.Second)
	wrong, ran := 0, 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		for _, n := range s.nodes {
			r := &request{attempt: newAttempt(), host: "a.example", deadline: time.Second, method: "POST", path: "/unsafe/x?size=400", body: []byte("order")}
			c, err := dial(n.at("outbound"))
			if err != nil {
				return failed, err
			}
			x := c.do(r)
			_ = c.Close()
			for _, run := range s.ledger.of(r.attempt) {
				ran++
				if run.Service != "mill" {
					wrong++
				}
				s.logf("%s %s from %s -> %d, seal %q; ran at %s of service %s", r.method, r.path, n.name, x.status, x.seal, run.Server, run.Service)
			}
		}
	}
	s.logf("%d of %d requests of a route to service mill ran at a server of service stock", wrong, ran)
	if ran < 50 {
		return failed, fmt.Errorf("only %d requests ran", ran)
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
