package connection

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// errResponseEnded is the error of writing a request after the end of its response.
var errResponseEnded = errors.New("the response has ended before the request was written")

// requestWriter writes a request to a connection while its response is read. It keeps the
// error of a write that failed: the system reports a reset of the connection only once, and
// a read after that write gets the end of the stream like after a sound close.
type requestWriter struct {
	raw net.Conn

	mu    sync.Mutex // held during a write
	ended bool
	err   error // of the first write that failed
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return 0, errResponseEnded
	}
	n, err := w.raw.Write(p)
	if err != nil && w.err == nil {
		w.err = err
	}
	return n, err
}

// failure returns the error of the first write that failed, or nil.
func (w *requestWriter) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// end interrupts a write in progress, rejects further ones and returns the error of the
// first write that the connection failed. The connection can't be reused after that.
func (w *requestWriter) end() error {
	_ = w.raw.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}
