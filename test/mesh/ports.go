package mesh

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports of a host, added to the base port of the mesh.
const (
	controlPort = iota
	gatePort
	callPort
	announcePort
	operatorPort
	metricsPort
	backendPort
	platformPort
	relayControlPort
	reservedPort // bound by the driver as long as the mesh exists
	portCount
)

// blocksGiven counts the blocks of ports that this process gave to meshes, so
// that two meshes that start at the same time do not try the same one.
var blocksTried atomic.Int64

// reservePorts finds a base port whose block is free on loopback, and binds the
// reserved port of the block, so that no other driver takes the block before
// the processes have bound theirs. The range lies below the ports that the
// system gives to outgoing connections.
func reservePorts() (uint16, net.Listener, error) {
	const first, last, tries = 20000, 32000, 100
	for range tries {
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
	return 0, nil, errors.New("no free block of ports on loopback")
}

// blockFree reports whether all ports of a block but the reserved one are free.
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
