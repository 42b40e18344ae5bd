package message

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/peridotlb/peridotlb/internal/timeline"
)

// MaxStamp is the length of the longest encoded stamp in bytes.
const MaxStampSize = 9 + binary.MaxVarintLen32

// errStamp is returned for a stamp out of range.
var errStampRange = errors.New("stamp is out of range")

// hasStamp reports whether messages of this kind carry a stamp. Probes and
// their answers don't, since they cause no events and are sent most.
func (k Kind) hasStamp() bool { return k != KindProbe && k != KindProbeAnswer }

// AppendStamp appends a stamp as two varints, 7 bytes for a time of this
// century. A time before 1970 becomes zero.
func AppendStamp(data []byte, s timeline.Stamp) []byte {
	data = binary.AppendUvarint(data, uint64(max(s.WallMS, 0)))
	return binary.AppendUvarint(data, uint64(s.Counter))
}

// ReadStamp decodes what AppendStamp wrote and returns the bytes after it.
// Errors wrap ErrMalformed.
func ReadStamp(data []byte) (s timeline.Stamp, rest []byte, err error) {
	wall, rest, err := readUvarint(data)
	if err != nil {
		return s, nil, errors.Join(ErrMalformed, err)
	}
	counter, rest, err := readUvarint(rest)
	if err != nil {
		return s, nil, errors.Join(ErrMalformed, err)
	}
	if wall > math.MaxInt64 || counter > math.MaxUint32 {
		return s, nil, errors.Join(ErrMalformed, errStampRange)
	}
	return timeline.Stamp{WallMS: int64(wall), Counter: uint32(counter)}, rest, nil
}
