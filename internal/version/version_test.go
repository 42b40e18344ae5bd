package version_test

import (
	"errors"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Guards against applying a version that is partial, altered or not valid.
func TestAssembleVerifies(t *testing.T) {
	d := document.Document{Sections: []document.Section{{Name: "stock", Team: "stock-team"}, {Name: "orders", Team: "order-team"}}}
	good, err := version.New(3, "s-1", 1000, d)
	if err != nil {
		t.Fatal(err)
	}
	blobs := map[version.Digest][]byte{}
	for _, ref := range good.Manifest().Sections {
		blobs[ref.Digest] = good.Blob(ref.Digest)
	}
	if again, err := version.Assemble(good.Manifest(), blobs); err != nil || !reflect.DeepEqual(again, good) {
		t.Errorf("got %+v, error %v, want %+v", again, err, good)
	}
	dangling, err := document.EncodeSection(document.Section{Name: "orders", Team: "order-team", Routes: []document.Route{{Name: "r", PathPrefix: "/", Service: "none", Timeout: 1e9}}})
	if err != nil {
		t.Fatal(err)
	}
	var faults document.Faults
	for name, test := range map[string]struct {
		alter func(*version.Manifest, map[version.Digest][]byte)
		want  any
	}{
		"no number":    {func(m *version.Manifest, _ map[version.Digest][]byte) { m.Number = 0 }, &version.ErrNoNumber},
		"partial":      {func(m *version.Manifest, b map[version.Digest][]byte) { delete(b, m.Sections[0].Digest) }, &version.ErrMissingBlob},
		"unsorted":     {func(m *version.Manifest, _ map[version.Digest][]byte) { slices.Reverse(m.Sections) }, &version.ErrUnsorted},
		"twice":        {func(m *version.Manifest, _ map[version.Digest][]byte) { m.Sections[1] = m.Sections[0] }, &version.ErrUnsorted},
		"wrong size":   {func(m *version.Manifest, _ map[version.Digest][]byte) { m.Sections[0].Size++ }, &version.ErrSizeMismatch},
		"wrong team":   {func(m *version.Manifest, _ map[version.Digest][]byte) { m.Sections[0].Team = "x" }, &version.ErrIdentityMismatch},
		"wrong digest": {func(m *version.Manifest, b map[version.Digest][]byte) { b[m.Sections[0].Digest][0] ^= 1 }, &version.ErrDigestMismatch},
		"dangling route": {func(m *version.Manifest, b map[version.Digest][]byte) {
			m.Sections[0].Digest, m.Sections[0].Size = version.DigestOf(dangling), uint32(len(dangling))
			b[m.Sections[0].Digest] = dangling
		}, &faults},
	} {
		m, b := good.Manifest(), map[version.Digest][]byte{}
		m.Sections = slices.Clone(m.Sections)
		for digest, data := range maps.All(blobs) {
			b[digest] = slices.Clone(data)
		}
		test.alter(&m, b)
		_, err := version.Assemble(m, b)
		if target, ok := test.want.(*error); ok && !errors.Is(err, *target) {
			t.Errorf("%s: got error %v, want %v", name, err, *target)
		} else if !ok && !errors.As(err, test.want) {
			t.Errorf("%s: got error %v, want faults of the document", name, err)
		}
	}
	if _, err := version.New(1, "s", 0, document.Document{Sections: []document.Section{{Name: "a", Team: "b"}, {Name: "a", Team: "b"}}}); !errors.As(err, &faults) {
		t.Errorf("got error %v, want faults for a section that is defined twice", err)
	}
}
