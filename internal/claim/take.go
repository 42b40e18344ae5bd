package claim

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/platform"
)

// takeState is the state of one Take.
type takeState struct {
	claims       *Claims
	key          platform.Key
	record       record            // claim to write
	baseRevision platform.Revision // revision that the claim replaces; zero inserts a row
	inDoubt      bool              // a write on baseRevision may have applied or may still apply
	err          error             // of the last operation that failed before the deadline
}

// fail records the error of an operation. That the deadline ended the last operation
// tells less than why the ones before failed.
func (s *takeState) fail(ctx context.Context, err error) {
	if s.err == nil || ctx.Err() == nil {
		s.err = err
	}
}

// Take claims the key for the action with this fingerprint. When ctx ends first,
// it returns Unconfirmed. An error means that the key is invalid or its row cannot
// be decoded. The action must not be run after an error or any decision but
// Granted.
func (c *Claims) Take(ctx context.Context, k Key, f Fingerprint) (Decision, error) {
	key, err := k.row()
	if err != nil {
		return nil, err
	}
	s := &takeState{claims: c, key: key}
	s.record = record{State: claimed, Epoch: 1, Fingerprint: f, ClaimedMS: c.config.Now().UnixMilli()}
	if _, err := io.ReadFull(c.config.Random, s.record.Nonce[:]); err != nil {
		return nil, fmt.Errorf("read nonce: %w", err)
	}
	retry := newBackoff(s.record.Nonce, 10*time.Millisecond, 200*time.Millisecond)
	for {
		decision, err := s.tryWrite(ctx)
		if decision != nil || err != nil {
			return decision, err
		}
		if err := retry.wait(ctx); err != nil {
			s.releaseInBackground()
			return Unconfirmed{Err: errors.Join(s.err, err)}, nil
		}
	}
}

// tryWrite writes the claim once and, unless the write applied, decides from the
// row. It returns no decision when the write must be tried again.
func (s *takeState) tryWrite(ctx context.Context) (Decision, error) {
	if ctx.Err() != nil {
		return nil, nil
	}
	write, err := s.claims.newWrite(s.record, s.key, s.baseRevision)
	if err != nil {
		return nil, err
	}
	outcome, err := s.claims.batcher.commit(ctx, write)
	switch {
	case outcome == platform.Applied:
		return s.grant(write.NextRevision()), nil
	case outcome == platform.Unknown:
		s.inDoubt = true
	}
	if err != nil {
		s.fail(ctx, err)
		if outcome == platform.NotApplied && !s.inDoubt {
			return nil, nil // the write was not sent, so there is no need to read the row
		}
	}
	return s.decide(ctx)
}

// decide decides from the row, using a consistent read. A write with unknown
// outcome may still apply as long as the row has baseRevision.
func (s *takeState) decide(ctx context.Context) (Decision, error) {
	r, revision, err := s.claims.read(ctx, s.key)
	var malformed *malformedError
	switch {
	case errors.As(err, &malformed):
		return nil, err
	case err != nil:
		s.fail(ctx, err)
		return nil, nil
	case revision == s.baseRevision:
		return nil, nil
	case r.Nonce == s.record.Nonce:
		return s.grant(revision), nil
	}
	s.inDoubt = false
	switch {
	case revision == 0: // row was removed after the retention
		s.baseRevision, s.record.Epoch = 0, 1
		return nil, nil
	case r.Fingerprint != s.record.Fingerprint:
		return Mismatch{}, nil
	case r.State == recorded:
		return Recorded{Response: *r.Response}, nil
	case r.State == claimed:
		return Pending{}, nil
	}
	s.baseRevision, s.record.Epoch = revision, r.Epoch+1
	return nil, nil
}

// grant grants the claim, unless the process was paused for so long that another
// holder may have run the action and its row may already be removed. It allows
// half of the retention, which leaves the other half for clock skew.
func (s *takeState) grant(revision platform.Revision) Decision {
	if c := s.claims.config; c.Now().Sub(time.UnixMilli(s.record.ClaimedMS)) > c.Retention/2 {
		s.inDoubt = true
		s.releaseInBackground()
		return Unconfirmed{Err: ErrExpired}
	}
	return Granted{Claim: &Claim{claims: s.claims, key: s.key, record: s.record, revision: revision}}
}

// releaseInBackground releases, in the background, a claim that may have been
// written or may still be written. The caller was told that the action was not run
// and may retry it.
func (s *takeState) releaseInBackground() {
	c := s.claims
	if !s.inDoubt {
		return
	}
	select {
	case c.releaseSemaphore <- struct{}{}:
	default:
		return
	}
	c.releases.Go(func() {
		defer func() { <-c.releaseSemaphore }()
		ctx, cancel := context.WithTimeout(context.Background(), c.config.ReleaseTimeout)
		defer cancel()
		retry := newBackoff(s.record.Nonce, 100*time.Millisecond, 15*time.Second)
		for done := false; !done; {
			done = s.tryRelease(ctx) || retry.wait(ctx) != nil
		}
	})
}

// tryRelease attempts once to release the claim and reports whether it is done.
// If the claim has not been written yet, it writes a released row, whose revision
// makes a late write of the claim fail.
func (s *takeState) tryRelease(ctx context.Context) bool {
	r, revision, err := s.claims.read(ctx, s.key)
	if err != nil {
		return false
	}
	if revision != s.baseRevision && (r.Nonce != s.record.Nonce || r.State != claimed) {
		return true
	}
	next := s.record
	next.State = released
	write, err := s.claims.newWrite(next, s.key, revision)
	if err != nil {
		return true
	}
	outcome, _ := s.claims.batcher.commit(ctx, write)
	return outcome == platform.Applied
}

// Claim permits its holder to run the action once.
type Claim struct {
	claims   *Claims
	key      platform.Key
	record   record
	revision platform.Revision

	mu             sync.Mutex
	requestedState recordState // recorded or released, as first requested by the holder; zero before
}

// Record stores the response of the action. When ctx ends first, the response may
// or may not be stored. The key stays claimed in either case, and Record may be
// called again.
func (c *Claim) Record(ctx context.Context, response Response) error {
	stored, err := response.trimmed()
	if err != nil {
		return fmt.Errorf("record response for %s: %w", c.key, err)
	}
	next := c.record
	next.State, next.Response = recorded, &stored
	return c.settle(ctx, next)
}

// Release makes the key available again. The holder may call it only if it is
// certain that the action was not run, and must not run the action afterwards. A
// failed Release may be repeated.
func (c *Claim) Release(ctx context.Context) error {
	next := c.record
	next.State = released
	return c.settle(ctx, next)
}

// settle writes the row until it has the next state. Only the holder writes the
// row of a claim, but the platform removes it after the retention, and another
// claim may follow. A release is complete when the row belongs to another claim.
func (c *Claim) settle(ctx context.Context, next record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestedState != 0 && c.requestedState != next.State {
		return fmt.Errorf("settle %s: %w", c.key, ErrSettled)
	}
	c.requestedState = next.State
	write, err := c.claims.newWrite(next, c.key, c.revision)
	if err != nil {
		return err
	}
	retry := newBackoff(c.record.Nonce, 10*time.Millisecond, 200*time.Millisecond)
	for {
		outcome, err := c.claims.batcher.commit(ctx, write)
		if outcome == platform.Applied {
			return nil
		}
		r, revision, readErr := c.claims.read(ctx, c.key)
		if readErr == nil && revision != c.revision {
			if next.State == released || r.Nonce == c.record.Nonce && r.State == next.State {
				return nil
			}
			return fmt.Errorf("settle %s: %w", c.key, ErrExpired)
		}
		if waitErr := retry.wait(ctx); waitErr != nil {
			return fmt.Errorf("settle %s: %w", c.key, errors.Join(err, readErr, waitErr))
		}
	}
}

// backoff is an exponential backoff. Each wait is between half of the delay and
// the full delay. The jitter is seeded with the nonce, so that daemons wait for
// different times and tests are reproducible.
type backoff struct {
	delay, maxDelay time.Duration
	random          *rand.Rand
}

func newBackoff(n nonce, initial, maxDelay time.Duration) *backoff {
	seed := rand.NewPCG(binary.BigEndian.Uint64(n[:8]), binary.BigEndian.Uint64(n[8:]))
	return &backoff{delay: initial, maxDelay: maxDelay, random: rand.New(seed)}
}

func (b *backoff) wait(ctx context.Context) error {
	timer := time.NewTimer(b.delay/2 + time.Duration(b.random.Int64N(int64(b.delay/2))))
	defer timer.Stop()
	b.delay = min(2*b.delay, b.maxDelay)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
