package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/codec"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/platform"
)

// recordPrefix is the prefix of the rows with the records of hosts:
// "host/<region>/<zone>/<host>".
const recordPrefix = "host/"

// recordPage is the number of records that are read at once.
const recordPageSize = 500

func zonePrefix(region host.Region, zone host.AvailabilityZone) platform.Key {
	return platform.Key(fmt.Sprintf("%s%s/%s/", recordPrefix, region, zone))
}

func recordKey(h host.Row) platform.Key {
	return zonePrefix(h.Region, h.Zone) + platform.Key(h.ID)
}

// record is what a host's row says.
type hostRecord struct {
	Host    host.Row         `cbor:"1,keyasint"`
	Servers []backend.Server `cbor:"2,keyasint"`
}

// signedRecord is the value of a host's row: an encoded record with the signature
// of its host, because the table can be written by others than the fleet's hosts.
type signedRecord struct {
	Record    []byte         `cbor:"1,keyasint"`
	Signature link.Signature `cbor:"2,keyasint"`
}

var recordDecoder = codec.StrictDecMode(codec.Limits{MaxLevels: 4})

func encodeRecord(s *link.Signer, r fleet.HostRecord) ([]byte, error) {
	value, err := codec.Marshal(hostRecord{Host: r.Host, Servers: r.Servers})
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	signature, err := s.Sign(value)
	if err != nil {
		return nil, err
	}
	return codec.Marshal(signedRecord{Record: value, Signature: signature})
}

func decodeRecord(s *link.Signer, value []byte) (fleet.HostRecord, error) {
	var signed signedRecord
	if err := recordDecoder.Unmarshal(value, &signed); err != nil {
		return fleet.HostRecord{}, fmt.Errorf("decode: %w", err)
	}
	if err := s.Verify(signed.Record, signed.Signature); err != nil {
		return fleet.HostRecord{}, err
	}
	var v hostRecord
	if err := recordDecoder.Unmarshal(signed.Record, &v); err != nil {
		return fleet.HostRecord{}, fmt.Errorf("decode: %w", err)
	}
	return fleet.HostRecord{Host: v.Host, Servers: v.Servers}, nil
}

// ownRow is the row of this host in the table.
type ownRow struct {
	mu       sync.Mutex
	revision platform.Revision
	known    bool
}

// readRecords reads the records of this zone or of all others.
func (l *loop) readRecords(ctx context.Context, e fleet.ReadRecords) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	own := zonePrefix(l.settings.Region, l.settings.AvailabilityZone)
	prefix := own
	if e.OtherZones {
		prefix = recordPrefix
	}
	start := time.Now()
	rows, err := l.scan(ctx, prefix)
	answer := fleet.ReadRecordsResult{OtherZones: e.OtherZones, Latency: time.Since(start)}
	if err != nil {
		answer.Err = fmt.Errorf("read records of hosts: %w", err)
	}
	for _, r := range rows {
		if r.Key == own+platform.Key(l.settings.HostID) {
			l.ownRow.setRevision(r.Revision)
		}
		v, err := decodeRecord(l.signer, r.Value)
		if err != nil {
			l.log.Warn("Passed over the record of a host that can't be used.", zap.String("row", string(r.Key)), zap.Error(err))
			continue
		}
		if other := v.Host.Zone != l.settings.AvailabilityZone; other == e.OtherZones {
			answer.Records = append(answer.Records, v)
		}
	}
	if err == nil && !e.OtherZones {
		l.ownRow.markRead()
	}
	l.post(ctx, answer)
}

func (l *loop) scan(ctx context.Context, prefix platform.Key) ([]platform.Row, error) {
	var all []platform.Row
	after := platform.Key("")
	for {
		rows, err := l.platform.Scan(ctx, prefix, after, recordPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < recordPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (o *ownRow) setRevision(r platform.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revision, o.known = max(o.revision, r), true
}

// noteAbsent notes that the table has been read; without a row, the revision is
// zero.
func (o *ownRow) markRead() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known = true
}

// publish writes the record of this host. A write of an earlier run that arrives
// late fails on the revision.
func (l *loop) publish(ctx context.Context, e fleet.WriteRecord) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := l.writeRecord(ctx, e.Record)
	if err != nil {
		err = fmt.Errorf("write the record of this host: %w", err)
	}
	l.post(ctx, fleet.WriteRecordResult{Record: e.Record, Ticket: e.Ticket, Err: err})
}

func (l *loop) writeRecord(ctx context.Context, r fleet.HostRecord) error {
	value, err := encodeRecord(l.signer, r)
	if err != nil {
		return err
	}
	key := recordKey(r.Host)
	l.ownRow.mu.Lock()
	defer l.ownRow.mu.Unlock()
	if !l.ownRow.known {
		rows, err := l.platform.Get(ctx, key)
		if err != nil {
			return err
		}
		l.ownRow.revision, l.ownRow.known = rows[0].Revision, true
	}
	result, err := l.platform.Commit(ctx, platform.Write{Key: key, IfRevision: l.ownRow.revision, Value: value})
	if err != nil {
		l.ownRow.known = false
		return err
	}
	if result.Outcome != platform.Applied {
		l.ownRow.known = false
		// An earlier write, whose answer was lost, has taken effect.
		return fleet.ErrRecordConflict
	}
	l.ownRow.revision = result.Revision
	return nil
}

// forget removes the record of a dead host. Another daemon may have done so.
func (l *loop) removeRecord(ctx context.Context, e fleet.DeleteRecord) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	key := recordKey(e.Host)
	rows, err := l.platform.Get(ctx, key)
	if err == nil && rows[0].Revision != 0 {
		_, err = l.platform.Commit(ctx, platform.Write{Key: key, IfRevision: rows[0].Revision, Delete: true})
	}
	if err != nil {
		l.log.Warn("Could not remove the record of a dead host.", zap.String("host", string(e.Host.ID)), zap.Error(err))
	}
}

// tickets let announcements wait until the table has them.
type announcementWaiters struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan struct{}
}

// take returns the next ticket and a channel that is closed when the table has
// the change.
func (t *announcementWaiters) add() (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	if t.waiting == nil {
		t.waiting = make(map[uint64]chan struct{})
	}
	done := make(chan struct{})
	t.waiting[t.last] = done
	return t.last, done
}

// settle ends the waits up to a ticket.
func (t *announcementWaiters) complete(ticket uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, done := range t.waiting {
		if n <= ticket {
			close(done)
			delete(t.waiting, n)
		}
	}
}

// announce passes the row of a backend server on and returns a channel that is
// closed when the table has it.
func (l *loop) announce(ctx context.Context, s backend.Server) <-chan struct{} {
	ticket, done := l.waiters.add()
	l.post(ctx, fleet.ServerAnnounced{Server: s, Ticket: ticket})
	return done
}
