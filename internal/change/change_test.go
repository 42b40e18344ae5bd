package change_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/change"
	"github.com/peridotlb/peridotlb/internal/document"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// newDocument returns a document with one section for each argument, written
// NAME/TEAM or NAME=PREFIX/TEAM. PREFIX adds a route with that path prefix.
func newDocument(names ...string) document.Document {
	var d document.Document
	for _, n := range names {
		name, team, _ := strings.Cut(n, "/")
		name, prefix, _ := strings.Cut(name, "=")
		s := document.Section{Name: document.SectionName(name), Team: document.TeamName(team)}
		if prefix != "" {
			s.Routes = []document.Route{{Name: "r", PathPrefix: "/" + prefix}}
		}
		d.Sections = append(d.Sections, s)
	}
	return d
}

// TestBetween guards against a section of another team that is submitted, and
// against a changed or removed section that is missed.
func TestBetween(t *testing.T) {
	from := newDocument("a/us", "b/us", "c/them", "d/them", "e/us", "f/them")
	to := newDocument("a/us", "b=new/us", "c=new/them", "e/them", "f/us", "g/us", "h/them")
	all, err := change.Between(from, to)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprint(all.Names()), "[b c d e f g h]"; got != want {
		t.Errorf("all: got %s, want %s", got, want)
	}
	own, foreign := all.SplitByTeam(from, "us")
	if got, want := fmt.Sprint(own.Names(), foreign), "[b g] [c d e f h]"; got != want {
		t.Errorf("own and other sections: got %s, want %s", got, want)
	}
	theirs, _ := all.SplitByTeam(from, "them")
	if got, want := fmt.Sprint(theirs.Names(), theirs.Removed), "[c d h] [d]"; got != want {
		t.Errorf("sections of the other team: got %s, want %s", got, want)
	}
	if same, err := change.Between(from, from); err != nil || !same.IsEmpty() {
		t.Errorf("equal documents: got %v, %v, want no change", same, err)
	}
}

// TestLineDiffRebuildsBothTexts guards against a difference that loses, adds or
// reorders lines.
func TestLineDiffRebuildsBothTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 12)
		from, to := text.Draw(t, "from"), text.Draw(t, "to")
		// Mark every other line so that each line is within the context of a
		// difference and is shown.
		mark := func(lines []string, sign string) string {
			var b strings.Builder
			for i, l := range lines {
				if i%2 == 0 {
					l += sign
				}
				b.WriteString(l + "\n")
			}
			return b.String()
		}
		a, b := mark(from, "<"), mark(to, ">")
		var gotA, gotB strings.Builder
		for _, l := range change.LineDiff(a, b) {
			if l[0] != '+' {
				gotA.WriteString(l[1:] + "\n")
			}
			if l[0] != '-' {
				gotB.WriteString(l[1:] + "\n")
			}
		}
		if gotA.String() != a || gotB.String() != b {
			t.Fatalf("got %q and %q, want %q and %q", gotA.String(), gotB.String(), a, b)
		}
	})
}

// TestLineDiffShowsContext guards against large output for a small change of a
// large text.
func TestLineDiffShowsContext(t *testing.T) {
	lines := make([]string, 40)
	for i := range lines {
		lines[i] = fmt.Sprint(i)
	}
	from := strings.Join(lines, "\n")
	lines[10], lines[30] = "x", "y"
	got := change.LineDiff(from, strings.Join(lines, "\n"))
	want := []string{" 7", " 8", " 9", "-10", "+x", " 11", " 12", " 13", "...", " 27", " 28", " 29", "-30", "+y", " 31", " 32", " 33"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := change.LineDiff(from, from); got != nil {
		t.Errorf("equal texts: got %q, want none", got)
	}
}
