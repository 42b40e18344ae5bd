package submission_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

var errNoTime = errors.New("no time left")

// acceptor returns an acceptor that gives up after the given number of attempts.
func acceptor(f *fakePlatform, attempts int) *submission.Acceptor {
	left := attempts
	return submission.New(submission.Config{
		Platform: f,
		Now:      func() time.Time { return time.UnixMilli(1000) },
		Random:   func() float64 { return 0.5 },
		Sleep: func(context.Context, time.Duration) error {
			if left--; left <= 0 {
				left = attempts
				return errNoTime
			}
			return nil
		},
	})
}

// section returns a section with one service and one route. Different values of
// slots make different contents.
func section(team, name string, slots int) document.Section {
	return document.Section{
		Name: document.SectionName(name), Team: document.TeamName(team),
		Services: []document.Service{{Name: backend.ServiceName("bead-" + name), Slots: uint16(slots), Connections: 130}},
		Routes:   []document.Route{{Name: document.RouteName("read-" + name), PathPrefix: "/" + name, Service: backend.ServiceName("bead-" + name), Timeout: time.Second}},
	}
}

func edit(id, team string, base version.Number, changed ...document.Section) submission.Submission {
	return submission.Submission{ID: version.SubmissionID(id), Team: document.TeamName(team), Base: base, Changed: changed}
}

func accepted(t *testing.T, o submission.Outcome) version.Snapshot {
	t.Helper()
	a, ok := o.(submission.Accepted)
	if !ok {
		t.Fatalf("got outcome %T %+v, want Accepted", o, o)
	}
	return a.Snapshot
}

func refused(t *testing.T, o submission.Outcome, want string) submission.Refused {
	t.Helper()
	r, ok := o.(submission.Refused)
	if !ok || !strings.Contains(r.Error(), want) {
		t.Fatalf("got outcome %T %v, want Refused with %q", o, o, want)
	}
	return r
}

// Guards against a refused submission that changes something, and against
// refusals that do not say why.
func TestRefusedSubmissionChangesNothing(t *testing.T) {
	ctx := context.Background()
	f := newFake(1, 0)
	a := acceptor(f, 3)
	accepted(t, a.Accept(ctx, edit("one", "stock-team", 0, section("stock-team", "stock", 1))))
	accepted(t, a.Accept(ctx, edit("two", "stock-team", 1, section("stock-team", "stock", 2))))
	accepted(t, a.Accept(ctx, edit("three", "price-team", 2, section("price-team", "prices", 1))))
	dangling := section("order-team", "orders", 1)
	dangling.Routes[0].Service = "bead-nothing"
	removal := submission.Submission{ID: "r", Team: "stock-team", Base: 3, Removed: []document.SectionName{"nothing"}}
	foreign := submission.Submission{ID: "f", Team: "stock-team", Base: 3, Removed: []document.SectionName{"prices"}}
	writes, objects := f.writes, len(f.objects)
	for want, s := range map[string]submission.Submission{
		`section "stock" differs between version 1, which was edited, and version 3`: edit("c", "stock-team", 1, section("stock-team", "stock", 3)),
		`belongs to team "price-team", not to team "stock-team"`:                     edit("o", "stock-team", 3, section("stock-team", "prices", 2)),
		`names team "price-team", but was submitted by team "stock-team"`:            edit("p", "stock-team", 3, section("price-team", "more", 2)),
		`section "prices" belongs to team`:                                           foreign,
		`service "bead-nothing" is not defined`:                                      edit("d", "order-team", 3, dangling),
		`version 9, which was edited, does not exist; the newest is 3`:               edit("n", "stock-team", 9, section("stock-team", "stock", 3)),
		`does not exist in version 3`:                                                removal,
		`submission changes nothing`:                                                 edit("e", "stock-team", 3),
		`in the submission twice`:                                                    edit("t", "stock-team", 3, section("stock-team", "stock", 3), section("stock-team", "stock", 4)),
		`submission id "a/b" is not`:                                                 edit("a/b", "stock-team", 3, section("stock-team", "stock", 3)),
		`id one was used for another submission, accepted as version 1`:              edit("one", "stock-team", 3, section("stock-team", "stock", 3)),
	} {
		r := refused(t, a.Accept(ctx, s), want)
		for _, c := range r.Conflicts {
			if want := (submission.Conflict{Section: "stock", Base: 1, Head: 3}); c != want {
				t.Errorf("got conflict %+v, want %+v", c, want)
			}
		}
	}
	if f.writes != writes || len(f.objects) != objects {
		t.Errorf("got %d transactions and %d objects, want %d and %d", f.writes, len(f.objects), writes, objects)
	}
}

// Guards against two versions for one submission, and against a submission that
// is refused because it conflicts with itself.
func TestUnknownRepeatedResolvesToOneVersion(t *testing.T) {
	for _, fate := range []string{"lost", "late", "down"} {
		t.Run(fate, func(t *testing.T) {
			ctx := context.Background()
			f := newFake(7, 0)
			accepted(t, acceptor(f, 1).Accept(ctx, edit("one", "stock-team", 0, section("stock-team", "stock", 1))))
			s := edit("two", "stock-team", 1, section("stock-team", "stock", 2))
			f.commit = []string{fate}
			if o, ok := acceptor(f, 1).Accept(ctx, s).(submission.Unknown); !ok || !errors.Is(o.Err, errNoTime) {
				t.Fatalf("got outcome %+v, want Unknown", o)
			}
			for range 3 { // each time at another acceptor
				if got := accepted(t, acceptor(f, 3).Accept(ctx, s)).Number(); got != 2 {
					t.Errorf("got version %d, want 2", got)
				}
			}
			if head, err := submission.ReadHead(ctx, f); err != nil || head.Number != 2 {
				t.Errorf("got head %d, error %v, want 2", head.Number, err)
			}
		})
	}
}

// Guards against a removed service that another team's route still needs: both
// edits are valid alone, and the merge is not. The fault is listed as one of the
// document; without the check of the merge only version.New would refuse it, as
// an error without faults.
func TestMergeIsCheckedWhole(t *testing.T) {
	ctx := context.Background()
	f := newFake(1, 0)
	a := acceptor(f, 3)
	accepted(t, a.Accept(ctx, edit("one", "stock-team", 0, section("stock-team", "stock", 1))))
	orders := section("order-team", "orders", 1)
	orders.Routes[0].Service = "bead-stock"
	accepted(t, a.Accept(ctx, edit("two", "order-team", 1, orders)))
	s := submission.Submission{ID: "three", Team: "stock-team", Base: 1, Removed: []document.SectionName{"stock"}}
	r := refused(t, a.Accept(ctx, s), `section "orders": route "read-orders": service "bead-stock" is not defined`)
	if len(r.Faults) != 1 {
		t.Errorf("got refusal %+v, want it to list one fault", r)
	}
	if head, err := submission.ReadHead(ctx, f); err != nil || head.Number != 2 {
		t.Errorf("got head %d, error %v, want 2", head.Number, err)
	}
}

// Guards against a version that is loaded in part, or with content that its
// manifest does not name, because the object store lost or damaged a section.
func TestLoadRefusesBadObjects(t *testing.T) {
	ctx := context.Background()
	f := newFake(1, 0)
	a := acceptor(f, 3)
	base := accepted(t, a.Accept(ctx, edit("one", "stock-team", 0, section("stock-team", "stock", 1))))
	head := accepted(t, a.Accept(ctx, edit("two", "stock-team", 1, section("stock-team", "stock", 2), section("stock-team", "beads", 1))))
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
		for _, have := range []version.Snapshot{{}, base} {
			if s, err := submission.Load(ctx, f, head.Manifest(), have); err == nil || s.Number() != 0 {
				t.Errorf("%s, with version %d: got version %d and error %v, want an error only", what, have.Number(), s.Number(), err)
			}
		}
	}
	f.objects[stock] = good
	if s, err := submission.Load(ctx, f, head.Manifest(), base); err != nil || !reflect.DeepEqual(s, head) {
		t.Errorf("got version %d and error %v, want version 2 whole", s.Number(), err)
	}
}

// Guards against lost, doubled and foreign edits when operators submit at the
// same moment at several daemons while answers of the platform are lost.
func TestConcurrentSubmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "faults")
		r := run{
			fake: newFake(seed, faults), random: rand.New(rand.NewPCG(seed, 3)),
			submitted: map[version.SubmissionID]submission.Submission{},
			versions:  map[version.SubmissionID]version.Number{},
		}
		for range 3 {
			r.acceptors = append(r.acceptors, acceptor(r.fake, 4))
		}
		operators := rapid.IntRange(2, 6).Draw(t, "operators")
		s := newSchedule(seed)
		r.fake.gate = s.gate
		var functions []func()
		for i := range operators {
			functions = append(functions, func() { r.operator(i) })
		}
		s.run(functions)
		r.fake.gate, r.fake.faults = func() {}, 0
		for _, writes := range r.fake.late { // must not apply any more
			r.fake.apply(writes)
		}
		r.fake.late = nil
		r.verify(t)
	})
}

// run is one run of the property test. The schedule lets one operator run at a
// time, so that its fields need no lock.
type run struct {
	fake      *fakePlatform
	random    *rand.Rand
	acceptors []*submission.Acceptor
	submitted map[version.SubmissionID]submission.Submission
	versions  map[version.SubmissionID]version.Number // accepted
	slots     int
	problems  []string
}

func (r *run) operator(i int) {
	ctx := context.Background()
	team := fmt.Sprintf("team-%d", i%3) // operators 0 and 3 are of one team
	for n := range 3 {
		head, err := submission.ReadHead(ctx, r.fake)
		if err != nil {
			continue
		}
		r.slots++
		name := fmt.Sprintf("%s-%d", team, r.random.IntN(2))
		s := edit(fmt.Sprintf("s-%d-%d", i, n), team, head.Number, section(team, name, r.slots))
		r.submitted[s.ID] = s
		for range 1 + r.random.IntN(2) { // repeated at times although answered
			r.submit(ctx, s)
		}
	}
}

// submit repeats a submission until its outcome is known. The number of tries
// is bounded so that an outcome that never becomes known fails the test.
func (r *run) submit(ctx context.Context, s submission.Submission) {
	for range 500 {
		switch o := r.acceptors[r.random.IntN(len(r.acceptors))].Accept(ctx, s).(type) {
		case submission.Accepted:
			n := o.Snapshot.Number()
			if before, ok := r.versions[s.ID]; ok && before != n {
				r.problems = append(r.problems, fmt.Sprintf("%s was accepted as %d and as %d", s.ID, before, n))
			}
			r.versions[s.ID] = n
			return
		case submission.Refused:
			if r.versions[s.ID] != 0 {
				r.problems = append(r.problems, fmt.Sprintf("%s was accepted and then refused", s.ID))
			}
			if len(o.Conflicts) != 1 || o.Conflicts[0].Base != s.Base || o.Conflicts[0].Head <= s.Base || o.Conflicts[0].Section != s.Changed[0].Name {
				r.problems = append(r.problems, fmt.Sprintf("%s was refused without a conflict: %v", s.ID, o))
			}
			return
		}
	}
	r.problems = append(r.problems, fmt.Sprintf("the outcome of %s stays unknown", s.ID))
}

// verify follows all versions and compares each with the submission that it
// came from.
func (r *run) verify(t *rapid.T) {
	ctx := context.Background()
	head, err := submission.ReadHead(ctx, r.fake)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := int(head.Number), len(r.versions); got != want {
		t.Errorf("got %d versions, want %d, one per accepted submission", got, want)
	}
	for _, p := range r.problems {
		t.Error(p)
	}
	var last version.Snapshot
	want := map[document.SectionName]document.Section{}
	for n := version.Number(1); n <= head.Number; n++ {
		m, err := submission.ReadVersion(ctx, r.fake, n)
		if err != nil {
			t.Fatal(err)
		}
		if r.versions[m.Submission] != n {
			t.Errorf("version %d is of submission %s, which was accepted as %d", n, m.Submission, r.versions[m.Submission])
		}
		if last, err = submission.Load(ctx, r.fake, m, last); err != nil {
			t.Fatal(err)
		}
		s := r.submitted[m.Submission]
		want[s.Changed[0].Name] = s.Changed[0]
		got := map[document.SectionName]document.Section{}
		for _, section := range last.Document().Sections {
			got[section.Name] = section
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("version %d: got %+v, want %+v", n, got, want)
		}
	}
	if !reflect.DeepEqual(last.Manifest(), head) {
		t.Errorf("got head %+v, want %+v", head, last.Manifest())
	}
}
