// Package claim stores claims on the idempotency keys of paid actions. A claim is
// never taken over by another holder, so that a paid action runs at most once.
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
	// ErrInvalidKey is wrapped by the error for a key that cannot be claimed.
	ErrInvalidKey = errors.New("invalid idempotency key")
	// ErrSettled is returned when the claim was already recorded or released.
	ErrSettled = errors.New("claim is already recorded or released")
	// ErrReplaced is returned when the row of the claim was removed after the
	// retention. The key may belong to another claim now.
	ErrExpired = errors.New("claim row was removed after its retention")
	// ErrInvalidResponse is wrapped by the error for a response that cannot be
	// recorded.
	ErrInvalidResponse = errors.New("response cannot be recorded")
)

// Size limits of a claim row.
const (
	maxKeyBytes    = 255 // of an idempotency key
	maxBodyBytes   = 8 << 10
	maxHeaderBytes = 8 << 10 // of the recorded header names and values together
)

// MaxRecordedBody is the maximum number of bytes of a response body that is
// recorded. Longer bodies are truncated.
const MaxRecordedBodyBytes = maxBodyBytes

// Key identifies a paid action by its route and the value of the Idempotency-Key
// header.
type Key struct {
	Route document.RouteName
	Value string
}

// Fingerprint identifies the content of a request.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request. The path must include the
// query string.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	content := sha256.Sum256(body)
	h := sha256.New()
	// Method and path contain no line feed, so that the encoding is unambiguous.
	_, _ = fmt.Fprintf(h, "%s\n%s\n", method, path)
	_, _ = h.Write(content[:])
	return Fingerprint(h.Sum(nil))
}

// Response is the recorded response of a paid action. Record keeps the headers of
// RecordedHeaders and the first 8 KiB of the body. Truncated is set when the body
// was longer; it must not be served as the complete response then.
type Response struct {
	Status    int         `cbor:"1,keyasint"`
	Header    http.Header `cbor:"2,keyasint"`
	Body      []byte      `cbor:"3,keyasint"`
	Truncated bool        `cbor:"4,keyasint"`
}

// RecordedHeaders returns the names of the response headers that are recorded:
// those that describe the body or identify the created resource.
func RecordedHeaders() []string {
	return []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified"}
}

// Decision is the result of Take. Only Granted permits running the action.
type Decision interface{ isDecision() }

// Granted permits the caller of Take, and no other, to run the action.
type Granted struct{ Claim *Claim }

// Recorded holds the response of the action, which has already run.
type Recorded struct{ Response Response }

// Pending is returned when the key is claimed and no response is recorded.
// Whether the action has run is unknown.
type Pending struct{}

// Mismatch is returned when the key was used with another fingerprint.
type Mismatch struct{}

// Unconfirmed is returned when no claim was confirmed before the deadline. The
// action must not be run on behalf of this Take.
type Unconfirmed struct{ Err error }

func (Granted) isDecision()     {}
func (Recorded) isDecision()    {}
func (Pending) isDecision()     {}
func (Mismatch) isDecision()    {}
func (Unconfirmed) isDecision() {}

// Config holds the settings of Claims.
type Config struct {
	Table  platform.Table
	Now    func() time.Time // defaults to time.Now
	Random io.Reader        // source of nonces; defaults to crypto/rand
	// Retention is the time from the last write of a claim row until the platform
	// may remove it; defaults to 168 h.
	Retention time.Duration
	// BatchDelay is the time for which writes are collected into one transaction;
	// defaults to 2 ms.
	BatchDelay time.Duration
	// CommitTimeout limits the duration of one transaction; defaults to 2 s.
	CommitTimeout time.Duration
	// ReleaseTimeout limits the background release of a claim that was not confirmed
	// but may have been written; defaults to 1 min.
	ReleaseTimeout time.Duration
}

// maxBackgroundReleases limits the number of concurrent background releases, so
// that they do not accumulate during an outage of the table. A claim beyond the
// limit stays pending.
const maxBackgroundReleases = 256

// Claims acquires and settles claims in the table. It is safe for concurrent use.
type Claims struct {
	config           Config
	batcher          *batcher
	releases         sync.WaitGroup
	releaseSemaphore chan struct{} // semaphore of background releases
}

// New returns Claims with defaults for the settings that are not set.
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
		config:           c,
		batcher:          &batcher{table: c.Table, delay: c.BatchDelay, timeout: c.CommitTimeout},
		releaseSemaphore: make(chan struct{}, maxBackgroundReleases),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Drain waits for the background releases. Call it for a planned stop, after the
// last Take has returned.
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
		return fmt.Errorf("wait for background releases of claims: %w", context.Cause(ctx))
	}
}

// row returns the table key of the claim row. Route names contain no slash, so
// that no two keys share a row.
func (k Key) row() (platform.Key, error) {
	switch {
	case k.Route == "" || strings.Contains(string(k.Route), "/"):
		return "", fmt.Errorf("%w: route name %q is empty or contains a slash", ErrInvalidKey, k.Route)
	case k.Value == "" || len(k.Value) > maxKeyBytes || !utf8.ValidString(k.Value):
		return "", fmt.Errorf("%w: must be 1 to %d bytes of valid UTF-8", ErrInvalidKey, maxKeyBytes)
	}
	return platform.Key("claim/" + string(k.Route) + "/" + k.Value), nil
}

// trimmed returns the part of the response that is stored in the row.
func (r Response) trimmed() (Response, error) {
	header, size := http.Header{}, 0
	for _, name := range RecordedHeaders() {
		for _, value := range r.Header.Values(name) {
			header.Add(name, value)
			size += len(name) + len(value)
		}
	}
	if size > maxHeaderBytes {
		return Response{}, fmt.Errorf("%w: recorded headers have %d bytes, at most %d are allowed", ErrInvalidResponse, size, maxHeaderBytes)
	}
	r.Header = header
	if len(r.Body) > maxBodyBytes {
		r.Body, r.Truncated = r.Body[:maxBodyBytes], true
	}
	return r, nil
}
