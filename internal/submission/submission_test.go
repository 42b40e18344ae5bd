package submission_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

var errAttemptsExhausted = errors.New("no attempts left")

// newAcceptor returns an acceptor that gives up after the given number of
// attempts.
func newAcceptor(f *fakePlatform, attempts int) *submission.Acceptor {
	remaining := attempts
	return submission.New(submission.Config{
		Platform: f,
		Now:      func() time.Time { return time.UnixMilli(1000) },
		Random:   func() float64 { return 0.5 },
		Sleep: func(context.Context, time.Duration) error {
			if remaining--; remaining <= 0 {
				remaining = attempts
				return errAttemptsExhausted
			}
			return nil
		},
	})
}

// newSection returns a section with one service and one route. Sections with
// different values of slots have different contents.
func newSection(team, name string, slots int) document.Section {
	return document.Section{
		Name: document.SectionName(name), Team: document.TeamName(team),
		Services: []document.Service{{Name: backend.ServiceName("bead-" + name), Slots: uint16(slots), Connections: 130}},
		Routes:   []document.Route{{Name: document.RouteName("read-" + name), PathPrefix: "/" + name, Service: backend.ServiceName("bead-" + name), Timeout: time.Second}},
	}
}

func newSubmission(id, team string, base version.Number, changed ...document.Section) submission.Submission {
	return submission.Submission{ID: version.SubmissionID(id), Team: document.TeamName(team), Base: base, Changed: changed}
}

func requireAccepted(t *testing.T, o submission.Outcome) version.Snapshot {
	t.Helper()
	a, ok := o.(submission.Accepted)
	if !ok {
		t.Fatalf("got outcome %T %+v, want Accepted", o, o)
	}
	return a.Snapshot
}

func requireRefused(t *testing.T, o submission.Outcome, want string) submission.Refused {
	t.Helper()
	r, ok := o.(submission.Refused)
	if !ok || !strings.Contains(r.Error(), want) {
		t.Fatalf("got outcome %T %v, want Refused with %q", o, o, want)
	}
	return r
}

// Guards against a refused submission that changes a version or a section, and
// against refusals without a reason.
func TestRefusedSubmissionChangesNothing(t *testing.T) {
	ctx := context.Background()
	f := newFakePlatform(1, 0)
	a := newAcceptor(f, 3)
	requireAccepted(t, a.Accept(ctx, newSubmission("one", "stock-team", 0, newSection("stock-team", "stock", 1))))
	requireAccepted(t, a.Accept(ctx, newSubmission("two", "stock-team", 1, newSection("stock-team", "stock", 2))))
	requireAccepted(t, a.Accept(ctx, newSubmission("three", "price-team", 2, newSection("price-team", "prices", 1))))
	undefinedService := newSection("order-team", "orders", 1)
	undefinedService.Routes[0].Service = "bead-nothing"
	absentSection := submission.Submission{ID: "r", Team: "stock-team", Base: 3, Removed: []document.SectionName{"nothing"}}
	otherTeamsSection := submission.Submission{ID: "f", Team: "stock-team", Base: 3, Removed: []document.SectionName{"prices"}}
	before, writes, objects := maps.Clone(f.rows), f.transactions, len(f.objects)
	for want, s := range map[string]submission.Submission{
		`section "stock" differs between version 1, which was edited, and version 3`: newSubmission("c", "stock-team", 1, newSection("stock-team", "stock", 3)),
		`belongs to team "price-team", not to team "stock-team"`:                     newSubmission("o", "stock-team", 3, newSection("stock-team", "prices", 2)),
		`names team "price-team", but was submitted by team "stock-team"`:            newSubmission("p", "stock-team", 3, newSection("price-team", "more", 2)),
		`section "prices" belongs to team`:                                           otherTeamsSection,
		`service "bead-nothing" is not defined`:                                      newSubmission("d", "order-team", 3, undefinedService),
		`base version 9 does not exist; the newest version is 3`:                     newSubmission("n", "stock-team", 9, newSection("stock-team", "stock", 3)),
		`does not exist in version 3`:                                                absentSection,
		`submission changes nothing`:                                                 newSubmission("e", "stock-team", 3),
		`in the submission twice`:                                                    newSubmission("t", "stock-team", 3, newSection("stock-team", "stock", 3), newSection("stock-team", "stock", 4)),
		`submission id "a/b" is not`:                                                 newSubmission("a/b", "stock-team", 3, newSection("stock-team", "stock", 3)),
		`id one was used for another submission, accepted as version 1`:              newSubmission("one", "stock-team", 3, newSection("stock-team", "stock", 3)),
	} {
		r := requireRefused(t, a.Accept(ctx, s), want)
		for _, c := range r.Conflicts {
			if want := (submission.Conflict{Section: "stock", Base: 1, Head: 3}); c != want {
				t.Errorf("got conflict %+v, want %+v", c, want)
			}
		}
	}
	// Each refusal that depends on the head version is recorded in a row.
	for _, id := range []string{"c", "o", "p", "f", "d", "n", "r"} {
		key := submission.RecordKey(version.SubmissionID(id))
		if f.rows[key].Revision != 1 {
			t.Errorf("got no row %s, want the refusal", key)
		}
		delete(f.rows, key)
		writes++
	}
	if f.transactions != writes || len(f.objects) != objects || !reflect.DeepEqual(f.rows, before) {
		t.Errorf("got %d transactions, %d objects and rows %v, want %d, %d and %v", f.transactions, len(f.objects), f.rows, writes, objects, before)
	}
}

// Guards against two versions for one submission, and against a repeated
// submission that is refused because it conflicts with its own first commit.
func TestRepeatAfterUnknownOutcomeCreatesOneVersion(t *testing.T) {
	for _, fault := range []string{"lost", "late", "down"} {
		t.Run(fault, func(t *testing.T) {
			ctx := context.Background()
			f := newFakePlatform(7, 0)
			requireAccepted(t, newAcceptor(f, 1).Accept(ctx, newSubmission("one", "stock-team", 0, newSection("stock-team", "stock", 1))))
			s := newSubmission("two", "stock-team", 1, newSection("stock-team", "stock", 2))
			f.commitFaults = []string{fault}
			if o, ok := newAcceptor(f, 1).Accept(ctx, s).(submission.Unknown); !ok || !errors.Is(o.Err, errAttemptsExhausted) {
				t.Fatalf("got outcome %+v, want Unknown", o)
			}
			for range 3 { // each time by another acceptor
				if got := requireAccepted(t, newAcceptor(f, 3).Accept(ctx, s)).Number(); got != 2 {
					t.Errorf("got version %d, want 2", got)
				}
			}
			if head, err := submission.ReadHead(ctx, f); err != nil || head.Number != 2 {
				t.Errorf("got head %d, error %v, want 2", head.Number, err)
			}
		})
	}
}

// Guards against removing a service that a route of another team uses. Each of
// the two changes is valid on its own, but the merged document is not. The fault
// must be listed in the refusal: without the check of the merged document, only
// version.New would refuse it, with an error that lists no faults.
func TestMergedDocumentIsChecked(t *testing.T) {
	ctx := context.Background()
	f := newFakePlatform(1, 0)
	a := newAcceptor(f, 3)
	requireAccepted(t, a.Accept(ctx, newSubmission("one", "stock-team", 0, newSection("stock-team", "stock", 1))))
	orders := newSection("order-team", "orders", 1)
	orders.Routes[0].Service = "bead-stock"
	requireAccepted(t, a.Accept(ctx, newSubmission("two", "order-team", 1, orders)))
	s := submission.Submission{ID: "three", Team: "stock-team", Base: 1, Removed: []document.SectionName{"stock"}}
	r := requireRefused(t, a.Accept(ctx, s), `section "orders": route "read-orders": service "bead-stock" is not defined`)
	if len(r.Faults) != 1 {
		t.Errorf("got refusal %+v, want it to list one fault", r)
	}
	if head, err := submission.ReadHead(ctx, f); err != nil || head.Number != 2 {
		t.Errorf("got head %d, error %v, want 2", head.Number, err)
	}
}

// Guards against a submission that is accepted after it was refused: a client
// gives up waiting for a daemon that is still reading the slow table, repeats the
// id at a second daemon and is refused there. The head then changes in such a
// way that the first daemon could accept the submission.
func TestRefusalIsFinal(t *testing.T) {
	ctx := context.Background()
	f := newFakePlatform(1, 0)
	requireAccepted(t, newAcceptor(f, 3).Accept(ctx, newSubmission("one", "stock-team", 0, newSection("stock-team", "stock", 1))))
	x := newSubmission("x", "order-team", 1, newSection("order-team", "orders", 1))
	x.Changed[0].Routes[0].Service = "bead-prices"
	slow := true
	f.beforeTableCall = func() {
		if !slow {
			return
		}
		slow = false
		requireRefused(t, newAcceptor(f, 3).Accept(ctx, x), `service "bead-prices" is not defined`)
		requireAccepted(t, newAcceptor(f, 3).Accept(ctx, newSubmission("two", "price-team", 1, newSection("price-team", "prices", 1))))
	}
	requireRefused(t, newAcceptor(f, 3).Accept(ctx, x), `service "bead-prices" is not defined`)
	if head, err := submission.ReadHead(ctx, f); err != nil || head.Number != 2 {
		t.Errorf("got head %d, error %v, want 2", head.Number, err)
	}
}

// Guards against reporting a refusal that may not have been recorded, and against
// a repeated submission that gets another outcome.
func TestUnrecordedRefusalIsUnknown(t *testing.T) {
	for _, fault := range []string{"lost", "late", "down"} {
		ctx := context.Background()
		f := newFakePlatform(7, 0)
		x := newSubmission("x", "order-team", 0, newSection("order-team", "orders", 1))
		for i := range 40 { // more faults than are recorded
			route := x.Changed[0].Routes[0]
			route.Name, route.PathPrefix, route.Service = document.RouteName(fmt.Sprint("read-", i)), fmt.Sprint("/", i), "bead-prices"
			x.Changed[0].Routes = append(x.Changed[0].Routes, route)
		}
		f.commitFaults = []string{fault}
		if o, ok := newAcceptor(f, 1).Accept(ctx, x).(submission.Unknown); !ok || !strings.Contains(o.Err.Error(), `"bead-prices" is not defined`) {
			t.Errorf("%s: got outcome %+v, want Unknown with the reason of the refusal", fault, o)
		}
		for range 2 {
			requireRefused(t, newAcceptor(f, 3).Accept(ctx, x), `"bead-prices" is not defined`)
		}
		requireRefused(t, newAcceptor(f, 3).Accept(ctx, x), "8 more faults were not recorded")
		x.Changed = x.Changed[:1:1]
		x.Changed[0].Routes = nil
		requireRefused(t, newAcceptor(f, 3).Accept(ctx, x), "id x was used for another submission, which was refused")
	}
}

// Guards against a version that is loaded partially, or with content that is not
// in its manifest, because the object store lost or damaged a section.
func TestLoadRefusesBadObjects(t *testing.T) {
	ctx := context.Background()
	f := newFakePlatform(1, 0)
	a := newAcceptor(f, 3)
	base := requireAccepted(t, a.Accept(ctx, newSubmission("one", "stock-team", 0, newSection("stock-team", "stock", 1))))
	head := requireAccepted(t, a.Accept(ctx, newSubmission("two", "stock-team", 1, newSection("stock-team", "stock", 2), newSection("stock-team", "beads", 1))))
	name := func(s version.Snapshot, i int) string { return submission.ObjectName(s.Manifest().Sections[i].Digest) }
	stock := name(head, 1)
	good := f.objects[stock]
	for what, data := range map[string][]byte{
		"absent": nil, "empty": {}, "not compressed": head.Blob(head.Manifest().Sections[1].Digest),
		"cut off": good[:len(good)-1], "older content": f.objects[name(base, 0)], "content of another section": f.objects[name(head, 0)],
	} {
		f.objects[stock] = data
		if data == nil {
			delete(f.objects, stock)
		}
		for _, known := range []version.Snapshot{{}, base} {
			if s, err := submission.Load(ctx, f, head.Manifest(), known); err == nil || s.Number() != 0 {
				t.Errorf("%s, with version %d: got version %d and error %v, want an error only", what, known.Number(), s.Number(), err)
			}
		}
	}
	f.objects[stock] = good
	if s, err := submission.Load(ctx, f, head.Manifest(), base); err != nil || !reflect.DeepEqual(s, head) {
		t.Errorf("got version %d and error %v, want version 2 with the content that was accepted", s.Number(), err)
	}
}
