package message

import (
	"bytes"
	"runtime"
	"testing"
)

// maxEncoderMemory is the maximum memory in bytes that encoders may use: a fiftieth
// of the memory of a daemon.
const maxEncoderMemory = 256 << 20 / 50

// TestEncodersHoldLittle checks that encoders use only a small part of a daemon's
// memory.
func TestDictionaryEncoderMemory(t *testing.T) {
	heapSize := func() uint64 {
		runtime.GC()
		runtime.GC() // frees the pooled objects that survived the first collection
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	dictionaryEncoder.Lock()
	dictionaryEncoder.Encoder = nil
	dictionaryEncoder.Unlock()
	before := heapSize()
	dictionary := bytes.Repeat([]byte("route read-stock of stock-team; "), 600)
	if _, err := Compress(append(dictionary, "one more"...), dictionary); err != nil {
		t.Fatal(err)
	}
	if got := int64(heapSize()) - int64(before); got > maxEncoderMemory {
		t.Errorf("got %d bytes used, want at most %d", got, maxEncoderMemory)
	}
}
