package connection

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxPipelined bounds the requests in flight of one connection. Further
	// requests are read when one of them is answered.
	maxPipelined = 64
	// readBufferSize is the size of a connection's read buffer in bytes. Most
	// requests fit.
	readBufferSize = 4 << 10
	// lingerTimeout bounds the wait for the client to close the connection after
	// the last response. Closing it immediately could reset it while the response
	// is still in transit.
	lingerTimeout = time.Second
	// firstRequestTimeout is the time that an accepted connection has to send its
	// first request after the server stopped accepting. Closing it immediately
	// would cut off a request that is in transit.
	firstRequestTimeout = 500 * time.Millisecond
)

// conn is a connection from a client.
type conn struct {
	headerReader
	server   *Server
	raw      net.Conn
	account  *account
	reserved int             // bytes of the request that is being read
	ctx      context.Context // ends when the client disconnects or the server cancels its requests
	cancel   context.CancelCauseFunc

	mu           sync.Mutex
	inFlight     int        // requests read whose responses were not written yet
	received     int        // requests read in total
	lastResponse *response  // the next response is written after this one
	cond         *sync.Cond // signalled when inFlight falls and after the last response
	closing      bool       // no further requests are read
	awaiting     bool       // the reader waits for the first byte of the next request
	// closeOnceIdle is set while the connection is to be closed after the responses in
	// flight and none of them has announced that.
	closeOnceIdle bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw}
	c.source = pendingReader{source: raw}
	c.reader = bufio.NewReaderSize(&c.source, readBufferSize)
	c.cond = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

func (c *conn) inFlightCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// abort closes the connection immediately.
func (c *conn) abort() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.raw.Close()
	c.cancel(nil)
}

// closeWhenIdle closes the connection once the requests in flight are answered. The
// server must have stopped accepting before.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight > 0 {
		c.closing, c.closeOnceIdle = true, true
		return
	}
	c.setReadTimeout(c.nextRequestTimeout())
}

// nextRequestTimeout returns how long to wait for the next request. The caller must
// hold c.mu.
func (c *conn) nextRequestTimeout() time.Duration {
	switch {
	case !c.server.isClosed() || c.inFlight > 0:
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
	defer c.account.end()
	defer c.raw.Close()
	defer c.cancel(nil)
	more := true
	for more {
		more = c.waitForRequest() && c.serveNext()
	}
	c.waitForResponses()
}

// waitForRequest waits for the first byte of the next request. It returns false if
// the connection is to be closed.
func (c *conn) waitForRequest() bool {
	c.mu.Lock()
	for c.inFlight >= maxPipelined && !c.closing {
		c.cond.Wait()
	}
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return false
	}
	if c.reader.Buffered() > 0 || c.source.hasPending() {
		return true
	}
	for {
		c.mu.Lock()
		c.awaiting = true
		c.setReadTimeout(c.nextRequestTimeout())
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.awaiting = false
		c.mu.Unlock()
		if err == nil {
			return !c.isClosing()
		}
		var e net.Error
		if !errors.As(err, &e) || !e.Timeout() {
			c.cancel(nil) // the client has closed the connection
			return false
		}
		if c.inFlightCount() == 0 || c.isClosing() {
			return false
		}
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// serveNext reads and dispatches one request. It returns false if the connection is
// to be closed.
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
	if err := c.receiveHeader(limits.HeaderBytes); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	r.RemoteAddr = c.raw.RemoteAddr().String()
	return r, nil
}

// rejectRequest sends an error response for a request that could not be read, after
// the responses to the requests in flight.
func (c *conn) rejectRequest(err error) {
	var e net.Error
	var refused *refusedError
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &refused):
		c.refuse(refused.reason)
		return
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &e) && e.Timeout():
		status = http.StatusRequestTimeout
	case errors.As(err, &e), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel(nil)
		return
	}
	c.server.config.Log.Info("Rejected a request that could not be read.", zap.Int("status", status), zap.String("error", withoutQuotation(err)), zap.Stringer("client", c.raw.RemoteAddr()))
	w := c.enqueueResponse(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true})
	if w != nil {
		w.WriteHeader(status)
		// The response waits for its turn while the reader detects whether the
		// client disconnects.
		go w.finish()
	}
}

// withoutQuotation returns the text of an error of reading a request up to the first
// colon or quotation mark. The parser quotes lines that it can't read, and such a line
// can hold the key of a caller.
func withoutQuotation(err error) string {
	var e net.Error
	if errors.Is(err, errHeaderTooLarge) || errors.Is(err, ErrBodyTooLarge) || errors.As(err, &e) {
		return err.Error()
	}
	text := err.Error()
	if i := strings.IndexAny(text, `:"`); i >= 0 {
		text = text[:i]
	}
	return strings.TrimSpace(text)
}

// dispatch runs a request. It returns false if the connection ends with it.
func (c *conn) dispatch(r *http.Request, body *streamedBody) bool {
	w := c.enqueueResponse(r)
	if w == nil {
		return false
	}
	w.requestBody = body
	w.charged, c.reserved = c.reserved, 0
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
			if !body.fullyRead() {
				// The rest of the body precedes the next request. It is discarded for a
				// while: closing the connection with unread bytes would reset it, and the
				// client would lose the end of the response.
				body.stop()
				c.setReadTimeout(lingerTimeout)
				return false
			}
		}
	}
	return !r.Close
}

// enqueueResponse queues the response to a request behind those to earlier
// requests. It returns nil if the connection ends with an earlier response; the
// request then counts as not read.
func (c *conn) enqueueResponse(r *http.Request) *response {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	w := newResponse(c, r, c.lastResponse)
	c.lastResponse = w
	c.inFlight++
	c.received++
	return w
}

// responseDone records that a response was written or aborted and wakes serve, which
// may wait for it.
func (c *conn) responseDone(w *response) {
	if w.requestBody != nil {
		w.charged += w.requestBody.releaseTrailer()
	}
	c.account.release(w.charged)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.cond.Signal()
	switch {
	case c.inFlight > 0:
	case c.closeOnceIdle:
		// The reader may be waiting for another request.
		c.setReadTimeout(0)
	case c.awaiting && !c.closing:
		// The connection is idle from now on, and not since its last request was read.
		c.setReadTimeout(c.nextRequestTimeout())
	}
}

// decideClose decides whether the connection ends with the response that is about
// to be written. It marks the connection as closing if the client asked for it, the
// response has no length and its client speaks HTTP/1.0, the request body was not
// read completely, or keep-alives are disabled and no further request was read. A
// connection that is closing, for one of these reasons or because of Shutdown, ends
// with the response to the last request that was read.
func (c *conn) decideClose(w *response) bool {
	noKeepAlives := c.server.keepAlivesDisabled()
	c.mu.Lock()
	defer c.mu.Unlock()
	unread := w.requestBody != nil && !w.requestBody.fullyRead()
	if w.closeAfter || unread || (noKeepAlives && c.lastResponse == w) {
		c.closing = true
	}
	last := c.closing && c.lastResponse == w
	if last {
		c.closeOnceIdle = false // closeWrite waits for the client
	}
	return last
}

// lingerInBackground is the default of a connection: Close returns at once, and the system
// sends what was written.
const lingerInBackground = -1

// setLinger sets what Close does with bytes that were not sent yet; 0 discards them and
// resets the connection.
func (c *conn) setLinger(seconds int) {
	if raw, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = raw.SetLinger(seconds)
	}
}

// closeWrite tells the client that no more responses follow, and starts
// lingerTimeout, within which the client should close the connection. It wakes
// serve, which reads no further request.
func (c *conn) closeWrite() {
	c.setReadTimeout(lingerTimeout)
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.cond.Signal()
}

// waitForResponses waits for the requests in flight. It continues to read meanwhile,
// so that a client that disconnects is noticed and late bytes do not reset the
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
			c.cancel(nil)
		}
		break
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.inFlight > 0 {
		c.cond.Wait()
	}
}
