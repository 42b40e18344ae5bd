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

// Guards against a reader of the log that has stopped and holds up the daemon, or
// makes it keep all lines.
func TestLogQueueDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	q := newLogQueue(writer)
	log, dropped := newLog(settings.Daemon{LogFormat: settings.JSON}, q)
	q.dropped = dropped
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 2 * logQueueSize {
			log.Info("Line "+strings.Repeat("x", i%logQueueSize/logSampleFirst), zap.Int("line", i))
		}
	}()
	select {
	case <-written:
	case <-time.After(30 * time.Second):
		t.Fatal("a line waits for the reader")
	}
	if got := len(q.lines); got > logQueueSize {
		t.Errorf("got %d lines kept, want at most %d", got, logQueueSize)
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
		t.Error("got no line with the count, or not the last line")
	}
}
