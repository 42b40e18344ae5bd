package message

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"sync"

	"github.com/peridotlb/peridotlb/internal/codec"
	"github.com/peridotlb/peridotlb/internal/timeline"
	"github.com/peridotlb/peridotlb/internal/version"
)

// ProtocolVersion is the first byte of every encoded message.
const ProtocolVersion = 2

// MaxSize is the largest encoded message and the largest decompressed body, in
// bytes. A document is limited to 4 MiB, so a full delta fits.
const MaxSize = 8 << 20

// maxBody is the largest body of a message in bytes.
const maxBodySize = MaxSize - 2 - MaxStampSize

// compressAbove is the body size in bytes above which compression is tried. A
// zstd frame of a smaller body rarely saves a byte.
const compressionThreshold = 256

// Flags of the kind byte.
const (
	flagCompressed = 0x80 // the body is a zstd frame
	flagDictionary = 0x40 // the body is a zstd frame with a dictionary, see based.go
	kindMask       = 0x3f
)

// ErrMalformed marks a message that can't be decoded.
var ErrMalformed = errors.New("malformed message")

// ErrNoBase is returned for a delta whose base version the receiver doesn't
// hold. The message is well formed as far as can be told.
var ErrNoBase = errors.New("base version of the delta is not held")

// Kind is the kind byte of an encoded message.
type Kind uint8

// Kinds of messages. The values are part of the protocol.
const (
	KindProbe Kind = iota + 1
	KindProbeAnswer
	KindIndirectProbe
	KindIndirectAnswer
	KindAnnounce
	KindFetch
	KindDelta
	KindRowUpdate
	KindSyncRequest
	KindSync
	KindJoin
	KindJoinAnswer
	KindReport
	KindFloorRequest
	KindFloor
	KindConfirm
)

// kinds lists the type and the name of every kind.
var kinds = map[Kind]struct {
	name string
	zero Message
}{
	KindProbe:          {"probe", Probe{}},
	KindProbeAnswer:    {"probe-answer", ProbeAnswer{}},
	KindIndirectProbe:  {"indirect-probe", IndirectProbe{}},
	KindIndirectAnswer: {"indirect-answer", IndirectAnswer{}},
	KindAnnounce:       {"announce", Announce{}},
	KindFetch:          {"fetch", Fetch{}},
	KindDelta:          {"delta", Delta{}},
	KindRowUpdate:      {"news", RowUpdate{}},
	KindSyncRequest:    {"sync-request", SyncRequest{}},
	KindSync:           {"sync", Sync{}},
	KindJoin:           {"join", Join{}},
	KindJoinAnswer:     {"join-answer", JoinAnswer{}},
	KindReport:         {"report", Report{}},
	KindFloorRequest:   {"floor-request", FloorRequest{}},
	KindFloor:          {"floor", Floor{}},
	KindConfirm:        {"confirm", Confirm{}},
}

var kindOfType = func() map[reflect.Type]Kind {
	m := make(map[reflect.Type]Kind, len(kinds))
	for k, d := range kinds {
		m[reflect.TypeOf(d.zero)] = k
	}
	return m
}()

// String returns the name of the kind in kebab case.
func (k Kind) String() string {
	if d, ok := kinds[k]; ok {
		return d.name
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// KindOf returns the kind of a message, or zero for nil.
func KindOf(m Message) Kind { return kindOfType[reflect.TypeOf(m)] }

var (
	encMode = codec.MessageEncMode()
	// The deepest message is Sync: news, rows, row, stamp. 4,096 sections and
	// 1,200 hosts are the design limits; the bound on elements keeps a forged
	// array of empty rows from taking gigabytes.
	decMode = codec.StrictDecMode(codec.Limits{MaxLevels: 8, MaxElements: 16384, MaxPairs: 4096})
)

// Snapshot is the part of version.Snapshot that a Codec reads.
type Snapshot interface {
	Manifest() version.Manifest
	Blob(version.Digest) []byte
}

// Codec encodes and decodes messages. The zero Codec has no access to held
// versions: it encodes a delta in full and can't decode one that was encoded
// against a base version.
type Codec struct {
	// Held returns the snapshot of a version that this daemon holds, and false
	// when it doesn't. It may be called from several goroutines.
	Lookup func(version.Number) (Snapshot, bool)
	// Deltas keeps the encodings of the last deltas, which a daemon sends to
	// several neighbours; nil for none.
	Deltas *DeltaCache
}

// Encode encodes a message without a stamp and without access to held versions.
func Encode(m Message) ([]byte, error) { return Codec{}.Encode(m) }

// Decode decodes a message without access to held versions.
func Decode(data []byte) (Message, error) { return Codec{}.Decode(data) }

// Encode returns the encoding of a message without a stamp.
func (c Codec) Encode(m Message) ([]byte, error) { return c.EncodeStamped(m, timeline.Stamp{}) }

// EncodeStamped returns the encoding of a message with the sender's hybrid
// logical clock stamp, which a probe and its answer leave out. A delta whose
// base version is held is compressed against that version, which its receiver
// holds too.
func (c Codec) EncodeStamped(m Message, stamp timeline.Stamp) ([]byte, error) {
	k := KindOf(m)
	if k == 0 {
		return nil, fmt.Errorf("encode message: unknown type %T", m)
	}
	head := []byte{ProtocolVersion, byte(k)}
	switch m := m.(type) {
	case Probe:
		return appendProbe(head, probeBody(m)), nil
	case ProbeAnswer:
		return appendProbe(head, probeBody(m)), nil
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", k, err)
	}
	if len(body) > maxBodySize {
		return nil, fmt.Errorf("encode %s: body of %d bytes exceeds the limit of %d", k, len(body), maxBodySize)
	}
	flag, body, err := c.compress(m, body)
	if err != nil {
		return nil, fmt.Errorf("compress %s: %w", k, err)
	}
	head[1] |= flag
	return append(AppendStamp(head, stamp), body...), nil
}

// compress returns the smallest known form of a body and the flag of that form.
func (c Codec) compress(m Message, body []byte) (flag byte, out []byte, err error) {
	if len(body) <= compressionThreshold {
		return 0, body, nil
	}
	if d, ok := m.(Delta); ok {
		if based, ok, err := c.compressDelta(d, body); err != nil || ok {
			return flagDictionary, based, err
		}
	}
	packed, err := Compress(body, nil)
	if err != nil || len(packed) >= len(body) {
		return 0, body, err
	}
	return flagCompressed, packed, nil
}

// Decode decodes one message like DecodeStamped and ignores its stamp.
func (c Codec) Decode(data []byte) (Message, error) {
	m, _, err := c.DecodeStamped(data)
	return m, err
}

// DecodeStamped decodes one message and rejects everything that EncodeStamped
// would not have written, except for a different compression. The stamp is zero
// when the sender has no clock and for a probe and its answer. Errors wrap
// ErrMalformed or ErrNoBase.
func (c Codec) DecodeStamped(data []byte) (m Message, stamp timeline.Stamp, err error) {
	switch {
	case len(data) < 2:
		return nil, stamp, fmt.Errorf("%w: %d bytes is too short", ErrMalformed, len(data))
	case len(data) > MaxSize:
		return nil, stamp, fmt.Errorf("%w: %d bytes exceeds the limit of %d", ErrMalformed, len(data), MaxSize)
	case data[0] != ProtocolVersion:
		return nil, stamp, fmt.Errorf("%w: protocol version %d, want %d", ErrMalformed, data[0], ProtocolVersion)
	}
	k := Kind(data[1] & kindMask)
	desc, ok := kinds[k]
	if !ok {
		return nil, stamp, fmt.Errorf("%w: unknown kind %d", ErrMalformed, k)
	}
	body := data[2:]
	if k.hasStamp() {
		if stamp, body, err = ReadStamp(body); err != nil {
			return nil, stamp, fmt.Errorf("decode %s: %w", desc.name, err)
		}
	}
	body, err = c.decompress(k, data[1]&^kindMask, body)
	if err != nil {
		return nil, stamp, fmt.Errorf("decode %s: %w", desc.name, err)
	}
	m, err = decodeBody(desc.zero, body)
	if err != nil {
		return nil, stamp, fmt.Errorf("decode %s: %w: %w", desc.name, ErrMalformed, err)
	}
	return m, stamp, nil
}

func (c Codec) decompress(k Kind, flags byte, body []byte) ([]byte, error) {
	switch {
	case flags == 0:
		return body, nil
	case flags == flagCompressed && k != KindProbe && k != KindProbeAnswer:
		out, err := Decompress(body, nil, maxBodySize)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		return out, nil
	case flags == flagDictionary && k == KindDelta:
		return c.decompressDelta(body)
	default:
		return nil, fmt.Errorf("%w: flags %#x", ErrMalformed, flags)
	}
}

// decodeBody decodes a body into a new value of the type of zero.
func decodeBody(zero Message, body []byte) (Message, error) {
	switch zero.(type) {
	case Probe:
		p, err := readProbe(body)
		return Probe(p), err
	case ProbeAnswer:
		p, err := readProbe(body)
		return ProbeAnswer(p), err
	default:
		return decodeCBOR(zero, body)
	}
}

// decodeCBOR decodes a CBOR body. It must be byte for byte what Encode writes,
// so that every message has exactly one encoding: this excludes null, missing
// fields and long forms of numbers.
func decodeCBOR(zero Message, body []byte) (Message, error) {
	v := reflect.New(reflect.TypeOf(zero))
	if err := decMode.Unmarshal(body, v.Interface()); err != nil {
		return nil, err
	}
	m := v.Elem().Interface().(Message)
	buf := encodeBuffers.Get().(*bytes.Buffer)
	defer encodeBuffers.Put(buf)
	buf.Reset()
	if err := encMode.NewEncoder(buf).Encode(m); err != nil {
		return nil, err
	}
	if !bytes.Equal(buf.Bytes(), body) {
		return nil, errors.New("body is not in canonical form")
	}
	return m, nil
}

// scratch holds buffers for the comparison with the canonical form.
var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
