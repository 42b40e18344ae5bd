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

// attempt is the state of one Take.
type attempt struct {
	claims       *Claims
	key          platform.Key
	record       record            // the claim to write
	baseRevision platform.Revision // revision that the claim replaces; zero inserts
	inDoubt      bool              // a write on base may still apply
	err          error             // of the last failed step
}

// Take claims the key for the action with this fingerprint. It ends at the
// deadline of ctx at the latest, then with Unconfirmed. An error means that the
// key or its row is unusable; like every decision but Granted, it permits
// nothing to run.
func (c *Claims) Take(ctx context.Context, k Key, f Fingerprint) (Decision, error) {
	key, err := k.row()
	if err != nil {
		return nil, err
	}
	a := &attempt{claims: c, key: key}
	a.record = record{State: claimed, Epoch: 1, Fingerprint: f, ClaimedMS: c.config.Now().UnixMilli()}
	if _, err := io.ReadFull(c.config.Random, a.record.Nonce[:]); err != nil {
		return nil, fmt.Errorf("read nonce: %w", err)
	}
	pause := newBackoff(a.record.Nonce, 10*time.Millisecond, 200*time.Millisecond)
	for {
		decision, err := a.tryWrite(ctx)
		if decision != nil || err != nil {
			return decision, err
		}
		if err := pause.wait(ctx); err != nil {
			a.releaseInBackground()
			return Unconfirmed{Err: errors.Join(a.err, err)}, nil
		}
	}
}

// try writes the claim once and looks at the row unless the write applied. It
// returns no decision when nothing is settled.
func (a *attempt) tryWrite(ctx context.Context) (Decision, error) {
	if ctx.Err() != nil {
		return nil, nil
	}
	write, err := a.claims.write(a.record, a.key, a.baseRevision)
	if err != nil {
		return nil, err
	}
	outcome, err := a.claims.batch.commit(ctx, write)
	switch {
	case outcome == platform.Applied:
		return a.grant(write.NextRevision()), nil
	case outcome == platform.Unknown:
		a.inDoubt = true
	}
	if err != nil {
		a.err = err
		if outcome == platform.NotApplied && !a.inDoubt {
			return nil, nil // nothing was sent, so the row has nothing to tell
		}
	}
	return a.decide(ctx)
}

// look decides from the row, which is read consistently. A write whose outcome
// is unknown may apply later, for as long as the row has revision base.
func (a *attempt) decide(ctx context.Context) (Decision, error) {
	r, revision, err := a.claims.read(ctx, a.key)
	var malformed *malformedError
	switch {
	case errors.As(err, &malformed):
		return nil, err
	case err != nil:
		a.err = err
		return nil, nil
	case revision == a.baseRevision:
		return nil, nil
	case r.Nonce == a.record.Nonce:
		return a.grant(revision), nil
	}
	a.inDoubt = false
	switch {
	case revision == 0: // removed after the retention
		a.baseRevision, a.record.Epoch = 0, 1
		return nil, nil
	case r.Fingerprint != a.record.Fingerprint:
		return Mismatch{}, nil
	case r.State == recorded:
		return Recorded{Response: *r.Response}, nil
	case r.State == claimed:
		return Pending{}, nil
	}
	a.baseRevision, a.record.Epoch = revision, r.Epoch+1
	return nil, nil
}

// grant grants the claim, unless the process was paused for so long that another
// holder may have run the action and its row may be removed again. Half of the
// retention is left for differences of the clocks.
func (a *attempt) grant(revision platform.Revision) Decision {
	if c := a.claims.config; c.Now().Sub(time.UnixMilli(a.record.ClaimedMS)) > c.Retention/2 {
		a.inDoubt = true
		a.releaseInBackground()
		return Unconfirmed{Err: ErrReplaced}
	}
	return Granted{Claim: &Claim{claims: a.claims, key: a.key, record: a.record, revision: revision}}
}

// abandon releases, in the background, a claim that may have been written or
// may still be: the caller was told that nothing was run and may try again.
func (a *attempt) releaseInBackground() {
	c := a.claims
	if !a.inDoubt {
		return
	}
	select {
	case c.releaseSlots <- struct{}{}:
	default:
		return
	}
	c.releases.Go(func() {
		defer func() { <-c.releaseSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), c.config.ReleaseTimeout)
		defer cancel()
		pause := newBackoff(a.record.Nonce, 100*time.Millisecond, 15*time.Second)
		for done := false; !done; {
			done = a.tryRelease(ctx) || pause.wait(ctx) != nil
		}
	})
}

// withdrawn makes one attempt to settle the row and reports whether the claim
// is gone for good. Where the claim has not arrived, it writes a released row,
// on whose revision the claim fails when it arrives late.
func (a *attempt) tryRelease(ctx context.Context) bool {
	r, revision, err := a.claims.read(ctx, a.key)
	if err != nil {
		return false
	}
	if revision != a.baseRevision && (r.Nonce != a.record.Nonce || r.State != claimed) {
		return true
	}
	next := a.record
	next.State = released
	write, err := a.claims.write(next, a.key, revision)
	if err != nil {
		return true
	}
	outcome, _ := a.claims.batch.commit(ctx, write)
	return outcome == platform.Applied
}

// Claim permits its holder to run the action once.
type Claim struct {
	claims   *Claims
	key      platform.Key
	record   record
	revision platform.Revision

	mu           sync.Mutex
	settledState recordState // answered or released once the holder decided
}

// Record stores the answer of the action. When ctx ends first, the error says
// that the answer may not be stored; the key stays claimed then, and Record may
// be repeated.
func (c *Claim) Record(ctx context.Context, answer Response) error {
	kept, err := answer.trimmed()
	if err != nil {
		return fmt.Errorf("record %s: %w", c.key, err)
	}
	next := c.record
	next.State, next.Response = recorded, &kept
	return c.settle(ctx, next)
}

// Release makes the key available again. The holder calls it only with proof
// that the action was not run, and must not run it afterwards. Release may be
// repeated when it failed.
func (c *Claim) Release(ctx context.Context) error {
	next := c.record
	next.State = released
	return c.settle(ctx, next)
}

// settle writes the row until it has the next state. Only the holder writes the
// row of a claim, but the platform removes it after the retention, and another
// claim may follow then. A row of another claim means that a release is done.
func (c *Claim) settle(ctx context.Context, next record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settledState != 0 && c.settledState != next.State {
		return fmt.Errorf("settle %s: %w", c.key, ErrSettled)
	}
	c.settledState = next.State
	write, err := c.claims.write(next, c.key, c.revision)
	if err != nil {
		return err
	}
	pause := newBackoff(c.record.Nonce, 10*time.Millisecond, 200*time.Millisecond)
	for {
		outcome, err := c.claims.batch.commit(ctx, write)
		if outcome == platform.Applied {
			return nil
		}
		r, revision, readErr := c.claims.read(ctx, c.key)
		if readErr == nil && revision != c.revision {
			if next.State == released || r.Nonce == c.record.Nonce && r.State == next.State {
				return nil
			}
			return fmt.Errorf("settle %s: %w", c.key, ErrReplaced)
		}
		if waitErr := pause.wait(ctx); waitErr != nil {
			return fmt.Errorf("settle %s: %w", c.key, errors.Join(err, readErr, waitErr))
		}
	}
}

// backoff is a doubling pause with jitter, from half to the whole of it. The
// jitter comes from the nonce, so that daemons spread and tests repeat.
type backoff struct {
	delay, maxDelay time.Duration
	random          *rand.Rand
}

func newBackoff(n nonce, first, limit time.Duration) *backoff {
	seed := rand.NewPCG(binary.BigEndian.Uint64(n[:8]), binary.BigEndian.Uint64(n[8:]))
	return &backoff{delay: first, maxDelay: limit, random: rand.New(seed)}
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
