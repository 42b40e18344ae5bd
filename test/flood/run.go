package main

import (
	"cmp"
	"fmt"
	"time"
)

// attackCase is one attack with the header size that it uses.
type attackCase struct {
	name        string
	pattern     pattern
	lines       func(size int) string
	connections int
}

// result is what was measured during and after an attack.
type result struct {
	peakMemory  int // bytes
	descriptors int // largest number that was seen
	alive       bool
	served      error // error of an ordinary request afterwards; nil if it was answered
}

const (
	// headerMargin is left of the header limit for the request line and the headers
	// that a pattern adds.
	headerMargin    = 200
	descriptorPause = 20 * time.Millisecond // between two counts of the descriptors
	serviceTimeout  = 30 * time.Second
)

// attackCases returns every pattern with every shape that it depends on.
func attackCases(connections int) []attackCase {
	var all []attackCase
	for _, h := range shapePatterns {
		for _, s := range shapes {
			all = append(all, attackCase{name: s.name + ", " + h.name, pattern: h, lines: s.lines, connections: connections})
		}
	}
	for _, p := range otherPatterns {
		all = append(all, attackCase{name: p.name, pattern: p, lines: shapes[0].lines, connections: connections})
	}
	return all
}

// run attacks a new site for a duration.
func (c attackCase) run(config siteConfig, duration time.Duration) (result, error) {
	s, err := startSite(config)
	if err != nil {
		return result{}, fmt.Errorf("start a site: %w", err)
	}
	defer s.close()
	r := result{}
	stop, counted := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(counted)
		for {
			select {
			case <-stop:
				return
			case <-time.After(descriptorPause):
				r.descriptors = max(r.descriptors, s.openDescriptors())
			}
		}
	}()
	attack(attackConfig{
		addr: s.ports[cmp.Or(config.Listener, "outbound")], connections: c.connections, duration: duration,
		request: c.pattern.send(c.lines(config.HeaderBytes - headerMargin)), respond: c.pattern.respond,
	})
	close(stop)
	<-counted
	r.served = s.waitForService(serviceTimeout)
	if r.alive = s.alive(); !r.alive {
		return r, nil
	}
	r.peakMemory, err = s.peakMemory()
	return r, err
}
