package submission

import (
	"fmt"
	"strings"

	"github.com/peridotlb/peridotlb/internal/codec"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Limits of a recorded refusal. It takes at most about 20 kB, far below the
// limit of a row, even when every section of a document has a fault.
const (
	maxRecordedFaults    = 32
	maxRecordedConflicts = 32
	maxRecordedTextBytes = 512 // bytes of a reason or message
)

var recordDecMode = codec.StrictDecMode(codec.Limits{})

// record is the value of a submission's row: the outcome of its id.
type outcomeRecord struct {
	Number        version.Number   `cbor:"1,keyasint"` // zero when refused
	ContentDigest version.Digest   `cbor:"2,keyasint"`
	Refusal       *recordedRefusal `cbor:"3,keyasint,omitempty"`
}

// refusal is the recorded part of Refused. A repeated submission gets this part.
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

// write returns the write that records the outcome of an id that has none. The
// row is never written again, so that its revision need not be unique.
func (r outcomeRecord) newWrite(id version.SubmissionID, expires platform.Expiry) (platform.Write, error) {
	value, err := codec.Marshal(r)
	if err != nil {
		return platform.Write{}, fmt.Errorf("encode record of submission %s: %w", id, err)
	}
	return platform.Write{Key: RecordKey(id), Value: value, Expires: expires}, nil
}

// readRecord decodes a row strictly: a row that this release does not understand
// whole must not decide an outcome.
func decodeRecord(row platform.Row) (outcomeRecord, error) {
	var r outcomeRecord
	if err := recordDecMode.Unmarshal(row.Value, &r); err != nil {
		return outcomeRecord{}, fmt.Errorf("read %s: %w", row.Key, err)
	}
	if r.ContentDigest == (version.Digest{}) || (r.Number == 0) != (r.Refusal != nil) {
		return outcomeRecord{}, fmt.Errorf("read %s: row lacks its content, or is not either accepted or refused", row.Key)
	}
	return r, nil
}

// String describes the outcome.
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

// cut shortens a text; CBOR text must remain valid UTF-8.
func truncateText(text string) string {
	return strings.ToValidUTF8(text[:min(maxRecordedTextBytes, len(text))], "")
}
