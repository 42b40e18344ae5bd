package message

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/timeline"
	"github.com/peridotlb/peridotlb/internal/version"
	_ "github.com/peridotlb/peridotlb/test/seed"
)

// drawAddr draws an IPv4 address and port.
func drawAddr(t *rapid.T) netip.AddrPort {
	ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
	return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port"))
}

// fill sets every field of a message to a drawn value. It fails for field types
// that it does not support, so that new fields are always tested.
func fill(t *rapid.T, v reflect.Value) {
	if v.Type() == reflect.TypeFor[netip.AddrPort]() {
		v.Set(reflect.ValueOf(drawAddr(t)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Slice:
		n := rapid.IntRange(0, 4).Draw(t, "length")
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			fill(t, v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(t, v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range rapid.IntRange(0, 4).Draw(t, "pairs") {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(t, key)
			fill(t, value)
			v.SetMapIndex(key, value)
		}
	case reflect.String:
		v.SetString(rapid.StringN(0, 20, -1).Draw(t, "text"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "bool"))
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(rapid.Uint64().Draw(t, "uint") >> (64 - v.Type().Bits()))
	case reflect.Int64:
		v.SetInt(rapid.Int64().Draw(t, "int"))
	default:
		t.Fatalf("no generator for %v", v.Type())
	}
}

// TestRoundTrip checks that messages of every kind are unchanged after encoding
// and decoding.
func TestRoundTrip(t *testing.T) {
	for kind, desc := range kinds {
		t.Run(desc.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				v := reflect.New(reflect.TypeOf(desc.zero))
				fill(t, v.Elem())
				m := v.Elem().Interface().(Message)
				stamp := timeline.Stamp{WallMS: rapid.Int64Min(0).Draw(t, "wall"), Counter: rapid.Uint32().Draw(t, "counter")}
				data, err := Codec{}.EncodeStamped(m, stamp)
				if err != nil {
					t.Fatal(err)
				}
				got, gotStamp, err := Codec{}.DecodeStamped(data)
				if err != nil {
					t.Fatalf("decode %x: %v", data, err)
				}
				if !reflect.DeepEqual(got, m) {
					t.Fatalf("got %+v, want %+v", got, m)
				}
				if !kind.hasTimestamp() {
					stamp = timeline.Stamp{}
				}
				if gotStamp != stamp {
					t.Fatalf("got stamp %v, want %v", gotStamp, stamp)
				}
				if KindOf(got) != kind {
					t.Fatalf("got kind %v, want %v", KindOf(got), kind)
				}
			})
		})
	}
}

// mustMarshal returns the CBOR encoding of a value.
func mustMarshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestDecodeRejects checks that decoding rejects forged, malformed and
// non-canonical input.
func TestDecodeRejects(t *testing.T) {
	expanding, err := Compress(make([]byte, MaxSize), nil)
	if err != nil {
		t.Fatal(err)
	}
	valid, err := Encode(Probe{Nonce: 7, RowStamp: host.Stamp{Incarnation: 1 << 40}})
	if err != nil {
		t.Fatal(err)
	}
	announce, err := Encode(Announce{Number: 300})
	if err != nil {
		t.Fatal(err)
	}
	many := append([]byte{ProtocolVersion, byte(KindRowUpdate), 0, 0, 0x82, 0x9a, 0, 0x0f, 0xff, 0xff}, bytes.Repeat([]byte{0x80}, 0xfffff)...)
	with := func(k Kind, b ...byte) []byte {
		head := []byte{ProtocolVersion, byte(k)}
		if (k & kindMask).hasTimestamp() {
			head = append(head, 0, 0)
		}
		return append(head, b...)
	}
	for name, c := range map[string]struct {
		data []byte
		want string
	}{
		"empty":            {nil, "too short"},
		"old protocol":     {append([]byte{0}, valid[1:]...), "protocol version 0"},
		"unknown kind":     {with(63, valid[2:]...), "unknown kind 63"},
		"unknown flags":    {with(KindProbe|flagDictionary, valid[2:]...), "flags"},
		"trailing byte":    {append(bytes.Clone(announce), 0), "extraneous data"},
		"truncated":        {announce[:len(announce)-1], "EOF"},
		"long probe":       {append(bytes.Clone(valid), 0), "canonical"},
		"short probe":      {valid[:len(valid)-1], "canonical"},
		"empty probe":      {with(KindProbe), "varint"},
		"padded varint":    {with(KindProbe, append([]byte{0x87, 0x00}, valid[3:]...)...), "varint"},
		"no stamp":         {[]byte{ProtocolVersion, byte(KindAnnounce)}, "varint"},
		"cut off stamp":    {[]byte{ProtocolVersion, byte(KindAnnounce), 1}, "varint"},
		"padded stamp":     {[]byte{ProtocolVersion, byte(KindAnnounce), 0x81, 0, 0, 0x81, 1}, "varint"},
		"large time":       {append(binary.AppendUvarint([]byte{ProtocolVersion, byte(KindAnnounce)}, 1<<63), 0, 0x81, 1), "stamp"},
		"large counter":    {append(binary.AppendUvarint([]byte{ProtocolVersion, byte(KindAnnounce), 0}, 1<<32), 0x81, 1), "stamp"},
		"wide varint":      {with(KindProbe, bytes.Repeat([]byte{0xff}, 20)...), "varint"},
		"compressed probe": {with(KindProbe|flagCompressed, valid[2:]...), "flags"},
		"unknown field":    {with(KindAnnounce, 0x82, 0x01, 0x01), "different number of elements"},
		"map":              {with(KindAnnounce, mustMarshal(t, map[int]int{1: 1})...), "cannot unmarshal map"},
		"missing field":    {with(KindAnnounce, 0x80), "different number of elements"},
		"null":             {with(KindAnnounce, 0x81, 0xf6), "canonical"},
		"long number":      {with(KindAnnounce, 0x81, 0x18, 0x01), "canonical"},
		"duplicate key":    {with(KindSyncRequest, 0x82, 0xa2, 0x61, 'a', 0x01, 0x61, 'a', 0x02, 0xf4), "duplicate"},
		"indefinite":       {with(KindAnnounce, 0x9f, 0x01, 0xff), "indefinite"},
		"tag":              {with(KindAnnounce, 0x81, 0xc1, 0x01), "tag"},
		"wrong type":       {with(KindAnnounce, 0x81, 0x61, 'x'), "cannot unmarshal"},
		"deep":             {with(KindRowUpdate, append([]byte{0x82}, bytes.Repeat([]byte{0x81}, 20)...)...), "nested"},
		"many elements":    {many, "exceeded max number of elements"},
		"too long":         {make([]byte, MaxSize+1), "exceeds the limit"},
		"bad frame":        {with(KindRowUpdate|flagCompressed, 1, 2, 3), "zstd"},
		"expanding frame":  {with(KindRowUpdate|flagCompressed, expanding...), "decompressed size exceeds"},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := Decode(c.data)
			if !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v and error %v, want ErrMalformed with %q", m, err, c.want)
			}
		})
	}
}

// FuzzDecode checks that decoded messages can be encoded again, and that they then
// have the same encoding.
func FuzzDecode(f *testing.F) {
	row := host.Row{ID: "pwani-a-1", Zone: "pwani-a", Region: "pwani", ControlAddr: netip.MustParseAddrPort("127.1.0.1:7000")}
	for _, m := range []Message{
		Probe{Nonce: 1, Summary: StateSummary{Known: 3, Held: 3, RowsHash: 1 << 60}},
		ProbeAnswer{Nonce: 1 << 63, RowStamp: host.Stamp{Incarnation: 1 << 40}, Summary: StateSummary{Known: 3, Held: 4}},
		Delta{Manifest: version.Manifest{Number: 2, Sections: []version.SectionRef{{Name: "stock"}}}, Blobs: []Blob{bytes.Repeat([]byte("stock "), 100)}},
		RowUpdate{Hosts: []host.Row{row}, Servers: []backend.Server{{ID: "bead-stock-1", Addr: row.ControlAddr}}},
		SyncRequest{Hashes: map[host.AvailabilityZone]uint64{"pwani-a": 1}},
		Report{Zone: "pwani-a", Counts: []Count{{Number: 2, Hosts: 9}}, Stragglers: []host.ID{"pwani-a-3"}},
	} {
		data, err := Codec{}.EncodeStamped(m, timeline.Stamp{WallMS: 1_790_000_000_000, Counter: 2})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, stamp, err := Codec{}.DecodeStamped(data)
		if err != nil {
			return
		}
		reencoded, err := Codec{}.EncodeStamped(m, stamp)
		if err != nil {
			t.Fatalf("encode the decoded message: %v", err)
		}
		if data[1]&flagCompressed == 0 && len(data) <= compressionThreshold && !bytes.Equal(reencoded, data) {
			t.Fatalf("got %x, want %x", reencoded, data)
		}
	})
}

// testSnapshot is a Snapshot in memory.
type testSnapshot struct {
	manifest version.Manifest
	blobs    map[version.Digest][]byte
}

func (h testSnapshot) Manifest() version.Manifest   { return h.manifest }
func (h testSnapshot) Blob(d version.Digest) []byte { return h.blobs[d] }

// newTestSnapshot returns a version with one section per blob.
func newTestSnapshot(n version.Number, blobs ...[]byte) testSnapshot {
	h := testSnapshot{manifest: version.Manifest{Number: n, Submission: "0f6c1d6e", AcceptedMS: 1_790_000_000_000 + int64(n)}, blobs: map[version.Digest][]byte{}}
	for i, b := range blobs {
		d := version.Digest(sha256.Sum256(b))
		h.blobs[d] = b
		h.manifest.Sections = append(h.manifest.Sections, version.SectionRef{
			Name: document.SectionName(fmt.Sprintf("section-%03d", i)), Team: "stock-team", Digest: d, Size: uint32(len(b)),
		})
	}
	return h
}

// testSection returns the encoding of a section with generated routes.
func testSection(seed, size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		x := sha256.Sum256(fmt.Appendf(nil, "%d/%d", seed, i))
		fmt.Fprintf(&b, "route read-%x prefix /%x/%x service s-%x timeout %dms;", x[:4], x[4:8], x[8:12], x[12:14], x[14])
	}
	return b.Bytes()[:size]
}

// TestDictionaryDelta checks that a delta compressed with a dictionary does not
// resend content that the receiver already has.
func TestDictionaryDelta(t *testing.T) {
	blobs := make([][]byte, 57)
	for i := range blobs {
		blobs[i] = testSection(i, 20_000)
	}
	base := newTestSnapshot(8, blobs...)
	blobs[5] = bytes.Replace(blobs[5], []byte("timeout 1"), []byte("timeout 73"), 1)
	next := newTestSnapshot(9, blobs...)
	d := Delta{Manifest: next.manifest, Base: 8, Blobs: []Blob{blobs[5]}}
	c := Codec{Lookup: func(n version.Number) (Snapshot, bool) { return base, n == 8 }}
	compressed, err := c.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	full, err := Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("one-line change: %d bytes with a dictionary, %d bytes without", len(compressed), len(full))
	if len(compressed) > 300 {
		t.Errorf("got %d bytes with a dictionary, want at most 300", len(compressed))
	}
	got, err := c.Decode(compressed)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, d) {
		t.Errorf("got %+v, want %+v", got, d)
	}
	if _, err := Decode(compressed); !errors.Is(err, ErrNoBase) || errors.Is(err, ErrMalformed) {
		t.Errorf("without the base version: got error %v, want ErrNoBase", err)
	}
	other := Codec{Lookup: func(version.Number) (Snapshot, bool) { return newTestSnapshot(8, testSection(1, 20_000)), true }}
	if _, err := other.Decode(compressed); !errors.Is(err, ErrMalformed) {
		t.Errorf("with another base version: got error %v, want ErrMalformed", err)
	}
}

// TestReceivedDeltaIsPassedOn checks that a received delta is forwarded without
// compressing it again at each level of the distribution tree, and that a forged
// delta for the same version is not forwarded in its place.
func TestReceivedDeltaIsPassedOn(t *testing.T) {
	blob := testSection(1, 2_000)
	base := newTestSnapshot(8, blob)
	delta := func(old, replacement string) Delta {
		b := bytes.Replace(blob, []byte(old), []byte(replacement), 1)
		return Delta{Manifest: newTestSnapshot(9, b).manifest, Base: 8, Blobs: []Blob{b}}
	}
	genuine, forged := delta("timeout 1", "timeout 73"), delta("service", "servant")
	lookup := func(n version.Number) (Snapshot, bool) { return base, n == 8 }
	c := Codec{Lookup: lookup, Deltas: new(DeltaCache)}
	for _, received := range []Delta{forged, genuine} {
		data, err := Codec{Lookup: lookup}.Encode(received)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Decode(data); err != nil {
			t.Fatal(err)
		}
	}
	data, err := c.Encode(genuine)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := c.Decode(data); err != nil || !reflect.DeepEqual(got, genuine) {
		t.Errorf("got %+v, error %v, want %+v", got, err, genuine)
	}
	body, err := encMode.Marshal(genuine)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := c.Deltas.get(deltaKey{base: 8, bodyDigest: sha256.Sum256(body)}); !ok {
		t.Error("got no cached encoding of the received delta, want one to forward")
	}
}

// BenchmarkForwardDelta decodes a received delta and encodes it for four children.
func BenchmarkForwardDelta(b *testing.B) {
	blob := testSection(1, 20_000)
	base := newTestSnapshot(8, blob)
	changed := bytes.Replace(blob, []byte("timeout 1"), []byte("timeout 73"), 1)
	lookup := func(n version.Number) (Snapshot, bool) { return base, n == 8 }
	data, err := Codec{Lookup: lookup}.Encode(Delta{Manifest: newTestSnapshot(9, changed).manifest, Base: 8, Blobs: []Blob{changed}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		c := Codec{Lookup: lookup, Deltas: new(DeltaCache)}
		m, err := c.Decode(data)
		for i := 0; i < 4 && err == nil; i++ {
			_, err = c.Encode(m)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

// TestCompress checks that Decompress limits its output and rejects a wrong
// dictionary.
func TestCompress(t *testing.T) {
	dictionary := testSection(1, 20_000)
	next := bytes.Replace(dictionary, []byte("timeout 1"), []byte("timeout 73"), 1)
	compressed, err := Compress(next, dictionary)
	if err != nil {
		t.Fatal(err)
	}
	alone, err := Compress(next, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("one-line change of 20,000 bytes: %d bytes with a dictionary, %d without", len(compressed), len(alone))
	if len(compressed) > 100 {
		t.Errorf("got %d bytes, want at most 100", len(compressed))
	}
	if got, err := Decompress(compressed, dictionary, len(next)); err != nil || !bytes.Equal(got, next) {
		t.Errorf("got %d bytes and error %v, want the original %d bytes", len(got), err, len(next))
	}
	if _, err := Decompress(compressed, dictionary, len(next)-1); err == nil {
		t.Error("got no error for output above the limit")
	}
	if _, err := Decompress(compressed, testSection(2, 20_000), MaxSize); err == nil {
		t.Error("got no error for a wrong dictionary")
	}
	if got, err := Decompress(alone, nil, MaxSize); err != nil || !bytes.Equal(got, next) {
		t.Errorf("without a dictionary: got %d bytes and error %v, want %d bytes", len(got), err, len(next))
	}
}

func BenchmarkCompressWithDictionary(b *testing.B) {
	dictionary := testSection(1, 20_000)
	next := bytes.Replace(dictionary, []byte("timeout 1"), []byte("timeout 73"), 1)
	for b.Loop() {
		if _, err := Compress(next, dictionary); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeProbe(b *testing.B) {
	data, _ := Encode(Probe{Nonce: 7, RowStamp: host.Stamp{Incarnation: 1 << 40, Sequence: 5}, Summary: StateSummary{Known: 900, Held: 900, RowsHash: 1 << 63}})
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
