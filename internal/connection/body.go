package connection

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/header"
)

// BufferLimit is the size in bytes up to which a request body is read before the
// handler runs and up to which a response body is buffered. One more byte of a
// larger request body is read.
const BufferLimit = 64 << 10

// ErrBodyTooLarge is the error of reading a request body that exceeds the limit.
var ErrBodyTooLarge = errors.New("request body is too large")

// limitedBody is a request body that must not exceed a number of bytes. Unlike
// io.LimitReader, it does not take the limit for the end of the body.
type limitedBody struct {
	io.ReadCloser
	remaining int64 // negative once the body has exceeded the limit
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// checkedBody is a chunked request body whose trailer is checked at its end.
type checkedBody struct {
	io.ReadCloser
	request *http.Request
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := header.CheckNames(b.request.Trailer); err != nil {
		return n, fmt.Errorf("check the trailer: %w", err)
	}
	return n, err
}

// bufferedBody is a request body that was read completely before the handler runs.
type bufferedBody struct{ *bytes.Reader }

func (bufferedBody) Close() error { return nil }

// streamedBody is a request body that the handler reads from the connection. The
// next request can be read only after the end of the body.
type streamedBody struct {
	conn    *conn
	request *http.Request
	buffer  *bytes.Buffer // read before the handler runs; nil once it was passed on
	rest    io.Reader
	charged atomic.Int64 // bytes that the trailer holds in the account
	// expectsContinue is set until the first read, if the client waits for the 100
	// Continue response before it sends the body.
	expectsContinue bool
	// The first BufferLimit bytes must arrive by a common deadline, as if they were
	// read before the handler runs. Otherwise a slow client could hold a request for as
	// long as it sends a byte within each timeout.
	firstBytes         int64 // still to be read until firstBytesDeadline
	firstBytesDeadline time.Time

	mu      sync.Mutex // held during a read
	stopped atomic.Bool
	sawEOF  bool
	eof     chan struct{} // closed when the body was read to its end
}

var errBodyAbandoned = errors.New("request body was read after its response was sent")

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped.Load() {
		return 0, errBodyAbandoned
	}
	if b.buffer != nil {
		n, err := b.buffer.Read(p)
		if b.buffer.Len() == 0 {
			b.buffer = nil // the rest may take long
		}
		return n, err
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.conn.sendContinue(); err != nil {
			return 0, err
		}
	}
	if b.firstBytes > 0 {
		_ = b.conn.raw.SetReadDeadline(b.firstBytesDeadline)
	} else {
		b.conn.setReadTimeout(b.conn.server.config.Limits().IdleTimeout)
	}
	n, err := b.rest.Read(p)
	b.firstBytes -= int64(n)
	if err != nil && !b.sawEOF {
		b.sawEOF = errors.Is(err, io.EOF)
		switch {
		case b.sawEOF:
			b.chargeTrailer()
			close(b.eof)
		case errors.Is(err, ErrBodyTooLarge):
			// The client is still there, and the handler responds.
		default:
			b.conn.cancel(nil)
		}
	}
	return n, err
}

// chargeTrailer charges the trailer, which was parsed at the end of the body.
func (b *streamedBody) chargeTrailer() {
	n := fieldsCost(b.request.Trailer)
	if n == 0 {
		return
	}
	b.conn.account.charge(n)
	if !b.charged.CompareAndSwap(0, int64(n)) {
		b.conn.account.release(n) // the response was already written
	}
}

// releaseTrailer returns the bytes to release after the response was written.
func (b *streamedBody) releaseTrailer() int { return int(max(0, b.charged.Swap(responseWritten))) }

// responseWritten replaces the charge of a trailer after the response.
const responseWritten = -1

// Close implements io.Closer. It leaves the rest of the body unread.
func (b *streamedBody) Close() error { return nil }

// fullyRead reports whether the body was read to its end.
func (b *streamedBody) fullyRead() bool {
	select {
	case <-b.eof:
		return true
	default:
		return false
	}
}

// stop interrupts a read that is in progress and rejects further ones.
func (b *streamedBody) stop() {
	b.stopped.Store(true)
	_ = b.conn.raw.SetReadDeadline(time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
}

// sendContinue tells the client to send the body of its request. No response may be in
// flight.
func (c *conn) sendContinue() error {
	if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return fmt.Errorf("send the 100 Continue response: %w", err)
	}
	return nil
}

// readBody reads the body of a request and replaces r.Body. A body up to BufferLimit
// is read completely, and nil is returned; a larger one is returned as a stream, and
// with HeaderFirst also one that has not arrived yet.
func (c *conn) readBody(r *http.Request) (*streamedBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limits := c.server.config.Limits()
	if limits.BodyBytes > 0 {
		if r.ContentLength > limits.BodyBytes {
			return nil, ErrBodyTooLarge
		}
		r.Body = &limitedBody{ReadCloser: r.Body, remaining: limits.BodyBytes}
	}
	if r.ContentLength < 0 {
		r.Body = &checkedBody{ReadCloser: r.Body, request: r}
	}
	c.setReadTimeout(limits.IdleTimeout)
	expectsContinue := r.Header.Get("Expect") == "100-continue" && c.inFlightCount() == 0
	arrived := r.ContentLength >= 0 && r.ContentLength <= int64(c.reader.Buffered())
	if f := c.server.config.HeaderFirst; f != nil && !arrived && f() {
		// The call buffers it as it arrives.
		if err := c.reserve(unreadBodyCost(r.ContentLength)); err != nil {
			return nil, err
		}
		stream := &streamedBody{conn: c, request: r, rest: r.Body, expectsContinue: expectsContinue, eof: make(chan struct{})}
		stream.firstBytes, stream.firstBytesDeadline = BufferLimit+1, time.Now().Add(limits.IdleTimeout)
		r.Body = stream
		return stream, nil
	}
	if expectsContinue {
		if err := c.sendContinue(); err != nil {
			return nil, err
		}
	}
	data, err := c.bufferBody(r)
	if err != nil {
		return nil, fmt.Errorf("read the request body: %w", err)
	}
	if len(data) <= BufferLimit {
		r.Body = bufferedBody{bytes.NewReader(data)}
		return nil, nil
	}
	if err := c.reserve(streamCost - bodyCost*BufferLimit); err != nil {
		return nil, err
	}
	stream := &streamedBody{conn: c, request: r, buffer: bytes.NewBuffer(data), rest: r.Body, eof: make(chan struct{})}
	r.Body = stream
	return stream, nil
}

// firstBodyBuffer is the size in bytes of the first buffer for a body if requests hold
// much memory. The rest is reserved when that much has arrived, because a client may
// announce a body that it never sends.
const firstBodyBuffer = 8 << 10

// bufferBody reads a body up to BufferLimit bytes completely, and BufferLimit+1 bytes
// of a longer one.
func (c *conn) bufferBody(r *http.Request) ([]byte, error) {
	most := BufferLimit + 1
	if r.ContentLength >= 0 {
		most = int(min(int64(most), r.ContentLength))
	}
	// The call copies the body when it has arrived completely. For a short one, both
	// copies are reserved at once.
	copies := bodyCost
	if most > firstBodyBuffer {
		copies = 1
	}
	var data []byte
	for len(data) < most {
		if len(data) == cap(data) {
			size := min(max(4*cap(data), firstBodyBuffer), most)
			whole := size
			if r.ContentLength >= 0 {
				whole = most
			}
			reserved, refusal := c.account.reserveBetween(copies*(size-cap(data)), copies*(whole-cap(data)))
			if refusal != Granted {
				return nil, &refusedError{refusal}
			}
			c.reserved += reserved
			size = cap(data) + reserved/copies
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	extra := (bodyCost - copies) * len(data)
	if len(r.Trailer) > 0 && len(data) <= BufferLimit {
		extra += fieldsCost(r.Trailer)
	}
	if extra == 0 {
		return data, nil
	}
	return data, c.reserve(extra)
}
