package daemon

import (
	"slices"
	"sync"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/version"
)

// retainedVersions gives other goroutines than that of the core access to the
// versions that the core retains.
type retainedVersions struct {
	mu        sync.RWMutex
	snapshots map[version.Number]version.Snapshot
	order     []version.Number
}

func (r *retainedVersions) add(s version.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshots == nil {
		r.snapshots = make(map[version.Number]version.Snapshot)
	}
	r.snapshots[s.Number()] = s
	r.order = append(r.order, s.Number())
	if len(r.order) > fleet.RetainedVersions {
		delete(r.snapshots, r.order[0])
		r.order = r.order[1:]
	}
}

// newest returns the retained version with the highest number, or the zero value
// if there is none.
func (r *retainedVersions) newest() version.Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.order) == 0 {
		return version.Snapshot{}
	}
	return r.snapshots[slices.Max(r.order)]
}

func (r *retainedVersions) get(n version.Number) (version.Snapshot, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, ok := r.snapshots[n]
	return s, ok
}
