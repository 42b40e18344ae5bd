// Package platform is the narrow interface to the platform's transactional
// table service and object store.
package platform

import (
	"context"
	"errors"
	"time"
)

// Key names a row of the table, for example "head" or "submission/4f1c".
type Key string

// Revision counts the writes to a row. Zero means that the row is absent.
type Revision uint64

// Expiry is the time, in Unix seconds, after which the service may remove a row
// by itself. Zero means never. Until it is removed, which may take days, an
// expired row is like any other: reads return it and conditions see its
// revision. So no daemon compares its clock with an expiry. The adapter corrects
// an expiry when the clock of this host is behind that of the service.
type Expiry int64

// ExpiryAfter returns the expiry of a row that is kept for d from now on.
func ExpiryAfter(now time.Time, d time.Duration) Expiry {
	return Expiry(now.Add(d).Unix())
}

// Row is a row of the table.
type Row struct {
	Key      Key
	Value    []byte
	Revision Revision
	Expires  Expiry
}

// Write is one conditional write of a transaction. It applies only when the
// row has revision If; If zero requires the row to be absent. It replaces the
// whole row, the expiry included.
type Write struct {
	Key        Key
	IfRevision Revision
	Value      []byte
	Expires    Expiry
	// First is the revision of a row that is inserted; zero means 1. The writer
	// of a row that expires chooses one that no earlier row with the key had,
	// because a late write on the earlier row would apply to the new one.
	InitialRevision Revision
	Delete          bool
}

// Next returns the revision that the row has after the write.
func (w Write) NextRevision() Revision {
	if w.IfRevision == 0 {
		return max(w.InitialRevision, 1)
	}
	return w.IfRevision + 1
}

// Outcome tells what became of a transaction.
type Outcome uint8

// Outcomes of a transaction.
const (
	Unknown    Outcome = iota // the answer was lost; the writes may have applied
	Applied                   // every write applied
	NotApplied                // no write applied, because a condition failed
)

// String returns the name of the outcome in kebab case.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not-applied"
	default:
		return "unknown"
	}
}

// Result is the outcome of a transaction. On NotApplied, Failed holds the
// indexes of the writes whose condition failed, where the platform tells them.
type Result struct {
	Outcome Outcome
	Failed  []int
	// Revision is that of the rows written, when all of them have the same.
	Revision Revision
}

// applied is the result of writes that applied.
func appliedResult(writes []Write) Result {
	r := Result{Outcome: Applied}
	if len(writes) == 1 {
		r.Revision = writes[0].NextRevision()
	}
	return r
}

// ErrNotFound is returned for an absent object.
var ErrNotFound = errors.New("object not found")

// Table is the transactional table service.
type Table interface {
	// Get reads rows consistently with earlier commits. An absent row has
	// revision zero. Rows come in the order of keys.
	Get(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is
	// greater than after, in the order of keys.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies all writes or none, at most 100 in one transaction. A nil
	// error goes with Applied and NotApplied only; with Unknown, the error says
	// why. An error before anything was sent, and a request that the service
	// refused for its rate, return NotApplied and the error.
	Commit(ctx context.Context, writes ...Write) (Result, error)
}

// Objects is the object store. Objects are named by their content and never
// change.
type ObjectStore interface {
	// PutObject stores data under name; storing it twice is harmless.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the object or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Service is the platform as a whole.
type Service interface {
	Table
	ObjectStore
}
