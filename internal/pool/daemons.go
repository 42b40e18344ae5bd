package pool

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
)

// daemonAvoidTime is the time for which a daemon that could not handle a call is
// not chosen. It limits the requests that the daemons of a fleet without any
// version send to each other, and the delay until a daemon that has just applied
// a version is used.
const daemonAvoidTime = 2 * time.Second

// Daemon is another daemon that calls can be passed to.
type Daemon struct {
	ID       host.ID
	GateAddr netip.AddrPort
}

// Tiers of daemons in the order in which they are tried.
const (
	daemonTierZone = iota
	daemonTierRegion
	daemonTierRemote
	daemonTierSuspect
	daemonTierCount
)

// daemonSet holds the other daemons and whether they have applied a version.
type daemonSet struct {
	mu           sync.Mutex
	tiers        [daemonTierCount][]Daemon
	withVersion  map[host.ID]bool      // daemons that have answered a call, so that they have a version
	avoidedUntil map[host.ID]time.Time // end of the time in which a daemon is not chosen
}

// update rebuilds the tiers from the rows of all hosts.
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
	for id := range d.withVersion {
		if !present[id] {
			delete(d.withVersion, id)
		}
	}
	for id := range d.avoidedUntil {
		if !present[id] {
			delete(d.avoidedUntil, id)
		}
	}
}

// PickDaemon chooses another daemon that is not in tried, nearest tier first. If
// applied is set, daemons that are known to have applied a version are preferred
// to nearer ones. It returns ErrNoServer when none is left.
func (p *Pool) ChooseDaemon(tried []host.ID, applied bool) (Daemon, error) {
	d := &p.daemons
	now := p.config.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := func(id host.ID) bool { return !slices.Contains(tried, id) && !now.Before(d.avoidedUntil[id]) }
	for _, appliedOnly := range []bool{true, false} {
		if appliedOnly && !applied {
			continue
		}
		for _, tier := range d.tiers {
			var candidates []Daemon
			for _, c := range tier {
				if usable(c.ID) && (!appliedOnly || d.withVersion[c.ID]) {
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

// ReportDaemon records the result of a call passed to a daemon. The daemon is
// avoided for a while when applied is false, which means that it has no version
// or did not answer.
func (p *Pool) ReportDaemon(id host.ID, applied bool) {
	d := &p.daemons
	d.mu.Lock()
	defer d.mu.Unlock()
	if applied {
		d.withVersion[id] = true
		return
	}
	delete(d.withVersion, id)
	d.avoidedUntil[id] = p.config.Now().Add(daemonAvoidTime)
}
