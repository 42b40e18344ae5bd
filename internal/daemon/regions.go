package daemon

import (
	"net/netip"
	"sync"

	"github.com/peridotlb/peridotlb/internal/host"
)

// regionTable maps control addresses to regions. The transport reads it for every
// packet to count the bytes that cross the link between regions.
type regionTable struct {
	mu      sync.RWMutex
	regions map[netip.Addr]host.Region
}

// Load returns the region of an address.
func (t *regionTable) Load(addr netip.Addr) (host.Region, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.regions[addr]
	return r, ok
}

func (t *regionTable) update(rows []host.Row) {
	regions := make(map[netip.Addr]host.Region, len(rows))
	for _, r := range rows {
		regions[r.ControlAddr.Addr()] = r.Region
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regions = regions
}
