package connection

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// writeTimeout bounds a single write to a client that does not read.
const writeTimeout = 30 * time.Second

// response writes the response to one request, after those to earlier requests on
// the connection. A body up to BufferLimit is written at once.
type response struct {
	conn   *conn
	header http.Header
	status int // 0 until WriteHeader
	body   bytes.Buffer

	isHead     bool // the method of the request is HEAD
	http10     bool // the client speaks HTTP/1.0
	closeAfter bool // the connection ends with this response
	streaming  bool // the header has been written
	chunked    bool
	// closeDelimited is set while streaming if the body ends with the connection.
	closeDelimited bool
	aborted        bool
	charged        int           // bytes that the request and its response hold in the account
	requestBody    *streamedBody // streamed body of the request; nil if there is none or it was read before the handler ran

	previous <-chan struct{} // closed when the previous response was written or aborted
	done     chan struct{}   // closed when this response was written or aborted
}

var closedChan = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newResponse(c *conn, r *http.Request, earlier *response) *response {
	w := &response{
		conn: c, header: make(http.Header), done: make(chan struct{}), previous: closedChan,
		isHead: r.Method == http.MethodHead, http10: !r.ProtoAtLeast(1, 1), closeAfter: r.Close,
	}
	if earlier != nil {
		w.previous = earlier.done
	}
	return w
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Only the first call counts.
func (w *response) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.hasBody() {
		return 0, http.ErrBodyNotAllowed
	}
	if !w.streaming && w.body.Len()+len(p) <= BufferLimit {
		return w.body.Write(p)
	}
	if !w.streaming {
		if err := w.startStreaming(); err != nil {
			return 0, err
		}
	}
	return len(p), w.writeBody(p)
}

// FlushError implements http.ResponseController's interface. It writes what is
// buffered, and further writes are no longer buffered.
func (w *response) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if w.streaming || !w.hasBody() {
		return nil
	}
	return w.startStreaming()
}

func (w *response) hasBody() bool {
	return !w.isHead && w.status >= http.StatusOK && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// startStreaming waits until the previous response was written, then writes the
// header and the buffered part of the body.
func (w *response) startStreaming() error {
	w.charge(streamCost)
	<-w.previous
	w.streaming = true
	if _, known := w.header["Content-Length"]; !known {
		w.chunked = !w.http10
		w.closeAfter = w.closeAfter || w.http10
		w.closeDelimited = w.http10
	}
	if w.closeDelimited {
		// Whatever ends the connection before the response is whole resets it, the end of
		// the process included. Otherwise the client would take the part for the whole.
		w.conn.setLinger(0)
	}
	head := w.encodeHeader()
	if err := w.write(head); err != nil {
		return err
	}
	err := w.writeBody(w.body.Bytes())
	w.body.Reset()
	return err
}

// writeBody writes a part of the body.
func (w *response) writeBody(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if !w.chunked {
		return w.write(p)
	}
	chunk := make([]byte, 0, len(p)+16)
	chunk = strconv.AppendInt(chunk, int64(len(p)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, p...)
	return w.write(append(chunk, "\r\n"...))
}

func (w *response) write(p []byte) error {
	_ = w.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.conn.raw.Write(p); err != nil {
		w.conn.cancel(nil)
		return err
	}
	return nil
}

// encodeHeader encodes the status line and the header fields. It decides
// whether the connection ends with this response.
func (w *response) encodeHeader() []byte {
	w.closeAfter = w.conn.decideClose(w)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(w.status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(w.status))
	b.WriteString("\r\n")
	delete(w.header, "Connection")
	delete(w.header, "Transfer-Encoding")
	fields := w.header
	if w.chunked || w.hasPrefixedTrailer() {
		fields = maps.Clone(w.header)
		maps.DeleteFunc(fields, func(name string, _ []string) bool {
			return strings.HasPrefix(name, http.TrailerPrefix) || slices.Contains(w.trailerNames(), name)
		})
	}
	// Writing to a buffer cannot fail.
	_ = fields.Write(&b)
	if w.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if w.closeAfter {
		b.WriteString("Connection: close\r\n")
	} else if w.http10 {
		b.WriteString("Connection: keep-alive\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func (w *response) hasPrefixedTrailer() bool {
	for name := range w.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

// trailerNames returns the names of the trailers that the handler announced.
func (w *response) trailerNames() []string {
	var names []string
	for _, list := range w.header["Trailer"] {
		for name := range strings.SplitSeq(list, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// finish writes the rest of the response when the handler has returned, and lets
// the next response be written.
func (w *response) finish() {
	defer w.conn.responseDone(w)
	defer close(w.done)
	if !w.streaming {
		w.charge(w.cost())
	}
	<-w.previous
	if w.aborted {
		w.conn.abort()
		return
	}
	w.WriteHeader(http.StatusOK)
	if err := w.writeRemaining(); err != nil {
		w.conn.abort()
		return
	}
	if w.closeDelimited {
		w.conn.setLinger(lingerInBackground)
	}
	if w.closeAfter {
		w.conn.closeWrite()
	}
}

// charge adds bytes that the response holds until it was written. They can't be
// refused, because the call has run.
func (w *response) charge(n int) {
	if n > 0 {
		w.charged += n
		w.conn.account.charge(n)
	}
}

// cost returns the bytes that a complete response holds beyond those of its request:
// the body as received, as buffered here and as encoded. A response with few headers
// and a short body is part of requestCost.
func (w *response) cost() int {
	n := 3 * w.body.Len()
	if len(w.header) > usualFields {
		n += fieldsCost(w.header)
	}
	if n <= usualResponse {
		return 0
	}
	return n
}

// writeRemaining writes what is not written yet: the whole response, or the end of a
// chunked body.
func (w *response) writeRemaining() error {
	if w.streaming {
		if w.chunked {
			return w.write(w.lastChunk())
		}
		return nil
	}
	if w.hasBody() && (len(w.trailerNames()) > 0 || w.hasPrefixedTrailer()) && !w.http10 {
		if err := w.startStreaming(); err != nil {
			return err
		}
		return w.write(w.lastChunk())
	}
	if w.hasBody() {
		w.header["Content-Length"] = []string{strconv.Itoa(w.body.Len())}
	}
	return w.write(append(w.encodeHeader(), w.body.Bytes()...))
}

// lastChunk encodes the end of a chunked body with its trailers.
func (w *response) lastChunk() []byte {
	trailer := make(http.Header)
	for _, name := range w.trailerNames() {
		if values, ok := w.header[name]; ok {
			trailer[name] = values
		}
	}
	for name, values := range w.header {
		if name, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailer[http.CanonicalHeaderKey(name)] = values
		}
	}
	var b bytes.Buffer
	b.WriteString("0\r\n")
	_ = trailer.Write(&b) // writing to a buffer cannot fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// recoverPanic closes the connection after a panic of the handler, so that the
// client does not take a partial response for complete.
func (w *response) recoverPanic() {
	switch p := recover(); p {
	case nil:
	case http.ErrAbortHandler:
		w.aborted = true
	default:
		w.aborted = true
		w.conn.server.config.Log.Error("A request handler panicked.", zap.Any("panic", p), zap.Stack("stack"))
	}
}

var _ io.Writer = (*response)(nil)
