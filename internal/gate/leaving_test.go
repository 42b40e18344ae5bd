package gate

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// TestLeavingServerGetsNoCalls guards against calls to a server that has stated in a
// response that it leaves while its row still says that it is ready, queued calls
// included, and against a server that starts again and stays excluded.
func TestLeavingServerGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, nil)
		g.Update(service(1, 0), startedRow(2, 100))
		p := mustAdmit(t, g)
		queued := make(chan error)
		go func() {
			_, err := g.Admit(context.Background(), "s", Call{Target: time.Now().Add(time.Minute), MaxWait: time.Minute})
			queued <- err
		}()
		synctest.Wait()
		if !p.ObserveLeaving() || p.ObserveLeaving() {
			t.Error("got a first notice that was known, or a second one that was not")
		}
		if err := <-queued; !errors.Is(err, ErrDraining) {
			t.Errorf("got %v for the queued call, want %v", err, ErrDraining)
		}
		p.Release()
		wantRefusal(t, g, ErrDraining)
		g.Update(service(1, 0), startedRow(3, 100))
		wantRefusal(t, g, ErrDraining)
		g.Update(service(1, 0), startedRow(4, 200))
		if p.ObserveLeaving() {
			t.Error("got a notice of the earlier run, want it ignored")
		}
		mustAdmit(t, g)
	})
}

// startedRow returns the row of a ready server that started at the given time, with
// the given sequence of its stamp.
func startedRow(sequence host.Sequence, started int64) []backend.Server {
	r := row(backend.Ready, sequence)
	r[0].Started = started
	return r
}
