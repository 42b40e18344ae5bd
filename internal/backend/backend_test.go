package backend

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/peridotlb/peridotlb/internal/codec"
	"github.com/peridotlb/peridotlb/internal/host"
)

// Guards against records and messages of releases without versions that can't be read,
// against rows without a version that those releases can't read, and against rows with
// two encodings.
func TestRowsWithAndWithoutVersion(t *testing.T) {
	old := unversionedRow{ID: "i-1", Service: "stock", Host: "a", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 9, State: Ready, Started: 5, Sequence: 6, Stamp: host.Stamp{Incarnation: 7, Sequence: 8}}
	encoded, err := codec.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}
	decoder := codec.StrictDecMode(codec.Limits{MaxLevels: 4})
	var s Server
	if err := decoder.Unmarshal(encoded, &s); err != nil {
		t.Fatalf("decode a row without a version: %v", err)
	}
	if again, err := codec.Marshal(s); err != nil || !bytes.Equal(again, encoded) {
		t.Errorf("row without a version: got %x (%v), want %x", again, err, encoded)
	}
	s.Version = "v2"
	encoded, err = codec.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var got Server
	if err := decoder.Unmarshal(encoded, &got); err != nil || got != s {
		t.Errorf("row with a version: got %+v (%v), want %+v", got, err, s)
	}
	empty, err := codec.Marshal(versionedRow{ID: "i-1", Service: "stock", Host: "a", Addr: s.Addr})
	if err != nil {
		t.Fatal(err)
	}
	if err := decoder.Unmarshal(empty, &got); err == nil {
		t.Error("decoded a row with an empty version, want an error")
	}
}
