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
	CachedVersion func(version.Number) (version.Snapshot, bool)
	NewestVersion func() version.Snapshot
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

	randomMu sync.Mutex

	mu         sync.Mutex
	newestSeen version.Snapshot // newest version seen, so that few sections are read
}

// New returns an acceptor.
func New(c Config) *Acceptor {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Sleep == nil {
		c.Sleep = sleepContext
	}
	if c.CachedVersion == nil {
		c.CachedVersion = func(version.Number) (version.Snapshot, bool) { return version.Snapshot{}, false }
	}
	if c.NewestVersion == nil {
		c.NewestVersion = func() version.Snapshot { return version.Snapshot{} }
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

func sleepContext(ctx context.Context, d time.Duration) error {
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
var errRowChanged = errors.New("a row changed during the commit")

// Accept merges a submission into the head version and commits the result. It
// tries again after failures of the platform and after commits by others, until
// the context ends; the outcome is then Unknown. A refusal that depends on the
// head is recorded before it is returned. A refusal that follows from the
// submission alone needs no row, because every acceptor refuses it alike.
func (a *Acceptor) Accept(ctx context.Context, s Submission) Outcome {
	if faults := s.validate(); len(faults) > 0 {
		return Refused{Reason: reasonInvalid, Faults: faults}
	}
	content, err := s.contentDigest()
	if err != nil {
		return Refused{Reason: err.Error()}
	}
	p := pendingSubmission{Acceptor: a, submission: s, contentDigest: content, storedSections: map[version.Digest]bool{}}
	for attempt := 0; ; attempt++ {
		outcome, err := p.tryOnce(ctx)
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
	a.randomMu.Lock()
	defer a.randomMu.Unlock()
	return time.Duration(a.config.Random() * float64(limit))
}

// procedure is the acceptance of one submission.
type pendingSubmission struct {
	*Acceptor
	submission     Submission
	contentDigest  version.Digest
	storedSections map[version.Digest]bool // sections put into the object store
}

// attempt runs the procedure once. An error means that the outcome is open and
// that the caller may try again: after a commit whose answer was lost, the next
// attempt reads the submission's row. A second commit on the same head revision
// is harmless, since at most one of the two can apply.
func (p *pendingSubmission) tryOnce(ctx context.Context) (Outcome, error) {
	record := RecordKey(p.submission.ID)
	rows, err := p.readRows(ctx, HeadKey, record)
	if err != nil {
		return nil, err
	}
	if row := findRow(rows, record); row.Revision != 0 {
		return p.recordedOutcome(ctx, row)
	}
	revision := findRow(rows, HeadKey).Revision
	var manifest version.Manifest
	if revision != 0 {
		if manifest, err = decodeManifestRow(rows, HeadKey); err != nil {
			return nil, err
		}
	}
	head, err := p.loadVersion(ctx, manifest)
	if err != nil {
		return nil, err
	}
	next, err := p.nextVersion(ctx, head)
	var refused Refused
	if errors.As(err, &refused) {
		return p.recordRefusal(ctx, refused)
	}
	if err != nil {
		return nil, err
	}
	if err := p.storeSections(ctx, head, next); err != nil {
		return nil, err
	}
	return p.commitVersion(ctx, revision, next)
}

// get reads rows within the time of one call.
func (p *pendingSubmission) readRows(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
	defer cancel()
	rows, err := p.config.Platform.Get(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("read %v: %w", keys, err)
	}
	return rows, nil
}

// load returns the version of a manifest and keeps it when it is the newest.
func (p *pendingSubmission) loadVersion(ctx context.Context, m version.Manifest) (version.Snapshot, error) {
	p.mu.Lock()
	last := p.newestSeen
	p.mu.Unlock()
	if last.Number() == m.Number {
		return last, nil
	}
	if s, ok := p.config.CachedVersion(m.Number); ok {
		return s, nil
	}
	if newest := p.config.NewestVersion(); newest.Number() > last.Number() {
		last = newest
	}
	s, err := Load(ctx, objectsWithTimeout{p.config.Platform, p.config.CallTimeout}, m, last)
	if err == nil {
		p.rememberNewest(s)
	}
	return s, err
}

func (a *Acceptor) rememberNewest(s version.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Number() > a.newestSeen.Number() {
		a.newestSeen = s
	}
}

// next merges the submission into the head. The error is Refused when it cannot
// be accepted.
func (p *pendingSubmission) nextVersion(ctx context.Context, head version.Snapshot) (version.Snapshot, error) {
	s := p.submission
	base := head
	if s.Base > head.Number() {
		return version.Snapshot{}, Refused{Reason: fmt.Sprintf("version %d, which was edited, does not exist; the newest is %d", s.Base, head.Number())}
	}
	if s.Base < head.Number() {
		var err error
		if base, err = p.loadBase(ctx); err != nil {
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
func (p *pendingSubmission) loadBase(ctx context.Context) (version.Snapshot, error) {
	n := p.submission.Base
	keys := []platform.Key{VersionKey(n + 1)}
	if n > 0 {
		keys = append(keys, VersionKey(n))
	}
	rows, err := p.readRows(ctx, keys...)
	if err != nil {
		return version.Snapshot{}, err
	}
	following, err := decodeVersionRow(rows, n+1)
	if err != nil {
		return version.Snapshot{}, missingVersionError(n+1, err)
	}
	if age := p.config.Now().Sub(time.UnixMilli(following.AcceptedMS)); age > p.config.Retention/2 {
		return version.Snapshot{}, Refused{Reason: fmt.Sprintf("version %d, which was edited, was replaced %s ago; apply the change to the current version", n, age.Round(time.Hour))}
	}
	if n == 0 {
		return version.Snapshot{}, nil
	}
	m, err := decodeVersionRow(rows, n)
	if err != nil {
		return version.Snapshot{}, missingVersionError(n, err)
	}
	return p.loadVersion(ctx, m)
}

// missing returns a refusal when the row of a version is absent.
func missingVersionError(n version.Number, err error) error {
	if errors.Is(err, ErrNoVersion) {
		return Refused{Reason: fmt.Sprintf("version %d is not in the table any more; apply the change to the current version", n)}
	}
	return err
}

// refuse records a refusal under the condition that the submission has no row,
// so that its commit at another daemon, or a late one of an earlier attempt,
// can no longer apply. An error leaves the outcome open: the submission may have
// been accepted, and the next attempt reads its row.
func (p *pendingSubmission) recordRefusal(ctx context.Context, r Refused) (Outcome, error) {
	write, err := outcomeRecord{ContentDigest: p.contentDigest, Refusal: newRecordedRefusal(r)}.newWrite(p.submission.ID, p.recordExpiry())
	if err != nil {
		return nil, err
	}
	if err := p.commitWrites(ctx, write); err != nil {
		return nil, fmt.Errorf("record the refusal (%w): %w", r, err)
	}
	return r, nil
}

// recorded returns the outcome of a submission that was decided earlier.
func (p *pendingSubmission) recordedOutcome(ctx context.Context, row platform.Row) (Outcome, error) {
	r, err := decodeRecord(row)
	if err != nil {
		return nil, err
	}
	if r.ContentDigest != p.contentDigest {
		return Refused{Reason: fmt.Sprintf("submission id %s was used for another submission, %s; choose a new id", p.submission.ID, r)}, nil
	}
	if r.Refusal != nil {
		return r.Refusal.toRefused(), nil
	}
	rows, err := p.readRows(ctx, VersionKey(r.Number))
	if err != nil {
		return nil, err
	}
	m, err := decodeVersionRow(rows, r.Number)
	if err != nil {
		return nil, err
	}
	s, err := p.loadVersion(ctx, m)
	if err != nil {
		return nil, err
	}
	return Accepted{Snapshot: s}, nil
}

// store puts the sections that the head does not have into the object store.
func (p *pendingSubmission) storeSections(ctx context.Context, head, next version.Snapshot) error {
	var missing []version.Digest
	for _, ref := range next.Manifest().Sections {
		if head.Blob(ref.Digest) == nil && !p.storedSections[ref.Digest] {
			missing = append(missing, ref.Digest)
		}
	}
	objects := objectsWithTimeout{p.config.Platform, p.config.CallTimeout}
	err := forEachDigest(ctx, missing, func(ctx context.Context, d version.Digest) error {
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
		p.storedSections[d] = true
	}
	return nil
}

// commit writes the new version if the head still has the given revision.
func (p *pendingSubmission) commitVersion(ctx context.Context, revision platform.Revision, next version.Snapshot) (Outcome, error) {
	manifest, err := version.EncodeManifest(next.Manifest())
	if err != nil {
		return nil, err
	}
	recorded, err := outcomeRecord{Number: next.Number(), ContentDigest: p.contentDigest}.newWrite(p.submission.ID, p.recordExpiry())
	if err != nil {
		return nil, err
	}
	err = p.commitWrites(
		ctx,
		platform.Write{Key: HeadKey, IfRevision: revision, Value: manifest},
		platform.Write{Key: VersionKey(next.Number()), Value: manifest},
		recorded,
	)
	if err != nil {
		return nil, fmt.Errorf("commit version %d: %w", next.Number(), err)
	}
	p.rememberNewest(next)
	return Accepted{Snapshot: next}, nil
}

// expiry returns the expiry of a submission's row that is written now.
func (a *Acceptor) recordExpiry() platform.Expiry {
	return platform.ExpiryAfter(a.config.Now(), a.config.Retention)
}

// write commits one transaction within the time of one call. The error is nil
// only when it applied; after other errors than errContention it may apply.
func (p *pendingSubmission) commitWrites(ctx context.Context, writes ...platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
	defer cancel()
	result, err := p.config.Platform.Commit(ctx, writes...)
	switch {
	case result.Outcome == platform.Applied:
		return nil
	case err != nil:
		return err
	case result.Outcome == platform.NotApplied:
		return errRowChanged
	default:
		return errors.New("answer was lost")
	}
}

// timed bounds each request to the object store.
type objectsWithTimeout struct {
	platform.ObjectStore
	timeout time.Duration
}

func (t objectsWithTimeout) PutObject(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.ObjectStore.PutObject(ctx, name, data)
}

func (t objectsWithTimeout) GetObject(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.ObjectStore.GetObject(ctx, name)
}
