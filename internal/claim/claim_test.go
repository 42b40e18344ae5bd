package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/platform"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

var errFault = errors.New("fault")

// faultyTable is a Memory whose commits and reads fail until the time healed.
type faultyTable struct {
	*platform.Memory
	healthyAt time.Time
	mu        sync.Mutex
	random    *rand.Rand
}

func (f *faultyTable) randomN(n int64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(n))
}

func (f *faultyTable) Get(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
	time.Sleep(f.randomN(int64(5 * time.Millisecond)))
	if f.randomN(4) == 0 && time.Now().Before(f.healthyAt) {
		return nil, errFault
	}
	return f.Memory.Get(ctx, keys...)
}

func (f *faultyTable) Commit(ctx context.Context, writes ...platform.Write) (platform.Result, error) {
	time.Sleep(f.randomN(int64(30 * time.Millisecond)))
	fault := f.randomN(8)
	if !time.Now().Before(f.healthyAt) {
		fault = 7
	}
	switch fault {
	case 0: // lost answer
		_, _ = f.Memory.Commit(context.WithoutCancel(ctx), writes...)
		return platform.Result{}, errFault
	case 1: // lost request
		return platform.Result{}, errFault
	case 2: // late request
		delay := f.randomN(int64(3 * time.Second))
		go func() {
			time.Sleep(delay)
			_, _ = f.Memory.Commit(context.WithoutCancel(ctx), writes...)
		}()
		return platform.Result{}, errFault
	case 3: // not sent
		return platform.Result{Outcome: platform.NotApplied}, errFault
	case 4: // conflict with another transaction
		return platform.Result{Outcome: platform.NotApplied}, nil
	}
	return f.Memory.Commit(context.WithoutCancel(ctx), writes...)
}

// request is one paid call and what its holder does once the claim is granted.
type request struct {
	at, deadline, hold time.Duration
	daemon, key        int
	action             holderAction
}

type holderAction int

const (
	actionRecord holderAction = iota
	actionCrash
	actionRelease
	actionTake
	actionRemoveExpired // the platform removes expired rows
)

// ledger collects the grants of a run.
type grantChecker struct {
	mu     sync.Mutex
	grants map[Key][]*heldClaim
	faults []string
}

type heldClaim struct {
	claim    *Claim
	released bool // Release was called
	settled  bool // Record or Release succeeded
}

func (l *grantChecker) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// granted checks that every earlier holder of the key has called Release.
func (l *grantChecker) recordGrant(k Key, c *Claim) *heldClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, earlier := range l.grants[k] {
		if !earlier.released || earlier.claim.record.Epoch >= c.record.Epoch {
			l.faults = append(l.faults, fmt.Sprintf("%v granted in epoch %d, held in epoch %d", k, c.record.Epoch, earlier.claim.record.Epoch))
		}
	}
	h := &heldClaim{claim: c}
	l.grants[k] = append(l.grants[k], h)
	return h
}

func (l *grantChecker) set(field *bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*field = true
}

func (l *grantChecker) runRequest(claims *Claims, r request, k Key) {
	time.Sleep(r.at)
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	decision, err := claims.Take(ctx, k, fingerprint)
	if err != nil {
		l.fail("take %v: %v", k, err)
	}
	granted, ok := decision.(Granted)
	if !ok {
		return
	}
	h := l.recordGrant(k, granted.Claim)
	time.Sleep(r.hold)
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	switch r.action {
	case actionRecord:
		err = granted.Claim.Record(ctx, Response{Status: 200, Body: h.claim.record.Nonce[:]})
	case actionRelease:
		l.set(&h.released)
		err = granted.Claim.Release(ctx)
	case actionCrash:
		return
	}
	if err == nil {
		l.set(&h.settled)
	}
}

var fingerprint = FingerprintOf("POST", "/refill", []byte("beads"))

func testKey(i int) Key { return Key{Route: "refill", Value: fmt.Sprint("key-", i)} }

// Guards against a paid action that runs twice, and against a refused request
// that leaves its key claimed: several daemons, repeated keys, every kind of
// lost or late commit, holders that crash or release.
func TestAtMostOneHolder(t *testing.T) {
	milliseconds := func(t *rapid.T, low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var requests []request
		for i := range rapid.IntRange(1, 25).Draw(rt, "requests") {
			requests = append(requests, request{
				// An odd number of nanoseconds keeps the order of starts fixed.
				at:       milliseconds(rt, 0, 4000, "at") + time.Duration(i),
				deadline: milliseconds(rt, 5, 1500, "deadline"),
				hold:     milliseconds(rt, 0, 500, "hold"),
				daemon:   rapid.IntRange(0, 2).Draw(rt, "daemon"),
				key:      rapid.IntRange(0, 2).Draw(rt, "key"),
				// Releases are common, because only they allow another epoch.
				action: rapid.SampledFrom([]holderAction{actionRecord, actionCrash, actionRelease, actionRelease}).Draw(rt, "behaviour"),
			})
		}
		l := &grantChecker{grants: map[Key][]*heldClaim{}}
		synctest.Test(t, func(*testing.T) { l.run(requests, seed) })
		if len(l.faults) > 0 {
			rt.Fatal(strings.Join(l.faults, "\n"))
		}
	})
}

func (l *grantChecker) run(requests []request, seed uint64) {
	table := &faultyTable{Memory: platform.NewMemory(), healthyAt: time.Now().Add(10 * time.Second), random: rand.New(rand.NewPCG(seed, 1))}
	var daemons []*Claims
	for i := range byte(3) {
		random := rand.NewChaCha8([32]byte{i, byte(seed)})
		daemons = append(daemons, New(Config{Table: table, Random: &lockedReader{reader: random}}))
	}
	var group sync.WaitGroup
	for _, r := range requests {
		group.Go(func() { l.runRequest(daemons[r.daemon], r, testKey(r.key)) })
	}
	group.Wait()
	time.Sleep(time.Until(table.healthyAt) + 4*time.Second) // late requests have arrived
	for _, d := range daemons {
		if err := d.Drain(context.Background()); err != nil {
			l.fail("drain: %v", err)
		}
	}
	for i := range 3 {
		l.checkFinalState(daemons[0], testKey(i))
	}
}

// checkEnd takes the key once more, when the table is healthy: the decision
// must follow from what its last holder did.
func (l *grantChecker) checkFinalState(claims *Claims, k Key) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	decision, err := claims.Take(ctx, k, fingerprint)
	var last *heldClaim
	if held := l.grants[k]; len(held) > 0 {
		last = held[len(held)-1]
	}
	ok := err == nil
	switch d := decision.(type) {
	case Granted:
		ok = ok && (last == nil || last.released)
	case Recorded:
		ok = ok && last != nil && !last.released && bytes.Equal(d.Response.Body, last.claim.record.Nonce[:])
	case Pending: // the holder crashed or could not settle
		ok = ok && last != nil && !last.settled
	default:
		ok = false
	}
	if !ok {
		l.fail("%v ends with %T %v, last holding %+v", k, decision, err, last)
	}
}

type lockedReader struct {
	mu     sync.Mutex
	reader *rand.ChaCha8
}

func (r *lockedReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Read(p)
}

// countingTable counts transactions and writes.
type countingTable struct {
	*platform.Memory
	mu           sync.Mutex
	transactions []int // number of writes of each
	outcome      platform.Outcome
}

func (c *countingTable) Commit(ctx context.Context, writes ...platform.Write) (platform.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transactions = append(c.transactions, len(writes))
	if c.outcome == platform.NotApplied {
		return platform.Result{Outcome: platform.NotApplied}, errFault
	}
	return c.Memory.Commit(ctx, writes...)
}

// Guards against one transaction per claim, against batches above 25, and
// against claims that fail because another one in their batch lost.
func TestClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &countingTable{Memory: platform.NewMemory()}
		claims := New(Config{Table: table})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := claims.Take(ctx, testKey(7), fingerprint); err != nil {
			t.Fatal(err)
		}
		table.transactions = nil
		decisions := make([]Decision, 30)
		var group sync.WaitGroup
		for i := range decisions {
			group.Go(func() { decisions[i], _ = claims.Take(ctx, testKey(i), fingerprint) })
		}
		group.Wait()
		for i, got := range decisions {
			want := "claim.Granted"
			if i == 7 {
				want = "claim.Pending"
			}
			if got := fmt.Sprintf("%T", got); got != want {
				t.Errorf("key %d: got %s, want %s", i, got, want)
			}
		}
		// Two batches, and the one with the loser once more without it.
		writes := 0
		for _, n := range table.transactions {
			writes += n
		}
		if got := len(table.transactions); got != 3 || max(table.transactions[0], table.transactions[1]) != maxBatch {
			t.Errorf("got transactions %v, want 3 of at most %d", table.transactions, maxBatch)
		}
		if writes != 30+24 && writes != 30+4 {
			t.Errorf("got %d writes, want those of the batch with the loser repeated once without it", writes)
		}
	})
}

// Guards against a repeated request that runs with other content, and against
// an answer that changes, or is silently cut, on its way into the row.
func TestRepeatedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claims := New(Config{Table: platform.NewMemory()})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		first, _ := claims.Take(ctx, testKey(1), fingerprint)
		holder := first.(Granted).Claim
		if got, err := claims.Take(ctx, testKey(1), fingerprint); got != (Pending{}) {
			t.Errorf("got %T %v, want Pending", got, err)
		}
		answer := Response{
			Status: 201, Body: bytes.Repeat([]byte{'x'}, maxBodyBytes+1),
			Header: http.Header{"Location": {"/refill/1"}, "Set-Cookie": {"secret"}},
		}
		if err := holder.Record(ctx, answer); err != nil {
			t.Fatal(err)
		}
		if err := holder.Release(ctx); !errors.Is(err, ErrSettled) {
			t.Errorf("release after record: got %v, want ErrSettled", err)
		}
		if got, err := claims.Take(ctx, testKey(1), FingerprintOf("POST", "/refill", []byte("salt"))); got != (Mismatch{}) {
			t.Errorf("got %T %v, want Mismatch", got, err)
		}
		again, _ := claims.Take(ctx, testKey(1), fingerprint)
		got, ok := again.(Recorded)
		if !ok || got.Response.Status != 201 || len(got.Response.Body) != maxBodyBytes || !got.Response.Truncated ||
			got.Response.Header.Get("Location") != "/refill/1" || got.Response.Header.Get("Set-Cookie") != "" {
			t.Errorf("got %T, want the recorded answer, truncated, with selected headers", again)
		}
	})
}

// Guards against a holder that was paused for longer than the retention and
// then writes over a newer claim, and against one that takes the newer claim's
// row for its own: claims, settlements in any order, and removed rows.
func TestNewerClaimIsKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		behaviours := rapid.SliceOfN(rapid.SampledFrom([]holderAction{actionTake, actionRemoveExpired, actionRecord, actionRelease}), 2, 12).Draw(rt, "behaviours")
		older := rapid.SliceOfN(rapid.IntRange(0, 3), 12, 12).Draw(rt, "holders") // how far back
		var err error
		synctest.Test(t, func(*testing.T) {
			p := keyModel{memory: platform.NewMemory()}
			p.claims = New(Config{Table: p.memory, Random: rand.NewChaCha8([32]byte{1}), BatchDelay: time.Nanosecond})
			for i, b := range behaviours {
				if err = p.step(b, older[i]); err != nil {
					return
				}
			}
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// pausedHolders is one key, all its holders so far, and what its row must hold.
type keyModel struct {
	memory  *platform.Memory
	claims  *Claims
	granted []*Claim
	nonce   nonce // zero when the row is absent
	state   recordState
}

func (p *keyModel) step(b holderAction, older int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var holder *Claim
	if n := len(p.granted); n > 0 {
		holder = p.granted[max(0, n-1-older)]
	}
	own := holder != nil && holder.record.Nonce == p.nonce
	switch {
	case b == actionTake:
		decision, _ := p.claims.Take(ctx, testKey(1), fingerprint)
		granted, ok := decision.(Granted)
		if free := p.nonce == (nonce{}) || p.state == released; ok != free {
			return fmt.Errorf("take: got %T, want a grant: %v", decision, free)
		}
		if ok {
			p.granted, p.nonce, p.state = append(p.granted, granted.Claim), granted.Claim.record.Nonce, claimed
		}
	case b == actionRemoveExpired:
		p.memory.RemoveExpired(time.Now().Add(200 * time.Hour))
		p.nonce = nonce{}
	case holder == nil:
	case b == actionRecord:
		err := holder.Record(ctx, Response{Status: 200})
		if want := own && p.state != released; (err == nil) != want {
			return fmt.Errorf("record: got %v, want success: %v", err, want)
		}
		if own && p.state == claimed {
			p.state = recorded
		}
	case holder.Release(ctx) == nil && own && p.state == claimed:
		p.state = released
	}
	r, _, err := p.claims.read(ctx, "claim/refill/key-1")
	if err != nil || r.Nonce != p.nonce || p.nonce != (nonce{}) && r.State != p.state {
		return fmt.Errorf("got row %+v, %v, want nonce %x in state %d", r, err, p.nonce, p.state)
	}
	return nil
}

// hookedTable calls commit, when it is set, before each commit.
type hookTable struct {
	*platform.Memory
	beforeCommit func(context.Context)
}

func (h *hookTable) Commit(ctx context.Context, writes ...platform.Write) (platform.Result, error) {
	if h.beforeCommit != nil {
		h.beforeCommit(ctx)
	}
	return h.Memory.Commit(ctx, writes...)
}

// Guards against a released row that is removed while the next request claims
// it: the request must not take the absent row for one of other content.
func TestReleasedRowIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &hookTable{Memory: platform.NewMemory()}
		claims, ctx := New(Config{Table: table}), t.Context()
		first, _ := claims.Take(ctx, testKey(1), fingerprint)
		if err := first.(Granted).Claim.Release(ctx); err != nil {
			t.Fatal(err)
		}
		commits := 0
		table.beforeCommit = func(context.Context) {
			if commits++; commits == 2 { // the first one found the released row
				table.RemoveExpired(time.Now().Add(200 * time.Hour))
			}
		}
		got, err := claims.Take(ctx, testKey(1), fingerprint)
		if _, ok := got.(Granted); !ok {
			t.Errorf("got %T %v, want Granted", got, err)
		}
	})
}

// Guards against a claim that is granted after a pause as long as the retention:
// the row of a claim that ran the action meanwhile may be gone.
func TestLateGrantIsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := time.Duration(0)
		table := &hookTable{Memory: platform.NewMemory()}
		claims := New(Config{Table: table, Now: func() time.Time { return time.Now().Add(pause) }})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		table.beforeCommit = func(context.Context) { pause = 200 * time.Hour }
		got, err := claims.Take(ctx, testKey(1), fingerprint)
		if u, ok := got.(Unconfirmed); !ok || !errors.Is(u.Err, ErrReplaced) {
			t.Errorf("got %T %v, want Unconfirmed with ErrReplaced", got, err)
		}
		if err := claims.Drain(ctx); err != nil {
			t.Fatal(err)
		}
		again, err := claims.Take(ctx, testKey(1), fingerprint)
		if _, ok := again.(Granted); !ok {
			t.Errorf("repeated: got %T %v, want Granted", again, err)
		}
	})
}

// Guards against a refusal that comes after the deadline, and against keys that
// would share a row or exceed the table's limit.
func TestTakeRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claims := New(Config{Table: &countingTable{Memory: platform.NewMemory(), outcome: platform.NotApplied}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		got, err := claims.Take(ctx, testKey(1), fingerprint)
		refused, ok := got.(Unconfirmed)
		if err != nil || !ok || !errors.Is(refused.Err, errFault) || time.Since(start) != time.Second {
			t.Errorf("got %v, %v after %v, want Unconfirmed with the cause after 1s", got, err, time.Since(start))
		}
		for _, k := range []Key{{}, {Route: "a/b", Value: "c"}, {Route: "a", Value: strings.Repeat("x", maxKeyBytes+1)}, {Route: "a", Value: "\xff"}} {
			if got, err := claims.Take(ctx, k, fingerprint); got != nil || !errors.Is(err, ErrInvalidKey) {
				t.Errorf("%.20v: got %v, %v, want ErrKey", k, got, err)
			}
		}
	})
}
