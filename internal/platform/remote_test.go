package platform_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/test/platform/stand"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// newRemoteForHandler returns a Remote for a server with the given handler.
func newRemoteForHandler(t *testing.T, handler http.Handler, timeout time.Duration) *platform.Remote {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return newRemote(t, server.URL, timeout)
}

// newRemote returns a Remote for an endpoint.
func newRemote(t *testing.T, endpoint string, timeout time.Duration) *platform.Remote {
	t.Helper()
	r, err := platform.New(platform.Config{
		TableEndpoint: endpoint, ObjectEndpoint: endpoint, SigningRegion: "pwani", AccessKey: "access", SecretKey: "secret",
		Table: "peridotlb", Bucket: "peridotlb", TableTimeout: timeout,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// TestRemoteBehavesLikeMemory checks that Remote and Memory return the same
// results for the same transactions, reads and scans.
func TestRemoteBehavesLikeMemory(t *testing.T) {
	server := httptest.NewServer(nil)
	defer server.Close()
	client := newRemote(t, server.URL, 0)
	key := rapid.SampledFrom([]platform.Key{"head", "host/a", "host/b", "host/b/1", "host0", "hosu", "claim/é"})
	prefix := rapid.SampledFrom([]platform.Key{"", "host/", "host", "claim/", "none"})
	rapid.Check(t, func(t *rapid.T) {
		fake := stand.New(stand.Config{})
		server.Config.Handler = fake
		ctx, memory := context.Background(), platform.NewMemory()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			var writes []platform.Write
			for _, k := range rapid.SliceOfNDistinct(key, 1, 4, rapid.ID).Draw(t, "keys") {
				writes = append(writes, platform.Write{
					Key: k, IfRevision: platform.Revision(rapid.IntRange(0, 2).Draw(t, "if")),
					Value: rapid.SliceOf(rapid.Byte()).Draw(t, "value"), Delete: rapid.Bool().Draw(t, "delete"),
					Expires: platform.Expiry(rapid.IntRange(0, 3).Draw(t, "expires")), InitialRevision: platform.Revision(rapid.IntRange(0, 2).Draw(t, "initial revision")),
				})
			}
			want, _ := memory.Commit(ctx, writes...)
			got, err := client.Commit(ctx, writes...)
			if err != nil || got.Outcome != want.Outcome || !slices.Equal(got.Failed, want.Failed) {
				t.Fatalf("commit: got %v, %v, want %v", got, err, want)
			}
			if now := time.Unix(int64(rapid.IntRange(0, 3).Draw(t, "now")), 0); rapid.Bool().Draw(t, "removes expired") {
				memory.RemoveExpired(now)
				fake.Memory().RemoveExpired(now)
			}
			keys := rapid.SliceOfN(key, 1, 4).Draw(t, "read")
			wantRows, _ := memory.Get(ctx, keys...)
			gotRows, err := client.Get(ctx, keys...)
			requireSameRows(t, gotRows, wantRows, err)
			p, after, limit := prefix.Draw(t, "prefix"), prefix.Draw(t, "after"), rapid.IntRange(0, 3).Draw(t, "limit")
			wantRows, _ = memory.Scan(ctx, p, after, limit)
			gotRows, err = client.Scan(ctx, p, after, limit)
			requireSameRows(t, gotRows, wantRows, err)
		}
	})
}

// requireSameRows fails the test if a read failed or returned other rows.
func requireSameRows(t *rapid.T, got, want []platform.Row, err error) {
	equal := func(a, b platform.Row) bool {
		return a.Key == b.Key && a.Revision == b.Revision && a.Expires == b.Expires && bytes.Equal(a.Value, b.Value)
	}
	if err != nil || !slices.EqualFunc(got, want, equal) {
		t.Fatalf("got rows %v, %v, want %v", got, err, want)
	}
}

// TestCommitOutcomes checks that each fault maps to the right outcome, and that
// the write was applied only if the outcome allows it.
func TestCommitOutcomes(t *testing.T) {
	response := func(status int, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/x-amz-json-1.0")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		})
	}
	canceledBy := func(code string) http.Handler {
		return response(400, `{"__type":"x#TransactionCanceledException","message":"m","CancellationReasons":[{"Code":"`+code+`"}]}`)
	}
	faulty := func(f stand.Faults) http.Handler {
		p := stand.New(stand.Config{})
		p.SetFaults(f)
		return p
	}
	for _, c := range []struct {
		name    string
		handler http.Handler
		want    platform.Outcome
		applied bool
		fails   bool
	}{
		{"no fault", faulty(stand.Faults{}), platform.Applied, true, false},
		{"lost response", faulty(stand.Faults{LoseResponses: 1}), platform.Unknown, true, true},
		{"down", faulty(stand.Faults{Down: true}), platform.Unknown, false, true},
		{"timeout", faulty(stand.Faults{SlowMS: 300}), platform.Unknown, true, true},
		{"conflict", canceledBy("TransactionConflict"), platform.NotApplied, false, false},
		{"condition", canceledBy("ConditionalCheckFailed"), platform.NotApplied, false, false},
		{"throttled transaction", canceledBy("ThrottlingError"), platform.NotApplied, false, true},
		{"throttled request", response(400, `{"__type":"x#ProvisionedThroughputExceededException","message":"m"}`), platform.NotApplied, false, true},
		{"invalid request", response(400, `{"__type":"x#ValidationException","message":"m"}`), platform.Unknown, false, true},
		{"server error", response(500, `{}`), platform.Unknown, false, true},
		{"invalid response", response(200, `{"a`), platform.Unknown, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			requests := 0
			counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests++
				c.handler.ServeHTTP(w, r)
			})
			server := httptest.NewServer(counted)
			client := newRemote(t, server.URL, 200*time.Millisecond)
			got, err := client.Commit(context.Background(), platform.Write{Key: "a", Value: []byte("1")})
			server.Close() // waits for pending requests
			if got.Outcome != c.want || (err != nil) != c.fails || requests != 1 {
				t.Fatalf("got %v, %v after %d requests, want %v after 1", got.Outcome, err, requests, c.want)
			}
			if p, ok := c.handler.(*stand.Platform); ok {
				rows, _ := p.Memory().Get(context.Background(), "a")
				if got := rows[0].Revision == 1; got != c.applied {
					t.Errorf("got write applied: %v, want %v", got, c.applied)
				}
			}
		})
	}
}

// TestLostResponseOnReusedConnectionIsUnknown checks that the HTTP transport does
// not send a transaction again after its response was lost on a reused
// connection.
func TestLostResponseOnReusedConnectionIsUnknown(t *testing.T) {
	p := stand.New(stand.Config{})
	client := newRemoteForHandler(t, p, 0)
	ctx := context.Background()
	for i := range 3 {
		p.SetFaults(stand.Faults{})
		if got, err := client.Commit(ctx, platform.Write{Key: platform.Key(fmt.Sprint("a", i))}); got.Outcome != platform.Applied {
			t.Fatalf("got %v, %v, want applied", got.Outcome, err)
		}
		p.SetFaults(stand.Faults{LoseResponses: 1})
		if got, err := client.Commit(ctx, platform.Write{Key: platform.Key(fmt.Sprint("b", i))}); got.Outcome != platform.Unknown || err == nil {
			t.Fatalf("got %v, %v, want unknown and an error", got.Outcome, err)
		}
	}
	if got, want := p.Counters().WriteRequests, uint64(6); got != want {
		t.Errorf("got %d write requests, want %d", got, want)
	}
}

// TestCommitNotSentIsNotApplied checks that the outcome of a transaction that
// was never sent is NotApplied rather than Unknown.
func TestCommitNotSentIsNotApplied(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	client := newRemote(t, "http://"+listener.Addr().String(), 0)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, ctx := range map[string]context.Context{"refused dial": context.Background(), "canceled": canceled} {
		got, err := client.Commit(ctx, platform.Write{Key: "a"})
		if got.Outcome != platform.NotApplied || err == nil {
			t.Errorf("%s: got %v, %v, want not-applied and an error", name, got.Outcome, err)
		}
	}
}

// TestReadsFollowPagesAndRetries checks that reads return the rows of all pages
// of a Query and of all parts of a batch, and that they are retried when the
// table service throttles one of their requests. The client permits one retry until
// further reads have succeeded, so that exactly one request is throttled.
func TestReadsFollowPagesAndRetries(t *testing.T) {
	p := stand.New(stand.Config{})
	var throttled atomic.Int64 // number of the next request that is throttled, counted down
	client := newRemoteForHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if throttled.Add(-1) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			fmt.Fprint(w, `{"__type":"com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException"}`)
			return
		}
		p.ServeHTTP(w, r)
	}), 0)
	ctx := context.Background()
	var want []platform.Key
	for i := range 120 {
		want = append(want, platform.Key(fmt.Sprintf("host/%03d", i)))
		write := platform.Write{Key: want[i], Value: bytes.Repeat([]byte{1}, 20_000)}
		if got, err := p.Memory().Commit(ctx, write); got.Outcome != platform.Applied {
			t.Fatal(err)
		}
	}
	reads := map[string]func() ([]platform.Row, error){
		"get":  func() ([]platform.Row, error) { return client.Get(ctx, want...) },
		"scan": func() ([]platform.Row, error) { return client.Scan(ctx, "host/", "", 1000) },
	}
	for name, read := range reads {
		for request := range int64(4) { // none, and each of the first requests of a read
			throttled.Store(request)
			rows, err := read()
			if got := keysOf(rows); err != nil || !slices.Equal(got, want) || rows[119].Revision != 1 {
				t.Errorf("%s, request %d throttled: got %d rows, %v, want %d", name, request, len(got), err, len(want))
			}
			if throttled.Load() >= 0 && request > 0 {
				t.Errorf("%s: got fewer than %d requests", name, request)
			}
			// Successful reads permit the client to retry once more.
			for range 14 {
				if _, err := client.Get(ctx, want[0]); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

func keysOf(rows []platform.Row) (keys []platform.Key) {
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// TestRetriesEndInAnOutage checks that a client stops retrying during an
// outage, so that reads are not sent several times, and retries again after it.
func TestRetriesEndInAnOutage(t *testing.T) {
	const reads = 20
	var requests, failing atomic.Int64
	fake := stand.New(stand.Config{})
	r := newRemoteForHandler(t, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		if failing.Add(-1) >= 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fake.ServeHTTP(w, request)
	}), time.Second)
	read := func(n int) (failed int) {
		for range n {
			if _, err := r.Get(t.Context(), "head"); err != nil {
				failed++
			}
		}
		return failed
	}
	failing.Store(1000)
	if got := read(reads); got != reads {
		t.Errorf("during the outage: got %d failed reads, want %d", got, reads)
	}
	if got, want := requests.Load(), int64(reads+2); got > want {
		t.Errorf("during the outage: got %d requests for %d reads, want at most %d", got, reads, want)
	}
	failing.Store(0)
	if got := read(reads); got != 0 {
		t.Errorf("after the outage: got %d failed reads, want none", got)
	}
	failing.Store(1)
	if got := read(1); got != 0 {
		t.Error("after a single failure: got no retry, want one")
	}
}

// TestExpiryFollowsTheClockOfTheService checks that rows do not expire early
// when the clock of this host is behind that of the table service, which
// removes them. A clock that is ahead only keeps rows longer.
func TestExpiryFollowsTheClockOfTheService(t *testing.T) {
	const week = 7 * 24 * time.Hour
	for _, ahead := range []time.Duration{10 * week, 0, -10 * week} {
		p := stand.New(stand.Config{})
		client := newRemoteForHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Date", time.Now().Add(ahead).UTC().Format(http.TimeFormat))
			p.ServeHTTP(w, r)
		}), 0)
		ctx, expires := context.Background(), platform.ExpiryAfter(time.Now(), week)
		if _, err := client.Get(ctx, "head"); err != nil { // measures the clock skew; a daemon also reads before it writes
			t.Fatal(err)
		}
		if got, err := client.Commit(ctx, platform.Write{Key: "a", Expires: expires}, platform.Write{Key: "b"}); got.Outcome != platform.Applied {
			t.Fatal(err)
		}
		rows, _ := p.Memory().Get(ctx, "a", "b")
		want := expires + platform.Expiry(max(0, ahead).Seconds())
		if late := rows[0].Expires - want; late < -120 || late > 120 || rows[1].Expires != 0 {
			t.Errorf("service ahead by %s: got expiries %d and %d, want about %d and none", ahead, rows[0].Expires, rows[1].Expires, want)
		}
	}
}

// TestObjects checks that objects are returned unchanged, and that an absent
// object can be distinguished from an outage.
func TestObjects(t *testing.T) {
	p := stand.New(stand.Config{})
	client := newRemoteForHandler(t, p, 0)
	ctx, want := context.Background(), bytes.Repeat([]byte("bead "), 100_000)
	if _, err := client.GetObject(ctx, "section/1"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
	for range 2 {
		if err := client.PutObject(ctx, "section/1", want); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := client.GetObject(ctx, "section/1"); err != nil || !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, %v, want %d", len(got), err, len(want))
	}
	p.SetFaults(stand.Faults{Down: true})
	if _, err := client.GetObject(ctx, "section/1"); err == nil || errors.Is(err, platform.ErrNotFound) {
		t.Errorf("got %v, want an error other than ErrNotFound", err)
	}
}

// TestConfigNamesEveryMissingField checks that an incomplete configuration is
// rejected before the first request, and that the error names every missing
// field.
func TestConfigNamesEveryMissingField(t *testing.T) {
	_, err := platform.New(platform.Config{SigningRegion: "pwani"})
	for _, want := range []string{"table endpoint", "object endpoint", "access key", "secret key", "bucket"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want it to name %q", err, want)
		}
	}
}
