package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Faults holds the injected faults. The zero value injects none.
type Faults struct {
	Down            bool    `json:"down"`             // drop every connection without running the request
	SlowMS          int     `json:"slow-ms"`          // delay of every request, in milliseconds
	LoseResponses   int     `json:"lose-answers"`     // number of commits to apply without a response
	LoseProbability float64 `json:"lose-probability"` // share of commits to apply without a response
	// WritesPerSecond and ReadsPerSecond limit the rows per second of the table; 0
	// means unlimited.
	WritesPerSecond float64 `json:"writes-per-second"`
	ReadsPerSecond  float64 `json:"reads-per-second"`
}

// Counters counts rows and objects as a platform bills them. Rows that are absent
// or whose condition fails are counted, and throttled rows are not.
type Counters struct {
	Reads         uint64 `json:"reads"`  // rows
	Writes        uint64 `json:"writes"` // rows
	ReadRequests  uint64 `json:"read-requests"`
	WriteRequests uint64 `json:"write-requests"`
	ObjectReads   uint64 `json:"object-reads"`
	ObjectWrites  uint64 `json:"object-writes"`
	Throttled     uint64 `json:"throttled"`    // requests
	Dropped       uint64 `json:"dropped"`      // requests that arrived while the platform was down
	LostResponses uint64 `json:"lost-answers"` // commits
}

type counters struct {
	reads, writes, readRequests, writeRequests atomic.Uint64
	objectReads, objectWrites                  atomic.Uint64
	throttled, dropped, lostResponses          atomic.Uint64
}

// faults holds the injected faults and the state for applying them.
type faults struct {
	mu      sync.Mutex
	current Faults
	rng     *rand.Rand
	writes  tokenBucket
	reads   tokenBucket
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, 0))}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.set(f)
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	return p.faults.current
}

// Counters returns the counters since the start.
func (p *Platform) Counters() Counters {
	return Counters{
		Reads:         p.counters.reads.Load(),
		Writes:        p.counters.writes.Load(),
		ReadRequests:  p.counters.readRequests.Load(),
		WriteRequests: p.counters.writeRequests.Load(),
		ObjectReads:   p.counters.objectReads.Load(),
		ObjectWrites:  p.counters.objectWrites.Load(),
		Throttled:     p.counters.throttled.Load(),
		Dropped:       p.counters.dropped.Load(),
		LostResponses: p.counters.lostResponses.Load(),
	}
}

func (f *faults) set(next Faults) {
	f.current = next
	f.writes.setRate(next.WritesPerSecond)
	f.reads.setRate(next.ReadsPerSecond)
}

// loseResponse decides whether the response to an applied commit is lost.
func (f *faults) loseResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseResponses > 0 {
		f.current.LoseResponses--
		return true
	}
	return f.rng.Float64() < f.current.LoseProbability
}

// allow reports whether the rate limit of writes or reads admits n rows, and takes
// them from it.
func (f *faults) allow(write bool, n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if write {
		return f.writes.take(time.Now(), n)
	}
	return f.reads.take(time.Now(), n)
}

// applyFaults delays the request, and drops its connection if the platform is down.
// The delay does not end when the client disconnects, so that a write can take
// effect after its client has given up.
func (p *Platform) applyFaults() {
	if delay := p.Faults().SlowMS; delay > 0 {
		time.Sleep(time.Duration(delay) * time.Millisecond)
	}
	if p.Faults().Down {
		p.counters.dropped.Add(1)
		dropConnection()
	}
}

// dropConnection closes the connection of the request without a response.
func dropConnection() { panic(http.ErrAbortHandler) }

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counters()) }

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) }

func (p *Platform) deleteFaults(w http.ResponseWriter, _ *http.Request) {
	p.SetFaults(Faults{})
	writeJSON(w, p.Faults())
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	p.faults.mu.Lock()
	next := p.faults.current
	err := decodeFaults(r, &next)
	if err == nil {
		p.faults.set(next)
	}
	p.faults.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, next)
}

// decodeFaults sets the fields that are present in the request body.
func decodeFaults(r *http.Request, into *Faults) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decode faults: %w", err)
	}
	if into.SlowMS < 0 || into.LoseResponses < 0 || into.WritesPerSecond < 0 || into.ReadsPerSecond < 0 ||
		into.LoseProbability < 0 || into.LoseProbability > 1 {
		return errors.New("decode faults: values must not be negative, and lose-probability must not exceed 1")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// tokenBucket is a token bucket that holds the tokens of at most one second. A
// request larger than the bucket passes when the bucket is full, since it would
// otherwise never pass.
type tokenBucket struct {
	rate, tokens float64
	refilledAt   time.Time
}

func (b *tokenBucket) setRate(rate float64) {
	if rate != b.rate {
		*b = tokenBucket{rate: rate, tokens: rate, refilledAt: time.Now()}
	}
}

func (b *tokenBucket) take(now time.Time, n int) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < min(float64(n), b.rate) {
		return false
	}
	b.tokens -= float64(n)
	return true
}
