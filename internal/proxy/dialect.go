package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
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
	// Unframed says that a response of a server may have no length and end with its
	// connection, and that one which breaks off ends with a reset. In the product's
	// own interface such a response is refused, since a cut could not be noticed.
	CloseDelimited bool
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

// fields returns the header fields that a request to a backend server gets.
func (d Dialect) serverFields(server string, remaining time.Duration) []connection.Field {
	ms := strconv.FormatInt(max(1, remaining.Milliseconds()), 10)
	fields := []connection.Field{{Name: d.timeoutHeader(), Value: ms}}
	if d.Server != "" {
		fields = append(fields, connection.Field{Name: d.Server, Value: server})
	}
	return fields
}

// callIDHeader is the header with the id of a call at backend servers.
func (d Dialect) callIDHeader() string {
	if d.CallID == "" {
		return HeaderCallID
	}
	return d.CallID
}

// matches reports whether a response of a backend server answers a request. In
// the product's own interface servers need not echo the id of a call; where the
// dialect names a header for it, every success does.
func (d Dialect) matches(m *connection.Message, r *http.Response) bool {
	id := r.Header.Get(d.callIDHeader())
	if id == "" {
		return d.CallID == "" || r.StatusCode >= http.StatusMultipleChoices
	}
	return id == m.Header.Get(d.callIDHeader())
}

// sheds reports whether a response says that the server did not run the call.
func (d Dialect) reportsNotRun(r *http.Response) bool {
	if d.NotRun != "" {
		return r.Header.Get(d.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	}
	overloaded := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	return overloaded && r.Header.Get(HeaderNotRun) == "true"
}
