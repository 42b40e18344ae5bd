package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect names the headers that callers and backend servers use in place of the
// product's own. The zero value is the product's own interface. Between daemons
// the own headers are used in any case.
type Dialect struct {
	CallID    string // id of one attempt of a caller; servers echo it
	TimeoutMS string // milliseconds that the caller waits; servers stop work then
	NotRun    string // in a response of a server: it did not run the call
	Server    string // id of the server that may run the call
	Caller    string // service of the host at which the call began
}

// callID returns the id that the caller gave its attempt, or nothing.
func (d Dialect) callID(h http.Header) string {
	if d.CallID == "" {
		return ""
	}
	return h.Get(d.CallID)
}

// timeoutHeader is the header with the caller's timeout.
func (d Dialect) timeoutHeader() string {
	if d.TimeoutMS == "" {
		return HeaderTimeoutMS
	}
	return d.TimeoutMS
}

// address sets the headers of a request to a backend server.
func (d Dialect) address(h http.Header, server string, remaining time.Duration) {
	if d.TimeoutMS != "" {
		h[d.TimeoutMS] = []string{strconv.FormatInt(max(1, remaining.Milliseconds()), 10)}
	}
	if d.Server != "" {
		h[d.Server] = []string{server}
	}
}

// echoed returns the id of the call that a server's response answers, or nothing
// when the server does not tell.
func (d Dialect) echoed(h http.Header) string {
	if d.CallID != "" {
		return h.Get(d.CallID)
	}
	return h.Get(HeaderCallID)
}

// sheds reports whether a response says that the server did not run the call.
func (d Dialect) sheds(r *http.Response) bool {
	if d.NotRun != "" {
		return r.Header.Get(d.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	}
	overloaded := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	return overloaded && r.Header.Get(HeaderNotRun) == "true"
}
