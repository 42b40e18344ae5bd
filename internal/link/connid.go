package link

import (
	"encoding/binary"
	"math/rand/v2"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// connIDLength is the length of the connection id in every packet in bytes.
// With 2 bytes the ids of a long-lived daemon would repeat, and a restarted one
// would often use ids of its previous process, which peers still send to.
const connIDLength = 3

// connIDs counts connection ids up from a random start. Ids drawn at random
// would collide too often at this length. That ids can be correlated does no
// harm, since hosts have fixed addresses.
type connIDGenerator struct{ last atomic.Uint32 }

func newConnIDGenerator() *connIDGenerator {
	g := new(connIDGenerator)
	g.last.Store(rand.Uint32())
	return g
}

// GenerateConnectionID returns the next id.
func (g *connIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := binary.BigEndian.AppendUint32(nil, g.last.Add(1))
	return quic.ConnectionIDFromBytes(id[4-connIDLength:]), nil
}

// ConnectionIDLen returns the length of all ids.
func (g *connIDGenerator) ConnectionIDLen() int { return connIDLength }
