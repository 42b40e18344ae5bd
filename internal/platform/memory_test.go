package platform

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"
)

// TestMemoryCommitAppliesAllOrNothing checks that a transaction with failed
// conditions applies no write, and that its result lists every failed
// condition.
func TestMemoryCommitAppliesAllOrNothing(t *testing.T) {
	ctx, m := context.Background(), NewMemory()
	mustCommit(t, m, Write{Key: "a", Value: []byte("1")})
	got, err := m.Commit(ctx, Write{Key: "a", Value: []byte("2")}, Write{Key: "b"}, Write{Key: "c", IfRevision: 4})
	if err != nil || got.Outcome != NotApplied || !slices.Equal(got.Failed, []int{0, 2}) {
		t.Fatalf("got %v, %v, want not-applied with failed 0 and 2", got, err)
	}
	rows, err := m.Get(ctx, "b", "a")
	if err != nil || rows[0].Revision != 0 || rows[1].Revision != 1 || string(rows[1].Value) != "1" {
		t.Fatalf("got %v, %v, want row b absent and row a at revision 1", rows, err)
	}
}

// TestMemoryRemovesExpiredRows checks that an expired row is present until it
// is removed, and that only expired rows are removed. A row whose expiry was
// extended must stay.
func TestMemoryRemovesExpiredRows(t *testing.T) {
	ctx, m, now := context.Background(), NewMemory(), time.Unix(1000, 0)
	past, future := ExpiryAfter(now, -time.Second), ExpiryAfter(now, time.Second)
	mustCommit(t, m, Write{Key: "expired", Expires: past, InitialRevision: 7}, Write{Key: "kept"}, Write{Key: "later", Expires: past}, Write{Key: "now", Expires: ExpiryAfter(now, 0)})
	mustCommit(t, m, Write{Key: "later", IfRevision: 1, Expires: future})
	if got, _ := m.Commit(ctx, Write{Key: "expired"}); got.Outcome != NotApplied {
		t.Errorf("insert over an expired row: got %v, want not-applied", got.Outcome)
	}
	revisions := func() (got []Revision) {
		rows, _ := m.Get(ctx, "expired", "kept", "later", "now")
		for _, row := range rows {
			got = append(got, row.Revision)
		}
		return got
	}
	if got, want := revisions(), []Revision{7, 1, 2, 1}; !slices.Equal(got, want) {
		t.Errorf("before the removal: got revisions %v, want %v", got, want)
	}
	if removed, got, want := m.RemoveExpired(now), revisions(), []Revision{0, 1, 2, 1}; removed != 1 || !slices.Equal(got, want) {
		t.Errorf("got %d rows removed and revisions %v, want 1 and %v", removed, got, want)
	}
	if rows, _ := m.Scan(ctx, "", "", 10); len(rows) != 3 {
		t.Errorf("scan: got %d rows, want 3", len(rows))
	}
}

// TestMemoryCommitIsLinearizable checks that of concurrent writes with the same
// condition only one is applied.
func TestMemoryCommitIsLinearizable(t *testing.T) {
	ctx, m := context.Background(), NewMemory()
	const writers, increments = 8, 50
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for applied := 0; applied < increments; {
				rows, _ := m.Get(ctx, "n")
				result, _ := m.Commit(ctx, Write{Key: "n", IfRevision: rows[0].Revision})
				if result.Outcome == Applied {
					applied++
				}
			}
		})
	}
	wg.Wait()
	rows, _ := m.Get(ctx, "n")
	if got, want := rows[0].Revision, Revision(writers*increments); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
}

// TestMemoryRefusesInvalidTransactions checks that Memory rejects transactions
// that the real service would reject.
func TestMemoryRejectsInvalidTransactions(t *testing.T) {
	for _, writes := range [][]Write{{}, make([]Write, MaxWrites+1), {{Key: "a"}, {Key: "a"}}, {{Key: ""}}} {
		got, err := NewMemory().Commit(context.Background(), writes...)
		if got.Outcome != NotApplied || !errors.Is(err, ErrInvalid) {
			t.Errorf("%d writes: got %v, %v, want not-applied and ErrInvalid", len(writes), got, err)
		}
	}
}

func mustCommit(t *testing.T, table Table, writes ...Write) {
	t.Helper()
	if got, err := table.Commit(context.Background(), writes...); err != nil || got.Outcome != Applied {
		t.Fatalf("commit: got %v, %v, want applied", got, err)
	}
}
