package pool

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
)

// avoidTime is the time for which a daemon that could not take a call is not
// chosen. It bounds the requests that a fleet without any version sends to
// itself, and the delay until a daemon that has just applied one is used.
const daemonAvoidTime = 2 * time.Second

// Daemon is another daemon, whose entry can take calls.
type Daemon struct {
	ID       host.ID
	GateAddr netip.AddrPort
}

// Tiers of daemons, which are tried in this order.
const (
	daemonTierZone = iota
	daemonTierRegion
	daemonTierRemote
	daemonTierSuspect
	daemonTierCount
)

// daemons holds the other daemons and what is known of their versions.
type daemonSet struct {
	mu           sync.Mutex
	tiers        [daemonTierCount][]Daemon
	applied      map[host.ID]bool      // daemons that have answered a call
	avoidedUntil map[host.ID]time.Time // end of the time for which a daemon is not chosen
}

// update takes the rows of all hosts.
func (d *daemonSet) update(c Config, rows []host.Row) {
	var tiers [daemonTierCount][]Daemon
	present := make(map[host.ID]bool, len(rows))
	for _, row := range rows {
		if row.ID == c.Self || row.State > host.Suspect {
			continue
		}
		tier := daemonTierRemote
		switch {
		case row.State == host.Suspect:
			tier = daemonTierSuspect
		case row.Zone == c.Zone:
			tier = daemonTierZone
		case row.Region == c.Region:
			tier = daemonTierRegion
		}
		present[row.ID] = true
		tiers[tier] = append(tiers[tier], Daemon{row.ID, row.GateAddr})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tiers = tiers
	for id := range d.applied {
		if !present[id] {
			delete(d.applied, id)
		}
	}
	for id := range d.avoidedUntil {
		if !present[id] {
			delete(d.avoidedUntil, id)
		}
	}
}

// PickDaemon chooses another daemon that is not in tried, the nearest tier
// first. With applied, daemons that are known to have applied a version come
// before the nearer ones. It returns ErrNoServer when none is left.
func (p *Pool) PickDaemon(tried []host.ID, applied bool) (Daemon, error) {
	d := &p.daemons
	now := p.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := func(id host.ID) bool { return !slices.Contains(tried, id) && !now.Before(d.avoidedUntil[id]) }
	for _, known := range []bool{true, false} {
		if known && !applied {
			continue
		}
		for _, tier := range d.tiers {
			var candidates []Daemon
			for _, c := range tier {
				if usable(c.ID) && (!known || d.applied[c.ID]) {
					candidates = append(candidates, c)
				}
			}
			if len(candidates) > 0 {
				p.random.Lock()
				defer p.random.Unlock()
				return candidates[p.random.IntN(len(candidates))], nil
			}
		}
	}
	return Daemon{}, ErrNoServer
}

// ReportDaemon takes the result of a call passed to a daemon. With applied
// false, which means that it has no version or did not answer, it is avoided.
func (p *Pool) ReportDaemon(id host.ID, applied bool) {
	d := &p.daemons
	d.mu.Lock()
	defer d.mu.Unlock()
	if applied {
		d.applied[id] = true
		return
	}
	delete(d.applied, id)
	d.avoidedUntil[id] = p.config.Now().Add(daemonAvoidTime)
}
