package submission

import (
	"fmt"
	"strings"

	"github.com/peridotlb/peridotlb/internal/codec"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Limits of a recorded refusal. They keep it below about 20 kB, far less than the
// maximum size of a row, even if every section of a document has a fault.
const (
	maxRecordedFaults    = 32
	maxRecordedConflicts = 32
	maxRecordedTextBytes = 512 // of a reason or a message
)

var recordDecMode = codec.StrictDecMode(codec.Limits{})

// outcomeRecord is the value of a submission's row: the outcome of its id.
type outcomeRecord struct {
	Number        version.Number   `cbor:"1,keyasint"` // zero when refused
	ContentDigest version.Digest   `cbor:"2,keyasint"`
	Refusal       *recordedRefusal `cbor:"3,keyasint,omitempty"`
}

// recordedRefusal is the part of Refused that is stored. A repeated submission
// gets only this part.
type recordedRefusal struct {
	Reason    string             `cbor:"1,keyasint"`
	Faults    []string           `cbor:"2,keyasint,omitempty"`
	Conflicts []recordedConflict `cbor:"3,keyasint,omitempty"`
}

type recordedConflict struct {
	Section document.SectionName `cbor:"1,keyasint"`
	Base    version.Number       `cbor:"2,keyasint"`
	Head    version.Number       `cbor:"3,keyasint"`
}

// newWrite returns the write that creates the row of an id. The write applies
// only if the id has no row. No write depends on the revision of an existing row
// of an id, so Write.InitialRevision is not needed.
func (r outcomeRecord) newWrite(id version.SubmissionID, expires platform.Expiry) (platform.Write, error) {
	value, err := codec.Marshal(r)
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode record of submission %s: %w", id, err)
	}
	return platform.Write{Key: RecordKey(id), Value: value, Expires: expires}, nil
}

// decodeRecord decodes a row strictly: a row that this release does not fully
// understand must not determine an outcome.
func decodeRecord(row platform.Row) (outcomeRecord, error) {
	var r outcomeRecord
	if err := recordDecMode.Unmarshal(row.Value, &r); err != nil {
		return outcomeRecord{}, fmt.Errorf("read %s: %w", row.Key, err)
	}
	if r.ContentDigest == (version.Digest{}) || (r.Number == 0) != (r.Refusal != nil) {
		return outcomeRecord{}, fmt.Errorf("read %s: row has no content digest, or does not have exactly one of a version and a refusal", row.Key)
	}
	return r, nil
}

// String returns the outcome as a phrase for an error message.
func (r outcomeRecord) String() string {
	if r.Refusal != nil {
		return "which was refused"
	}
	return fmt.Sprintf("accepted as version %d", r.Number)
}

func newRecordedRefusal(r Refused) *recordedRefusal {
	out := &recordedRefusal{Reason: truncateText(r.Reason)}
	for i, f := range r.Faults {
		if i == maxRecordedFaults {
			out.Faults = append(out.Faults, fmt.Sprintf("%d more faults were not recorded", len(r.Faults)-i))
			break
		}
		out.Faults = append(out.Faults, truncateText(f.Error()))
	}
	for _, c := range r.Conflicts[:min(maxRecordedConflicts, len(r.Conflicts))] {
		out.Conflicts = append(out.Conflicts, recordedConflict(c))
	}
	return out
}

func (r recordedRefusal) toRefused() Refused {
	out := Refused{Reason: r.Reason}
	for _, text := range r.Faults {
		out.Faults = append(out.Faults, document.Fault{Message: text})
	}
	for _, c := range r.Conflicts {
		out.Conflicts = append(out.Conflicts, Conflict(c))
	}
	return out
}

// truncateText shortens a text to maxRecordedTextBytes. It removes a truncated
// character at the end, because CBOR text must be valid UTF-8.
func truncateText(text string) string {
	return strings.ToValidUTF8(text[:min(maxRecordedTextBytes, len(text))], "")
}
