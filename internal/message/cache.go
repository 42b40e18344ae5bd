package message

import (
	"sync"

	"github.com/peridotlb/peridotlb/internal/version"
)

// cachedDeltas is the number of encodings that a DeltaCache keeps. Neighbours
// mostly hold the version before, so that few bases are in use at a time.
const cachedDeltas = 4

// deltaKey identifies a delta: a version has one content, and so has the
// difference of two.
type deltaKey struct{ number, base version.Number }

// DeltaCache keeps the bodies of the last based deltas. The zero value is
// ready for use, by several goroutines.
type DeltaCache struct {
	mu     sync.Mutex
	keys   [cachedDeltas]deltaKey
	bodies [cachedDeltas][]byte
	next   int
}

func (c *DeltaCache) get(k deltaKey) ([]byte, bool) {
	if c == nil {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, have := range c.keys {
		if have == k && c.bodies[i] != nil {
			return c.bodies[i], true
		}
	}
	return nil, false
}

func (c *DeltaCache) put(k deltaKey, body []byte) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[c.next], c.bodies[c.next] = k, body
	c.next = (c.next + 1) % cachedDeltas
}
