package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// Dialect defines the headers that callers and backend servers use instead of the
// built-in ones. The zero value selects the built-in headers. Daemons always use
// the built-in headers among themselves.
type Dialect struct {
	CallID    string // id that the caller assigns to each attempt of a call, used as the call id; servers echo it
	TimeoutMS string // milliseconds that the caller waits, after which servers stop working
	NotRun    string // set in the response of a server that did not run the call
	Server    string // id of the server that may run the call
	Caller    string // service of the host on which the call originated
	Seal      string // proof of a server's response, for the caller
	Limit     string // calls per second that the responding server accepts from all daemons together
	// ServerLoad is the load of the responding server: its running and waiting calls,
	// its slots and, optionally, the time that work takes on its machine, in percent of the usual.
	ServerLoad string
	Leaving    string // "1" in the responses of a server that is about to end
	// Organisation names the organisation of a call to servers. Only the entry sets it.
	Organisation string
	// StatusPromises is set if callers take the statuses 408, 421, 429 and 503 alone for a
	// promise that the call was not run and never will be.
	StatusPromises bool
	// CloseDelimited accepts responses of backend servers that have no length and
	// end when the server closes the connection. Truncated responses must then end
	// with a reset. Otherwise such responses are rejected, because truncation could
	// not be detected.
	CloseDelimited bool
}

// callID returns the id that the caller assigned to its attempt, or "".
func (d Dialect) callID(h http.Header) string {
	if d.CallID == "" {
		return ""
	}
	return h.Get(d.CallID)
}

// timeoutHeader returns the name of the header that holds the caller's timeout.
func (d Dialect) timeoutHeader() string {
	if d.TimeoutMS == "" {
		return HeaderTimeoutMS
	}
	return d.TimeoutMS
}

// organisationHeader returns the name of the header that names the organisation of a
// call.
func (d Dialect) organisationHeader() string {
	if d.Organisation == "" {
		return HeaderOrganisation
	}
	return d.Organisation
}

// serverFields returns the additional header fields of a request to a backend
// server.
func (d Dialect) serverFields(server string, remaining time.Duration) []connection.Field {
	ms := strconv.FormatInt(max(1, remaining.Milliseconds()), 10)
	fields := []connection.Field{{Name: d.timeoutHeader(), Value: ms}}
	if d.Server != "" {
		fields = append(fields, connection.Field{Name: d.Server, Value: server})
	}
	return fields
}

// callIDHeader returns the name of the header that identifies a call to backend
// servers.
func (d Dialect) callIDHeader() string {
	if d.CallID == "" {
		return HeaderCallID
	}
	return d.CallID
}

// matches reports whether a response of a backend server belongs to a request. With
// the built-in headers, servers need not echo the call id. If CallID is set, every
// successful response must echo it. Any other response without it belongs to the request
// only if the connection has carried no earlier one: a faulty server can send a second
// response to the request before. The proper response still follows it then.
func (d Dialect) matches(m *connection.Message, r *http.Response, reused bool) bool {
	id := r.Header.Get(d.callIDHeader())
	if id == "" {
		return d.CallID == "" || !reused && r.StatusCode >= http.StatusMultipleChoices
	}
	return id == m.Header.Get(d.callIDHeader())
}

// identifies reports whether a response of a backend server states which call it
// belongs to. With the built-in headers, servers need not echo the call id, except
// that a response which says that a call was not run must be beyond doubt.
func (d Dialect) identifies(r *http.Response) bool {
	return r.Header.Get(d.callIDHeader()) != "" || d.CallID == "" && !d.reportsNotRun(r)
}

// reportsNotRun reports whether a response says that the server did not run the
// call. With NotRun set, that is this header or status 421; otherwise the built-in
// header with status 503 or 429.
func (d Dialect) reportsNotRun(r *http.Response) bool {
	if d.NotRun != "" {
		return r.Header.Get(d.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	}
	overloaded := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	return overloaded && r.Header.Get(HeaderNotRun) == "true"
}
