package message

import (
	"crypto/sha256"
	"sync"

	"github.com/peridotlb/peridotlb/internal/version"
)

// cachedDeltas is the number of encodings that a DeltaCache keeps. Neighbours
// mostly hold the version before, so that few bases are in use at a time.
const deltaCacheSize = 4

// deltaKey identifies a based delta. The digest of the body, rather than the
// number of the version, keeps a forged delta that was received from being
// passed on as another one.
type deltaKey struct {
	base version.Number
	body [sha256.Size]byte
}

// DeltaCache keeps the bodies of the last based deltas, sent or received. The zero value is
// ready for use, by several goroutines.
type DeltaCache struct {
	mu     sync.Mutex
	keys   [deltaCacheSize]deltaKey
	bodies [deltaCacheSize][]byte
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
	c.next = (c.next + 1) % deltaCacheSize
}
