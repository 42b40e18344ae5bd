package link

import (
	"encoding/binary"
	"math/rand/v2"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// connIDLength is the length in bytes of the connection ID in every packet.
// With 2 bytes, the IDs of a long-running daemon would repeat, and a restarted
// daemon would often reuse IDs of its previous process, to which peers still send.
const connIDLength = 3

// connIDGenerator generates sequential connection IDs from a random start.
// Random IDs would collide too often at this length. Sequential IDs can be
// correlated by an observer, which reveals nothing because hosts have fixed
// addresses.
type connIDGenerator struct{ last atomic.Uint32 }

func newConnIDGenerator() *connIDGenerator {
	g := new(connIDGenerator)
	g.last.Store(rand.Uint32())
	return g
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *connIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := binary.BigEndian.AppendUint32(nil, g.last.Add(1))
	return quic.ConnectionIDFromBytes(id[4-connIDLength:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *connIDGenerator) ConnectionIDLen() int { return connIDLength }
