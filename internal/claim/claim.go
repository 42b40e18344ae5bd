// Package claim holds claims on the idempotency keys of paid actions. A key is
// claimed once and never taken over, so that a paid action runs at most once.
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/platform"
)

// Errors of claims.
var (
	// ErrKey is wrapped by the error for a key that cannot be claimed.
	ErrInvalidKey = errors.New("idempotency key is not usable")
	// ErrSettled says that the claim was recorded or released before.
	ErrSettled = errors.New("claim is already recorded or released")
	// ErrReplaced says that the row was removed after the retention, and may
	// belong to another claim now.
	ErrReplaced = errors.New("claim row was removed after its retention")
	// ErrAnswer is wrapped by the error for an answer that cannot be recorded.
	ErrInvalidResponse = errors.New("answer cannot be recorded")
)

// Limits of what a claim row holds, in bytes.
const (
	maxKeyBytes    = 255 // length of an idempotency key
	maxBodyBytes   = 8 << 10
	maxHeaderBytes = 8 << 10 // recorded header names and values
)

// AnswerLimit is the size in bytes above which the body of an answer is not
// recorded whole.
const MaxRecordedBody = maxBodyBytes

// Key names a paid action: the route and the Idempotency-Key header.
type Key struct {
	Route document.RouteName
	Value string
}

// Fingerprint identifies the content of a request.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request. The path includes the
// query.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	content := sha256.Sum256(body)
	h := sha256.New()
	// A request line has no line feed, so that the parts cannot run together.
	_, _ = fmt.Fprintf(h, "%s\n%s\n", method, path)
	_, _ = h.Write(content[:])
	return Fingerprint(h.Sum(nil))
}

// Answer is the recorded response of a paid action. Record keeps the headers of
// RecordedHeaders and the first 8 KiB of the body; Truncated says that the body
// is longer than that and must not be passed off as the complete response.
type Response struct {
	Status    int         `cbor:"1,keyasint"`
	Header    http.Header `cbor:"2,keyasint"`
	Body      []byte      `cbor:"3,keyasint"`
	Truncated bool        `cbor:"4,keyasint"`
}

// RecordedHeaders returns the response headers that a recorded answer keeps:
// those that describe the body or name what the action created.
func RecordedHeaders() []string {
	return []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified"}
}

// Decision is the outcome of Take. Only Granted permits to run the action.
type Decision interface{ isDecision() }

// Granted permits the caller of Take, and nobody else, to run the action.
type Granted struct{ Claim *Claim }

// Recorded brings the answer to the action, which has run before.
type Recorded struct{ Response Response }

// Pending says that the key is claimed and no answer is recorded: whether the
// action has run is unknown.
type Pending struct{}

// Mismatch says that the key was used with another fingerprint.
type Mismatch struct{}

// Unconfirmed says that no claim was confirmed before the deadline. The action
// was not run under this Take.
type Unconfirmed struct{ Err error }

func (Granted) isDecision()     {}
func (Recorded) isDecision()    {}
func (Pending) isDecision()     {}
func (Mismatch) isDecision()    {}
func (Unconfirmed) isDecision() {}

// Config holds the settings of Claims.
type Config struct {
	Table  platform.Table
	Now    func() time.Time // default time.Now
	Random io.Reader        // source of nonces; default crypto/rand
	// Retention is the time after which the platform may remove the row of a
	// claim, counted from its last write; default 168 h.
	Retention time.Duration
	// Gather is the time in which claims are gathered into one transaction;
	// default 2 ms.
	BatchDelay time.Duration
	// CommitTimeout bounds one transaction; default 2 s.
	CommitTimeout time.Duration
	// ReleaseTimeout bounds the release, in the background, of a claim that was
	// not confirmed but may have been written; default 1 min.
	ReleaseTimeout time.Duration
}

// maxUnconfirmed bounds the releases in the background, so that an outage of
// the table does not pile up work. A claim beyond it stays pending.
const maxBackgroundReleases = 256

// Claims takes claims against the table. It is safe for concurrent use.
type Claims struct {
	config       Config
	batch        *batch
	releases     sync.WaitGroup
	releaseSlots chan struct{} // one per release in the background
}

// New returns Claims.
func New(c Config) *Claims {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Reader
	}
	setDefault(&c.Retention, 168*time.Hour)
	setDefault(&c.BatchDelay, 2*time.Millisecond)
	setDefault(&c.CommitTimeout, 2*time.Second)
	setDefault(&c.ReleaseTimeout, time.Minute)
	return &Claims{
		config:       c,
		batch:        &batch{table: c.Table, delay: c.BatchDelay, timeout: c.CommitTimeout},
		releaseSlots: make(chan struct{}, maxBackgroundReleases),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Drain waits for the releases in the background. A planned stop calls it after
// the last Take has returned.
func (c *Claims) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.releases.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain claims: %w", context.Cause(ctx))
	}
}

// row returns the key of the claim row. Route names contain no slash, so that
// two keys cannot share a row.
func (k Key) row() (platform.Key, error) {
	switch {
	case k.Route == "" || strings.Contains(string(k.Route), "/"):
		return "", fmt.Errorf("%w: route %q", ErrInvalidKey, k.Route)
	case k.Value == "" || len(k.Value) > maxKeyBytes || !utf8.ValidString(k.Value):
		return "", fmt.Errorf("%w: want 1 to %d bytes of UTF-8", ErrInvalidKey, maxKeyBytes)
	}
	return platform.Key("claim/" + string(k.Route) + "/" + k.Value), nil
}

// recorded returns the part of the answer that the row keeps.
func (a Response) trimmed() (Response, error) {
	kept, size := http.Header{}, 0
	for _, name := range RecordedHeaders() {
		for _, value := range a.Header.Values(name) {
			kept.Add(name, value)
			size += len(name) + len(value)
		}
	}
	if size > maxHeaderBytes {
		return Response{}, fmt.Errorf("%w: %d bytes of headers, want at most %d", ErrInvalidResponse, size, maxHeaderBytes)
	}
	a.Header = kept
	if len(a.Body) > maxBodyBytes {
		a.Body, a.Truncated = a.Body[:maxBodyBytes], true
	}
	return a, nil
}
