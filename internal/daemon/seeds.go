package daemon

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/platform"
)

const (
	seedPrefix = "host/"
	// seedWriteJitter spreads the writes of a mass start: 1,200 first starts
	// make 60 writes a second, below the budget of 75.
	seedWriteJitter = 20 * time.Second
	seedWriteTries  = 5
)

func seedKey(row host.Row) platform.Key {
	return platform.Key(fmt.Sprintf("%s%s/%s/%s", seedPrefix, row.Region, row.Zone, row.ID))
}

// readPeers reads host rows of the table.
func (l *loop) readPeers(ctx context.Context, e fleet.ReadPeers) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read := l.nearSeeds
	switch e.Scope {
	case fleet.EveryZone:
		read = l.zoneSeeds
	case fleet.OtherRegions:
		read = l.otherSeeds
	}
	peers, err := read(ctx)
	l.post(ctx, fleet.PeersRead{Peers: peers, Scope: e.Scope, Err: err})
}

// nearSeeds returns hosts of this zone, from a random place on so that starting
// daemons do not all ask the same ones, then hosts of this region, and of other
// regions only when it has none.
func (l *loop) nearSeeds(ctx context.Context) ([]netip.AddrPort, error) {
	region := platform.Key(seedPrefix + string(l.settings.Region) + "/")
	zone := region + platform.Key(l.settings.AvailabilityZone) + "/"
	own := zone + platform.Key(l.settings.HostID)
	scans := []struct{ prefix, after platform.Key }{{zone, own}, {zone, ""}, {region, ""}, {seedPrefix, ""}}
	if rand.IntN(2) == 0 {
		scans[0], scans[1] = scans[1], scans[0]
	}
	var peers []netip.AddrPort
	for i, s := range scans {
		if i >= 2 && len(peers) > 0 {
			break
		}
		found, err := l.scanSeeds(ctx, s.prefix, s.after)
		if err != nil {
			return nil, err
		}
		rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
		peers = append(peers, found...)
	}
	return peers, nil
}

// otherSeeds returns hosts of other regions: those before and those after the
// rows of this region.
func (l *loop) otherSeeds(ctx context.Context) ([]netip.AddrPort, error) {
	region := platform.Key(seedPrefix + string(l.settings.Region) + "/")
	before, err := l.scanSeeds(ctx, seedPrefix, "")
	if err != nil {
		return nil, err
	}
	// No key of a region is above its prefix followed by the highest byte.
	after, err := l.scanSeeds(ctx, seedPrefix, region+"\xff")
	return append(before, after...), err
}

// zoneSeeds returns hosts of this zone that follow this host in the order of
// their ids, and the first host of each other zone of this region.
func (l *loop) zoneSeeds(ctx context.Context) ([]netip.AddrPort, error) {
	region := platform.Key(seedPrefix + string(l.settings.Region) + "/")
	zone := region + platform.Key(l.settings.AvailabilityZone) + "/"
	peers, err := l.scanSeeds(ctx, zone, zone+platform.Key(l.settings.HostID))
	if err != nil {
		return nil, err
	}
	if len(peers) < seedPeers {
		first, err := l.scanSeeds(ctx, zone, "")
		if err != nil {
			return nil, err
		}
		peers = append(peers, first...)
	}
	for after := platform.Key(""); ; {
		l.meters.tableReads.Inc()
		rows, err := l.platform.Scan(ctx, region, after, 1)
		if err != nil {
			return nil, fmt.Errorf("scan zones: %w", err)
		}
		if len(rows) == 0 {
			return peers, nil
		}
		name, _, _ := strings.Cut(strings.TrimPrefix(string(rows[0].Key), string(region)), "/")
		after = region + platform.Key(name) + "/\xff"
		if addr, err := netip.ParseAddrPort(string(rows[0].Value)); err == nil && name != string(l.settings.AvailabilityZone) {
			peers = append(peers, addr)
		}
	}
}

// scanSeeds reads host rows, without those of this region when the prefix
// covers all regions.
func (l *loop) scanSeeds(ctx context.Context, prefix, after platform.Key) ([]netip.AddrPort, error) {
	l.meters.tableReads.Inc()
	rows, err := l.platform.Scan(ctx, prefix, after, seedPeers)
	if err != nil {
		return nil, fmt.Errorf("scan host rows: %w", err)
	}
	own := seedPrefix + string(l.settings.Region) + "/"
	var peers []netip.AddrPort
	for _, r := range rows {
		if prefix == seedPrefix && strings.HasPrefix(string(r.Key), own) {
			continue
		}
		if addr, err := netip.ParseAddrPort(string(r.Value)); err == nil && addr != l.settings.ControlAddress {
			peers = append(peers, addr)
		}
	}
	return peers, nil
}

// writeHost publishes the control address of this host as a first contact for
// others. The row is read first: after most restarts it is already right.
func (l *loop) writeHost(ctx context.Context, row host.Row) {
	key, value := seedKey(row), []byte(row.ControlAddr.String())
	for try := range seedWriteTries {
		wait := time.Duration(0)
		if len(l.settings.Peers) > 0 || try > 0 {
			wait = rand.N(seedWriteJitter)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		done, err := l.writeSeed(ctx, key, value)
		if done {
			return
		}
		l.log.Warn("Could not write the host row.", zap.Error(err))
	}
}

func (l *loop) writeSeed(ctx context.Context, key platform.Key, value []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := l.platform.Get(ctx, key)
	if err != nil {
		return false, fmt.Errorf("read host row: %w", err)
	}
	if len(rows) == 1 && bytes.Equal(rows[0].Value, value) {
		return true, nil
	}
	w := platform.Write{Key: key, Value: value}
	if len(rows) == 1 {
		w.If = rows[0].Revision
	}
	result, err := l.platform.Commit(ctx, w)
	if err != nil {
		return false, fmt.Errorf("write host row %s: %w", strings.TrimPrefix(string(key), seedPrefix), err)
	}
	return result.Outcome == platform.Applied, nil
}
