package proxy

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// call is a request that passes through a daemon.
type call struct {
	id            string
	method        string
	requestTarget string // path and query as received
	host          string
	header        http.Header // end-to-end headers
	body          *body
	deadline      time.Time
}

// newCall copies the headers and the target of a request. The body is read later.
func newCall(r *http.Request, id string, deadline time.Time) *call {
	c := &call{id: id, method: r.Method, requestTarget: requestTarget(r), host: r.Host, deadline: deadline}
	c.header = maps.Clone(r.Header)
	stripHopByHop(c.header)
	for _, name := range []string{HeaderTimeoutMS, HeaderNotRun, HeaderOutcome, HeaderLoad, HeaderServer, HeaderQueue, HeaderNoticedLimit, HeaderNoRetry, HeaderReplayed, HeaderReason, HeaderServerUS, HeaderForwarded} {
		delete(c.header, name)
	}
	c.header[HeaderCallID] = []string{id}
	return c
}

// requestTarget returns the path and query as they were received. A target in
// absolute form is converted to origin form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.RequestURI == "*" {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// buildMessage returns the request for one attempt, with additional header fields.
func (c *call) buildMessage(fields ...connection.Field) *connection.Message {
	m := &connection.Message{Method: c.method, Target: c.requestTarget, Authority: c.host, Header: c.header, Fields: fields}
	c.body.attach(m)
	return m
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}

// body is a request body that can be sent again as long as only its buffered part
// was read.
type body struct {
	buffered []byte
	rest     io.Reader // nil if buffered is the whole body
	length   int64     // -1 if unknown
	trailer  http.Header
	restRead atomic.Bool
	tooLarge atomic.Bool // the rest exceeds the limit of the configuration
}

// readBody buffers the body of a request, or the first bufferLimit+1 bytes of a
// longer one.
func readBody(r *http.Request) (*body, error) {
	b := &body{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	buffered, whole, err := readPrefix(r.Body, r.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("read the request body: %w", err)
	}
	// If the body is longer than the buffer, r.Trailer has only the announced names
	// yet. A request that announces none is then forwarded without trailers.
	b.buffered, b.trailer = buffered, r.Trailer
	if !whole {
		b.rest = r.Body
		return b, nil
	}
	b.length = int64(len(buffered))
	return b, nil
}

// readPrefix reads a body of up to bufferLimit bytes completely, and bufferLimit+1
// bytes of a longer one. It reports whether it read the whole body. A length of -1
// means unknown.
func readPrefix(r io.Reader, length int64) ([]byte, bool, error) {
	if length >= 0 && length <= bufferLimit {
		buffered := make([]byte, length)
		_, err := io.ReadFull(r, buffered)
		if err == io.EOF && length > 0 {
			err = io.ErrUnexpectedEOF
		}
		return buffered, true, err
	}
	buffer := new(bytes.Buffer)
	if length > bufferLimit {
		// Without room for MinRead bytes, ReadFrom would double the buffer at the end.
		buffer.Grow(bufferLimit + 1 + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(r, bufferLimit+1))
	return buffer.Bytes(), n <= bufferLimit, err
}

// resendable reports whether the body can still be sent from its start.
func (b *body) resendable() bool { return !b.restRead.Load() }

// attach sets the body, the length and the trailer of a message.
func (b *body) attach(m *connection.Message) {
	m.Body, m.Length = b.buffered, b.length
	if b.rest != nil {
		m.Rest = restReader{b}
	}
	if len(b.trailer) > 0 {
		m.Length, m.Trailer = -1, b.trailer
	}
}

type restReader struct{ body *body }

func (r restReader) Read(p []byte) (int, error) {
	r.body.restRead.Store(true)
	n, err := r.body.rest.Read(p)
	if errors.Is(err, connection.ErrBodyTooLarge) {
		r.body.tooLarge.Store(true)
	}
	return n, err
}

// stripHopByHop removes the headers that apply to a single connection.
func stripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// hopByHop lists the headers of RFC 9110 section 7.6.1, and Expect, which the
// server has already answered.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// callIDGenerator generates ids that are unique across daemons. They consist of a
// random prefix for the process and a counter.
type callIDGenerator struct {
	prefix string
	next   atomic.Uint64
}

func newCallIDGenerator() *callIDGenerator {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return &callIDGenerator{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (c *callIDGenerator) id() string { return c.prefix + strconv.FormatUint(c.next.Add(1), 16) }
