package message

import (
	"crypto/sha256"
	"sync"

	"github.com/peridotlb/peridotlb/internal/version"
)

// deltaCacheSize is the number of encodings that a DeltaCache holds. Neighbors
// mostly have the previous version, so that few base versions are in use at a
// time.
const deltaCacheSize = 4

// deltaKey identifies a delta compressed with a dictionary. It contains the digest
// of the body rather than the version number, so that a forged delta that was
// received is not forwarded in place of the genuine one.
type deltaKey struct {
	base       version.Number
	bodyDigest [sha256.Size]byte
}

// DeltaCache caches the compressed bodies of the most recent deltas, sent or
// received. The zero value is an empty cache. It is safe for concurrent use.
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
	for i, cached := range c.keys {
		if cached == k && c.bodies[i] != nil {
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
