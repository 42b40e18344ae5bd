package message

import (
	"bytes"
	"runtime"
	"testing"
)

// maxEncoderMemory is the maximum memory in bytes that encoders may use: 2% of the
// 256 MiB that a daemon may use.
const maxEncoderMemory = 256 << 20 / 50

// TestDictionaryEncoderMemory checks that the encoder with a dictionary uses at most
// maxEncoderMemory.
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
