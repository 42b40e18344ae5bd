package main

import "time"

func init() { cases["last-tenant"] = lastTenant }

// lastTenant: the operator removes the keys of tenants, the last tenant included.
func lastTenant(s *site, o options) outcome {
	log := newRunLog()
	s.addHost("kariakoo", "pwani", "orders")
	s.addHost("mbezi", "pwani", "payments")
	config := &operatorConfig{version: 3, services: []string{"payments", "orders"}, tenants: [][]any{{"kujaza", []string{"key-of-kujaza"}, nil, nil, nil}, {"prairie", []string{"key-of-prairie"}, nil, nil, nil}}, routes: []routeConfig{
		{name: "r-pay", host: "pay.example", prefix: "/pay/", kind: "unsafe", service: "payments", timeout: 1.2, target: 0.8, priority: 1, attempts: 2},
	}}
	s.submit(config)
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
	time.Sleep(4 * time.Second)
	c := &caller{host: s.hosts[0]}
	defer c.close()
	send := func(key string) (status, ran int, passed bool) {
		q := request{id: newID(), method: "POST", host: "pay.example", path: "/pay/1", body: []byte("x"), deadline: 2 * time.Second}
		if key != "" {
			q.header = []string{"Authorization: Bearer " + key}
		}
		a := c.do(q)
		for _, r := range log.of(q.id) {
			ran++
			passed = passed || r.auth != ""
		}
		s.rec.add("client sent %s with the key %q and got %d; it ran %d times; the key was passed on: %v", q.id, key, a.status, ran, passed)
		return a.status, ran, passed
	}
	if status, _, _ := send("key-of-kujaza"); status != 200 {
		s.report("the key does not work before: %d", status)
		return failed
	}
	if status, _, _ := send("never-a-key"); status != 401 {
		s.report("an unknown key got %d", status)
		return failed
	}
	config.version = 5
	config.tenants = config.tenants[:1]
	if o.trouble {
		config.tenants = [][]any{}
	}
	s.submit(config)
	time.Sleep(6 * time.Second)
	wrong, passedOn, without := 0, 0, 0
	for _, key := range []string{"key-of-prairie", "never-a-key"} {
		for range 10 {
			_, ran, passed := send(key)
			wrong += ran
			if passed {
				passedOn++
			}
		}
	}
	for range 10 { // told, not judged: the rules speak of keys
		_, ran, _ := send("")
		without += ran
	}
	s.report("of 20 requests with a removed or an unknown key, sent 6 s after the acknowledgement, %d ran; keys passed on to a server: %d; of 10 requests without a key %d ran", wrong, passedOn, without)
	if wrong > 0 || passedOn > 0 {
		return broken
	}
	return held
}
