// Package submission accepts operators' changes to the document: it checks
// ownership, merges concurrent edits and commits new versions to the platform.
package submission

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Submission is one operator's change to the sections of a team.
type Submission struct {
	ID      version.SubmissionID // repeated submissions have the same id
	Team    document.TeamName    // from the operator's token
	Base    version.Number       // version that the operator edited
	Changed []document.Section   // new and replaced sections
	Removed []document.SectionName
}

// Outcome is the outcome of a submission: Accepted, Refused or Unknown.
type Outcome interface{ isOutcome() }

// Accepted holds the version that the submission became.
type Accepted struct{ Snapshot version.Snapshot }

// Refused says why a submission was not accepted. Nothing was changed.
type Refused struct {
	Reason    string
	Faults    document.Faults
	Conflicts []Conflict
}

// Unknown says that it is not known whether the submission was accepted.
// Submitting again with the same id is safe.
type Unknown struct{ Err error }

func (Accepted) isOutcome() {}
func (Refused) isOutcome()  {}
func (Unknown) isOutcome()  {}

// Error returns the reason, and one line per conflict and fault.
func (r Refused) Error() string {
	lines := []string{r.Reason}
	for _, c := range r.Conflicts {
		lines = append(lines, c.String())
	}
	for _, f := range r.Faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Conflict is a section of a submission that another submission changed after
// the base version.
type Conflict struct {
	Section document.SectionName
	Base    version.Number
	Head    version.Number
}

// String names the section and both versions.
func (c Conflict) String() string {
	return fmt.Sprintf("section %q differs between version %d, which was edited, and version %d, which is in effect", c.Section, c.Base, c.Head)
}

const (
	reasonInvalid   = "submission is not valid"
	reasonOwnership = "submission changes sections of another team"
	reasonConflict  = "sections were changed since the version that was edited"
	reasonDocument  = "merged document is not valid"
)

var submissionIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{0,63}$`)

// check returns the faults that do not depend on the head version.
func (s Submission) validate() document.Faults {
	var faults document.Faults
	add := func(format string, args ...any) {
		faults = append(faults, document.Fault{Message: fmt.Sprintf(format, args...)})
	}
	if !submissionIDPattern.MatchString(string(s.ID)) {
		add("submission id %q is not 1 to 64 letters, digits and hyphens", s.ID)
	}
	if !document.ValidName(string(s.Team)) {
		add("team name %q is not valid", s.Team)
	}
	if len(s.Changed)+len(s.Removed) == 0 {
		add("submission changes nothing")
	}
	seen := map[document.SectionName]bool{}
	for _, c := range s.Changed {
		if seen[c.Name] {
			add("section %q is in the submission twice", c.Name)
		}
		seen[c.Name] = true
	}
	for _, name := range s.Removed {
		if seen[name] {
			add("section %q is in the submission twice", name)
		}
		seen[name] = true
	}
	return faults
}

// content returns a digest of the change, by which a repeated submission is
// told from another one that has the same id. The base is not part of it, since
// it does not alter what the change is.
func (s Submission) contentDigest() (version.Digest, error) {
	h := sha256.New()
	changed := document.Canonical(document.Document{Sections: s.Changed}).Sections
	if err := cbor.NewEncoder(h).Encode([]any{s.Team, len(changed), s.Removed}); err != nil {
		return version.Digest{}, fmt.Errorf("digest of submission %s: %w", s.ID, err)
	}
	for _, c := range changed {
		data, err := document.EncodeSection(c)
		if err != nil {
			return version.Digest{}, fmt.Errorf("digest of submission %s: %w", s.ID, err)
		}
		h.Write(data)
	}
	return version.Digest(h.Sum(nil)), nil
}

// Merge applies a submission to the head version and checks the result whole.
// The error is Refused, with all reasons of the first failed kind: ownership,
// conflicts, faults of the merged document.
func Merge(base, head version.Snapshot, s Submission) (document.Document, error) {
	if faults := s.validate(); len(faults) > 0 {
		return document.Document{}, Refused{Reason: reasonInvalid, Faults: faults}
	}
	before, now := sectionRefs(base), sectionRefs(head)
	if faults := checkOwnership(now, s); len(faults) > 0 {
		return document.Document{}, Refused{Reason: reasonOwnership, Faults: faults}
	}
	if conflicts := findConflicts(base, head, before, now, s); len(conflicts) > 0 {
		return document.Document{}, Refused{Reason: reasonConflict, Conflicts: conflicts}
	}
	for _, name := range s.Removed {
		if _, ok := now[name]; !ok {
			fault := document.Fault{Message: fmt.Sprintf("section %q, which the submission removes, does not exist in version %d", name, head.Number())}
			return document.Document{}, Refused{Reason: reasonInvalid, Faults: document.Faults{fault}}
		}
	}
	merged := applyChanges(head.Document(), s)
	var faults document.Faults
	if err := document.Check(merged); errors.As(err, &faults) {
		return document.Document{}, Refused{Reason: reasonDocument, Faults: faults}
	} else if err != nil {
		return document.Document{}, Refused{Reason: reasonDocument + ": " + err.Error()}
	}
	return merged, nil
}

func sectionRefs(s version.Snapshot) map[document.SectionName]version.SectionRef {
	refs := make(map[document.SectionName]version.SectionRef, len(s.Manifest().Sections))
	for _, ref := range s.Manifest().Sections {
		refs[ref.Name] = ref
	}
	return refs
}

// ownership returns a fault for each section that the team may not change.
func checkOwnership(now map[document.SectionName]version.SectionRef, s Submission) document.Faults {
	var faults document.Faults
	owned := func(name document.SectionName) {
		if ref, ok := now[name]; ok && ref.Team != s.Team {
			faults = append(faults, document.Fault{Message: fmt.Sprintf("section %q belongs to team %q, not to team %q", name, ref.Team, s.Team)})
		}
	}
	for _, c := range s.Changed {
		owned(c.Name)
		if c.Team != s.Team {
			faults = append(faults, document.Fault{Message: fmt.Sprintf("section %q names team %q, but was submitted by team %q", c.Name, c.Team, s.Team)})
		}
	}
	for _, name := range s.Removed {
		owned(name)
	}
	return faults
}

// conflicts returns the sections of the submission that differ between base
// and head, also when one of the versions does not have them.
func findConflicts(base, head version.Snapshot, before, now map[document.SectionName]version.SectionRef, s Submission) []Conflict {
	var found []Conflict
	compare := func(name document.SectionName) {
		if before[name].Digest != now[name].Digest {
			found = append(found, Conflict{Section: name, Base: base.Number(), Head: head.Number()})
		}
	}
	for _, c := range s.Changed {
		compare(c.Name)
	}
	for _, name := range s.Removed {
		compare(name)
	}
	return found
}

// apply returns the head document with the changes of the submission.
func applyChanges(head document.Document, s Submission) document.Document {
	replaced := map[document.SectionName]bool{}
	for _, c := range s.Changed {
		replaced[c.Name] = true
	}
	for _, name := range s.Removed {
		replaced[name] = true
	}
	var merged document.Document
	for _, section := range head.Sections {
		if !replaced[section.Name] {
			merged.Sections = append(merged.Sections, section)
		}
	}
	merged.Sections = append(merged.Sections, s.Changed...)
	return document.Canonical(merged)
}
