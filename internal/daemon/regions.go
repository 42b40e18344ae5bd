package daemon

import (
	"net/netip"
	"sync"

	"github.com/peridotlb/peridotlb/internal/host"
)

// regionTable maps control addresses to regions. Package link looks up every packet
// in it, to count the bytes that cross regions.
type regionTable struct {
	mu      sync.RWMutex
	regions map[netip.Addr]host.Region
}

// lookup returns the region of an address.
func (t *regionTable) lookup(addr netip.Addr) (host.Region, bool) {
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
