package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/peridotlb/peridotlb/internal/connection"
)

var (
	errNoLength = errors.New("response has neither a Content-Length nor chunked encoding, so truncation could not be detected")
	errUpgrade  = errors.New("response switches protocols, which is not supported")
)

// reply is a response from a backend server. buffered holds a body of up to
// bufferLimit bytes, or the first bufferLimit+1 bytes of a longer one; rest is nil
// if that is the whole body.
type reply struct {
	status   int
	header   http.Header
	buffered []byte
	rest     io.ReadCloser
	length   int64           // of the body; -1 if unknown
	trailer  *http.Header    // complete once the body was read
	withheld map[string]bool // names of trailers that are not passed on
	hasBody  bool
	sending  *pacedSending // nil sends the body at once
	upload   *restReader   // of the request, which may still be sent while rest is read; nil if its body was short
}

// readReply buffers the start of the response to a message. It closes the response on an error and
// when the whole body is buffered. With closeDelimited, a response may end with its
// connection.
func (t *headerTable) readReply(resp *http.Response, m *connection.Message, closeDelimited bool) (*reply, error) {
	r := &reply{
		status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, trailer: &resp.Trailer,
		hasBody: m.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified,
	}
	r.upload, _ = m.Rest.(*restReader)
	r.withheld = t.response.withheld
	t.response.stripHopByHop(r.header)
	err := r.bufferBody(resp, closeDelimited)
	if err != nil || r.rest == nil {
		_ = resp.Body.Close()
	}
	return r, err
}

func (r *reply) bufferBody(resp *http.Response, closeDelimited bool) error {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errUpgrade
	case !r.hasBody:
		return nil
	case r.length < 0 && len(resp.TransferEncoding) == 0 && !closeDelimited:
		return errNoLength
	}
	buffered, whole, err := readPrefix(resp.Body, r.length)
	if err != nil {
		return err
	}
	r.buffered = buffered
	if !whole {
		r.rest = resp.Body
	}
	return nil
}

// hasRetryableStatus reports whether the status means that the server failed or is
// overloaded. This includes 500: the request may be the cause, but the retry budget
// bounds the cost of its retries.
func (r *reply) hasRetryableStatus() bool {
	switch r.status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// stopUpload ends the sending of the request's body, so that it can be sent again, and
// reports whether that is possible. It accepts a nil reply.
func (r *reply) stopUpload() bool { return r == nil || r.upload.stopUnlessRead() }

// close discards the unread part of the body. It accepts a nil reply.
func (r *reply) close() {
	if r != nil && r.rest != nil {
		_ = r.rest.Close()
	}
}

// relay writes the reply. If the body breaks off, it aborts the connection, so that
// the receiver does not take the response for complete.
func (r *reply) relay(w http.ResponseWriter) {
	defer r.close()
	h := w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from sniffing the content type
	}
	announced := make(map[string]bool, len(*r.trailer))
	for name := range *r.trailer {
		if r.withheld[name] {
			continue
		}
		announced[name] = true
		h.Add("Trailer", name)
	}
	if r.hasBody && r.rest == nil && len(announced) == 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(r.buffered))}
	}
	w.WriteHeader(r.status)
	if r.hasBody {
		r.relayBody(w)
	}
	for name, values := range *r.trailer {
		if r.withheld[name] {
			continue
		}
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

func (r *reply) relayBody(w http.ResponseWriter) {
	if r.sending != nil {
		if err := r.sending.write(w, r.buffered, r.rest); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	if _, err := w.Write(r.buffered); err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.rest == nil {
		return
	}
	if _, err := io.Copy(w, r.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}
