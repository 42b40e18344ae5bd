package timeline

import (
	"cmp"
	"slices"

	"github.com/peridotlb/peridotlb/internal/host"
)

// Merged is the timeline of several hosts.
type Merged struct {
	// Events are in causal order: an event that caused another one through
	// messages precedes it. Unrelated events are ordered by stamp and host.
	Events []Event `json:"events"`
	// Unanswered lists the queried hosts that did not respond.
	Unanswered []host.ID `json:"missing-hosts,omitempty"`
	// Overflowed lists the hosts whose ring no longer holds the whole period.
	Overflowed []host.ID `json:"overflowed-hosts,omitempty"`
}

// Merge merges the pages of the hosts that responded. queried lists all hosts that
// were queried. Events of a host that responded twice, after a retry, are included
// once.
func Merge(queried []host.ID, pages ...Page) Merged {
	m := Merged{Events: []Event{}}
	answered := make(map[host.ID]bool, len(pages))
	for _, p := range pages {
		answered[p.Host] = true
		m.Events = append(m.Events, p.Events...)
		if p.Overwritten > 0 {
			m.Overflowed = append(m.Overflowed, p.Host)
		}
	}
	for _, h := range queried {
		if !answered[h] {
			m.Unanswered = append(m.Unanswered, h)
		}
	}
	slices.SortFunc(m.Events, compareEvents)
	m.Events = slices.CompactFunc(m.Events, func(a, b Event) bool { return a == b })
	m.Unanswered, m.Overflowed = sortUnique(m.Unanswered), sortUnique(m.Overflowed)
	return m
}

// compareEvents compares by stamp, then by host. Two events of one host never have
// the same stamp within one run of its daemon.
func compareEvents(a, b Event) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Detail, b.Detail))
}

func sortUnique(ids []host.ID) []host.ID {
	slices.Sort(ids)
	return slices.Compact(ids)
}
