package submission

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Config configures an Acceptor. Only Platform is required.
type Config struct {
	Platform platform.Service
	// Held returns a version that this daemon holds, and Newest the newest one,
	// so that few sections are read from the object store; nil for none.
	Held   func(version.Number) (version.Snapshot, bool)
	Newest func() version.Snapshot
	// Now gives the time of acceptance.
	Now func() time.Time
	// Retention is the time after which the platform may remove the row of a
	// submission; default 168 h. Half of it bounds the age of a base.
	Retention time.Duration
	// Sleep waits between attempts, or returns the error of the context.
	Sleep func(context.Context, time.Duration) error
	// Random gives numbers in [0, 1) for the jitter. Calls do not overlap.
	Random func() float64
	// The wait before an attempt is a random part of a limit that doubles from
	// MinBackoff (default 10 ms) to MaxBackoff (default 1 s).
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// CallTimeout bounds one request to the platform (default 2 s), so that a
	// request that is never answered does not take the time of all attempts.
	CallTimeout time.Duration
}

// Acceptor accepts submissions. It may be used concurrently, and with other
// acceptors on the same platform.
type Acceptor struct {
	config Config

	randomLock sync.Mutex

	lock sync.Mutex
	last version.Snapshot // newest version seen, so that few sections are read
}

// New returns an acceptor.
func New(c Config) *Acceptor {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Sleep == nil {
		c.Sleep = sleep
	}
	if c.Held == nil {
		c.Held = func(version.Number) (version.Snapshot, bool) { return version.Snapshot{}, false }
	}
	if c.Newest == nil {
		c.Newest = func() version.Snapshot { return version.Snapshot{} }
	}
	if c.Retention == 0 {
		c.Retention = 168 * time.Hour
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.MinBackoff == 0 {
		c.MinBackoff = 10 * time.Millisecond
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = time.Second
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = 2 * time.Second
	}
	return &Acceptor{config: c}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// errContention says that another submission, or another daemon with the same
// one, was first.
var errContention = errors.New("a row changed during the commit")

// Accept merges a submission into the head version and commits the result. It
// tries again after failures of the platform and after commits by others, until
// the context ends; the outcome is then Unknown. A refusal that depends on the
// head is recorded before it is returned. A refusal that follows from the
// submission alone needs no row, because every acceptor refuses it alike.
func (a *Acceptor) Accept(ctx context.Context, s Submission) Outcome {
	if faults := s.check(); len(faults) > 0 {
		return Refused{Reason: reasonInvalid, Faults: faults}
	}
	content, err := s.content()
	if err != nil {
		return Refused{Reason: err.Error()}
	}
	p := procedure{Acceptor: a, submission: s, content: content, stored: map[version.Digest]bool{}}
	for attempt := 0; ; attempt++ {
		outcome, err := p.attempt(ctx)
		if err == nil {
			return outcome
		}
		if ended := a.config.Sleep(ctx, a.backoff(attempt)); ended != nil {
			return Unknown{Err: fmt.Errorf("submission %s: %w", s.ID, errors.Join(ended, err))}
		}
	}
}

// backoff returns the wait after the given number of failed attempts. The whole
// range is random, so that acceptors that collided once are spread out.
func (a *Acceptor) backoff(attempt int) time.Duration {
	limit := a.config.MaxBackoff
	if attempt < 20 { // a larger shift could overflow
		limit = min(limit, a.config.MinBackoff<<attempt)
	}
	a.randomLock.Lock()
	defer a.randomLock.Unlock()
	return time.Duration(a.config.Random() * float64(limit))
}

// procedure is the acceptance of one submission.
type procedure struct {
	*Acceptor
	submission Submission
	content    version.Digest
	stored     map[version.Digest]bool // sections put into the object store
}

// attempt runs the procedure once. An error means that the outcome is open and
// that the caller may try again: after a commit whose answer was lost, the next
// attempt reads the submission's row. A second commit on the same head revision
// is harmless, since at most one of the two can apply.
func (p *procedure) attempt(ctx context.Context) (Outcome, error) {
	record := RecordKey(p.submission.ID)
	rows, err := p.get(ctx, HeadKey, record)
	if err != nil {
		return nil, err
	}
	if row := rowOf(rows, record); row.Revision != 0 {
		return p.recorded(ctx, row)
	}
	revision := rowOf(rows, HeadKey).Revision
	var manifest version.Manifest
	if revision != 0 {
		if manifest, err = manifestOf(rows, HeadKey); err != nil {
			return nil, err
		}
	}
	head, err := p.load(ctx, manifest)
	if err != nil {
		return nil, err
	}
	next, err := p.next(ctx, head)
	var refused Refused
	if errors.As(err, &refused) {
		return p.refuse(ctx, refused)
	}
	if err != nil {
		return nil, err
	}
	if err := p.store(ctx, head, next); err != nil {
		return nil, err
	}
	return p.commit(ctx, revision, next)
}

// get reads rows within the time of one call.
func (p *procedure) get(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
	defer cancel()
	rows, err := p.config.Platform.Get(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("read %v: %w", keys, err)
	}
	return rows, nil
}

// load returns the version of a manifest and keeps it when it is the newest.
func (p *procedure) load(ctx context.Context, m version.Manifest) (version.Snapshot, error) {
	p.lock.Lock()
	last := p.last
	p.lock.Unlock()
	if last.Number() == m.Number {
		return last, nil
	}
	if s, ok := p.config.Held(m.Number); ok {
		return s, nil
	}
	if newest := p.config.Newest(); newest.Number() > last.Number() {
		last = newest
	}
	s, err := Load(ctx, timed{p.config.Platform, p.config.CallTimeout}, m, last)
	if err == nil {
		p.keep(s)
	}
	return s, err
}

func (a *Acceptor) keep(s version.Snapshot) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if s.Number() > a.last.Number() {
		a.last = s
	}
}

// next merges the submission into the head. The error is Refused when it cannot
// be accepted.
func (p *procedure) next(ctx context.Context, head version.Snapshot) (version.Snapshot, error) {
	s := p.submission
	base := head
	if s.Base > head.Number() {
		return version.Snapshot{}, Refused{Reason: fmt.Sprintf("version %d, which was edited, does not exist; the newest is %d", s.Base, head.Number())}
	}
	if s.Base < head.Number() {
		var err error
		if base, err = p.base(ctx); err != nil {
			return version.Snapshot{}, err
		}
	}
	merged, err := Merge(base, head, s)
	if err != nil {
		return version.Snapshot{}, err
	}
	next, err := version.New(head.Number()+1, s.ID, p.config.Now().UnixMilli(), merged)
	if err != nil {
		return version.Snapshot{}, Refused{Reason: err.Error()}
	}
	return next, nil
}

// base loads the version that the operator edited, which is below the head. A
// base that was followed by another version more than half of the retention ago
// is refused: the submission may have been accepted, and its row removed, since
// then. Every version that a submission became follows its base, so that this
// finds all such cases. Half of the retention is left for differences of clocks.
func (p *procedure) base(ctx context.Context) (version.Snapshot, error) {
	n := p.submission.Base
	keys := []platform.Key{VersionKey(n + 1)}
	if n > 0 {
		keys = append(keys, VersionKey(n))
	}
	rows, err := p.get(ctx, keys...)
	if err != nil {
		return version.Snapshot{}, err
	}
	following, err := versionOf(rows, n+1)
	if err != nil {
		return version.Snapshot{}, missing(n+1, err)
	}
	if age := p.config.Now().Sub(time.UnixMilli(following.AcceptedMS)); age > p.config.Retention/2 {
		return version.Snapshot{}, Refused{Reason: fmt.Sprintf("version %d, which was edited, was replaced %s ago; apply the change to the current version", n, age.Round(time.Hour))}
	}
	if n == 0 {
		return version.Snapshot{}, nil
	}
	m, err := versionOf(rows, n)
	if err != nil {
		return version.Snapshot{}, missing(n, err)
	}
	return p.load(ctx, m)
}

// missing returns a refusal when the row of a version is absent.
func missing(n version.Number, err error) error {
	if errors.Is(err, ErrNoVersion) {
		return Refused{Reason: fmt.Sprintf("version %d is not in the table any more; apply the change to the current version", n)}
	}
	return err
}

// refuse records a refusal under the condition that the submission has no row,
// so that its commit at another daemon, or a late one of an earlier attempt,
// can no longer apply. An error leaves the outcome open: the submission may have
// been accepted, and the next attempt reads its row.
func (p *procedure) refuse(ctx context.Context, r Refused) (Outcome, error) {
	write, err := record{Content: p.content, Refusal: newRefusal(r)}.write(p.submission.ID, p.expiry())
	if err != nil {
		return nil, err
	}
	if err := p.write(ctx, write); err != nil {
		return nil, fmt.Errorf("record the refusal (%w): %w", r, err)
	}
	return r, nil
}

// recorded returns the outcome of a submission that was decided earlier.
func (p *procedure) recorded(ctx context.Context, row platform.Row) (Outcome, error) {
	r, err := readRecord(row)
	if err != nil {
		return nil, err
	}
	if r.Content != p.content {
		return Refused{Reason: fmt.Sprintf("submission id %s was used for another submission, %s; choose a new id", p.submission.ID, r)}, nil
	}
	if r.Refusal != nil {
		return r.Refusal.refused(), nil
	}
	rows, err := p.get(ctx, VersionKey(r.Number))
	if err != nil {
		return nil, err
	}
	m, err := versionOf(rows, r.Number)
	if err != nil {
		return nil, err
	}
	s, err := p.load(ctx, m)
	if err != nil {
		return nil, err
	}
	return Accepted{Snapshot: s}, nil
}

// store puts the sections that the head does not have into the object store.
func (p *procedure) store(ctx context.Context, head, next version.Snapshot) error {
	var missing []version.Digest
	for _, ref := range next.Manifest().Sections {
		if head.Blob(ref.Digest) == nil && !p.stored[ref.Digest] {
			missing = append(missing, ref.Digest)
		}
	}
	objects := timed{p.config.Platform, p.config.CallTimeout}
	err := each(ctx, missing, func(ctx context.Context, d version.Digest) error {
		data, err := message.Compress(next.Blob(d), nil)
		if err != nil {
			return fmt.Errorf("compress section %s: %w", d, err)
		}
		if err := objects.PutObject(ctx, ObjectName(d), data); err != nil {
			return fmt.Errorf("store section %s: %w", d, err)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, d := range missing {
		p.stored[d] = true
	}
	return nil
}

// commit writes the new version if the head still has the given revision.
func (p *procedure) commit(ctx context.Context, revision platform.Revision, next version.Snapshot) (Outcome, error) {
	manifest, err := version.EncodeManifest(next.Manifest())
	if err != nil {
		return nil, err
	}
	recorded, err := record{Number: next.Number(), Content: p.content}.write(p.submission.ID, p.expiry())
	if err != nil {
		return nil, err
	}
	err = p.write(
		ctx,
		platform.Write{Key: HeadKey, IfRevision: revision, Value: manifest},
		platform.Write{Key: VersionKey(next.Number()), Value: manifest},
		recorded,
	)
	if err != nil {
		return nil, fmt.Errorf("commit version %d: %w", next.Number(), err)
	}
	p.keep(next)
	return Accepted{Snapshot: next}, nil
}

// expiry returns the expiry of a submission's row that is written now.
func (a *Acceptor) expiry() platform.Expiry {
	return platform.ExpiryAfter(a.config.Now(), a.config.Retention)
}

// write commits one transaction within the time of one call. The error is nil
// only when it applied; after other errors than errContention it may apply.
func (p *procedure) write(ctx context.Context, writes ...platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
	defer cancel()
	result, err := p.config.Platform.Commit(ctx, writes...)
	switch {
	case result.Outcome == platform.Applied:
		return nil
	case err != nil:
		return err
	case result.Outcome == platform.NotApplied:
		return errContention
	default:
		return errors.New("answer was lost")
	}
}

// timed bounds each request to the object store.
type timed struct {
	platform.ObjectStore
	timeout time.Duration
}

func (t timed) PutObject(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.ObjectStore.PutObject(ctx, name, data)
}

func (t timed) GetObject(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.ObjectStore.GetObject(ctx, name)
}
