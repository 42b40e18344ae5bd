package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// odd lets another writer send a heartbeat with a missing field, and drains the server then.
func odd(record string, trouble bool) (int, error) {
	s, err := newSite(record, []machine{{"regina-a", "regina", "stock"}, {"regina-b", "regina", "stock"}, {"winnipeg-a", "winnipeg", "stock"}})
	if err != nil {
		return failed, err
	}
	defer s.end()
	s.configure([]string{"stock"}, []route{{"r-stock", "a.example", "/stock/", "safe", "stock", 1, 2}})
	if err := s.start(18, nil); err != nil {
		return failed, err
	}
	v := s.servers[0]
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"service": v.service, "address": v.address, "version": "v1", "slots": v.slots,
			"state": "ready", "sequence": 1000, "cold_remaining_s": 0, "born": v.born,
		})
		status, answer := post(v.control, "Heartbeat", v.id, body)
		s.logf("another writer's heartbeat for %s without zone: %s -> %d %s", v.id, body, status, answer)
	}
	time.Sleep(time.Second)
	v.setState("draining")
	for !v.say() {
		time.Sleep(200 * time.Millisecond)
	}
	s.logf("%s: draining is acknowledged", v.id)
	time.Sleep(contactTime)
	late, served := 0, 0
	for end := v.acked.Add(drainTime + 4*time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		for _, n := range s.nodes {
			r := &request{attempt: newAttempt(), host: "a.example", deadline: time.Second, method: "GET", path: "/stock/x?size=400"}
			c, err := dial(n.at("outbound"))
			if err != nil {
				return failed, err
			}
			x := c.do(r)
			_ = c.Close()
			if x.status == 200 {
				served++
			}
			for _, run := range s.ledger.of(r.attempt) {
				if run.Server == v.id && run.At.Sub(v.acked) > drainTime {
					late++
					s.logf("%s from %s -> %d; reached %s %v after it was acknowledged as draining", r.path, n.name, x.status, v.id, run.At.Sub(v.acked))
				}
			}
		}
	}
	s.logf("%d requests reached %s later than drain_s after the acknowledgement, %d were served", late, v.id, served)
	if served < 20 {
		return failed, fmt.Errorf("only %d requests were served", served)
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
