package daemon

import (
	"slices"
	"sync"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/version"
)

// heldVersions gives the codec concurrent access to the versions that the core
// holds.
type heldVersions struct {
	mu        sync.RWMutex
	snapshots map[version.Number]version.Snapshot
	order     []version.Number
}

func (h *heldVersions) add(s version.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.snapshots == nil {
		h.snapshots = make(map[version.Number]version.Snapshot)
	}
	h.snapshots[s.Number()] = s
	h.order = append(h.order, s.Number())
	if len(h.order) > fleet.RetainedVersions {
		delete(h.snapshots, h.order[0])
		h.order = h.order[1:]
	}
}

// newest returns the held version with the highest number; the zero value when
// there is none.
func (h *heldVersions) newest() version.Snapshot {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if len(h.order) == 0 {
		return version.Snapshot{}
	}
	return h.snapshots[slices.Max(h.order)]
}

func (h *heldVersions) get(n version.Number) (version.Snapshot, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	s, ok := h.snapshots[n]
	return s, ok
}
