package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/route"
)

type entryHandler struct {
	config  Config
	metrics *callMetrics
	gate    *gateHandler
	callIDs *callIDGenerator
	nested  nestedCalls
	headers *headerTable
	// withheldWithKeys has the names of trailers that are not passed on if calls need keys.
	withheldWithKeys map[string]bool
}

// ServeHTTP handles a request from a caller.
func (e *entryHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.metrics.entryInFlight.Inc()
	defer e.metrics.entryInFlight.Dec()
	id := e.config.Dialect.callID(r.Header)
	if id == "" {
		id = e.callIDs.id()
	}
	if e.config.Dialect.Caller != "" {
		r.Header[e.config.Dialect.Caller] = []string{e.config.CallerService}
	}
	e.serve(w, r, id, false)
}

// serve handles a call. A forwarded call is not forwarded again: it is refused with
// a reason header that the forwarding daemon recognizes.
func (e *entryHandler) serve(w http.ResponseWriter, r *http.Request, id string, forwarded bool) {
	start := e.config.Now()
	table := e.config.Routes()
	if table == nil || table.Number() == 0 {
		if !forwarded {
			e.forward(w, r, id)
			return
		}
		w.Header()[HeaderReason] = []string{reasonNoVersion}
		e.writeFailure(w, id, noVersionFailure())
		return
	}
	match, f := matchRoute(table, r)
	customer, key, refusal := authenticate(table, match, r)
	if refusal != nil {
		f = refusal
	}
	if f != nil {
		e.writeFailure(w, id, f)
		return
	}
	e.metrics.calls.inc(string(match.Service.Name))
	timeout, shortTimeout, f := e.callTimeout(r, match.Route.Timeout)
	if f != nil {
		e.writeFailure(w, id, f)
		return
	}
	c := e.headers.newCall(r, id, start.Add(timeout))
	c.route, c.key = match.Route.Name, key
	e.identify(c, table, customer)
	runBy, f := e.takeToken(r.Context(), customer)
	if f != nil {
		e.writeFailure(w, id, f)
		return
	}
	if c.body, f = e.readBody(w, r, timeout); f != nil {
		e.writeFailure(w, id, f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	x := &exchange{entry: e, call: c, match: match, organisation: customer, priority: priorityOf(match, customer), runBy: runBy, start: start, shortTimeout: shortTimeout}
	if !forwarded {
		e.rankNested(x)
	}
	if match.Route.Target > 0 {
		x.targetTime = start.Add(match.Route.Target)
	}
	if match.Route.Paid {
		x.servePaid(ctx, w, r)
		return
	}
	x.writeResult(w, r, x.run(ctx))
}

func matchRoute(table *route.Table, r *http.Request) (route.Match, *failure) {
	if hasDotSegment(r.URL.Path) {
		return route.Match{}, &failure{reason: "bad-path", status: http.StatusBadRequest, notRun: true, hint: "the path must not contain . or .. segments"}
	}
	m, ok := table.Match(r.Method, r.Host, routePath(r.URL))
	if ok && m.Route.Unreadable != "" || !ok && !table.Complete() {
		return m, unreadableEntryFailure()
	}
	if !ok {
		return m, &failure{reason: "no-route", status: http.StatusNotFound, notRun: true, hint: "no route accepts this method and path"}
	}
	return m, nil
}

// unreadableEntryFailure returns the refusal of a call whose route or organisation may be
// an entry of the version that can't be read.
func unreadableEntryFailure() *failure {
	return &failure{
		reason: reasonUnreadable, notRun: true, retryAfter: maxRetryAfter,
		hint: "an entry of the configuration that may be for this call can't be read; send the call again after the next version",
	}
}

// hasDotSegment reports whether a backend server could resolve a path to another
// path than the one that was matched.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// callTimeout returns the timeout of the route or the caller's timeout, whichever
// is shorter, and whether it is the caller's.
func (e *entryHandler) callTimeout(r *http.Request, timeout time.Duration) (time.Duration, bool, *failure) {
	header := e.config.Dialect.timeoutHeader()
	text := r.Header.Get(header)
	if text == "" {
		return timeout, false, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, false, &failure{
			reason: "bad-timeout", status: http.StatusBadRequest, notRun: true,
			hint: header + " must be a positive number of milliseconds", err: err,
		}
	}
	if own := time.Duration(ms) * time.Millisecond; own < timeout {
		return own, true, nil
	}
	return timeout, false, nil
}

// readBody reads the request body within the timeout.
func (e *entryHandler) readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) (*body, *failure) {
	if r.Body == nil || r.Body == http.NoBody {
		return readBodyOrFail(r)
	}
	// Not every response writer supports read deadlines. Without one, only the limits
	// of the server bound the time for reading the body.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	b, f := readBodyOrFail(r)
	if f == nil && b.rest == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return b, f
}

func readBodyOrFail(r *http.Request) (*body, *failure) {
	b, err := readBody(r)
	var timeout net.Error
	switch {
	case errors.Is(err, connection.ErrBodyTooLarge):
		return nil, &failure{reason: reasonTooLarge, status: http.StatusRequestEntityTooLarge, notRun: true, hint: "the request body exceeds the limit of the configuration", err: err}
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, &failure{reason: "request-cut", status: http.StatusRequestTimeout, notRun: true, hint: "the request body did not arrive completely in time", err: err}
	case err != nil:
		return nil, &failure{reason: "request-cut", status: http.StatusBadRequest, notRun: true, hint: "the request body did not arrive completely in time", err: err}
	}
	return b, nil
}

// writeFailure counts a failure and writes it to the caller.
func (e *entryHandler) writeFailure(w http.ResponseWriter, id string, f *failure) {
	e.metrics.failures.inc(f.reason)
	f.write(w, id)
}

// relay writes the response of a backend server to the caller.
func (e *entryHandler) relay(w http.ResponseWriter, r *http.Request, id string, reply *reply) {
	if reply.rest != nil && reply.length < 0 && !r.ProtoAtLeast(1, 1) {
		reply.close()
		e.writeFailure(w, id, &failure{reason: "old-protocol", hint: "a large response without a length needs HTTP/1.1"})
		return
	}
	reply.header[HeaderCallID] = []string{id}
	reply.relay(w)
}
