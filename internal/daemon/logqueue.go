package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueueLines bounds the lines that wait for a slow reader of the log; they
	// take about 1 MB.
	logQueueSize = 4096
	// logFlushTime bounds the wait for the reader at the end of the process.
	logFlushTimeout = 200 * time.Millisecond
)

// logQueue passes log lines on to a writer without waiting for it. What does not
// fit is dropped and counted; the next line that fits is preceded by the count.
type logQueue struct {
	lines      chan []byte
	done       chan struct{}
	dropped    *atomic.Uint64 // of the process; set before the first line
	unreported atomic.Uint64  // dropped since the last line that was written
}

// newLogQueue returns a queue in front of a writer. Close ends it.
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
		// A reader that is gone can't be told.
		_, _ = w.Write(line)
	}
}

// Write implements io.Writer. It never waits and never fails.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.unreported.Add(1)
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait, as far as the reader takes them in time. No
// line may be written after it.
func (q *logQueue) Close() {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(logFlushTimeout):
	}
}
