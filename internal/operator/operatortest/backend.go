// Package operatortest has a fake backend of the operator API for tests.
package operatortest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
)

// ErrDown is the error of a fake whose platform is down. Operators do not see the
// text of its cause.
var ErrDown = &operator.PlatformError{Part: operator.Table, Err: errors.New("https response error StatusCode: 0, RequestID: ,")}

// Backend is a fake operator.Backend in memory. It accepts submissions like the
// real one. Fields may be set before use; methods may be called concurrently.
type Backend struct {
	// Now is the time of the next acceptance; each acceptance adds a minute.
	Now time.Time
	// Fleet lists the hosts of each zone. A status that was asked for once
	// counts the head version as applied on one more host of each zone, so
	// that a client can observe convergence without a clock.
	Fleet []Zone
	// ServerRows is the answer of Servers.
	ServerRows []operator.Server
	// Events is what Timeline filters.
	Events     []operator.Event
	Unanswered []host.ID
	Overflowed []host.ID

	lock      sync.Mutex
	versions  []version.Snapshot // by number, from 1
	records   map[version.SubmissionID]version.Snapshot
	applied   map[host.AvailabilityZone]int // hosts that have the head version
	down      bool
	slow      bool
	loseNext  int
	heldZones map[host.AvailabilityZone]bool
}

// Zone is an availability zone of the fake.
type Zone struct {
	Name   host.AvailabilityZone
	Region host.Region
	Hosts  []host.ID
}

var _ operator.Backend = (*Backend)(nil)

// SetDown makes every method fail, or work again.
func (b *Backend) SetDown(down bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.down = down
}

// LoseNext makes the next n submissions end with an unknown outcome: an accepted
// one takes effect, a refused one is not recorded.
func (b *Backend) LoseNext(n int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.loseNext = n
}

// HoldZone makes a zone unreachable, so that it does not converge.
func (b *Backend) HoldZone(z host.AvailabilityZone, hold bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.heldZones == nil {
		b.heldZones = map[host.AvailabilityZone]bool{}
	}
	b.heldZones[z] = hold
}

// SetSlow makes submissions wait until their context ends.
func (b *Backend) SetSlow(slow bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.slow = slow
}

// Submit implements operator.Backend.
func (b *Backend) Submit(ctx context.Context, s submission.Submission) submission.Outcome {
	b.lock.Lock()
	slow := b.slow
	b.lock.Unlock()
	if slow {
		<-ctx.Done()
		return submission.Unknown{Err: fmt.Errorf("read head: %w", ErrDown)}
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.down {
		return submission.Unknown{Err: ErrDown}
	}
	if done, ok := b.records[s.ID]; ok {
		return submission.Accepted{Snapshot: done}
	}
	base, ok := b.at(s.Base)
	if !ok {
		return submission.Refused{Reason: "base version does not exist"}
	}
	head := b.head()
	merged, err := submission.Merge(base, head, s)
	var refused submission.Refused
	if errors.As(err, &refused) {
		if b.loseNext > 0 {
			b.loseNext--
			return submission.Unknown{Err: fmt.Errorf("record the refusal (%w): %w", refused, ErrDown)}
		}
		return refused
	}
	next, err := b.next(s.ID, merged, err)
	if err != nil {
		return submission.Refused{Reason: err.Error()}
	}
	if b.loseNext > 0 {
		b.loseNext--
		return submission.Unknown{Err: fmt.Errorf("commit: %w", ErrDown)}
	}
	return submission.Accepted{Snapshot: next}
}

func (b *Backend) next(id version.SubmissionID, d document.Document, err error) (version.Snapshot, error) {
	if err != nil {
		return version.Snapshot{}, err
	}
	b.Now = b.Now.Add(time.Minute)
	s, err := version.New(b.head().Number()+1, id, b.Now.UnixMilli(), d)
	if err != nil {
		return s, err
	}
	if b.records == nil {
		b.records = map[version.SubmissionID]version.Snapshot{}
	}
	b.versions = append(b.versions, s)
	b.records[id] = s
	b.applied = map[host.AvailabilityZone]int{}
	return s, nil
}

func (b *Backend) head() version.Snapshot {
	if len(b.versions) == 0 {
		return version.Snapshot{}
	}
	return b.versions[len(b.versions)-1]
}

func (b *Backend) at(n version.Number) (version.Snapshot, bool) {
	switch {
	case n == 0:
		return version.Snapshot{}, true
	case int(n) > len(b.versions):
		return version.Snapshot{}, false
	default:
		return b.versions[n-1], true
	}
}

// guard returns an error while the fake is down.
func (b *Backend) guard() error {
	if b.down {
		return ErrDown
	}
	return nil
}

// Snapshot implements operator.Backend.
func (b *Backend) Snapshot(context.Context) (version.Snapshot, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.head(), b.guard()
}

// Version implements operator.Backend.
func (b *Backend) Version(_ context.Context, n version.Number) (version.Snapshot, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if err := b.guard(); err != nil {
		return version.Snapshot{}, err
	}
	s, ok := b.at(n)
	if !ok {
		return s, operator.ErrNotFound
	}
	return s, nil
}

// History implements operator.Backend.
func (b *Backend) History(_ context.Context, before version.Number, limit int) ([]version.Manifest, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	var out []version.Manifest
	for _, s := range slices.Backward(b.versions) {
		if (before == 0 || s.Number() < before) && len(out) < limit {
			out = append(out, s.Manifest())
		}
	}
	return out, b.guard()
}

// Status implements operator.Backend.
func (b *Backend) Status(context.Context) (operator.Status, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	head := b.head().Number()
	out := operator.Status{Head: head, Traffic: operator.Traffic{SentBytes: 1200, SentPackets: 10, ReceivedBytes: 2400, ReceivedPackets: 20}}
	for _, z := range b.Fleet {
		have := min(b.applied[z.Name], len(z.Hosts))
		zone := operator.Zone{Name: z.Name, Region: z.Region, Hosts: len(z.Hosts), Stragglers: z.Hosts[have:], Unreachable: b.heldZones[z.Name]}
		zone.Applied = map[version.Number]int{head: have, max(head, 1) - 1: len(z.Hosts) - have}
		maps.DeleteFunc(zone.Applied, func(_ version.Number, hosts int) bool { return hosts == 0 })
		out.Zones = append(out.Zones, zone)
		if !zone.Unreachable && b.applied != nil {
			b.applied[z.Name]++
		}
	}
	return out, b.guard()
}

// Servers implements operator.Backend.
func (b *Backend) Servers(context.Context) ([]operator.Server, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.ServerRows, b.guard()
}

// Timeline implements operator.Backend.
func (b *Backend) Timeline(_ context.Context, q operator.Query) (operator.Timeline, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	out := operator.Timeline{Unanswered: b.Unanswered, Overflowed: b.Overflowed}
	for _, e := range b.Events {
		if (q.Kind == "" || e.Kind == q.Kind) && (q.Version == 0 || e.Version == q.Version) && (q.Server == "" || e.Server == q.Server) &&
			(q.CallID == "" || e.CallID == q.CallID) && (q.Zone == "" || e.Zone == q.Zone) && !e.Time.Before(q.Since) {
			out.Events = append(out.Events, e)
		}
	}
	out.Events = out.Events[max(0, len(out.Events)-q.Limit):]
	return out, b.guard()
}
