package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	readers            = 2
	readInterval       = time.Second
	remoteReadInterval = 5 * time.Second
	remoteReadAfter    = 10 * time.Second // without contact over the region link
	maxReadBackoff     = 10 * time.Second
	// maxStartBackoff bounds the backoff of a host that has no floor yet. With 10 s
	// it could miss the 7 s after the table is reachable again; with 3 s all 1,200
	// hosts together ask 340 times a second, of a budget of 500.
	maxStartBackoff = 3 * time.Second
	// acceptedGrace is the time for the accepting daemon to announce its version,
	// and for a starting daemon to get the newest version from a peer.
	acceptedGrace       = 900 * time.Millisecond
	readAnswerTimeout   = 5 * time.Second
	readJitterDivisor   = 5
	loadAnswerTimeout   = 10 * time.Second
	readersPerRegionKey = "reader"
)

// readerState is the watch on the head row.
type readerState struct {
	nextAt    time.Time
	askedAt   time.Time
	waiting   bool
	backoff   time.Duration
	seen      version.Number // newer version in the head row
	seenAt    time.Time
	loading   version.Number
	loadingAt time.Time
}

// runReader polls the head row when this daemon is a reader of its region.
func (c *Core) runReader() {
	r := &c.reader
	if r.waiting && c.now.Sub(r.askedAt) > readAnswerTimeout {
		r.waiting = false
	}
	if r.waiting || c.now.Before(r.nextAt) || !c.join.headAsked {
		return
	}
	interval, reads := c.readInterval()
	if !reads {
		r.nextAt = c.now.Add(readInterval)
		return
	}
	interval = max(interval, r.backoff)
	r.nextAt = c.now.Add(interval - interval/(2*readJitterDivisor) + c.jitter(interval/readJitterDivisor))
	r.waiting = true
	r.askedAt = c.now
	c.readHead()
}

// readInterval returns how often this daemon reads the head row, if it does.
func (c *Core) readInterval() (time.Duration, bool) {
	home := c.config.PlatformRegion
	if home == "" || home == c.config.Self.Region {
		return readInterval, c.isReader()
	}
	if !c.isRegionRoot() {
		return 0, false
	}
	lost := false
	for _, region := range c.overlay.otherRegions(c.config.Self.Region) {
		lost = lost || c.probes.group(probeGroup{region: region}).unreachable
	}
	known := slices.Contains(c.overlay.otherRegions(c.config.Self.Region), home)
	return remoteReadInterval, lost || !known
}

// isReader reports whether this host is among the first of its region in the
// rendezvous order of readers.
func (c *Core) isReader() bool {
	own := hashOf(readersPerRegionKey, string(c.config.Self.ID))
	before := 0
	for zone, order := range c.overlay.zones {
		if c.overlay.regionOf[zone] != c.config.Self.Region || c.probes.unreachable(zone) {
			continue
		}
		for _, e := range order {
			if e.row.State == host.Alive && hashOf(readersPerRegionKey, string(e.row.ID)) < own {
				if before++; before >= readers {
					return false
				}
			}
		}
	}
	return true
}

func (c *Core) headRead(e HeadRead) {
	r := &c.reader
	r.waiting = false
	if e.Err != nil {
		c.floors.waiting = nil // they read the row themselves
		r.backoff = min(max(2*r.backoff, readInterval), maxReadBackoff)
		if !c.join.settled {
			c.join.headAsked = false
			c.join.readHeadAt = c.now.Add(min(r.backoff, maxStartBackoff) + c.jitter(readInterval))
		}
		return
	}
	r.backoff = 0
	n := e.Manifest.Number
	// Status compares with this version, also while no object store gives it.
	c.versions.known = max(c.versions.known, n)
	c.settle(n)
	c.answerFloors(e.Read, n)
	if n <= c.versions.newest {
		return
	}
	if e.Snapshot.Number() == n {
		c.take(e.Snapshot, netip.AddrPort{})
		return
	}
	if r.seen != n {
		r.seen, r.seenAt = n, c.now
	}
	if c.now.Sub(r.seenAt) < acceptedGrace {
		return
	}
	c.loadVersion(e)
}

// loadVersion takes over a version whose accepting daemon did not announce it.
func (c *Core) loadVersion(e HeadRead) {
	r := &c.reader
	n := e.Manifest.Number
	if r.loading == n && c.now.Sub(r.loadingAt) < loadAnswerTimeout {
		return
	}
	r.loading, r.loadingAt = n, c.now
	c.emit(LoadVersion{Manifest: e.Manifest, Have: c.versions.held[c.versions.newest]})
}

func (c *Core) versionLoaded(e VersionLoaded) {
	c.reader.loading = 0
	if e.Err != nil {
		c.record(Record{Kind: "load-failed", Detail: e.Err.Error()})
		return
	}
	c.record(Record{Kind: "version-loaded", Version: e.Snapshot.Number()})
	c.take(e.Snapshot, netip.AddrPort{})
}
