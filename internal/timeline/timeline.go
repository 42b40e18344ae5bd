// Package timeline records the events of a host in a ring buffer and merges the
// events of several hosts in causal order.
package timeline

import (
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/version"
)

// DefaultSize is the number of events that a Ring keeps when Config.Size is zero.
// At about 200 bytes each they take less than 1 MB.
const DefaultSize = 4096

// Kind is the kind of an event in kebab case, for example "version-applied".
type Kind string

// CallID identifies a call that a daemon handles.
type CallID string

// Event is an event on a host. Ring.Add sets Stamp, and sets Host and Zone if they
// are empty.
type Event struct {
	Stamp   Stamp                 `json:"stamp"`
	Kind    Kind                  `json:"kind"`
	Host    host.ID               `json:"host"` // host on which it occurred
	Zone    host.AvailabilityZone `json:"zone,omitempty"`
	Subject host.ID               `json:"subject-host,omitempty"` // host that the event is about, if any
	Server  backend.ServerID      `json:"server,omitempty"`
	Version version.Number        `json:"version,omitempty"`
	Call    CallID                `json:"call-id,omitempty"`
	Detail  string                `json:"detail,omitempty"`
}

// Config configures a Ring.
type Config struct {
	Host host.ID
	Zone host.AvailabilityZone
	Size int              // number of events to keep; 0 selects DefaultSize
	Now  func() time.Time // nil selects time.Now
}

// Ring is a ring buffer of the newest events of a host. It is safe for concurrent
// use.
type Ring struct {
	config Config
	clock  clock

	mu                sync.Mutex
	events            []Event
	next              int    // position of the oldest event once the ring is full
	overwritten       uint64 // number of overwritten events
	newestOverwritten Stamp  // stamp of the newest overwritten event
}

// New returns an empty ring.
func New(config Config) *Ring {
	if config.Size <= 0 {
		config.Size = DefaultSize
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Ring{config: config, clock: clock{now: config.Now}}
}

// Add records an event and returns its stamp, to be sent along with a message
// that the event causes.
func (r *Ring) Add(e Event) Stamp {
	if e.Host == "" {
		e.Host = r.config.Host
	}
	if e.Zone == "" {
		e.Zone = r.config.Zone
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock so that the ring is in stamp order.
	e.Stamp = r.clock.next()
	if len(r.events) < r.config.Size {
		r.events = append(r.events, e)
		return e.Stamp
	}
	r.overwritten++
	r.newestOverwritten = r.events[r.next].Stamp
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	return e.Stamp
}

// Stamp returns a new stamp without recording an event, for messages to peers.
func (r *Ring) Stamp() Stamp { return r.clock.next() }

// Observe advances the clock to the stamp of a message from a peer, so that events
// added later are ordered after it.
func (r *Ring) Observe(s Stamp) { r.clock.observe(s) }

// Page is the result of a query of one host's ring.
type Page struct {
	Host   host.ID `json:"host"`
	Events []Event `json:"events"` // in stamp order
	// Overwritten counts the overwritten events if some of them may belong to the
	// queried period. It is an upper bound, since overwritten events can't be matched
	// with the filter any more.
	Overwritten uint64 `json:"lost,omitempty"`
}

// Since returns the events after a stamp that match the filter.
func (r *Ring) Since(s Stamp, f Filter) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{Host: r.config.Host, Events: []Event{}}
	if r.overwritten > 0 && r.newestOverwritten.Compare(s) > 0 {
		p.Overwritten = r.overwritten
	}
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if e.Stamp.Compare(s) > 0 && f.Match(e) {
			p.Events = append(p.Events, e)
		}
	}
	return p
}

// Filter selects events that match all of its fields. An empty field matches all
// events.
type Filter struct {
	Kinds   []Kind                `json:"kinds,omitempty"` // matches any of them
	Version version.Number        `json:"version,omitempty"`
	Server  backend.ServerID      `json:"server,omitempty"`
	Call    CallID                `json:"call-id,omitempty"`
	Zone    host.AvailabilityZone `json:"zone,omitempty"`
}

// Match reports whether the filter selects an event.
func (f Filter) Match(e Event) bool {
	return matchKind(f.Kinds, e.Kind) && matchField(f.Version, e.Version) && matchField(f.Server, e.Server) &&
		matchField(f.Call, e.Call) && matchField(f.Zone, e.Zone)
}

func matchField[T comparable](want, got T) bool {
	var empty T
	return want == empty || want == got
}

func matchKind(kinds []Kind, k Kind) bool {
	for _, want := range kinds {
		if want == k {
			return true
		}
	}
	return len(kinds) == 0
}
