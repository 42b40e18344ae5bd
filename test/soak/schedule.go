package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a disruption, or planned work, of a soak.
type fault interface{ describe() string }

// target is what a process fault affects.
type target uint8

const (
	daemon target = iota
	server
)

func (t target) String() string { return [...]string{"daemon", "server"}[t] }

// action is what happens to a process.
type action uint8

const (
	kill   action = iota // SIGKILL, and started again at the end of the fault
	stop                 // SIGTERM, and started again
	freeze               // SIGSTOP until the end of the fault
)

func (a action) String() string { return [...]string{"kill", "stop", "freeze"}[a] }

// processFault affects a process of one host.
type processFault struct {
	target target
	action action
	host   int // index of the host
}

func (f processFault) describe() string {
	return fmt.Sprintf("%s %s of host %d", f.action, f.target, f.host)
}

// platformFault is a fault of the platform.
type platformFault struct {
	name  string // of the platform's fault
	value any
}

func (f platformFault) describe() string { return fmt.Sprintf("platform %s %v", f.name, f.value) }

// zoneCut cuts a zone off from the others.
type zoneCut struct{ zone int }

func (f zoneCut) describe() string { return fmt.Sprintf("cut of zone %d", f.zone) }

// regionCut cuts the link between the regions.
type regionCut struct{}

func (regionCut) describe() string { return "cut between the regions" }

// change submits a new version.
type change struct{}

func (change) describe() string { return "change of the document" }

// event is a fault at a time.
type event struct {
	at       time.Duration // since the start of the load
	duration time.Duration // until the fault ends; zero for a change
	fault    fault
}

func (e event) end() time.Duration { return e.at + e.duration }

// scheduleConfig configures a schedule.
type scheduleConfig struct {
	seed         uint64
	length       time.Duration // all faults have ended by then
	hosts, zones int
}

const (
	// meanGap is the mean time between two events. Faults last longer, so that they
	// overlap.
	meanGap = 900 * time.Millisecond
	// minFault and maxFault bound the duration of a fault.
	minFault = 500 * time.Millisecond
	maxFault = 4 * time.Second
	// seriesShare is the share of process faults that hit several hosts in turn.
	seriesShare = 0.25
	// seriesLength is the number of hosts in such a series, and seriesGap the time
	// between two of them.
	seriesLength = 3
	seriesGap    = 300 * time.Millisecond
)

// newSchedule returns the events of a seed in the order of their times. A host has at
// most one fault at a time, and so do the network and the platform. At most a third of
// the hosts are affected at a time, so that calls can be served.
func newSchedule(c scheduleConfig) []event {
	random := rand.New(rand.NewPCG(c.seed, 1))
	var events []event
	add := func(e event) {
		if e.end() <= c.length && admits(events, e, c.hosts/3) {
			events = append(events, e)
		}
	}
	for at := time.Duration(0); at < c.length; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		e := event{at: at, duration: minFault + time.Duration(random.Int64N(int64(maxFault-minFault))), fault: randomFault(random, c)}
		if _, ok := e.fault.(change); ok {
			e.duration = 0
		}
		add(e)
		f, ok := e.fault.(processFault)
		if !ok || random.Float64() >= seriesShare {
			continue
		}
		for i := 1; i < seriesLength; i++ {
			f.host = (f.host + 1) % c.hosts
			add(event{at: at + time.Duration(i)*seriesGap, duration: e.duration, fault: f})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

func randomFault(random *rand.Rand, c scheduleConfig) fault {
	switch n := random.IntN(100); {
	case n < 50:
		actions := []action{kill, stop, stop, freeze}
		return processFault{target: daemon, action: actions[random.IntN(len(actions))], host: random.IntN(c.hosts)}
	case n < 62:
		return processFault{target: server, action: []action{kill, freeze}[random.IntN(2)], host: random.IntN(c.hosts)}
	case n < 78:
		faults := []platformFault{{"down", true}, {"slow-ms", 400}, {"lose-answers", 3}}
		return faults[random.IntN(len(faults))]
	case n < 84:
		return zoneCut{zone: random.IntN(c.zones)}
	case n < 88:
		return regionCut{}
	default:
		return change{}
	}
}

// admits reports whether an event can be added to others.
func admits(events []event, e event, maxHosts int) bool {
	affected := make(map[int]bool)
	for _, o := range events {
		if o.end() < e.at || e.end() < o.at {
			continue
		}
		if sameResource(o.fault, e.fault) {
			return false
		}
		if f, ok := o.fault.(processFault); ok {
			affected[f.host] = true
		}
	}
	if f, ok := e.fault.(processFault); ok {
		affected[f.host] = true
	}
	return len(affected) <= maxHosts
}

// sameResource reports whether two faults affect the same host, network or platform.
func sameResource(a, b fault) bool {
	switch a := a.(type) {
	case processFault:
		b, ok := b.(processFault)
		return ok && a.host == b.host
	case platformFault:
		_, ok := b.(platformFault)
		return ok
	case zoneCut, regionCut:
		switch b.(type) {
		case zoneCut, regionCut:
			return true
		}
	}
	return false
}
