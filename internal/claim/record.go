package claim

import (
	"context"
	"encoding/binary"
	"fmt"

	"github.com/peridotlb/peridotlb/internal/codec"
	"github.com/peridotlb/peridotlb/internal/platform"
)

type recordState uint8

// States of a claim row.
const (
	claimed  recordState = iota + 1 // the holder may run the action
	recorded                        // the action has run and its response is recorded
	released                        // the action was not run; the key may be claimed again
)

type nonce [16]byte

// firstRevision returns the revision of a row that the claim inserts. It is random,
// so that it differs from the revisions of an earlier row of the key that the
// platform removed: a condition on the revision also compares the nonces. The two
// high bits are free for later writes, each of which adds one.
func (n nonce) firstRevision() platform.Revision {
	return platform.Revision(binary.BigEndian.Uint64(n[:])>>2 | 1)
}

// record is the value of a claim row. The row is never deleted here, because a
// late write must fail on its revision. The platform removes it after the
// retention.
type record struct {
	State       recordState `cbor:"1,keyasint"`
	Epoch       uint64      `cbor:"2,keyasint"` // number of the claim on this key, starting at 1
	Nonce       nonce       `cbor:"3,keyasint"` // of the Take that wrote the claim
	Fingerprint Fingerprint `cbor:"4,keyasint"`
	ClaimedMS   int64       `cbor:"5,keyasint"` // Unix milliseconds
	Response    *Response   `cbor:"6,keyasint,omitempty"`
}

var decMode = codec.StrictDecMode(codec.Limits{})

// write returns the write that stores r if the row has revision base.
func (c *Claims) newWrite(r record, key platform.Key, base platform.Revision) (platform.Write, error) {
	value, err := codec.Marshal(r)
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode %s: %w", key, err)
	}
	return platform.Write{
		Key: key, IfRevision: base, Value: value,
		Expires:         platform.ExpiryAfter(c.config.Now(), c.config.Retention),
		InitialRevision: r.Nonce.firstRevision(),
	}, nil
}

// malformedError is returned for a claim row that cannot be decoded. Retrying the
// read does not help.
type malformedError struct {
	key platform.Key
	err error
}

func (e *malformedError) Error() string { return fmt.Sprintf("decode %s: %v", e.key, e.err) }

func (e *malformedError) Unwrap() error { return e.err }

// read returns the claim row and its revision, which is zero when the row does not
// exist.
func (c *Claims) read(ctx context.Context, key platform.Key) (record, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CommitTimeout)
	defer cancel()
	rows, err := c.config.Table.Get(ctx, key)
	if err != nil {
		return record{}, 0, fmt.Errorf("read %s: %w", key, err)
	}
	if rows[0].Revision == 0 {
		return record{}, 0, nil
	}
	var r record
	if err := decMode.Unmarshal(rows[0].Value, &r); err != nil {
		return record{}, 0, &malformedError{key: key, err: err}
	}
	if r.State < claimed || r.State > released || r.State == recorded && r.Response == nil {
		return record{}, 0, &malformedError{key: key, err: fmt.Errorf("state %d is unknown or lacks its response", r.State)}
	}
	return r, rows[0].Revision, nil
}
