package submission_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Guards against an outcome that is taken from a row that this release does not
// fully understand, for example one that a later release wrote.
func TestMalformedRows(t *testing.T) {
	ctx := context.Background()
	s := newSubmission("one", "stock-team", 0, newSection("stock-team", "stock", 1))
	key := submission.RecordKey("one")
	for name, change := range map[string]func(f *fakePlatform, fields map[int]any) []byte{
		"unknown field": func(_ *fakePlatform, fields map[int]any) []byte { fields[9] = 1; return marshalCanonical(fields) },
		"trailing byte": func(_ *fakePlatform, fields map[int]any) []byte { return append(marshalCanonical(fields), 0) },
		"key twice": func(_ *fakePlatform, fields map[int]any) []byte {
			return append(append([]byte{0xa3}, marshalCanonical(fields)[1:]...), 1, 1)
		},
		"indefinite length": func(_ *fakePlatform, fields map[int]any) []byte {
			return append(append([]byte{0xbf}, marshalCanonical(fields)[1:]...), 0xff)
		},
		"no content digest":            func(_ *fakePlatform, fields map[int]any) []byte { delete(fields, 2); return marshalCanonical(fields) },
		"neither accepted nor refused": func(_ *fakePlatform, fields map[int]any) []byte { delete(fields, 1); return marshalCanonical(fields) },
		"accepted and refused": func(_ *fakePlatform, fields map[int]any) []byte {
			fields[3] = map[int]any{1: "reason"}
			return marshalCanonical(fields)
		},
		"refusal with an unknown field": func(_ *fakePlatform, fields map[int]any) []byte {
			delete(fields, 1)
			fields[3] = map[int]any{1: "reason", 9: 1}
			return marshalCanonical(fields)
		},
		"row of another version": func(f *fakePlatform, fields map[int]any) []byte {
			requireAccepted(t, newAcceptor(f, 3).Accept(ctx, newSubmission("two", "price-team", 1, newSection("price-team", "prices", 1))))
			f.rows[submission.VersionKey(1)] = f.rows[submission.VersionKey(2)]
			return marshalCanonical(fields)
		},
	} {
		f := newFakePlatform(1, 0)
		requireAccepted(t, newAcceptor(f, 3).Accept(ctx, s))
		row := f.rows[key]
		fields := map[int]any{}
		if err := cbor.Unmarshal(row.Value, &fields); err != nil {
			t.Fatal(err)
		}
		row.Value = change(f, fields)
		f.rows[key] = row
		if o, ok := newAcceptor(f, 3).Accept(ctx, s).(submission.Unknown); !ok {
			t.Errorf("%s: got outcome %+v, want Unknown", name, o)
		}
	}
}

// marshalCanonical encodes a map with keys in ascending order, like the rows.
func marshalCanonical(fields map[int]any) []byte {
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

// Guards against an id that is accepted twice because its row expired, against an
// outcome that changes, and against rows that never expire.
func TestRepeatAfterRetention(t *testing.T) {
	const retention = 48 * time.Hour
	rapid.Check(t, func(t *rapid.T) {
		ctx, f, now := context.Background(), newFakePlatform(1, 0), time.UnixMilli(1000)
		a := submission.New(submission.Config{Platform: f, Retention: retention, Now: func() time.Time { return now }})
		type result struct {
			at      time.Time
			version version.Number // zero when refused
		}
		var submitted []submission.Submission
		first := map[version.SubmissionID]result{}
		for i := range rapid.IntRange(2, 20).Draw(t, "steps") {
			head, _ := submission.ReadHead(ctx, f)
			s := newSubmission(fmt.Sprint("s", i), "stock-team", head.Number, newSection("stock-team", "stock", rapid.IntRange(1, 2).Draw(t, "slots")))
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
