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
	// CachedVersion returns a version that this daemon has in memory, and
	// NewestVersion the newest of them, so that few sections are read from the
	// object store. If they are nil, only versions that the acceptor itself loaded
	// or committed are reused.
	CachedVersion func(version.Number) (version.Snapshot, bool)
	NewestVersion func() version.Snapshot
	// Now returns the time of acceptance.
	Now func() time.Time
	// Retention is the time after which the platform may remove the row of a
	// submission (default 168 h). A base version that was replaced more than half
	// of this time ago is refused.
	Retention time.Duration
	// Sleep waits between attempts. It returns the error of the context if that
	// ends first.
	Sleep func(context.Context, time.Duration) error
	// Random returns numbers in [0, 1) for the backoff jitter. It is not called
	// concurrently.
	Random func() float64
	// The delay before a retry is random, between zero and a limit that doubles
	// from MinBackoff (default 10 ms) to MaxBackoff (default 1 s).
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// CallTimeout limits one request to the platform (default 2 s), so that a
	// request without a response does not use up the time for retries.
	CallTimeout time.Duration
}

// Acceptor accepts submissions. It is safe for concurrent use, also together
// with other acceptors on the same platform.
type Acceptor struct {
	config Config

	randomMu sync.Mutex

	mu         sync.Mutex
	newestSeen version.Snapshot // reused so that few sections are read from the object store
}

// New returns an Acceptor with defaults for the unset fields of c.
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

// errRowChanged means that another commit applied first: of another submission, or
// of the same one by another daemon or an earlier attempt.
var errRowChanged = errors.New("a row changed during the commit")

// Accept merges a submission into the head version and commits the result. It
// retries after failures of the platform and after concurrent commits. If the
// context ends first, the outcome is Unknown. A refusal that depends on the head
// version is recorded before it is returned. A refusal that depends only on the
// submission needs no row, because every acceptor refuses it in the same way.
func (a *Acceptor) Accept(ctx context.Context, s Submission) Outcome {
	if faults := s.validate(); len(faults) > 0 {
		return Refused{Reason: reasonInvalid, Faults: faults}
	}
	digest, err := s.contentDigest()
	if err != nil {
		return Refused{Reason: err.Error()}
	}
	p := pendingSubmission{Acceptor: a, submission: s, contentDigest: digest, storedSections: map[version.Digest]bool{}}
	for attempt := 0; ; attempt++ {
		outcome, err := p.tryOnce(ctx)
		if err == nil {
			return outcome
		}
		if sleepErr := a.config.Sleep(ctx, a.backoff(attempt)); sleepErr != nil {
			return Unknown{Err: fmt.Errorf("submission %s: %w", s.ID, errors.Join(sleepErr, err))}
		}
	}
}

// backoff returns the delay before a retry, given the number of failed attempts
// before the last one. It has full jitter, so that acceptors whose commits
// collided do not retry at the same time.
func (a *Acceptor) backoff(attempt int) time.Duration {
	limit := a.config.MaxBackoff
	if attempt < 20 { // a larger shift can overflow
		limit = min(limit, a.config.MinBackoff<<attempt)
	}
	a.randomMu.Lock()
	defer a.randomMu.Unlock()
	return time.Duration(a.config.Random() * float64(limit))
}

// pendingSubmission is a submission whose outcome is not decided yet.
type pendingSubmission struct {
	*Acceptor
	submission     Submission
	contentDigest  version.Digest
	storedSections map[version.Digest]bool // already written to the object store
}

// tryOnce makes one attempt. An error means that the outcome is undecided and
// that the attempt may be repeated: after a commit without a response, the next
// attempt reads the submission's row. A second commit on the same head revision
// is harmless, because at most one of the two can apply.
func (p *pendingSubmission) tryOnce(ctx context.Context) (Outcome, error) {
	recordKey := RecordKey(p.submission.ID)
	rows, err := p.readRows(ctx, HeadKey, recordKey)
	if err != nil {
		return nil, err
	}
	if row := findRow(rows, recordKey); row.Revision != 0 {
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

// readRows reads rows of the table, limited by CallTimeout.
func (p *pendingSubmission) readRows(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.CallTimeout)
	defer cancel()
	rows, err := p.config.Platform.Get(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("read %v: %w", keys, err)
	}
	return rows, nil
}

// loadVersion returns the version that a manifest describes. It reuses versions
// in memory and remembers the newest.
func (p *pendingSubmission) loadVersion(ctx context.Context, m version.Manifest) (version.Snapshot, error) {
	p.mu.Lock()
	known := p.newestSeen
	p.mu.Unlock()
	if known.Number() == m.Number {
		return known, nil
	}
	if s, ok := p.config.CachedVersion(m.Number); ok {
		return s, nil
	}
	if newest := p.config.NewestVersion(); newest.Number() > known.Number() {
		known = newest
	}
	s, err := Load(ctx, objectsWithTimeout{p.config.Platform, p.config.CallTimeout}, m, known)
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

// nextVersion merges the submission into the head version. The error is of type
// Refused when the submission cannot be accepted.
func (p *pendingSubmission) nextVersion(ctx context.Context, head version.Snapshot) (version.Snapshot, error) {
	s := p.submission
	base := head
	if s.Base > head.Number() {
		return version.Snapshot{}, Refused{Reason: fmt.Sprintf("base version %d does not exist; the newest version is %d", s.Base, head.Number())}
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

// loadBase loads the base version of the submission, which is older than the
// head. It refuses a base that was replaced more than half of the retention ago:
// the submission may have been accepted since then, and its row removed. This
// covers all such cases, because a version that was created from a submission is
// newer than the base of the submission. The other half of the retention allows
// for clock differences.
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
	successor, err := decodeVersionRow(rows, n+1)
	if err != nil {
		return version.Snapshot{}, refuseIfNoVersion(n+1, err)
	}
	if age := p.config.Now().Sub(time.UnixMilli(successor.AcceptedMS)); age > p.config.Retention/2 {
		return version.Snapshot{}, Refused{Reason: fmt.Sprintf("base version %d was replaced %s ago; apply the change to the current version", n, age.Round(time.Hour))}
	}
	if n == 0 {
		return version.Snapshot{}, nil
	}
	m, err := decodeVersionRow(rows, n)
	if err != nil {
		return version.Snapshot{}, refuseIfNoVersion(n, err)
	}
	return p.loadVersion(ctx, m)
}

// refuseIfNoVersion converts ErrNoVersion into a refusal and returns other
// errors unchanged.
func refuseIfNoVersion(n version.Number, err error) error {
	if errors.Is(err, ErrNoVersion) {
		return Refused{Reason: fmt.Sprintf("version %d is no longer in the table; apply the change to the current version", n)}
	}
	return err
}

// recordRefusal writes a refusal on the condition that the submission has no row.
// A commit of the same submission by another daemon, or a delayed one of an
// earlier attempt, can then no longer apply. After an error the outcome is
// undecided: the submission may have been accepted, and the next attempt reads
// its row.
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

// recordedOutcome returns the outcome that the row of the submission records.
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

// storeSections writes the sections that the head version lacks to the object
// store.
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

// commitVersion writes the new version if the head row still has the given
// revision.
func (p *pendingSubmission) commitVersion(ctx context.Context, revision platform.Revision, next version.Snapshot) (Outcome, error) {
	manifest, err := version.EncodeManifest(next.Manifest())
	if err != nil {
		return nil, err
	}
	recordWrite, err := outcomeRecord{Number: next.Number(), ContentDigest: p.contentDigest}.newWrite(p.submission.ID, p.recordExpiry())
	if err != nil {
		return nil, err
	}
	err = p.commitWrites(
		ctx,
		platform.Write{Key: HeadKey, IfRevision: revision, Value: manifest},
		platform.Write{Key: VersionKey(next.Number()), Value: manifest},
		recordWrite,
	)
	if err != nil {
		return nil, fmt.Errorf("commit version %d: %w", next.Number(), err)
	}
	p.rememberNewest(next)
	return Accepted{Snapshot: next}, nil
}

// recordExpiry returns the expiry of a submission's row that is written now.
func (a *Acceptor) recordExpiry() platform.Expiry {
	return platform.ExpiryAfter(a.config.Now(), a.config.Retention)
}

// commitWrites commits one transaction, limited by CallTimeout. The error is nil
// only if the transaction applied. After errRowChanged it did not apply; after
// any other error it may still apply.
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
		return errors.New("response to the transaction was lost")
	}
}

// objectsWithTimeout limits the time of each request to the object store.
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
