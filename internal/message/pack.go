package message

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// minDictionary is the smallest dictionary in bytes that zstd accepts; a
// shorter base is ignored on both sides.
const minDictionary = 8

// plainEncoders holds idle encoders without a dictionary, and baseEncoders idle
// encoders with one: an encoder that changes between the two is built anew.
var (
	plainEncoders = sync.Pool{New: func() any { return mustEncoder() }}
	baseEncoders  = sync.Pool{New: func() any {
		return mustEncoder(zstd.WithEncoderDictRaw(0, make([]byte, minDictionary)))
	}}
)

// mustEncoder panics on an error, since the options are constant.
func mustEncoder(opts ...zstd.EOption) *zstd.Encoder {
	e, err := newEncoder(opts...)
	if err != nil {
		panic(err)
	}
	return e
}

// newEncoder returns an encoder for single frames of a few bytes to 8 MiB.
func newEncoder(opts ...zstd.EOption) (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, append([]zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		// Against the previous content of a 20 kB section, this level wrote 29
		// bytes for a one-line change; SpeedFastest wrote 35.
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression),
		zstd.WithLowerEncoderMem(true),
		// The checksum takes 4 bytes and finds a dictionary that differs between
		// sender and receiver.
		zstd.WithEncoderCRC(true),
		zstd.WithSingleSegment(true),
	}, opts...)...)
}

// Pack compresses blob into one zstd frame. With a base, typically the previous
// content of the same section, the base is a raw dictionary, and Unpack needs
// the same base.
func Pack(blob, base []byte) ([]byte, error) {
	if len(base) < minDictionary {
		e := plainEncoders.Get().(*zstd.Encoder)
		defer plainEncoders.Put(e)
		return e.EncodeAll(blob, nil), nil
	}
	e := baseEncoders.Get().(*zstd.Encoder)
	// Identifier 0 leaves the dictionary identifier out of the frame.
	if err := e.ResetWithOptions(nil, zstd.WithEncoderDictRaw(0, base)); err != nil {
		return nil, fmt.Errorf("zstd dictionary: %w", err)
	}
	defer baseEncoders.Put(e)
	return e.EncodeAll(blob, nil), nil
}

// Unpack decompresses what Pack returned for the same base. It fails when the
// result would exceed maxSize bytes, without allocating more than about that.
func Unpack(packed, base []byte, maxSize int) ([]byte, error) {
	if maxSize <= 0 {
		return nil, errors.New("zstd: size limit must be positive")
	}
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(maxSize)),
	}
	if len(base) >= minDictionary {
		opts = append(opts, zstd.WithDecoderDictRaw(0, base))
	}
	d, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("zstd: %w", err)
	}
	defer d.Close()
	out, err := d.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("zstd: %w", err)
	}
	return out, nil
}
