package connection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/header"
)

// Message is a request to send.
type Message struct {
	Method    string
	Target    string // path and query as received
	Authority string // value of the Host header
	Header    http.Header
	Fields    []Field // additional header fields, which replace those of Header with the same names
	Body      []byte
	// Rest follows Body and can be read only once. It is nil if Body is the whole
	// body. It is stopped when the request ends, and may be read while Body is
	// written.
	Rest   Rest
	Length int64 // of the whole body; -1 uses chunked encoding
	// Trailer is sent after a chunked body. It is not used before the end of Rest, which
	// may set its values.
	Trailer http.Header
	// TrailerNames are the names of the trailer that the header announces.
	TrailerNames []string
	// Withheld has the names of trailers that are not sent. Trailer itself is filled
	// while the body is read.
	Withheld map[string]bool
}

// Rest is the rest of the body of a request.
type Rest interface {
	io.Reader
	// Stop ends the reading: a Read that begins after Stop was called fails, also one
	// in another goroutine. Stop does not wait for a Read that has begun.
	Stop()
}

// Field is one header field.
type Field struct{ Name, Value string }

// SendError is the error of a request that got no response.
type SendError struct {
	// Written is set if any byte of the request may have reached the peer.
	// Otherwise, the peer provably did not run it.
	Written bool
	// Reused is set if the connection had carried an earlier request.
	Reused bool
	Err    error
}

// Error returns the message of the underlying error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// ClientConfig configures a client. Dial is required.
type ClientConfig struct {
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// IdleTimeout is the time after which an idle connection is not reused. A
	// shorter timeout that the peer announces in a Keep-Alive header takes
	// precedence.
	IdleTimeout time.Duration
	// MaxIdleConns bounds the idle connections to one address.
	MaxIdleConns int
	// Matches reports whether a response belongs to a request; nil accepts every
	// response. reused is set if the connection had carried an earlier request. A
	// response that does not match is late and is discarded.
	Matches func(m *Message, r *http.Response, reused bool) bool
	// Identifies reports whether a response states which request it belongs to; nil
	// means that every response does. A connection is not reused after one that does
	// not: a second copy of it could be taken for the response to a later request.
	Identifies func(r *http.Response) bool
}

// Client sends requests over persistent connections. It never sends a request
// twice.
type Client struct {
	config ClientConfig

	mu   sync.Mutex
	idle map[netip.AddrPort][]*clientConn // most recently used last
}

// NewClient returns a client without open connections.
func NewClient(c ClientConfig) *Client {
	if c.Matches == nil {
		c.Matches = func(*Message, *http.Response, bool) bool { return true }
	}
	if c.Identifies == nil {
		c.Identifies = func(*http.Response) bool { return true }
	}
	return &Client{config: c, idle: make(map[netip.AddrPort][]*clientConn)}
}

// clientConn is a connection to a peer. It carries one request at a time.
type clientConn struct {
	headerReader
	raw           net.Conn
	addr          netip.AddrPort
	used          bool
	reusableUntil time.Time // not reused from then on
}

const (
	// maxResponsesRead bounds the responses that are read to find the matching one.
	// Late and informational responses count.
	maxResponsesRead = 4
	// maxDiscardedBody bounds the body in bytes of a late response, which is read only
	// to find the next one.
	maxDiscardedBody = 1 << 20
	// maxResponseHeader bounds the size of a response header in bytes.
	maxResponseHeader = 64 << 10
	// inlineWriteLimit is the size in bytes up to which a request is written
	// completely before its response is read. The socket buffer takes that much
	// without waiting for the peer.
	inlineWriteLimit = 4 << 10
	// keepAliveMargin is subtracted from the idle timeout of the peer, for the time
	// that the next request takes to reach it.
	keepAliveMargin = 500 * time.Millisecond
)

// ErrNoResponse is wrapped if the peer closes the connection without a response.
var ErrNoResponse = errors.New("the peer closed the connection without a response")

// ErrResponseMismatch is returned if the matching response does not arrive after
// late ones: there are too many, one is too long, or one has no length and ends with
// the connection.
var ErrResponseMismatch = errors.New("the response belongs to another request")

// errCutWhileWriting is the error of a response without a length whose connection failed
// while the request was being written: the end of the stream doesn't show that its body is
// whole.
var errCutWhileWriting = errors.New("the connection failed before the end of the response")

// Options change how a request is sent.
type Options struct {
	// MaxIdleTime is the longest time for which a reused connection may have been
	// idle; zero disables the limit. A peer can drop an idle connection without
	// notice, and anything sent on it is then lost.
	MaxIdleTime time.Duration
}

// Send sends a request and returns the response, whose body must be closed. If ctx
// ends before the body is closed, the connection is closed. An error is a
// *SendError.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, m *Message, o Options) (*http.Response, error) {
	cc := c.takeIdle(addr, o)
	if cc == nil {
		var err error
		if cc, err = c.dial(ctx, addr); err != nil {
			return nil, &SendError{Err: err}
		}
	}
	if err := ctx.Err(); err != nil {
		c.putIdle(cc)
		return nil, &SendError{Err: err}
	}
	x := &roundTrip{client: c, conn: cc, message: m, reused: cc.used}
	cc.used = true
	x.stopWatch = context.AfterFunc(ctx, func() { _ = cc.raw.Close() })
	r, err := x.run()
	if err != nil {
		x.stopWatch()
		x.stopRest()
		_ = cc.raw.Close()
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &SendError{Written: x.written, Reused: x.reused, Err: err}
	}
	return r, nil
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*clientConn, error) {
	raw, err := c.config.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	cc := &clientConn{raw: raw, addr: addr}
	cc.source.source = raw
	cc.reader = bufio.NewReaderSize(&cc.source, readBufferSize)
	return cc, nil
}

// roundTrip is one request and its response on a connection.
type roundTrip struct {
	client    *Client
	conn      *clientConn
	message   *Message
	reused    bool
	written   bool
	stopWatch func() bool    // stops watching the context
	writer    *requestWriter // nil if the request was written before the response is read
	writeDone chan error     // result of the writing goroutine; nil if everything was written
}

func (x *roundTrip) run() (*http.Response, error) {
	head := x.message.encode()
	m := x.message
	if m.Rest == nil && m.Length >= 0 && len(head)+len(m.Body) <= inlineWriteLimit {
		if err := x.write(append(head, m.Body...)); err != nil {
			return nil, fmt.Errorf("send the request: %w", err)
		}
	} else {
		// The peer may respond before it has read the body.
		x.written = true
		x.writer = &requestWriter{raw: x.conn.raw}
		x.writeDone = make(chan error, 1)
		go func() {
			err := x.writeRequest(head)
			if err != nil && x.writer.failure() == nil {
				// The body of the caller broke off. The peer would wait for the rest
				// of it, and its response would be invalid.
				_ = x.conn.raw.Close()
			}
			x.writeDone <- err
		}()
	}
	return x.readMatchingResponse()
}

// stopRest ends the reading of the body when the request has ended. The goroutine that
// writes the body may still be about to read from it, and what it read then would be
// missing where the body is sent again.
func (x *roundTrip) stopRest() {
	if x.message.Rest != nil {
		x.message.Rest.Stop()
	}
}

func (x *roundTrip) write(p []byte) error {
	n, err := x.conn.raw.Write(p)
	x.written = x.written || n > 0
	return err
}

func (x *roundTrip) writeRequest(head []byte) error {
	m := x.message
	if _, err := x.writer.Write(head); err != nil {
		return err
	}
	var out io.Writer = x.writer
	var chunks *chunkWriter
	if m.Length < 0 {
		chunks = &chunkWriter{to: x.writer}
		out = chunks
	}
	if len(m.Body) > 0 {
		if _, err := out.Write(m.Body); err != nil {
			return err
		}
	}
	if m.Rest != nil {
		n, err := io.Copy(out, m.Rest)
		if err != nil {
			return err
		}
		if m.Length >= 0 && int64(len(m.Body))+n != m.Length {
			return io.ErrUnexpectedEOF
		}
	}
	if chunks != nil {
		return chunks.end(m.Trailer, m.Withheld)
	}
	return nil
}

// readMatchingResponse reads the response that belongs to the request.
func (x *roundTrip) readMatchingResponse() (*http.Response, error) {
	request := &http.Request{Method: x.message.Method}
	identified := true // all responses read so far
	for range maxResponsesRead {
		r, err := x.readResponse(request)
		if err != nil {
			return nil, err
		}
		if r.StatusCode < http.StatusOK && r.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		identified = identified && x.client.config.Identifies(r)
		if x.client.config.Matches(x.message, r, x.reused) {
			x.conn.setReuseDeadline(x.client.config.IdleTimeout, r)
			r.Body = &responseBody{
				roundTrip: x, ReadCloser: r.Body, response: r, sawEOF: r.Body == http.NoBody,
				closeAfter: r.Close || !identified, closeDelimited: isCloseDelimited(r),
			}
			return r, nil
		}
		if isCloseDelimited(r) {
			return nil, ErrResponseMismatch
		}
		n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBody+1))
		if err != nil {
			return nil, fmt.Errorf("discard a late response: %w", err)
		}
		if n > maxDiscardedBody {
			return nil, ErrResponseMismatch
		}
	}
	return nil, ErrResponseMismatch
}

// isCloseDelimited reports whether the body of a response ends with its connection.
func isCloseDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// readResponse reads the header of a response. It returns an error for bytes that are not
// one.
func (x *roundTrip) readResponse(request *http.Request) (*http.Response, error) {
	if _, err := x.conn.reader.Peek(1); err != nil {
		if errors.Is(err, io.EOF) {
			err = ErrNoResponse
		}
		return nil, fmt.Errorf("wait for the response: %w", err)
	}
	// Headers are bounded, and one at a time is received. No account is charged.
	data, _, err := x.conn.receive(maxResponseHeader, func(int) error { return nil })
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("read the response: %w", err)
	}
	if err := header.CheckResponse(data); err != nil {
		return nil, fmt.Errorf("check the response: %w", err)
	}
	r, err := http.ReadResponse(x.conn.reader, request)
	if err != nil {
		return nil, fmt.Errorf("parse the response: %w: %s", header.ErrMalformed, withoutQuotation(err))
	}
	return r, nil
}
