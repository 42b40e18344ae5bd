// Package operatortest provides a fake backend of the operator API for tests.
package operatortest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/rollout"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
)

// ErrUnavailable is the error of a fake whose platform is unavailable. Responses to
// operators must not contain the text of its cause.
var ErrUnavailable = &operator.PlatformError{Component: operator.Table, Err: errors.New("https response error StatusCode: 0, RequestID: ,")}

// Backend is an in-memory fake of operator.Backend. It accepts submissions like
// the real one. Fields may be set before use; methods may be called concurrently.
type Backend struct {
	// LastAccepted is the time of the last acceptance; each acceptance adds a minute.
	LastAccepted time.Time
	// Zones lists the hosts of each zone. After each call of Status, one more host
	// of each reachable zone counts as having applied the head version, so that a
	// client can observe convergence without a clock.
	Zones []Zone
	// BackendServers is the result of Servers.
	BackendServers []operator.Server
	// StoredRollouts is the result of Rollouts.
	StoredRollouts []operator.Rollout
	// Events are the events that Timeline filters.
	Events     []operator.Event
	Unanswered []host.ID
	Overflowed []host.ID

	mu               sync.Mutex
	versions         []version.Snapshot // by number, from 1
	accepted         map[version.SubmissionID]version.Snapshot
	applied          map[host.AvailabilityZone]int // hosts that have the head version
	unavailable      bool
	slow             bool
	nextUnknown      int
	unreachableZones map[host.AvailabilityZone]bool
}

// Zone is an availability zone of the fake.
type Zone struct {
	Name   host.AvailabilityZone
	Region host.Region
	Hosts  []host.ID
}

var _ operator.Backend = (*Backend)(nil)

// SetUnavailable makes every method fail, or work again.
func (b *Backend) SetUnavailable(unavailable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unavailable = unavailable
}

// MakeNextUnknown makes the next n submissions end with an unknown outcome: an
// accepted one takes effect, a refused one is not recorded.
func (b *Backend) MakeNextUnknown(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextUnknown = n
}

// SetUnreachable makes a zone unreachable, so that it does not converge, or
// reachable again.
func (b *Backend) SetUnreachable(z host.AvailabilityZone, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unreachableZones == nil {
		b.unreachableZones = map[host.AvailabilityZone]bool{}
	}
	b.unreachableZones[z] = unreachable
}

// SetSlow makes submissions wait until their context ends, or not.
func (b *Backend) SetSlow(slow bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = slow
}

// Submit implements operator.Backend.
func (b *Backend) Submit(ctx context.Context, s submission.Submission) submission.Outcome {
	b.mu.Lock()
	slow := b.slow
	b.mu.Unlock()
	if slow {
		<-ctx.Done()
		return submission.Unknown{Err: fmt.Errorf("read head: %w", ErrUnavailable)}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailable {
		return submission.Unknown{Err: ErrUnavailable}
	}
	if done, ok := b.accepted[s.ID]; ok {
		return submission.Accepted{Snapshot: done}
	}
	base, ok := b.versionAt(s.Base)
	if !ok {
		return submission.Refused{Reason: "base version does not exist"}
	}
	head := b.head()
	merged, err := submission.Merge(base, head, s)
	var refused submission.Refused
	if errors.As(err, &refused) {
		if b.nextUnknown > 0 {
			b.nextUnknown--
			return submission.Unknown{Err: fmt.Errorf("record the refusal (%w): %w", refused, ErrUnavailable)}
		}
		return refused
	}
	next, err := b.appendVersion(s.ID, merged, err)
	if err != nil {
		return submission.Refused{Reason: err.Error()}
	}
	if b.nextUnknown > 0 {
		b.nextUnknown--
		return submission.Unknown{Err: fmt.Errorf("commit: %w", ErrUnavailable)}
	}
	return submission.Accepted{Snapshot: next}
}

// appendVersion adds a version. It returns err if that is not nil, so that callers
// pass on the result of submission.Merge.
func (b *Backend) appendVersion(id version.SubmissionID, d document.Document, err error) (version.Snapshot, error) {
	if err != nil {
		return version.Snapshot{}, err
	}
	b.LastAccepted = b.LastAccepted.Add(time.Minute)
	s, err := version.New(b.head().Number()+1, id, b.LastAccepted.UnixMilli(), d)
	if err != nil {
		return s, err
	}
	if b.accepted == nil {
		b.accepted = map[version.SubmissionID]version.Snapshot{}
	}
	b.versions = append(b.versions, s)
	b.accepted[id] = s
	b.applied = map[host.AvailabilityZone]int{}
	return s, nil
}

func (b *Backend) head() version.Snapshot {
	if len(b.versions) == 0 {
		return version.Snapshot{}
	}
	return b.versions[len(b.versions)-1]
}

func (b *Backend) versionAt(n version.Number) (version.Snapshot, bool) {
	switch {
	case n == 0:
		return version.Snapshot{}, true
	case int(n) > len(b.versions):
		return version.Snapshot{}, false
	default:
		return b.versions[n-1], true
	}
}

// checkAvailable returns an error while the fake is unavailable.
func (b *Backend) checkAvailable() error {
	if b.unavailable {
		return ErrUnavailable
	}
	return nil
}

// NewestSnapshot implements operator.Backend.
func (b *Backend) NewestSnapshot(context.Context) (version.Snapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.head(), b.checkAvailable()
}

// Version implements operator.Backend.
func (b *Backend) Version(_ context.Context, n version.Number) (version.Snapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.checkAvailable(); err != nil {
		return version.Snapshot{}, err
	}
	s, ok := b.versionAt(n)
	if !ok {
		return s, operator.ErrNotFound
	}
	return s, nil
}

// History implements operator.Backend.
func (b *Backend) History(_ context.Context, before version.Number, limit int) ([]version.Manifest, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []version.Manifest
	for _, s := range slices.Backward(b.versions) {
		if (before == 0 || s.Number() < before) && len(out) < limit {
			out = append(out, s.Manifest())
		}
	}
	return out, b.checkAvailable()
}

// Status implements operator.Backend.
func (b *Backend) Status(context.Context) (operator.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	head := b.head().Number()
	out := operator.Status{Head: head, Traffic: operator.Traffic{SentBytes: 1200, SentPackets: 10, ReceivedBytes: 2400, ReceivedPackets: 20}}
	for _, z := range b.Zones {
		have := min(b.applied[z.Name], len(z.Hosts))
		zone := operator.Zone{Name: z.Name, Region: z.Region, Hosts: len(z.Hosts), Stragglers: z.Hosts[have:], Unreachable: b.unreachableZones[z.Name]}
		zone.Applied = map[version.Number]int{head: have, max(head, 1) - 1: len(z.Hosts) - have}
		maps.DeleteFunc(zone.Applied, func(_ version.Number, hosts int) bool { return hosts == 0 })
		out.Zones = append(out.Zones, zone)
		if !zone.Unreachable && b.applied != nil {
			b.applied[z.Name]++
		}
	}
	return out, b.checkAvailable()
}

// Servers implements operator.Backend.
func (b *Backend) Servers(context.Context) ([]operator.Server, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.BackendServers, b.checkAvailable()
}

// Rollouts implements operator.Backend.
func (b *Backend) Rollouts(context.Context) ([]operator.Rollout, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.StoredRollouts, b.checkAvailable()
}

// StartRollout implements operator.Backend.
func (b *Backend) StartRollout(_ context.Context, o rollout.Order) (operator.Rollout, error) {
	return b.follow(o)
}

// AbortRollout implements operator.Backend.
func (b *Backend) AbortRollout(_ context.Context, service backend.ServiceName) (operator.Rollout, error) {
	return b.follow(rollout.Order{Service: service, Withdrawn: true})
}

func (b *Backend) follow(o rollout.Order) (operator.Rollout, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.IndexFunc(b.StoredRollouts, func(r operator.Rollout) bool { return r.Row.Service == o.Service })
	if i < 0 {
		b.StoredRollouts = append(b.StoredRollouts, operator.Rollout{})
		i = len(b.StoredRollouts) - 1
	}
	o.Number = b.StoredRollouts[i].Row.Order + 1
	row, changed := rollout.Follow(b.StoredRollouts[i].Row, o, b.LastAccepted)
	if !changed {
		b.StoredRollouts = slices.DeleteFunc(b.StoredRollouts, func(r operator.Rollout) bool { return r.Row.Service == "" })
		return operator.Rollout{}, operator.ErrRolloutRefused
	}
	b.StoredRollouts[i].Row = row
	return b.StoredRollouts[i], b.checkAvailable()
}

// Timeline implements operator.Backend.
func (b *Backend) Timeline(_ context.Context, q operator.Query) (operator.Timeline, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := operator.Timeline{Unanswered: b.Unanswered, Overflowed: b.Overflowed}
	for _, e := range b.Events {
		if (q.Kind == "" || e.Kind == q.Kind) && (q.Version == 0 || e.Version == q.Version) && (q.Server == "" || e.Server == q.Server) &&
			(q.CallID == "" || e.CallID == q.CallID) && (q.Zone == "" || e.Zone == q.Zone) && !e.Time.Before(q.Since) {
			out.Events = append(out.Events, e)
		}
	}
	out.Events = out.Events[max(0, len(out.Events)-q.Limit):]
	return out, b.checkAvailable()
}
