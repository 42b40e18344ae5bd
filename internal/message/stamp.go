package message

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/peridotlb/peridotlb/internal/timeline"
)

// MaxStampSize is the maximum size in bytes of an encoded timestamp.
const MaxTimestampSize = 9 + binary.MaxVarintLen32

// errStampRange is returned for a timestamp that is out of range.
var errTimestampRange = errors.New("stamp is out of range")

// hasStamp reports whether messages of this kind carry a timestamp. Probes and
// their answers do not, since they cause no events and are the most frequent
// messages.
func (k Kind) hasTimestamp() bool { return k != KindProbe && k != KindProbeAnswer }

// AppendStamp appends the encoding of a timestamp: two varints, which take 7 bytes
// for times in this century. Times before 1970 are encoded as zero.
func AppendTimestamp(data []byte, s timeline.Stamp) []byte {
	data = binary.AppendUvarint(data, uint64(max(s.WallMS, 0)))
	return binary.AppendUvarint(data, uint64(s.Counter))
}

// ReadStamp decodes a timestamp encoded by AppendStamp and returns it with the
// remaining data. Errors wrap ErrMalformed.
func ReadTimestamp(data []byte) (s timeline.Stamp, rest []byte, err error) {
	wall, rest, err := readUvarint(data)
	if err != nil {
		return s, nil, errors.Join(ErrMalformed, err)
	}
	counter, rest, err := readUvarint(rest)
	if err != nil {
		return s, nil, errors.Join(ErrMalformed, err)
	}
	if wall > math.MaxInt64 || counter > math.MaxUint32 {
		return s, nil, errors.Join(ErrMalformed, errTimestampRange)
	}
	return timeline.Stamp{WallMS: int64(wall), Counter: uint32(counter)}, rest, nil
}
