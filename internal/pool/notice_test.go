package pool

import (
	"errors"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/host"
)

// TestLeavingServerIsNotChosen guards against calls to a server that has stated in a
// response that it leaves: while its row says that it is ready, after its host was
// taken for dead and returned, and when no other server is left. It also guards
// against a server that starts again and is not chosen.
func TestLeavingServerIsNotChosen(t *testing.T) {
	p, c := newPool(1)
	v := viewOf(9, 2, 0, 0)
	v.Servers[0].Started, v.Servers[1].Started = 100, 100
	p.Update(v)
	choice := pick(t, p, "a-1")
	if !choice.Observe(gate.Notice{Leaving: true}) || choice.Observe(gate.Notice{Leaving: true}) {
		t.Error("got a first notice that was known, or a second one that was not")
	}
	wantNoServer := func(when string) {
		t.Helper()
		if got, err := p.Pick("stock", []backend.ServerID{"a-1"}); !errors.Is(err, ErrNoServer) {
			t.Errorf("%s: got %v, %v, want %v", when, got, err, ErrNoServer)
		}
	}
	wantNoServer("after the notice")
	v.Hosts[0].State = host.Dead
	p.Update(v)
	c.Time = c.Add(leavingRetention - time.Second)
	v.Hosts[0].State = host.Alive
	v.Servers[0].Sequence++
	p.Update(v)
	wantNoServer("after the return of its host")
	v.Servers[0].Started = 200
	p.Update(v)
	if got := pick(t, p, "a-1").Server.ID; got != "a-0" {
		t.Errorf("got %s in its next run, want a-0", got)
	}
}

// TestLeavingServersAreForgotten guards against a memory of servers that grows
// without bound.
func TestLeavingServersAreForgotten(t *testing.T) {
	p, c := newPool(1)
	p.Update(viewOf(9, 1, 0, 0))
	pick(t, p).Observe(gate.Notice{Leaving: true})
	c.Time = c.Add(leavingRetention)
	p.Update(viewOf(9, 1, 0, 0))
	if _, ok := p.leaving.Load(backend.ServerID("a-0")); !ok {
		t.Error("forgot a leaving server that is in the view")
	}
	p.Update(viewOf(9, 0, 0, 0))
	if _, ok := p.leaving.Load(backend.ServerID("a-0")); ok {
		t.Error("still remembers a leaving server that has left the view")
	}
}

// TestCallsCarryNamedLimit guards against a limit that a restarted gate learns from
// nobody, and against one of an earlier run of the server.
func TestCallsCarryNamedLimit(t *testing.T) {
	p, _ := newPool(1)
	v := viewOf(9, 1, 0, 0)
	v.Servers[0].Started = 100
	p.Update(v)
	limited := gate.Notice{Limited: true, Limit: 2.5}
	wantNotice := func(want gate.Notice) {
		t.Helper()
		if got := pick(t, p).Notice; got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	wantNotice(gate.Notice{})
	pick(t, p).Observe(limited)
	wantNotice(limited)
	pick(t, p).Observe(gate.Notice{})
	wantNotice(gate.Notice{})
	pick(t, p).Observe(limited)
	v.Servers[0].Started = 200
	p.Update(v)
	wantNotice(gate.Notice{})
}
