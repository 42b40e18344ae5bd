package daemon

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/settings"
)

// Verifies that a reader of the log that has stopped neither blocks the daemon nor
// makes the queue grow without bound.
func TestLogQueueDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	q := newLogQueue(writer)
	log, dropped := newLog(settings.Daemon{LogFormat: settings.JSON}, q)
	q.dropped = dropped
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 2 * logQueueSize {
			// Each text occurs at most 2*logSampleFirst times, so that the sampler passes
			// enough lines to overflow the queue.
			log.Info("Line "+strings.Repeat("x", i%logQueueSize/logSampleFirst), zap.Int("line", i))
		}
	}()
	select {
	case <-written:
	case <-time.After(30 * time.Second):
		t.Fatal("writing a line blocked on the reader")
	}
	if got := len(q.lines); got > logQueueSize {
		t.Errorf("got %d queued lines, want at most %d", got, logQueueSize)
	}
	if dropped.Load() == 0 {
		t.Error("got no dropped line counted")
	}
	var out bytes.Buffer
	read := make(chan struct{})
	go func() { defer close(read); _, _ = io.Copy(&out, reader) }()
	for len(q.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	log.Info("The last line.")
	q.Close()
	_ = writer.Close()
	<-read
	if !strings.Contains(out.String(), "Dropped log lines.") || !strings.Contains(out.String(), "The last line.") {
		t.Error("the count of dropped lines or the last line is missing")
	}
}
