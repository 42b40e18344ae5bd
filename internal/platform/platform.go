// Package platform defines the interface to the platform's transactional table
// service and object store, with a DynamoDB and S3 client and an in-memory
// implementation.
package platform

import (
	"context"
	"errors"
	"time"
)

// Key is the key of a row of the table, for example "head" or "submission/4f1c".
type Key string

// Revision counts the writes to a row. Zero means that the row is absent.
type Revision uint64

// Expiry is the Unix time in seconds after which the table service may remove a row.
// Zero means never. The table service may take days to remove an expired row. Until
// then, the row behaves like any other: reads return it, and conditions apply to its
// revision. Daemons therefore never compare an expiry with their clock. Remote
// adjusts expiries if the clock of this host is behind that of the table service.
type Expiry int64

// ExpiryAfter returns the expiry of a row that is to be kept until now plus d.
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

// Write is a conditional write of a transaction. It is applied only if the row has
// revision IfRevision; zero requires the row to be absent. It replaces the whole
// row, including its expiry.
type Write struct {
	Key        Key
	IfRevision Revision
	Value      []byte
	Expires    Expiry
	// InitialRevision is the revision of an inserted row; zero means 1. The writer
	// of a row that expires must choose a revision that no previous row with the
	// same key had. Otherwise, a delayed write to the previous row could be applied
	// to the new one.
	InitialRevision Revision
	Delete          bool
}

// NextRevision returns the revision of the row after the write is applied.
func (w Write) NextRevision() Revision {
	if w.IfRevision == 0 {
		return max(w.InitialRevision, 1)
	}
	return w.IfRevision + 1
}

// Outcome is the outcome of a transaction.
type Outcome uint8

// Outcomes of a transaction.
const (
	Unknown    Outcome = iota // no response was received; the writes may have been applied
	Applied                   // all writes were applied
	NotApplied                // no write was applied
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

// Result is the result of a transaction. If the outcome is NotApplied, Failed
// contains the indexes of the writes whose conditions failed, if the platform
// reports them.
type Result struct {
	Outcome Outcome
	Failed  []int
	// Revision is the revision of the written rows if all have the same, or zero if
	// it is not known. It is always set for an applied transaction with a single
	// write.
	Revision Revision
}

// appliedResult returns the result of a transaction that was applied.
func appliedResult(writes []Write) Result {
	r := Result{Outcome: Applied}
	if len(writes) == 1 {
		r.Revision = writes[0].NextRevision()
	}
	return r
}

// ErrNotFound is wrapped by errors about objects that do not exist.
var ErrNotFound = errors.New("object not found")

// Table is the transactional table service.
type Table interface {
	// Get returns rows in the order of keys. Reads are consistent: they reflect all
	// previous commits. An absent row has revision zero.
	Get(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns at most limit rows whose keys start with prefix and are greater
	// than after, in ascending order of their keys.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies all writes or none of them, at most 100 in a transaction. The
	// error is nil only if the outcome is Applied or NotApplied; if it is Unknown,
	// the error is the reason. If the request could not be sent, or if the table
	// service throttled it, the outcome is NotApplied and the error is not nil.
	Commit(ctx context.Context, writes ...Write) (Result, error)
}

// ObjectStore is the object store. Objects are immutable, and their names are
// derived from their content.
type ObjectStore interface {
	// PutObject stores an object. It is idempotent.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or an error that wraps ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Service combines the services of the platform.
type Service interface {
	Table
	ObjectStore
}
