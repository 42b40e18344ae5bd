package message

import (
	"encoding/binary"
	"errors"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/version"
)

// probeBody is the common content of Probe and ProbeAnswer.
type probeBody struct {
	Nonce   uint64
	Stamp   host.Stamp
	Summary StateSummary
}

// errProbe is returned for a body that appendProbe didn't write.
var errNonCanonicalProbe = errors.New("probe is not in canonical form")

// appendProbe appends the body of a probe or its answer. These are nearly all
// messages of an idle daemon, so they don't use CBOR: the numbers are varints
// (LEB128) in the order of the fields, Held as its distance from Known, and the
// hash of the rows has 8 bytes in network byte order.
func appendProbe(data []byte, p probeBody) []byte {
	for _, n := range [...]uint64{
		p.Nonce, uint64(p.Stamp.Incarnation), uint64(p.Stamp.Sequence),
		uint64(p.Summary.Known), uint64(p.Summary.Known - p.Summary.Held),
	} {
		data = binary.AppendUvarint(data, n)
	}
	return binary.BigEndian.AppendUint64(data, p.Summary.RowsHash)
}

// readProbe decodes a body and accepts only what appendProbe writes.
func readProbe(body []byte) (probeBody, error) {
	var n [5]uint64
	var err error
	for i := range n {
		if n[i], body, err = readUvarint(body); err != nil {
			return probeBody{}, err
		}
	}
	if len(body) != 8 {
		return probeBody{}, errNonCanonicalProbe
	}
	return probeBody{
		Nonce:   n[0],
		Stamp:   host.Stamp{Incarnation: host.Incarnation(n[1]), Sequence: host.Sequence(n[2])},
		Summary: StateSummary{Known: version.Number(n[3]), Held: version.Number(n[3] - n[4]), RowsHash: binary.BigEndian.Uint64(body)},
	}, nil
}

// errVarint is returned for a number that is cut off, too large or not in its
// shortest form.
var errNonCanonicalVarint = errors.New("varint is not in canonical form")

// readUvarint reads a number and returns the bytes after it.
func readUvarint(data []byte) (n uint64, rest []byte, err error) {
	n, size := binary.Uvarint(data)
	if size <= 0 || size > 1 && data[size-1] == 0 {
		return 0, nil, errNonCanonicalVarint
	}
	return n, data[size:], nil
}
