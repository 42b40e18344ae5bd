package submission_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	before, writes, objects := maps.Clone(f.rows), f.writes, len(f.objects)
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
	// The refusals that depend on the head are recorded, one row each.
	for _, id := range []string{"c", "o", "p", "f", "d", "n", "r"} {
		key := submission.RecordKey(version.SubmissionID(id))
		if f.rows[key].Revision != 1 {
			t.Errorf("got no row %s, want the refusal", key)
		}
		delete(f.rows, key)
		writes++
	}
	if f.writes != writes || len(f.objects) != objects || !reflect.DeepEqual(f.rows, before) {
		t.Errorf("got %d transactions, %d objects and rows %v, want %d, %d and %v", f.writes, len(f.objects), f.rows, writes, objects, before)
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

// Guards against a refusal that is followed by an acceptance: the operator's
// client gave up on a daemon that still tries while the table answers slowly,
// repeated the id at a second daemon and was refused there; then the head
// changes so that the first daemon could accept.
func TestRefusalIsFinal(t *testing.T) {
	ctx := context.Background()
	f := newFake(1, 0)
	accepted(t, acceptor(f, 3).Accept(ctx, edit("one", "stock-team", 0, section("stock-team", "stock", 1))))
	x := edit("x", "order-team", 1, section("order-team", "orders", 1))
	x.Changed[0].Routes[0].Service = "bead-prices"
	slow := true
	f.gate = func() {
		if !slow {
			return
		}
		slow = false
		refused(t, acceptor(f, 3).Accept(ctx, x), `service "bead-prices" is not defined`)
		accepted(t, acceptor(f, 3).Accept(ctx, edit("two", "price-team", 1, section("price-team", "prices", 1))))
	}
	refused(t, acceptor(f, 3).Accept(ctx, x), `service "bead-prices" is not defined`)
	if head, err := submission.ReadHead(ctx, f); err != nil || head.Number != 2 {
		t.Errorf("got head %d, error %v, want 2", head.Number, err)
	}
}

// Guards against a refusal that is reported although it may not be recorded,
// and against a repeated submission that is told something else.
func TestUnrecordedRefusalIsUnknown(t *testing.T) {
	for _, fate := range []string{"lost", "late", "down"} {
		ctx := context.Background()
		f := newFake(7, 0)
		x := edit("x", "order-team", 0, section("order-team", "orders", 1))
		for i := range 40 { // more faults than are recorded
			route := x.Changed[0].Routes[0]
			route.Name, route.PathPrefix, route.Service = document.RouteName(fmt.Sprint("read-", i)), fmt.Sprint("/", i), "bead-prices"
			x.Changed[0].Routes = append(x.Changed[0].Routes, route)
		}
		f.commit = []string{fate}
		if o, ok := acceptor(f, 1).Accept(ctx, x).(submission.Unknown); !ok || !strings.Contains(o.Err.Error(), `"bead-prices" is not defined`) {
			t.Errorf("%s: got outcome %+v, want Unknown with the reason of the refusal", fate, o)
		}
		for range 2 {
			refused(t, acceptor(f, 3).Accept(ctx, x), `"bead-prices" is not defined`)
		}
		refused(t, acceptor(f, 3).Accept(ctx, x), "8 more faults were not recorded")
		x.Changed = x.Changed[:1:1]
		x.Changed[0].Routes = nil
		refused(t, acceptor(f, 3).Accept(ctx, x), "id x was used for another submission, which was refused")
	}
}

// Guards against an outcome that is taken from a row which this release does not
// understand whole, for example one of a later release.
func TestMalformedRows(t *testing.T) {
	ctx := context.Background()
	s := edit("one", "stock-team", 0, section("stock-team", "stock", 1))
	key := submission.RecordKey("one")
	for name, change := range map[string]func(f *fakePlatform, fields map[int]any) []byte{
		"unknown field": func(_ *fakePlatform, fields map[int]any) []byte { fields[9] = 1; return marshal(fields) },
		"trailing byte": func(_ *fakePlatform, fields map[int]any) []byte { return append(marshal(fields), 0) },
		"key twice": func(_ *fakePlatform, fields map[int]any) []byte {
			return append(append([]byte{0xa3}, marshal(fields)[1:]...), 1, 1)
		},
		"indefinite length": func(_ *fakePlatform, fields map[int]any) []byte {
			return append(append([]byte{0xbf}, marshal(fields)[1:]...), 0xff)
		},
		"no content":                   func(_ *fakePlatform, fields map[int]any) []byte { delete(fields, 2); return marshal(fields) },
		"neither accepted nor refused": func(_ *fakePlatform, fields map[int]any) []byte { delete(fields, 1); return marshal(fields) },
		"accepted and refused": func(_ *fakePlatform, fields map[int]any) []byte {
			fields[3] = map[int]any{1: "reason"}
			return marshal(fields)
		},
		"refusal with an unknown field": func(_ *fakePlatform, fields map[int]any) []byte {
			delete(fields, 1)
			fields[3] = map[int]any{1: "reason", 9: 1}
			return marshal(fields)
		},
		"row of another version": func(f *fakePlatform, fields map[int]any) []byte {
			accepted(t, acceptor(f, 3).Accept(ctx, edit("two", "price-team", 1, section("price-team", "prices", 1))))
			f.rows[submission.VersionKey(1)] = f.rows[submission.VersionKey(2)]
			return marshal(fields)
		},
	} {
		f := newFake(1, 0)
		accepted(t, acceptor(f, 3).Accept(ctx, s))
		row := f.rows[key]
		fields := map[int]any{}
		if err := cbor.Unmarshal(row.Value, &fields); err != nil {
			t.Fatal(err)
		}
		row.Value = change(f, fields)
		f.rows[key] = row
		if o, ok := acceptor(f, 3).Accept(ctx, s).(submission.Unknown); !ok {
			t.Errorf("%s: got outcome %+v, want Unknown", name, o)
		}
	}
}

// marshal encodes with keys in ascending order, as the rows are.
func marshal(fields map[int]any) []byte {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	data, err := mode.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against an id that is accepted twice because its row was removed after
// the retention, and against an outcome that changes or rows that stay.
func TestRepeatAfterRetention(t *testing.T) {
	const retention = 48 * time.Hour
	rapid.Check(t, func(t *rapid.T) {
		ctx, f, now := context.Background(), newFake(1, 0), time.UnixMilli(1000)
		a := submission.New(submission.Config{Platform: f, Retention: retention, Now: func() time.Time { return now }})
		type result struct {
			at      time.Time
			version version.Number // zero when refused
		}
		var submitted []submission.Submission
		first := map[version.SubmissionID]result{}
		for i := range rapid.IntRange(2, 20).Draw(t, "steps") {
			head, _ := submission.ReadHead(ctx, f)
			s := edit(fmt.Sprint("s", i), "stock-team", head.Number, section("stock-team", "stock", rapid.IntRange(1, 2).Draw(t, "slots")))
			if len(submitted) > 0 && rapid.Bool().Draw(t, "repeats") {
				s = rapid.SampledFrom(submitted).Draw(t, "repeated")
			} else {
				s.Base -= min(s.Base, version.Number(rapid.IntRange(0, 3).Draw(t, "behind")))
				submitted = append(submitted, s)
			}
			got := result{at: now}
			if o, ok := a.Accept(ctx, s).(submission.Accepted); ok {
				got.version = o.Snapshot.Number()
			}
			before, repeated := first[s.ID]
			switch {
			case !repeated:
				first[s.ID] = got
			case got.version != before.version && (got.version != 0 && before.version != 0 || now.Sub(before.at) <= retention):
				t.Fatalf("%s: got version %d after %s, before %d", s.ID, got.version, now.Sub(before.at), before.version)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "hours")) * time.Hour)
			if rapid.Bool().Draw(t, "removes expired") {
				f.removeExpired(now)
			}
		}
		f.removeExpired(now.Add(2 * retention))
		if left, _ := f.Scan(ctx, "submission/", "", 100); len(left) != 0 {
			t.Fatalf("got %d rows after the retention, want none", len(left))
		}
	})
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
			refused:   map[version.SubmissionID]bool{},
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
		for range rapid.IntRange(0, 3).Draw(t, "abandoned") {
			functions = append(functions, r.abandoned)
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
	ids       []version.SubmissionID
	refused   map[version.SubmissionID]bool
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
		name := fmt.Sprintf("%s-%d", team, r.random.IntN(2))
		// With two contents, a section may return to that of the base, so that
		// a conflict goes away.
		s := edit(fmt.Sprintf("s-%d-%d", i, n), team, head.Number, section(team, name, 1+r.random.IntN(2)))
		r.submitted[s.ID] = s
		r.ids = append(r.ids, s.ID)
		for range 1 + r.random.IntN(2) { // repeated at times although answered
			r.submit(ctx, s)
		}
	}
}

// abandoned is a daemon on which clients gave up: it still works on submissions
// that they repeat elsewhere.
func (r *run) abandoned() {
	for range 4 {
		if _, err := submission.ReadHead(context.Background(), r.fake); err == nil && len(r.ids) > 0 {
			r.submit(context.Background(), r.submitted[r.ids[r.random.IntN(len(r.ids))]])
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
			if r.refused[s.ID] {
				r.problems = append(r.problems, fmt.Sprintf("%s was refused and then accepted as %d", s.ID, n))
			}
			r.versions[s.ID] = n
			return
		case submission.Refused:
			if r.versions[s.ID] != 0 {
				r.problems = append(r.problems, fmt.Sprintf("%s was accepted and then refused", s.ID))
			}
			r.refused[s.ID] = true
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
