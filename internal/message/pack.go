package message

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// minDictionary is the smallest dictionary in bytes that zstd accepts; a
// shorter base is ignored on both sides.
const minDictionarySize = 8

// maxWindow bounds the distance of matches in bytes, and with it the memory that
// an encoder holds.
const maxWindowSize = 1 << 20

// plainEncoders holds idle encoders without a dictionary. The fastest level
// holds 0.4 MB and compressed a 20 kB section as well as the better ones.
var encoderPool = sync.Pool{New: func() any {
	e, err := newEncoder(zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		panic(err) // the options are constant
	}
	return e
}}

// baseEncoder is the only encoder with a dictionary: its tables are made once and
// not for each goroutine.
var dictionaryEncoder struct {
	sync.Mutex
	*zstd.Encoder
}

// newEncoder returns an encoder for single frames of a few bytes to 8 MiB.
func newEncoder(opts ...zstd.EOption) (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, append([]zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(maxWindowSize),
		// The checksum takes 4 bytes and finds a dictionary that differs between
		// sender and receiver.
		zstd.WithEncoderCRC(true),
		zstd.WithSingleSegment(true),
	}, opts...)...)
}

// Pack compresses blob into one zstd frame. With a base, typically the previous
// content of the same section, the base is a raw dictionary, and Unpack needs
// the same base.
func Compress(blob, base []byte) ([]byte, error) {
	if len(base) < minDictionarySize {
		e := encoderPool.Get().(*zstd.Encoder)
		defer encoderPool.Put(e)
		return e.EncodeAll(blob, nil), nil
	}
	return compressWithDictionary(blob, base)
}

// Prepare makes the encoder with a dictionary, which takes about 10 ms, so that
// the first delta of a process does not wait for it.
func PrepareEncoder() error {
	base := make([]byte, minDictionarySize)
	_, err := compressWithDictionary(base, base)
	return err
}

func compressWithDictionary(blob, base []byte) ([]byte, error) {
	dictionaryEncoder.Lock()
	defer dictionaryEncoder.Unlock()
	// Identifier 0 leaves the dictionary identifier out of the frame.
	dictionary := zstd.WithEncoderDictRaw(0, base)
	if dictionaryEncoder.Encoder == nil {
		// The next level saves 6 of 35 bytes of a one-line change and holds 17 MB.
		e, err := newEncoder(zstd.WithEncoderLevel(zstd.SpeedFastest), dictionary)
		if err != nil {
			return nil, fmt.Errorf("zstd encoder: %w", err)
		}
		dictionaryEncoder.Encoder = e
	}
	if err := dictionaryEncoder.ResetWithOptions(nil, dictionary); err != nil {
		return nil, fmt.Errorf("zstd dictionary: %w", err)
	}
	return dictionaryEncoder.EncodeAll(blob, nil), nil
}

// Unpack decompresses what Pack returned for the same base. It fails when the
// result would exceed maxSize bytes, without allocating more than about that.
func Decompress(packed, base []byte, maxSize int) ([]byte, error) {
	if maxSize <= 0 {
		return nil, errors.New("zstd: size limit must be positive")
	}
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(maxSize)),
	}
	if len(base) >= minDictionarySize {
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
