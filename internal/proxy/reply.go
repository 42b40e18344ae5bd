package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
)

var (
	errNoLength = errors.New("response has neither a length nor chunks, so that a cut could not be noticed")
	errUpgrade  = errors.New("response switches protocols, which is not supported")
)

// reply is a response of a backend server. At most bufferLimit bytes of its
// body are in head; rest is nil when that is the whole body.
type reply struct {
	status  int
	header  http.Header
	head    []byte
	rest    io.ReadCloser
	length  int64        // of the body; -1 when unknown
	trailer *http.Header // complete once the body was read
	hasBody bool
}

// readReply buffers the start of a response. It closes the response on an
// error and when the whole body is buffered. With unframed, a response may end
// with its connection.
func readReply(resp *http.Response, method string, unframed bool) (*reply, error) {
	r := &reply{
		status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, trailer: &resp.Trailer,
		hasBody: method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified,
	}
	stripHopByHop(r.header)
	err := r.bufferBody(resp, unframed)
	if err != nil || r.rest == nil {
		_ = resp.Body.Close()
	}
	return r, err
}

func (r *reply) bufferBody(resp *http.Response, unframed bool) error {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errUpgrade
	case !r.hasBody:
		return nil
	case r.length < 0 && len(resp.TransferEncoding) == 0 && !unframed:
		return errNoLength
	}
	head, whole, err := readPrefix(resp.Body, r.length)
	if err != nil {
		return err
	}
	r.head = head
	if !whole {
		r.rest = resp.Body
	}
	return nil
}

// failing reports whether the status is one of a failed or overloaded server.
// 500 is among them: the cause may be the request, but the budget bounds what
// its retries cost.
func (r *reply) hasRetryableStatus() bool {
	switch r.status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// close gives up the part of the body that was not read. A nil reply has none.
func (r *reply) close() {
	if r != nil && r.rest != nil {
		_ = r.rest.Close()
	}
}

// relay writes the reply. A reply that breaks off aborts the connection, so
// that the receiver does not take it for complete.
func (r *reply) relay(w http.ResponseWriter) {
	defer r.close()
	h := w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	announced := make(map[string]bool, len(*r.trailer))
	for name := range *r.trailer {
		announced[name] = true
		h.Add("Trailer", name)
	}
	if r.hasBody && r.rest == nil && len(announced) == 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(r.head))}
	}
	w.WriteHeader(r.status)
	if r.hasBody {
		r.relayBody(w)
	}
	for name, values := range *r.trailer {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

func (r *reply) relayBody(w http.ResponseWriter) {
	if _, err := w.Write(r.head); err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.rest == nil {
		return
	}
	if _, err := io.Copy(w, r.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}
