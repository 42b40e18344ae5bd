package message

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// minDictionarySize is the minimum size in bytes of a dictionary that zstd accepts.
// Compress and Decompress ignore smaller dictionaries.
const minDictionarySize = 8

// maxWindowSize is the maximum distance in bytes of matches. It also limits the
// memory that an encoder uses.
const maxWindowSize = 1 << 20

// encoderPool holds idle encoders without a dictionary. At the fastest level, an
// encoder uses 0.4 MB and compressed a 20 kB section as well as at higher levels.
var encoderPool = sync.Pool{New: func() any {
	e, err := newEncoder(zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		panic(err) // can't happen, since the options are constant
	}
	return e
}}

// dictionaryEncoder is the only encoder with a dictionary. Goroutines share it so
// that its tables are allocated only once.
var dictionaryEncoder struct {
	sync.Mutex
	*zstd.Encoder
}

// newEncoder returns an encoder for single frames between a few bytes and 8 MiB.
func newEncoder(opts ...zstd.EOption) (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, append([]zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(maxWindowSize),
		// The checksum takes 4 bytes. It detects that sender and receiver use
		// different dictionaries.
		zstd.WithEncoderCRC(true),
		zstd.WithSingleSegment(true),
	}, opts...)...)
}

// Compress compresses data to a single zstd frame. If a dictionary is given,
// typically the previous content of the same section, Decompress needs the same
// dictionary.
func Compress(data, dictionary []byte) ([]byte, error) {
	if len(dictionary) < minDictionarySize {
		e := encoderPool.Get().(*zstd.Encoder)
		defer encoderPool.Put(e)
		return e.EncodeAll(data, nil), nil
	}
	return compressWithDictionary(data, dictionary)
}

// PrepareEncoder creates the encoder with a dictionary, which takes about 10 ms, so
// that this does not delay the first delta of a process.
func PrepareEncoder() error {
	dictionary := make([]byte, minDictionarySize)
	_, err := compressWithDictionary(dictionary, dictionary)
	return err
}

func compressWithDictionary(data, dictionary []byte) ([]byte, error) {
	dictionaryEncoder.Lock()
	defer dictionaryEncoder.Unlock()
	// With ID 0, the frame contains no dictionary ID.
	option := zstd.WithEncoderDictRaw(0, dictionary)
	if dictionaryEncoder.Encoder == nil {
		// The next higher level saves 6 of 35 bytes for a one-line change, but uses
		// 17 MB of memory.
		e, err := newEncoder(zstd.WithEncoderLevel(zstd.SpeedFastest), option)
		if err != nil {
			return nil, fmt.Errorf("zstd encoder: %w", err)
		}
		dictionaryEncoder.Encoder = e
	}
	if err := dictionaryEncoder.ResetWithOptions(nil, option); err != nil {
		return nil, fmt.Errorf("zstd dictionary: %w", err)
	}
	return dictionaryEncoder.EncodeAll(data, nil), nil
}

// Decompress decompresses the output of Compress for the same dictionary. It
// returns an error if the result would exceed maxSize bytes, and does not allocate
// much more than that.
func Decompress(compressed, dictionary []byte, maxSize int) ([]byte, error) {
	if maxSize <= 0 {
		return nil, errors.New("zstd: size limit must be positive")
	}
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(maxSize)),
	}
	if len(dictionary) >= minDictionarySize {
		opts = append(opts, zstd.WithDecoderDictRaw(0, dictionary))
	}
	d, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("zstd: %w", err)
	}
	defer d.Close()
	out, err := d.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("zstd: %w", err)
	}
	return out, nil
}
