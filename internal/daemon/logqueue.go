package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueueSize bounds the lines that wait for a slow reader of the log. They take
	// about 1 MB.
	logQueueSize = 4096
	// logFlushTimeout bounds the wait for the reader at the end of the process.
	logFlushTimeout = 200 * time.Millisecond
)

// logQueue writes log lines asynchronously, so that a slow reader of the log does
// not block the daemon. Lines that do not fit are dropped and counted; a line with
// the count precedes the next line that is written.
type logQueue struct {
	lines      chan []byte
	done       chan struct{}
	dropped    *atomic.Uint64 // counter of all dropped log lines, shared with the logger of newLog; set before the first Write
	unreported atomic.Uint64  // dropped by this queue since the last written line
}

// newLogQueue returns a queue that writes to w until Close.
func newLogQueue(w io.Writer) *logQueue {
	q := &logQueue{lines: make(chan []byte, logQueueSize), done: make(chan struct{}), dropped: new(atomic.Uint64)}
	go q.run(w)
	return q
}

func (q *logQueue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if n := q.unreported.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, `{"level":"warn","ts":%q,"msg":"Dropped log lines.","lines":%d}`+"\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z0700"), n)
		}
		// There is no other place to report an error of the log.
		_, _ = w.Write(line)
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.unreported.Add(1)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines, as far as the reader accepts them within
// logFlushTimeout. Write must not be called afterwards.
func (q *logQueue) Close() {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(logFlushTimeout):
	}
}
