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

// MaxSize is the maximum size in bytes of an encoded message. A document is limited
// to 4 MiB, so that a full delta fits.
const MaxSize = 8 << 20

// maxBodySize is the maximum size in bytes of the body of a message, also after
// decompression: MaxSize without the protocol version, the kind byte and the
// timestamp.
const maxBodySize = MaxSize - 2 - MaxTimestampSize

// compressionThreshold is the body size in bytes above which compression is
// attempted. Compressing a smaller body rarely saves a byte.
const compressionThreshold = 256

// Flags of the kind byte.
const (
	flagCompressed = 0x80 // the body is a zstd frame
	flagDictionary = 0x40 // the body is a dictionaryDelta
	kindMask       = 0x3f
)

// ErrMalformed is wrapped by errors about data that violates the protocol.
var ErrMalformed = errors.New("malformed message")

// ErrNoBase is returned for a delta whose base version the receiver does not have.
// Such a message is not necessarily malformed.
var ErrNoBase = errors.New("base version of the delta is not available")

// Kind is the kind of a message: the kind byte without its flags.
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
	KindHeadConfirmation
	KindQuotaRequest
	KindQuotaAnswer
	KindRollouts
	KindRolloutEvidence
)

// kinds maps each kind to its name in logs and to the zero value of its type.
var kinds = map[Kind]struct {
	name string
	zero Message
}{
	KindProbe:            {"probe", Probe{}},
	KindProbeAnswer:      {"probe-answer", ProbeAnswer{}},
	KindIndirectProbe:    {"indirect-probe", IndirectProbe{}},
	KindIndirectAnswer:   {"indirect-answer", IndirectAnswer{}},
	KindAnnounce:         {"announce", Announce{}},
	KindFetch:            {"fetch", Fetch{}},
	KindDelta:            {"delta", Delta{}},
	KindRowUpdate:        {"news", RowUpdate{}}, // the name in logs, kept for compatibility
	KindSyncRequest:      {"sync-request", SyncRequest{}},
	KindSync:             {"sync", Sync{}},
	KindJoin:             {"join", Join{}},
	KindJoinAnswer:       {"join-answer", JoinAnswer{}},
	KindReport:           {"report", Report{}},
	KindFloorRequest:     {"floor-request", FloorRequest{}},
	KindFloor:            {"floor", Floor{}},
	KindHeadConfirmation: {"confirm", HeadConfirmation{}},
	KindQuotaRequest:     {"quota-request", QuotaRequest{}},
	KindQuotaAnswer:      {"quota-answer", QuotaAnswer{}},
	KindRollouts:         {"rollouts", Rollouts{}},
	KindRolloutEvidence:  {"rollout-evidence", RolloutEvidence{}},
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
	// The most deeply nested message is Sync: it contains a row update, which
	// contains lists of rows, each with a stamp. The design limits are 4,096
	// sections and 1,200 hosts. The limit on elements prevents a forged array of
	// empty rows from allocating gigabytes.
	decMode = codec.StrictDecMode(codec.Limits{MaxLevels: 8, MaxElements: 16384, MaxPairs: 4096})
)

// Snapshot is the subset of the methods of version.Snapshot that Codec uses.
type Snapshot interface {
	Manifest() version.Manifest
	Blob(version.Digest) []byte
}

// Codec encodes and decodes messages. The zero Codec has no access to versions: it
// encodes deltas without a dictionary and can't decode deltas that are compressed
// with one.
type Codec struct {
	// Lookup returns the snapshot of a version, or false if this daemon does not
	// have it. It must be safe for concurrent use.
	Lookup func(version.Number) (Snapshot, bool)
	// Deltas caches the most recent deltas, since a daemon sends the same delta to
	// several neighbors. It may be nil.
	Deltas *DeltaCache
}

// Encode encodes a message without a timestamp and without access to versions.
func Encode(m Message) ([]byte, error) { return Codec{}.Encode(m) }

// Decode decodes a message without access to versions.
func Decode(data []byte) (Message, error) { return Codec{}.Decode(data) }

// Encode encodes a message without a timestamp.
func (c Codec) Encode(m Message) ([]byte, error) { return c.EncodeStamped(m, timeline.Stamp{}) }

// EncodeStamped encodes a message with a timestamp of the sender's hybrid logical
// clock. Probes and their answers carry no timestamp. A delta is compressed with a
// dictionary if this daemon has its base version, which the receiver has too.
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
	return append(AppendTimestamp(head, stamp), body...), nil
}

// compress returns the body, compressed if that makes it smaller, and the flag for
// the kind of compression.
func (c Codec) compress(m Message, body []byte) (flag byte, out []byte, err error) {
	if len(body) <= compressionThreshold {
		return 0, body, nil
	}
	if d, ok := m.(Delta); ok {
		if compressed, ok, err := c.compressDelta(d, body); err != nil || ok {
			return flagDictionary, compressed, err
		}
	}
	compressed, err := Compress(body, nil)
	if err != nil || len(compressed) >= len(body) {
		return 0, body, err
	}
	return flagCompressed, compressed, nil
}

// Decode decodes a message like DecodeStamped and discards its timestamp.
func (c Codec) Decode(data []byte) (Message, error) {
	m, _, err := c.DecodeStamped(data)
	return m, err
}

// DecodeStamped decodes a message. It rejects every encoding that EncodeStamped
// does not produce, but accepts the same body uncompressed or compressed in another
// way. The timestamp is zero for probes and their answers, and if the sender has no
// clock. Errors wrap ErrMalformed or ErrNoBase.
func (c Codec) DecodeStamped(data []byte) (m Message, stamp timeline.Stamp, err error) {
	switch {
	case len(data) < 2:
		return nil, stamp, fmt.Errorf("%w: %d bytes is too short for a message", ErrMalformed, len(data))
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
	if k.hasTimestamp() {
		if stamp, body, err = ReadTimestamp(body); err != nil {
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

// decompress reverses compress for the given flags.
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
		return nil, fmt.Errorf("%w: invalid flags %#x", ErrMalformed, flags)
	}
}

// decodeBody decodes a body to a value of the type of zero.
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

// decodeCBOR decodes a CBOR body. It rejects bodies that differ from the output of
// Encode, for example because of nulls, missing fields or non-minimal integers, so
// that every message has exactly one encoding.
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

// encodeBuffers holds buffers for encoding decoded messages again, to compare them
// with the input.
var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
