package proxy

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// call is a request on its way through a daemon.
type call struct {
	id       string
	method   string
	url      *url.URL
	host     string
	header   http.Header // end-to-end headers
	body     *body
	deadline time.Time
	shared   bool // a request of an earlier attempt uses header
}

// newCall takes the headers and the URL of a request; the body is read later.
func newCall(r *http.Request, id string, deadline time.Time) *call {
	c := &call{id: id, method: r.Method, url: r.URL, host: r.Host, deadline: deadline}
	c.header = maps.Clone(r.Header)
	stripHopByHop(c.header)
	for _, name := range []string{HeaderNotRun, HeaderOutcome, HeaderLoad, HeaderServer, HeaderNoRetry, HeaderReplayed, HeaderReason, HeaderServerUS, HeaderForwarded} {
		delete(c.header, name)
	}
	if _, ok := c.header["User-Agent"]; !ok {
		c.header["User-Agent"] = nil // keeps net/http from adding its own
	}
	c.header[HeaderCallID] = []string{id}
	// net/http repeats a request with an Idempotency-Key header when a reused
	// connection breaks. It looks up the canonical key only.
	for _, name := range []string{headerIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := c.header[name]; ok {
			delete(c.header, name)
			c.header[strings.ToLower(name)] = values
		}
	}
	return c
}

// request makes the request for one attempt. The headers of all but the first
// are a copy, because a goroutine of an earlier attempt may still read them.
func (c *call) request(ctx context.Context, scheme, addr string, remaining time.Duration) *http.Request {
	header := c.header
	if c.shared {
		header = maps.Clone(c.header)
		delete(header, HeaderServer) // of the earlier attempt
	}
	c.shared = true
	u := *c.url
	u.Scheme, u.Host, u.User = scheme, addr, nil
	r := &http.Request{
		Method: c.method, URL: &u, Host: c.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	r.Header[HeaderTimeoutMS] = []string{strconv.FormatInt(max(1, remaining.Milliseconds()), 10)}
	c.body.attach(r)
	return r.WithContext(ctx)
}

// body is a request body that can be sent again as long as nothing was read
// beyond its buffered part.
type body struct {
	buffered []byte
	rest     io.Reader // nil when buffered is the whole body
	length   int64     // -1 when unknown
	trailer  http.Header
	restRead atomic.Bool
}

// readBody buffers up to bufferLimit bytes of the body of a request.
func readBody(r *http.Request) (*body, error) {
	b := &body{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	head, whole, err := readHead(r.Body, r.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("read the request body: %w", err)
	}
	// Trailers that were not announced are there only after the whole body.
	b.buffered, b.trailer = head, r.Trailer
	if !whole {
		b.rest = r.Body
		return b, nil
	}
	b.length = int64(len(head))
	return b, nil
}

// readHead reads up to bufferLimit bytes and reports whether that is all.
// A length of -1 is unknown.
func readHead(r io.Reader, length int64) ([]byte, bool, error) {
	if length >= 0 && length <= bufferLimit {
		head := make([]byte, length)
		_, err := io.ReadFull(r, head)
		if err == io.EOF && length > 0 {
			err = io.ErrUnexpectedEOF
		}
		return head, true, err
	}
	var buffer bytes.Buffer
	n, err := buffer.ReadFrom(io.LimitReader(r, bufferLimit+1))
	return buffer.Bytes(), n <= bufferLimit, err
}

// resendable reports whether the body can be sent (again).
func (b *body) resendable() bool { return !b.restRead.Load() }

// attach sets the body of a request. The body never has GetBody and is never
// nil for methods that net/http takes for idempotent, so that net/http does not
// repeat the request on its own: retries are subject to the budget.
func (b *body) attach(r *http.Request) {
	r.ContentLength = b.length
	switch {
	case b.rest != nil:
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), restReader{b}))
	case len(b.trailer) > 0:
		r.Body = io.NopCloser(bytes.NewBuffer(b.buffered))
		r.ContentLength = -1
	case len(b.buffered) > 0:
		r.Body = struct{ io.ReadCloser }{io.NopCloser(bytes.NewReader(b.buffered))}
	case r.Method == http.MethodGet, r.Method == http.MethodHead, r.Method == http.MethodOptions, r.Method == http.MethodTrace:
		// "identity" keeps net/http from looking for a body with a timer.
		r.Body = emptyBody{}
		r.TransferEncoding = []string{"identity"}
	default:
		r.Body = http.NoBody
	}
	if len(b.trailer) > 0 {
		r.Trailer = b.trailer
	}
}

// emptyBody is a body without content that differs from http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// WriteTo writes nothing. Without it, net/http allocates a buffer of 32 KiB to
// copy the empty body.
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }

type restReader struct{ body *body }

func (r restReader) Read(p []byte) (int, error) {
	r.body.restRead.Store(true)
	return r.body.rest.Read(p)
}

// stripHopByHop removes the headers that concern one connection only.
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

// hopByHop are the headers of RFC 9110 section 7.6.1, and Expect, which the
// server side of net/http has answered.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// callIDs makes ids that are unique among daemons: a random prefix for the
// process and a counter.
type callIDs struct {
	prefix string
	next   atomic.Uint64
}

func newCallIDs() *callIDs {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return &callIDs{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (c *callIDs) id() string { return c.prefix + strconv.FormatUint(c.next.Add(1), 16) }
