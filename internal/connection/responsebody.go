package connection

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"

	"github.com/peridotlb/peridotlb/internal/header"
)

// responseBody makes the connection available again when the body was read to its
// end.
type responseBody struct {
	io.ReadCloser
	roundTrip      *roundTrip
	closeAfter     bool // the connection ends with the response or must not be reused
	closeDelimited bool // the body ends with the connection
	response       *http.Response
	sawEOF         bool
	closed         bool
}

// Reused reports whether a response of Client.Send came on a connection that had
// carried an earlier request.
func Reused(r *http.Response) bool {
	b, ok := r.Body.(*responseBody)
	return ok && b.roundTrip.reused
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var trailer textproto.ProtocolError
	if errors.As(err, &trailer) {
		return n, fmt.Errorf("parse the trailer: %w: %s", header.ErrMalformed, withoutQuotation(err))
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if w := b.roundTrip.writer; b.closeDelimited && w != nil {
		if cause := w.end(); cause != nil {
			return n, fmt.Errorf("%w: %w", errCutWhileWriting, cause)
		}
	}
	if err := header.CheckNames(b.response.Trailer); err != nil {
		return n, fmt.Errorf("check the trailer: %w", err)
	}
	b.sawEOF = true
	return n, err
}

// Close implements io.Closer. It ends the request: the rest of its body is not read
// any more. It closes the connection unless the body of the response was read to its
// end.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	x := b.roundTrip
	x.stopRest()
	if !x.stopWatch() {
		return x.conn.raw.Close()
	}
	if !b.sawEOF || b.closeAfter || !x.reusable() {
		return x.conn.raw.Close()
	}
	x.client.putIdle(x.conn)
	return nil
}

// reusable reports whether the request was written completely and no data follows
// the response.
func (x *roundTrip) reusable() bool {
	if x.writeDone != nil {
		select {
		case err := <-x.writeDone:
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	return x.conn.reader.Buffered() == 0 && !x.conn.source.hasPending()
}
