package connection

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxPipelined bounds the requests of one connection that run at a time. A
	// client that sends more is read again when one of them is answered.
	maxPipelined = 64
	// readBuffer is the size of a connection's read buffer in bytes. Most
	// requests fit.
	readBufferSize = 4 << 10
	// lingerTime bounds the wait for a client to close a connection after the
	// last response. Closing at once could reset it while the response is still
	// on its way.
	lingerTimeout = time.Second
	// firstRequestTime is the time that an accepted connection has to send its
	// first request after the server stopped accepting. Closing it at once would
	// cut a request that is on its way.
	firstRequestTimeout = 500 * time.Millisecond
)

var errHeaderTooLarge = errors.New("request header is too large")

// conn is one connection of a client.
type conn struct {
	server      *Server
	raw         net.Conn
	headerLimit headerLimitReader
	reader      *bufio.Reader
	ctx         context.Context // ends when the client has gone
	cancel      context.CancelFunc

	mu           sync.Mutex
	pending      int       // requests read and not yet answered
	received     int       // requests read
	lastResponse *response // behind which the next response is written
	cond         *sync.Cond
	closing      bool // no further request is taken
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw}
	c.headerLimit = headerLimitReader{source: raw}
	c.reader = bufio.NewReaderSize(&c.headerLimit, readBufferSize)
	c.cond = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// headerReader bounds the bytes that are read for a header, and keeps the error
// that ended reading: the parser reports a header that breaks off as malformed.
type headerLimitReader struct {
	source    io.Reader
	remaining int // negative for no bound
	err       error
}

func (r *headerLimitReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		r.err = errHeaderTooLarge
		return 0, r.err
	}
	if r.remaining > 0 && len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.source.Read(p)
	if r.remaining > 0 {
		r.remaining -= n
	}
	r.err = err
	return n, err
}

func (c *conn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.raw.Close()
	c.cancel()
}

// retire makes the connection end with the requests that are in flight. The
// server is closed already.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		c.closing = true
		return
	}
	c.setReadTimeout(c.nextRequestTimeout())
}

// patience is the longest time that the reader waits for a request. The lock is
// held.
func (c *conn) nextRequestTimeout() time.Duration {
	switch {
	case !c.server.isClosed() || c.pending > 0:
		return c.server.config.Limits().IdleTimeout
	case c.received == 0:
		return firstRequestTimeout
	default:
		return 0
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.raw.Close()
	defer c.cancel()
	more := true
	for more {
		more = c.waitForRequest() && c.serveNext()
	}
	c.waitForResponses()
}

// waitForRequest waits for the first byte of the next request. It returns false
// when the connection is to end.
func (c *conn) waitForRequest() bool {
	c.mu.Lock()
	for c.pending >= maxPipelined && !c.closing {
		c.cond.Wait()
	}
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return false
	}
	c.headerLimit.remaining = -1
	if c.reader.Buffered() > 0 {
		return true
	}
	for {
		c.mu.Lock()
		c.setReadTimeout(c.nextRequestTimeout())
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		if err == nil {
			return !c.isClosing()
		}
		var e net.Error
		if !errors.As(err, &e) || !e.Timeout() {
			c.cancel() // the client has closed the connection
			return false
		}
		if c.inFlight() == 0 || c.isClosing() {
			return false
		}
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// next reads and dispatches one request. It returns false when the connection
// is to end.
func (c *conn) serveNext() bool {
	r, err := c.readRequest()
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	body, err := c.readBody(r)
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	return c.dispatch(r, body)
}

func (c *conn) setReadTimeout(d time.Duration) { _ = c.raw.SetReadDeadline(time.Now().Add(d)) }

// readRequest reads the header of a request.
func (c *conn) readRequest() (*http.Request, error) {
	limits := c.server.config.Limits()
	c.setReadTimeout(limits.HeaderTimeout)
	c.headerLimit.remaining, c.headerLimit.err = max(limits.HeaderBytes-c.reader.Buffered(), 0), nil
	r, err := http.ReadRequest(c.reader)
	c.headerLimit.remaining = -1
	if err != nil {
		return nil, cmp.Or(c.headerLimit.err, err)
	}
	r.RemoteAddr = c.raw.RemoteAddr().String()
	return r, nil
}

// refuse answers a request that could not be read, behind the responses that
// are still outstanding.
func (c *conn) rejectRequest(err error) {
	var e net.Error
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &e) && e.Timeout():
		status = http.StatusRequestTimeout
	case errors.As(err, &e), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel()
		return
	}
	c.server.config.Log.Info("Refused a request that could not be read.", zap.Int("status", status), zap.Error(err), zap.Stringer("client", c.raw.RemoteAddr()))
	w := c.enqueueResponse(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true})
	if w != nil {
		w.WriteHeader(status)
		// It waits for its turn while the reader finds out whether the client stays.
		go w.finish()
	}
}

// dispatch runs a request. It returns false when the connection ends with it.
func (c *conn) dispatch(r *http.Request, body *streamedBody) bool {
	w := c.enqueueResponse(r)
	if w == nil {
		return false
	}
	w.unreadBody = body
	ctx, cancel := context.WithCancel(c.ctx)
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		defer cancel()
		defer w.finish()
		defer w.recoverPanic()
		c.server.config.Handler.ServeHTTP(w, r.WithContext(ctx))
	}()
	if body != nil {
		select {
		case <-body.eof:
		case <-w.done:
			body.stop()
			return false // the rest of the body is in the way
		}
	}
	return !r.Close
}

// begin puts the response to a request behind those of earlier requests. It
// returns nil when the connection has ended with an earlier response; the
// request then counts as not read.
func (c *conn) enqueueResponse(r *http.Request) *response {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	w := newResponse(c, r, c.lastResponse)
	c.lastResponse = w
	c.pending++
	c.received++
	return w
}

// answered notes that a response was written. With the last one of a connection
// that is to end, no further request is taken.
func (c *conn) responseDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.cond.Signal()
}

// endsWith decides whether the connection ends with the response that is about
// to be written: the client asked for it, or the server retires and no other
// request was taken from the connection.
func (c *conn) closesAfter(w *response) bool {
	retiring := c.server.keepAlivesDisabled()
	c.mu.Lock()
	defer c.mu.Unlock()
	unread := w.unreadBody != nil && !w.unreadBody.fullyRead()
	if w.closeAfter || unread || (retiring && c.lastResponse == w) {
		c.closing = true
	}
	return c.closing && c.lastResponse == w
}

// finishWriting tells the client that no more responses follow.
func (c *conn) closeWrite() {
	c.setReadTimeout(lingerTimeout)
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.cond.Signal()
}

// drain waits for the responses that are outstanding, and reads on meanwhile, so
// that a client that goes away is noticed and late bytes do not reset the
// connection.
func (c *conn) waitForResponses() {
	for {
		_, err := c.reader.Discard(readBufferSize)
		if err == nil {
			continue
		}
		var e net.Error
		timeout := errors.As(err, &e) && e.Timeout()
		if !timeout {
			c.cancel()
		}
		break
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending > 0 {
		c.cond.Wait()
	}
}
