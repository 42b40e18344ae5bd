package message

import (
	"encoding/binary"
	"errors"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/version"
)

// probeBody is the body of a Probe or ProbeAnswer.
type probeBody struct {
	Nonce    uint64
	RowStamp host.Stamp
	Summary  StateSummary
}

// errNonCanonicalProbe is returned for a body that appendProbe does not produce.
var errNonCanonicalProbe = errors.New("probe is not in canonical form")

// appendProbe appends the encoding of the body of a probe or its answer. Nearly all
// messages of an idle daemon are probes, so they use a more compact encoding than
// CBOR: the integers are varints (LEB128) in the order of the fields, with Held
// encoded as its difference from Known, followed by the hash of the rows as 8 bytes
// in network byte order.
func appendProbe(data []byte, p probeBody) []byte {
	for _, n := range [...]uint64{
		p.Nonce, uint64(p.RowStamp.Incarnation), uint64(p.RowStamp.Sequence),
		uint64(p.Summary.Known), uint64(p.Summary.Known - p.Summary.Held),
	} {
		data = binary.AppendUvarint(data, n)
	}
	return binary.BigEndian.AppendUint64(data, p.Summary.RowsHash)
}

// readProbe decodes a body. It accepts only the output of appendProbe.
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
		Nonce:    n[0],
		RowStamp: host.Stamp{Incarnation: host.Incarnation(n[1]), Sequence: host.Sequence(n[2])},
		Summary:  StateSummary{Known: version.Number(n[3]), Held: version.Number(n[3] - n[4]), RowsHash: binary.BigEndian.Uint64(body)},
	}, nil
}

// errNonCanonicalVarint is returned for an integer that is truncated, too large or
// not in its shortest form.
var errNonCanonicalVarint = errors.New("varint is not in canonical form")

// readUvarint decodes an integer and returns it with the remaining data.
func readUvarint(data []byte) (n uint64, rest []byte, err error) {
	n, size := binary.Uvarint(data)
	if size <= 0 || size > 1 && data[size-1] == 0 {
		return 0, nil, errNonCanonicalVarint
	}
	return n, data[size:], nil
}
