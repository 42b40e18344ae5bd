package proxy

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// inlineBody is the size in bytes up to which a request is written before its
	// response is read. Socket buffers take that much from a server that answers
	// without reading the request.
	inlineBody = 4 << 10
	// maxResponseHeader bounds the header of a response in bytes.
	maxResponseHeader = 64 << 10
	// maxInformational bounds the 1xx responses to one request.
	maxInformational = 5
	// writeGrace is the time that the writer of a large request gets to report
	// its end after the response, so that the connection can be used again.
	writeGrace = 50 * time.Millisecond
)

var errInformational = errors.New("too many 1xx responses")

// sent is the outcome of sending a request.
type sent struct {
	response *http.Response
	conn     *clientConn // nil when there was no connection
	notRun   bool        // with err: it is proved that nothing was sent
	err      error
}

// send makes a request and sends it to addr, at most once. http.Transport hands
// each request to a writing and each response to a reading goroutine per
// connection; here both are done by the goroutine of the call, because the
// hand-overs cost more than the work. The end of ctx closes the connection.
func (c *client) send(ctx context.Context, addr netip.AddrPort, build func() *http.Request) sent {
	conn, err := c.get(ctx, addr)
	if err != nil {
		return sent{notRun: true, err: err}
	}
	response, err := c.roundTrip(ctx, conn, build())
	if err != nil {
		return sent{conn: conn, notRun: conn.seal(), err: err}
	}
	return sent{response: response, conn: conn}
}

func (c *client) roundTrip(ctx context.Context, conn *clientConn, r *http.Request) (*http.Response, error) {
	conn.begin()
	b := &clientBody{client: c, conn: conn, stop: context.AfterFunc(ctx, conn.abort)}
	var err error
	if r.ContentLength >= 0 && r.ContentLength <= inlineBody {
		err = conn.write(r)
	} else {
		b.written = conn.writeAside(r)
	}
	var response *http.Response
	if err == nil {
		response, err = conn.readResponse(r)
	}
	if err != nil {
		b.end(false)
		return nil, errors.Join(b.writeError(), err)
	}
	b.reusable = !response.Close && response.StatusCode != http.StatusSwitchingProtocols
	if response.Body == http.NoBody {
		b.end(true)
		return response, nil
	}
	b.ReadCloser = response.Body
	response.Body = b
	return response, nil
}

// write writes a request.
func (c *clientConn) write(r *http.Request) error {
	if err := r.Write(c.out); err != nil {
		return err
	}
	return c.out.Flush()
}

// writeAside writes a request while the caller reads the response, because the
// server may answer before it has read the request. An error closes the
// connection, so that the caller does not wait for a response in vain.
func (c *clientConn) writeAside(r *http.Request) <-chan error {
	written := make(chan error, 1)
	go func() {
		err := c.write(r)
		written <- err
		if err != nil {
			_ = c.Close()
		}
	}()
	return written
}

// readResponse reads the header of the response and passes over 1xx responses.
func (c *clientConn) readResponse(r *http.Request) (*http.Response, error) {
	for range maxInformational {
		c.limit.N = maxResponseHeader
		response, err := http.ReadResponse(c.in, r)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		c.limit.N = math.MaxInt64
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errInformational
}

// clientBody is the body of a response. Its end gives the connection back; an
// early Close closes the connection. It is not safe for concurrent use.
type clientBody struct {
	io.ReadCloser
	client   *client
	conn     *clientConn
	stop     func() bool  // detaches the connection from the context
	written  <-chan error // nil when the request was written before
	reusable bool
	ended    bool
}

// Read implements io.Reader.
func (b *clientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. It does not read the rest of the body.
func (b *clientBody) Close() error {
	b.end(false)
	return nil
}

// end gives the connection back when the response was read whole.
func (b *clientBody) end(whole bool) {
	if b.ended {
		return
	}
	b.ended = true
	// A response that was not asked for would be taken for that of the next call.
	if b.stop() && whole && b.reusable && b.conn.in.Buffered() == 0 && b.requestWritten() {
		b.client.put(b.conn)
	} else {
		b.client.drop(b.conn)
	}
}

// requestWritten reports whether the whole request was written.
func (b *clientBody) requestWritten() bool {
	if b.written == nil {
		return true
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-b.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// writeError returns the error of the writer, when there is one.
func (b *clientBody) writeError() error {
	select {
	case err := <-b.written:
		return err
	default:
		return nil
	}
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
