package submission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Guards against changes that are lost, applied twice or mixed up when operators
// submit concurrently to several daemons while responses of the platform are
// lost.
func TestConcurrentSubmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "faults")
		r := concurrentRun{
			platform: newFakePlatform(seed, faults), random: rand.New(rand.NewPCG(seed, 3)),
			submitted:        map[version.SubmissionID]submission.Submission{},
			acceptedVersions: map[version.SubmissionID]version.Number{},
			refusedIDs:       map[version.SubmissionID]bool{},
		}
		for range 3 {
			r.acceptors = append(r.acceptors, newAcceptor(r.platform, 4))
		}
		operators := rapid.IntRange(2, 6).Draw(t, "operators")
		s := newScheduler(seed)
		r.platform.beforeTableCall = s.waitForTurn
		var functions []func()
		for i := range operators {
			functions = append(functions, func() { r.runOperator(i) })
		}
		for range rapid.IntRange(0, 3).Draw(t, "abandoned") {
			functions = append(functions, r.runLateRepeats)
		}
		s.run(functions)
		r.platform.beforeTableCall, r.platform.faultRate = func() {}, 0
		for _, writes := range r.platform.delayedCommits { // these must no longer apply
			r.platform.apply(writes)
		}
		r.platform.delayedCommits = nil
		r.verifyVersions(t)
	})
}

// concurrentRun is one run of the property test. The scheduler lets one operator
// run at a time, so its fields need no lock.
type concurrentRun struct {
	platform         *fakePlatform
	random           *rand.Rand
	acceptors        []*submission.Acceptor
	submitted        map[version.SubmissionID]submission.Submission
	acceptedVersions map[version.SubmissionID]version.Number
	submittedIDs     []version.SubmissionID
	refusedIDs       map[version.SubmissionID]bool
	problems         []string
}

func (r *concurrentRun) runOperator(i int) {
	ctx := context.Background()
	team := fmt.Sprintf("team-%d", i%3) // operators 0 and 3 belong to one team
	for n := range 3 {
		head, err := submission.ReadHead(ctx, r.platform)
		if err != nil {
			continue
		}
		name := fmt.Sprintf("%s-%d", team, r.random.IntN(2))
		// A section has only two possible contents. It may therefore change back
		// to that of the base version, which resolves a conflict.
		s := newSubmission(fmt.Sprintf("s-%d-%d", i, n), team, head.Number, newSection(team, name, 1+r.random.IntN(2)))
		r.submitted[s.ID] = s
		r.submittedIDs = append(r.submittedIDs, s.ID)
		for range 1 + r.random.IntN(2) { // sometimes repeated after a response
			r.submitUntilKnown(ctx, s)
		}
	}
}

// runLateRepeats repeats random submissions of the operators, like a daemon that
// still processes them after its clients gave up waiting.
func (r *concurrentRun) runLateRepeats() {
	for range 4 {
		if _, err := submission.ReadHead(context.Background(), r.platform); err == nil && len(r.submittedIDs) > 0 {
			r.submitUntilKnown(context.Background(), r.submitted[r.submittedIDs[r.random.IntN(len(r.submittedIDs))]])
		}
	}
}

// submitUntilKnown repeats a submission until its outcome is known. The number of
// attempts is limited, so that an outcome that never becomes known fails the test.
func (r *concurrentRun) submitUntilKnown(ctx context.Context, s submission.Submission) {
	for range 500 {
		switch o := r.acceptors[r.random.IntN(len(r.acceptors))].Accept(ctx, s).(type) {
		case submission.Accepted:
			n := o.Snapshot.Number()
			if before, ok := r.acceptedVersions[s.ID]; ok && before != n {
				r.problems = append(r.problems, fmt.Sprintf("%s was accepted as %d and as %d", s.ID, before, n))
			}
			if r.refusedIDs[s.ID] {
				r.problems = append(r.problems, fmt.Sprintf("%s was refused and then accepted as %d", s.ID, n))
			}
			r.acceptedVersions[s.ID] = n
			return
		case submission.Refused:
			if r.acceptedVersions[s.ID] != 0 {
				r.problems = append(r.problems, fmt.Sprintf("%s was accepted and then refused", s.ID))
			}
			r.refusedIDs[s.ID] = true
			if len(o.Conflicts) != 1 || o.Conflicts[0].Base != s.Base || o.Conflicts[0].Head <= s.Base || o.Conflicts[0].Section != s.Changed[0].Name {
				r.problems = append(r.problems, fmt.Sprintf("%s was refused without exactly one conflict, in its section and after its base version: %v", s.ID, o))
			}
			return
		}
	}
	r.problems = append(r.problems, fmt.Sprintf("the outcome of %s stays unknown", s.ID))
}

// verifyVersions loads all versions in order and compares each one with the
// submission that created it.
func (r *concurrentRun) verifyVersions(t *rapid.T) {
	ctx := context.Background()
	head, err := submission.ReadHead(ctx, r.platform)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := int(head.Number), len(r.acceptedVersions); got != want {
		t.Errorf("got %d versions, want %d, one per accepted submission", got, want)
	}
	for _, problem := range r.problems {
		t.Error(problem)
	}
	var last version.Snapshot
	want := map[document.SectionName]document.Section{}
	for n := version.Number(1); n <= head.Number; n++ {
		m, err := submission.ReadVersion(ctx, r.platform, n)
		if err != nil {
			t.Fatal(err)
		}
		if r.acceptedVersions[m.Submission] != n {
			t.Errorf("version %d is of submission %s, which was accepted as %d", n, m.Submission, r.acceptedVersions[m.Submission])
		}
		if last, err = submission.Load(ctx, r.platform, m, last); err != nil {
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
