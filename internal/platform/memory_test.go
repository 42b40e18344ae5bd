package platform

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
)

// Guards against a transaction that applies in part, or that does not name
// every failed condition.
func TestMemoryCommitAppliesAllOrNothing(t *testing.T) {
	ctx, m := context.Background(), NewMemory()
	mustCommit(t, m, Write{Key: "a", Value: []byte("1")})
	got, err := m.Commit(ctx, Write{Key: "a", Value: []byte("2")}, Write{Key: "b"}, Write{Key: "c", If: 4})
	if err != nil || got.Outcome != NotApplied || !slices.Equal(got.Failed, []int{0, 2}) {
		t.Fatalf("got %v, %v, want not-applied with failed 0 and 2", got, err)
	}
	rows, err := m.Get(ctx, "b", "a")
	if err != nil || rows[0].Revision != 0 || rows[1].Revision != 1 || string(rows[1].Value) != "1" {
		t.Fatalf("got %v, %v, want b absent and a at revision 1", rows, err)
	}
}

// Guards against two writers that both win the same conditional write.
func TestMemoryCommitIsLinearizable(t *testing.T) {
	ctx, m := context.Background(), NewMemory()
	const writers, increments = 8, 50
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for done := 0; done < increments; {
				rows, _ := m.Get(ctx, "n")
				result, _ := m.Commit(ctx, Write{Key: "n", If: rows[0].Revision})
				if result.Outcome == Applied {
					done++
				}
			}
		})
	}
	group.Wait()
	rows, _ := m.Get(ctx, "n")
	if got, want := rows[0].Revision, Revision(writers*increments); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
}

// Guards against transactions that the real service would refuse.
func TestMemoryRefusesInvalidTransactions(t *testing.T) {
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
