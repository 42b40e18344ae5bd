// Package submission accepts changes that operators make to the document. It
// checks that the team owns the changed sections, merges concurrent changes and
// commits new versions to the platform.
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
	ID      version.SubmissionID // a repeated submission has the same id
	Team    document.TeamName    // from the operator's token
	Base    version.Number       // version that the change was made from
	Changed []document.Section   // new and replaced sections
	Removed []document.SectionName
}

// Outcome is the result of a submission: Accepted, Refused or Unknown.
type Outcome interface{ isOutcome() }

// Accepted holds the version that was created from the submission.
type Accepted struct{ Snapshot version.Snapshot }

// Refused states why a submission was not accepted. It changed no section.
type Refused struct {
	Reason    string
	Faults    document.Faults
	Conflicts []Conflict
}

// Unknown means that it could not be determined whether the submission was
// accepted. Submitting again with the same id is safe.
type Unknown struct{ Err error }

func (Accepted) isOutcome() {}
func (Refused) isOutcome()  {}
func (Unknown) isOutcome()  {}

// Error returns the reason, followed by one line per conflict and fault.
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

// Conflict reports a section of a submission that another submission changed
// after the base version.
type Conflict struct {
	Section document.SectionName
	Base    version.Number
	Head    version.Number
}

// String returns a message with the section and both versions.
func (c Conflict) String() string {
	return fmt.Sprintf("section %q differs between version %d, which was edited, and version %d, which is the newest", c.Section, c.Base, c.Head)
}

const (
	reasonInvalid   = "submission is not valid"
	reasonOwnership = "submission changes sections of another team"
	reasonConflict  = "sections were changed since the base version"
	reasonDocument  = "merged document is not valid"
)

var submissionIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{0,63}$`)

// validate returns the faults that do not depend on the head version.
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

// contentDigest returns a digest of the change. It distinguishes a repeated
// submission from a different one with the same id. The base version is left
// out, because it is not part of the change. The order of Removed matters, that of
// Changed does not.
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

// Merge applies a submission to the head version and checks the merged document
// as a whole. The error is of type Refused. The checks run in the order
// submission, ownership, conflicts, merged document; the first one that fails
// reports all of its findings.
func Merge(base, head version.Snapshot, s Submission) (document.Document, error) {
	if faults := s.validate(); len(faults) > 0 {
		return document.Document{}, Refused{Reason: reasonInvalid, Faults: faults}
	}
	baseRefs, headRefs := sectionRefs(base), sectionRefs(head)
	if faults := checkOwnership(headRefs, s); len(faults) > 0 {
		return document.Document{}, Refused{Reason: reasonOwnership, Faults: faults}
	}
	if conflicts := findConflicts(base, head, baseRefs, headRefs, s); len(conflicts) > 0 {
		return document.Document{}, Refused{Reason: reasonConflict, Conflicts: conflicts}
	}
	for _, name := range s.Removed {
		if _, ok := headRefs[name]; !ok {
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

// checkOwnership returns a fault for each section that the team may not change.
func checkOwnership(headRefs map[document.SectionName]version.SectionRef, s Submission) document.Faults {
	var faults document.Faults
	checkOwner := func(name document.SectionName) {
		if ref, ok := headRefs[name]; ok && ref.Team != s.Team {
			faults = append(faults, document.Fault{Message: fmt.Sprintf("section %q belongs to team %q, not to team %q", name, ref.Team, s.Team)})
		}
	}
	for _, c := range s.Changed {
		checkOwner(c.Name)
		if c.Team != s.Team {
			faults = append(faults, document.Fault{Message: fmt.Sprintf("section %q names team %q, but was submitted by team %q", c.Name, c.Team, s.Team)})
		}
	}
	for _, name := range s.Removed {
		checkOwner(name)
	}
	return faults
}

// findConflicts returns the sections of the submission that differ between base
// and head. A section that exists in only one of the two versions differs.
func findConflicts(base, head version.Snapshot, baseRefs, headRefs map[document.SectionName]version.SectionRef, s Submission) []Conflict {
	var found []Conflict
	compare := func(name document.SectionName) {
		if baseRefs[name].Digest != headRefs[name].Digest {
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

// applyChanges returns the head document with the changes of the submission.
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
