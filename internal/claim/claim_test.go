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

// faultyTable is a Memory whose reads and commits fail at random until healthyAt.
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
	case 0: // applied, response lost
		_, _ = f.Memory.Commit(context.WithoutCancel(ctx), writes...)
		return platform.Result{}, errFault
	case 1: // request lost
		return platform.Result{}, errFault
	case 2: // request delayed
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

// request is a paid call, with the action of its holder once the claim is granted.
type request struct {
	at, deadline, hold time.Duration
	daemon, key        int
	action             testAction
}

// testAction is an action of a holder, of a caller or of the platform.
type testAction int

const (
	actionRecord testAction = iota
	actionCrash
	actionRelease
	actionTake
	actionRemoveExpired // the platform removes expired rows
)

// grantChecker collects the granted claims of a run and the violations found.
type grantChecker struct {
	mu         sync.Mutex
	grants     map[Key][]*heldClaim
	violations []string
}

type heldClaim struct {
	claim    *Claim
	released bool // Release was called
	settled  bool // Record or Release succeeded
}

func (g *grantChecker) addViolation(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violations = append(g.violations, fmt.Sprintf(format, args...))
}

// recordGrant checks that every earlier holder of the key has called Release.
func (g *grantChecker) recordGrant(k Key, c *Claim) *heldClaim {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, earlier := range g.grants[k] {
		if !earlier.released || earlier.claim.record.Epoch >= c.record.Epoch {
			g.violations = append(g.violations, fmt.Sprintf("%v granted in epoch %d while held in epoch %d", k, c.record.Epoch, earlier.claim.record.Epoch))
		}
	}
	h := &heldClaim{claim: c}
	g.grants[k] = append(g.grants[k], h)
	return h
}

func (g *grantChecker) set(field *bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*field = true
}

func (g *grantChecker) runRequest(claims *Claims, r request, k Key) {
	time.Sleep(r.at)
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	decision, err := claims.Take(ctx, k, fingerprint)
	if err != nil {
		g.addViolation("take %v: %v", k, err)
	}
	granted, ok := decision.(Granted)
	if !ok {
		return
	}
	h := g.recordGrant(k, granted.Claim)
	time.Sleep(r.hold)
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	switch r.action {
	case actionRecord:
		err = granted.Claim.Record(ctx, Response{Status: 200, Body: h.claim.record.Nonce[:]})
	case actionRelease:
		g.set(&h.released)
		err = granted.Claim.Release(ctx)
	case actionCrash:
		return
	}
	if err == nil {
		g.set(&h.settled)
	}
}

var fingerprint = FingerprintOf("POST", "/refill", []byte("beads"))

func testKey(i int) Key { return Key{Route: "refill", Value: fmt.Sprint("key-", i)} }

// Guards against running a paid action twice, and against a refused request that
// leaves its key claimed. Several daemons claim the same keys while commits are
// lost or delayed and holders crash or release.
func TestAtMostOneHolder(t *testing.T) {
	milliseconds := func(t *rapid.T, low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var requests []request
		for i := range rapid.IntRange(1, 25).Draw(rt, "requests") {
			requests = append(requests, request{
				// Different nanoseconds make the order of the starts deterministic.
				at:       milliseconds(rt, 0, 4000, "at") + time.Duration(i),
				deadline: milliseconds(rt, 5, 1500, "deadline"),
				hold:     milliseconds(rt, 0, 500, "hold"),
				daemon:   rapid.IntRange(0, 2).Draw(rt, "daemon"),
				key:      rapid.IntRange(0, 2).Draw(rt, "key"),
				// Releases are frequent, because only they permit another epoch.
				action: rapid.SampledFrom([]testAction{actionRecord, actionCrash, actionRelease, actionRelease}).Draw(rt, "action"),
			})
		}
		checker := &grantChecker{grants: map[Key][]*heldClaim{}}
		synctest.Test(t, func(*testing.T) { checker.run(requests, seed) })
		if len(checker.violations) > 0 {
			rt.Fatal(strings.Join(checker.violations, "\n"))
		}
	})
}

func (g *grantChecker) run(requests []request, seed uint64) {
	table := &faultyTable{Memory: platform.NewMemory(), healthyAt: time.Now().Add(10 * time.Second), random: rand.New(rand.NewPCG(seed, 1))}
	var daemons []*Claims
	for i := range byte(3) {
		random := rand.NewChaCha8([32]byte{i, byte(seed)})
		daemons = append(daemons, New(Config{Table: table, Random: &lockedReader{reader: random}}))
	}
	var group sync.WaitGroup
	for _, r := range requests {
		group.Go(func() { g.runRequest(daemons[r.daemon], r, testKey(r.key)) })
	}
	group.Wait()
	time.Sleep(time.Until(table.healthyAt) + 4*time.Second) // after all delayed requests have arrived
	for _, d := range daemons {
		if err := d.Drain(context.Background()); err != nil {
			g.addViolation("drain: %v", err)
		}
	}
	for i := range 3 {
		g.checkFinalState(daemons[0], testKey(i))
	}
}

// checkFinalState takes the key again after the table has recovered. The decision
// must match the action of the last holder.
func (g *grantChecker) checkFinalState(claims *Claims, k Key) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	decision, err := claims.Take(ctx, k, fingerprint)
	var last *heldClaim
	if held := g.grants[k]; len(held) > 0 {
		last = held[len(held)-1]
	}
	ok := err == nil
	switch d := decision.(type) {
	case Granted:
		ok = ok && (last == nil || last.released)
	case Recorded:
		ok = ok && last != nil && !last.released && bytes.Equal(d.Response.Body, last.claim.record.Nonce[:])
	case Pending: // the holder crashed or could not record or release
		ok = ok && last != nil && !last.settled
	default:
		ok = false
	}
	if !ok {
		g.addViolation("%v: got final decision %T, error %v, last held claim %+v", k, decision, err, last)
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
	transactions []int // number of writes in each
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

// Guards against using one transaction per claim, against batches of more than 25
// writes, and against claims that fail because the condition of another write in
// their batch fails.
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
		// Two batches; the one with the conflicting key is sent again without it.
		writes := 0
		for _, n := range table.transactions {
			writes += n
		}
		if got := len(table.transactions); got != 3 || max(table.transactions[0], table.transactions[1]) != maxBatch {
			t.Errorf("got transactions %v, want 3 of at most %d", table.transactions, maxBatch)
		}
		if writes != 30+24 && writes != 30+4 {
			t.Errorf("got %d writes, want 54 or 34: those of the batch with the conflicting key are repeated without it", writes)
		}
	})
}

// Guards against running a repeated request that has other content, and against a
// recorded response that is altered or truncated without notice.
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
		response := Response{
			Status: 201, Body: bytes.Repeat([]byte{'x'}, maxBodyBytes+1),
			Header: http.Header{"Location": {"/refill/1"}, "Set-Cookie": {"secret"}},
		}
		if err := holder.Record(ctx, response); err != nil {
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
			t.Errorf("got %T, want the recorded response with a truncated body and the recorded headers", again)
		}
	})
}

// Guards against a holder that is paused for longer than the retention and then
// overwrites a newer claim or takes its row for its own. Claims, results and row
// removals come in any order.
func TestNewerClaimIsKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.SampledFrom([]testAction{actionTake, actionRemoveExpired, actionRecord, actionRelease}), 2, 12).Draw(rt, "actions")
		distances := rapid.SliceOfN(rapid.IntRange(0, 3), 12, 12).Draw(rt, "holders") // distance from the newest holder
		var err error
		synctest.Test(t, func(*testing.T) {
			model := keyModel{memory: platform.NewMemory()}
			model.claims = New(Config{Table: model.memory, Random: rand.NewChaCha8([32]byte{1}), BatchDelay: time.Nanosecond})
			for i, action := range actions {
				if err = model.step(action, distances[i]); err != nil {
					return
				}
			}
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// keyModel models one key: all claims granted so far and the expected row.
type keyModel struct {
	memory  *platform.Memory
	claims  *Claims
	granted []*Claim
	nonce   nonce // zero when the row does not exist
	state   recordState
}

func (m *keyModel) step(action testAction, distance int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var holder *Claim
	if n := len(m.granted); n > 0 {
		holder = m.granted[max(0, n-1-distance)]
	}
	own := holder != nil && holder.record.Nonce == m.nonce
	switch {
	case action == actionTake:
		decision, _ := m.claims.Take(ctx, testKey(1), fingerprint)
		granted, ok := decision.(Granted)
		if free := m.nonce == (nonce{}) || m.state == released; ok != free {
			return fmt.Errorf("take: got %T, want it granted: %v", decision, free)
		}
		if ok {
			m.granted, m.nonce, m.state = append(m.granted, granted.Claim), granted.Claim.record.Nonce, claimed
		}
	case action == actionRemoveExpired:
		m.memory.RemoveExpired(time.Now().Add(200 * time.Hour))
		m.nonce = nonce{}
	case holder == nil:
	case action == actionRecord:
		err := holder.Record(ctx, Response{Status: 200})
		if want := own && m.state != released; (err == nil) != want {
			return fmt.Errorf("record: got %v, want success: %v", err, want)
		}
		if own && m.state == claimed {
			m.state = recorded
		}
	case holder.Release(ctx) == nil && own && m.state == claimed:
		m.state = released
	}
	r, _, err := m.claims.read(ctx, "claim/refill/key-1")
	if err != nil || r.Nonce != m.nonce || m.nonce != (nonce{}) && r.State != m.state {
		return fmt.Errorf("got row %+v, %v, want nonce %x in state %d", r, err, m.nonce, m.state)
	}
	return nil
}

// hookTable calls beforeCommit, if set, before each commit.
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

// Guards against a mismatch when a released row is removed while the next request
// claims the key: the missing row has no fingerprint to compare.
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
			if commits++; commits == 2 { // the first commit found the released row
				table.RemoveExpired(time.Now().Add(200 * time.Hour))
			}
		}
		got, err := claims.Take(ctx, testKey(1), fingerprint)
		if _, ok := got.(Granted); !ok {
			t.Errorf("got %T %v, want Granted", got, err)
		}
	})
}

// Guards against granting a claim after a pause as long as the retention. Another
// claim may have run the action in the meantime, and its row may be removed.
func TestLateGrantIsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := time.Duration(0)
		table := &hookTable{Memory: platform.NewMemory()}
		claims := New(Config{Table: table, Now: func() time.Time { return time.Now().Add(pause) }})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		table.beforeCommit = func(context.Context) { pause = 200 * time.Hour }
		got, err := claims.Take(ctx, testKey(1), fingerprint)
		if u, ok := got.(Unconfirmed); !ok || !errors.Is(u.Err, ErrExpired) {
			t.Errorf("got %T %v, want Unconfirmed with ErrExpired", got, err)
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
