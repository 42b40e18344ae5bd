package mesh

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Offsets of a host's ports from the base port of the mesh.
const (
	controlPort = iota
	gatePort
	callPort
	announcePort
	operatorPort
	metricsPort
	serverPort
	platformPort
	relayControlPort
	reservedPort // bound by the process that runs the mesh, until Close
	portCount
)

// blocksTried counts the port blocks that this process has tried, so that two
// meshes that start at the same time do not try the same block.
var blocksTried atomic.Int64

// reservePorts returns the base port of a block whose ports are all free. It binds
// the reserved port of the block, so that no other process that runs a mesh takes
// the block before the ports are bound. The range lies below the ports that the
// system assigns to outgoing connections.
func reservePorts() (uint16, net.Listener, error) {
	const first, last, tries = 20000, 32000, 100
	for range tries {
		// The process ID and the number of the try select the block, so that different
		// processes begin at different blocks.
		i := int(blocksTried.Add(1))
		base := first + (os.Getpid()*37+i*101)%((last-first)/portCount)*portCount
		reserved, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+reservedPort))
		if err != nil {
			continue
		}
		if isBlockFree(base) {
			return uint16(base), reserved, nil
		}
		_ = reserved.Close()
	}
	return 0, nil, errors.New("found no free block of ports from 20000 to 32000; stop other meshes and try again")
}

// isBlockFree reports whether all ports of a block except the reserved one are
// free.
func isBlockFree(base int) bool {
	for p := base; p < base+reservedPort; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
