package proxy

import (
	"context"
	"net/http"

	"github.com/peridotlb/peridotlb/internal/document"
)

// Claims grants the right to run a paid action once.
type Claims interface {
	// Take claims a key. An error or Unconfirmed means that nothing may run.
	Take(ctx context.Context, key ClaimKey, f Fingerprint) (Decision, error)
}

// ClaimKey names a paid action.
type ClaimKey struct {
	Route document.RouteName
	Key   string // the caller's Idempotency-Key
}

// Fingerprint is the SHA-256 of method, path with query, and body.
type Fingerprint [32]byte

// Decision is the answer to Take.
type Decision interface{ isDecision() }

// Granted permits to run the action.
type Granted struct{ Claim Claim }

// Recorded brings the response that an earlier run got.
type Recorded struct{ Answer Answer }

// Pending says that the action was claimed and has no recorded response.
type Pending struct{}

// Mismatch says that the key was used for another request.
type Mismatch struct{}

// Unconfirmed says that the claim could not be confirmed in time.
type Unconfirmed struct{ Err error }

func (Granted) isDecision()     {}
func (Recorded) isDecision()    {}
func (Pending) isDecision()     {}
func (Mismatch) isDecision()    {}
func (Unconfirmed) isDecision() {}

// Claim is a granted claim. One of its methods is called once.
type Claim interface {
	// Record keeps the response for repeated requests.
	Record(ctx context.Context, a Answer) error
	// Release frees the key after proof that nothing was run.
	Release(ctx context.Context) error
}

// AnswerLimit is the largest body in bytes that is recorded.
const AnswerLimit = 8 << 10

// Answer is a recorded response. Partial means that the body was larger than
// AnswerLimit and is not recorded.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Partial bool
}
