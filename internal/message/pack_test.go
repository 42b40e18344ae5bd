package message

import (
	"bytes"
	"runtime"
	"testing"
)

// maxEncoders is the memory that encoders may hold, in bytes: a fiftieth of what a
// daemon may take.
const maxEncoderMemory = 256 << 20 / 50

// Guards against encoders that hold most of a daemon's memory.
func TestEncodersHoldLittle(t *testing.T) {
	held := func() uint64 {
		runtime.GC()
		runtime.GC() // empties the pools of the first collection
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	dictionaryEncoder.Lock()
	dictionaryEncoder.Encoder = nil
	dictionaryEncoder.Unlock()
	before := held()
	base := bytes.Repeat([]byte("route read-stock of stock-team; "), 600)
	if _, err := Compress(append(base, "one more"...), base); err != nil {
		t.Fatal(err)
	}
	if got := int64(held()) - int64(before); got > maxEncoderMemory {
		t.Errorf("got %d bytes held, want at most %d", got, maxEncoderMemory)
	}
}
