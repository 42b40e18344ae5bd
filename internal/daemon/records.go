package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
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

// recordPrefix is the key prefix of host records. Their keys have the form
// "host/<region>/<zone>/<host>".
const recordPrefix = "host/"

// recordPageSize is the number of records per scan request.
const recordPageSize = 500

func zonePrefix(region host.Region, zone host.AvailabilityZone) platform.Key {
	return platform.Key(fmt.Sprintf("%s%s/%s/", recordPrefix, region, zone))
}

func recordKey(h host.Row) platform.Key {
	return zonePrefix(h.Region, h.Zone) + platform.Key(h.ID)
}

// hostRecord is the content of a host's row.
type hostRecord struct {
	Host    host.Row         `cbor:"1,keyasint"`
	Servers []backend.Server `cbor:"2,keyasint"`
}

// signedRecord is the value of a host's row: an encoded hostRecord and the
// signature of its host. It is signed because parties outside the fleet may be
// able to write to the table.
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

// checkRecord returns an error for a record that can be decoded, but not used. Other
// parties may write to the table, and one odd record must not affect the others.
func checkRecord(key platform.Key, r fleet.HostRecord) error {
	if recordKey(r.Host) != key {
		return fmt.Errorf("record of host %q has the key of another host", r.Host.ID)
	}
	if !usable(r.Host.ControlAddr) || !usable(r.Host.GateAddr) {
		return errors.New("record has no control address or no gate address")
	}
	if err := r.Host.Check(); err != nil {
		return err
	}
	for _, s := range r.Servers {
		switch {
		case s.Host != r.Host.ID:
			return fmt.Errorf("record has a backend server %q of another host", s.ID)
		case s.State != backend.Gone && (s.Service == "" || !usable(s.Addr)):
			return fmt.Errorf("backend server %q has no service or no address", s.ID)
		}
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// usable reports whether an address can be connected to.
func usable(a netip.AddrPort) bool { return a.IsValid() && a.Port() != 0 }

// ownRow tracks the revision of this host's row in the table.
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
	result := fleet.ReadRecordsResult{OtherZones: e.OtherZones, Latency: time.Since(start)}
	if err != nil {
		result.Err = fmt.Errorf("read records of hosts: %w", err)
	}
	for _, r := range rows {
		if r.Key == own+platform.Key(l.settings.HostID) {
			l.ownRow.setRevision(r.Revision)
		}
		v, err := decodeRecord(l.signer, r.Value)
		if err == nil {
			err = checkRecord(r.Key, v)
		}
		if err != nil {
			l.log.Warn("Skipped a host record that can't be used.", zap.String("row", string(r.Key)), zap.Error(err))
			continue
		}
		if other := v.Host.Zone != l.settings.AvailabilityZone; other == e.OtherZones {
			result.Records = append(result.Records, v)
		}
	}
	if err == nil && !e.OtherZones {
		l.ownRow.markRead()
	}
	l.post(ctx, result)
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

// markRead records that the table has been read. The revision stays zero if there
// was no row.
func (o *ownRow) markRead() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known = true
}

// executeWriteRecord writes the record of this host and posts the result. The write
// states the expected revision, so that a delayed write of an earlier run of the
// daemon is rejected.
func (l *loop) executeWriteRecord(ctx context.Context, e fleet.WriteRecord) {
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
		// The likely cause is an earlier write that took effect although its response was
		// lost.
		return fleet.ErrRecordConflict
	}
	l.ownRow.revision = result.Revision
	return nil
}

// deleteRecord deletes the record of a dead host, unless another daemon has already
// done so.
func (l *loop) deleteRecord(ctx context.Context, e fleet.DeleteRecord) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	key := recordKey(e.Host)
	rows, err := l.platform.Get(ctx, key)
	if err == nil && rows[0].Revision != 0 {
		_, err = l.platform.Commit(ctx, platform.Write{Key: key, IfRevision: rows[0].Revision, Delete: true})
	}
	if err != nil {
		l.log.Warn("Could not delete the record of a dead host.", zap.String("host", string(e.Host.ID)), zap.Error(err))
	}
}

// announcementWaiters lets announcements wait until their changes are in the table.
type announcementWaiters struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan struct{}
}

// add returns the next ticket and a channel that is closed when its change is in
// the table.
func (w *announcementWaiters) add() (uint64, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	if w.waiting == nil {
		w.waiting = make(map[uint64]chan struct{})
	}
	done := make(chan struct{})
	w.waiting[w.last] = done
	return w.last, done
}

// complete ends the waits of all tickets up to the given one.
func (w *announcementWaiters) complete(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, done := range w.waiting {
		if n <= ticket {
			close(done)
			delete(w.waiting, n)
		}
	}
}

// announce passes a backend server to the core and returns a channel that is closed
// when the table holds a record of this host that includes the change.
func (l *loop) announce(ctx context.Context, s backend.Server) <-chan struct{} {
	ticket, done := l.waiters.add()
	l.post(ctx, fleet.ServerAnnounced{Server: s, Ticket: ticket})
	return done
}
