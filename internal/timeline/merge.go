package timeline

import (
	"cmp"
	"slices"

	"github.com/peridotlb/peridotlb/internal/host"
)

// Merged is the time line of several hosts.
type Merged struct {
	// Events are in causal order: an event that caused another one through
	// messages stands before it. Unrelated events are ordered by stamp and host.
	Events []Event `json:"events"`
	// Missing names the asked hosts that did not answer.
	Missing []host.ID `json:"missing-hosts,omitempty"`
	// Overflowed names the hosts whose ring no longer holds the whole period.
	Overflowed []host.ID `json:"overflowed-hosts,omitempty"`
}

// Merge merges the pages of the hosts that answered. Asked lists all hosts that
// were asked. A host that answered twice, after a retry, counts once per event.
func Merge(asked []host.ID, pages ...Page) Merged {
	m := Merged{Events: []Event{}}
	answered := make(map[host.ID]bool, len(pages))
	for _, p := range pages {
		answered[p.Host] = true
		m.Events = append(m.Events, p.Events...)
		if p.Lost > 0 {
			m.Overflowed = append(m.Overflowed, p.Host)
		}
	}
	for _, h := range asked {
		if !answered[h] {
			m.Missing = append(m.Missing, h)
		}
	}
	slices.SortFunc(m.Events, compareEvents)
	m.Events = slices.CompactFunc(m.Events, func(a, b Event) bool { return a == b })
	m.Missing, m.Overflowed = sortUnique(m.Missing), sortUnique(m.Overflowed)
	return m
}

// order compares by stamp, then by host. Two events of one host never have the
// same stamp within one run of its daemon.
func compareEvents(a, b Event) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Detail, b.Detail))
}

func sortUnique(ids []host.ID) []host.ID {
	slices.Sort(ids)
	return slices.Compact(ids)
}
