package claim

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotlb/peridotlb/internal/platform"
)

// Guards against an Unconfirmed decision that comes later than the deadline or
// lacks its cause, and against keys that would share a row or exceed the limit of
// the table.
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
		// If the deadline ended the wait for the last commit, its claim is released in the
		// background.
		if err := claims.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		for _, k := range []Key{{}, {Route: "a/b", Value: "c"}, {Route: "a", Value: strings.Repeat("x", maxKeyBytes+1)}, {Route: "a", Value: "\xff"}} {
			if got, err := claims.Take(ctx, k, fingerprint); got != nil || !errors.Is(err, ErrInvalidKey) {
				t.Errorf("%.20v: got %v, %v, want ErrInvalidKey", k, got, err)
			}
		}
	})
}
