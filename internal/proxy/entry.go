package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/route"
)

// refusedRetries is the number of retries after proof that a call was not run
// that every route gets. Such a retry repeats nothing, and without it a server
// that has just begun to drain would fail calls of routes without retries.
const refusedRetries = 2

type entry struct {
	config Config
	meters *meters
	gate   *gateway
	ids    *callIDs
}

// ServeHTTP answers a caller.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.meters.entryInFlight.Inc()
	defer e.meters.entryInFlight.Dec()
	id := e.config.Dialect.callID(r.Header)
	if id == "" {
		id = e.ids.id()
	}
	if e.config.Dialect.Caller != "" {
		r.Header[e.config.Dialect.Caller] = []string{e.config.CallerService}
	}
	e.serve(w, r, id, false)
}

// serve answers a call. One that another daemon has forwarded is not passed on
// again; the forwarding daemon recognises the refusal by its reason.
func (e *entry) serve(w http.ResponseWriter, r *http.Request, id string, forwarded bool) {
	start := e.config.Now()
	table := e.config.Routes()
	if table == nil || table.Number() == 0 {
		if !forwarded {
			e.forward(w, r, id)
			return
		}
		w.Header()[HeaderReason] = []string{reasonNoVersion}
		e.fail(w, id, noVersion())
		return
	}
	match, f := matchRoute(table, r)
	if f != nil {
		e.fail(w, id, f)
		return
	}
	e.meters.calls.inc(string(match.Service.Name))
	timeout, shortened, f := e.timeoutOf(r, match.Route.Timeout)
	if f != nil {
		e.fail(w, id, f)
		return
	}
	c := newCall(r, id, start.Add(timeout))
	if c.body, f = e.readBody(w, r, timeout); f != nil {
		e.fail(w, id, f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	x := &exchange{entry: e, call: c, match: match, start: start, shortened: shortened}
	if match.Route.Paid {
		x.servePaid(ctx, w, r)
		return
	}
	x.answer(w, r, x.run(ctx))
}

func matchRoute(table *route.Table, r *http.Request) (route.Match, *failure) {
	if hasDotSegment(r.URL.Path) {
		return route.Match{}, &failure{reason: "bad-path", status: http.StatusBadRequest, notRun: true, hint: "the path must not contain the segments . and .."}
	}
	m, ok := table.Match(r.Method, r.Host, r.URL.Path)
	if !ok {
		return m, &failure{reason: "no-route", status: http.StatusNotFound, notRun: true, hint: "no route accepts this method and path"}
	}
	return m, nil
}

// hasDotSegment finds paths that a backend server could take for another path
// than the one that was matched.
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

// timeoutOf is the timeout of the route or the caller's shorter one.
func (e *entry) timeoutOf(r *http.Request, timeout time.Duration) (time.Duration, bool, *failure) {
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
func (e *entry) readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) (*body, *failure) {
	if r.Body == nil || r.Body == http.NoBody {
		return readBodyWhole(r)
	}
	// A response writer that has no read deadline serves without one.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	b, f := readBodyWhole(r)
	if f == nil && b.rest == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return b, f
}

func readBodyWhole(r *http.Request) (*body, *failure) {
	b, err := readBody(r)
	if err != nil {
		return nil, &failure{reason: "request-cut", status: http.StatusBadRequest, notRun: true, hint: "the request body did not arrive in time and whole", err: err}
	}
	return b, nil
}

// fail answers with a failure.
func (e *entry) fail(w http.ResponseWriter, id string, f *failure) {
	e.meters.failures.inc(f.reason)
	f.write(w, id)
}

// exchange is one call at the entry with all its attempts.
type exchange struct {
	entry     *entry
	call      *call
	match     route.Match
	start     time.Time
	shortened bool // the caller's timeout is shorter than the route's
	tried     []backend.ServerID
	// mayHaveRun is set by every attempt without proof that it was not run.
	mayHaveRun bool
}

// result is the end of an exchange. A reply comes with the choice that it
// keeps busy until it was relayed.
type result struct {
	answer
	choice  *pool.Choice
	noRetry bool
	waited  time.Duration // by the last attempt
}

// run attempts the call until it has a reply or may not be retried.
func (x *exchange) run(ctx context.Context) result {
	choice, err := x.pick(nil)
	if err != nil {
		return result{answer: answer{failure: &failure{reason: reasonNoServer, notRun: true, err: err}}}
	}
	for n := 0; ; n++ {
		x.tried = append(x.tried, choice.Server.ID)
		attempt, stop := ctx, func() {}
		if x.match.Route.Idempotent() && n < int(x.match.Route.Retries) && x.call.body.resendable() {
			attempt, stop = attemptContext(ctx, x.call.deadline.Sub(x.entry.config.Now()), x.mayEnd)
		}
		start := x.entry.config.Now()
		r := result{answer: x.attempt(attempt, choice), choice: choice}
		r.waited = x.entry.config.Now().Sub(start)
		stop()
		if attemptEnded(attempt) && r.reply != nil && r.reply.rest != nil {
			// The rest of the response can no longer be read.
			r.reply.close()
			r.answer = answer{failure: &failure{reason: reasonAttempt}}
		}
		if r.failure == nil && (!r.reply.failing() || !x.match.Route.Idempotent()) {
			return r
		}
		if r.failure == nil || !r.failure.notRun {
			x.mayHaveRun = true
		}
		if !x.mayRetry(ctx, &r, n, attemptEnded(attempt)) {
			return x.end(r)
		}
		x.report(r)
		if choice, err = x.pick(r.failure); err != nil {
			r.noRetry = n > 0
			return x.end(r)
		}
		r.reply.close()
		x.entry.meters.retries.Inc()
	}
}

// pick chooses a server that was not tried, or any server when all were tried
// and the last one failed without refusing the call.
func (x *exchange) pick(last *failure) (*pool.Choice, error) {
	p := x.entry.config.Pool
	choice, err := p.Pick(x.match.Service.Name, x.tried)
	if err != nil && last != nil && !last.refused {
		choice, err = p.Pick(x.match.Service.Name, []backend.ServerID{})
	}
	return choice, err
}

// mayEnd reports whether an attempt that takes long may end for a retry, and
// takes the retry from the budget. There must be another server to choose.
func (x *exchange) mayEnd() bool {
	other, err := x.entry.config.Pool.Pick(x.match.Service.Name, x.tried)
	if err != nil {
		return false
	}
	other.Done(pool.Result{Outcome: pool.Abandoned})
	return x.takeRetry()
}

// takeRetry takes a retry of the call from the budget.
func (x *exchange) takeRetry() bool { return x.entry.config.Pool.Retry(x.match.Service.Name) }

// mayRetry applies the rules for retries. It notes in r that retries are
// exhausted, so that callers up the chain do not multiply them. With taken, the
// retry is already taken from the budget.
func (x *exchange) mayRetry(ctx context.Context, r *result, n int, taken bool) bool {
	proved := r.failure != nil && r.failure.notRun
	switch {
	case ctx.Err() != nil, !x.call.deadline.After(x.entry.config.Now()), !x.call.body.resendable():
		return false
	case r.failure != nil && r.failure.noRetry, r.reply != nil && r.reply.header[HeaderNoRetry] != nil:
		r.noRetry = true
		return false
	case !x.match.Route.Idempotent() && !proved:
		return false
	}
	limit := int(x.match.Route.Retries)
	if proved {
		limit = max(limit, refusedRetries)
	}
	if n >= limit {
		r.noRetry = n > 0
		return false
	}
	take := x.entry.config.Pool.Retry
	if proved {
		take = x.entry.config.Pool.RetryRefused
	}
	if !taken && !take(x.match.Service.Name) {
		r.noRetry = true
		x.entry.meters.retriesDenied.Inc()
		x.event("retry-denied", r.choice.Server.ID, "retry budget of "+string(x.match.Service.Name)+" is used up")
		return false
	}
	return true
}

// end completes the failure of an exchange. Proof that the last attempt was
// not run is no proof for the call when an earlier attempt may have run.
func (x *exchange) end(r result) result {
	if r.failure != nil {
		f := *r.failure
		f.notRun = !x.mayHaveRun
		f.noRetry = r.noRetry
		r.failure = &f
	}
	return r
}

// finish ends the last attempt.
func (x *exchange) finish(r result) {
	r.reply.close()
	x.report(r)
}

// report reports the end of an attempt to the pool.
func (x *exchange) report(r result) {
	if r.choice == nil {
		return
	}
	outcome := pool.Succeeded
	switch f := r.failure; {
	case f == nil && r.reply.status >= http.StatusInternalServerError:
		outcome = pool.Failed
	case f == nil:
	case f.reason == reasonCallerGone, f.reason == reasonDeadline && f.refused, x.cutShort(r):
		outcome = pool.Abandoned
	case f.refused:
		outcome = pool.Refused
	default:
		outcome = pool.Failed
	}
	r.choice.Done(pool.Result{Outcome: outcome, InFlight: r.load.InFlight, Slots: r.load.Slots, Failing: r.load.Failing, Took: r.server})
}

// cutShort reports whether the caller's own timeout ended the attempt so early
// that it says nothing about the server. Down a call chain every timeout is
// shorter than that of the route, and a hung server must still be ejected.
func (x *exchange) cutShort(r result) bool {
	timedOut := r.failure.reason == reasonDeadline || r.failure.reason == reasonAttempt
	return timedOut && x.shortened && r.waited < x.match.Route.Timeout/4
}

// attempt sends the call to one server.
func (x *exchange) attempt(ctx context.Context, choice *pool.Choice) answer {
	if x.call.deadline.Sub(x.entry.config.Now()) <= 0 {
		return answer{failure: &failure{reason: reasonDeadline, notRun: true, refused: true}}
	}
	if choice.Local {
		return x.entry.gate.call(ctx, x.call, choice.Server.ID)
	}
	return x.remote(ctx, choice)
}

// remote sends the call to the gate of another host.
func (x *exchange) remote(ctx context.Context, choice *pool.Choice) answer {
	m := x.call.message(
		connection.Field{Name: HeaderTimeoutMS, Value: milliseconds(x.call.deadline.Sub(x.entry.config.Now()))},
		connection.Field{Name: HeaderServer, Value: string(choice.Server.ID)},
	)
	s := send(ctx, x.entry.config.Transports.gates, choice.Gate, m, connection.Options{})
	if s.err != nil {
		return answer{failure: sendFailure(ctx, s, "gate-unreachable", "gate-broke")}
	}
	h := s.response.Header
	a := answer{load: parseLoad(h.Get(HeaderLoad))}
	reason := h.Get(HeaderReason)
	us, _ := strconv.ParseInt(h.Get(HeaderServerUS), 10, 64) // 0 when absent
	a.server = time.Duration(us) * time.Microsecond
	reply, err := readReply(s.response, x.call.method)
	switch {
	case reason != "":
		a.failure = gateFailure(reason, h)
		reply.close()
	case err != nil:
		a.failure = cut(ctx, err)
	default:
		for _, name := range []string{HeaderLoad, HeaderServerUS, HeaderCallID} {
			delete(reply.header, name)
		}
		a.reply = reply
	}
	return a
}

// gateFailure is the failure that a gate reported.
func gateFailure(reason string, h http.Header) *failure {
	notRun := h.Get(HeaderNotRun) == "true"
	return &failure{reason: reason, notRun: notRun, refused: notRun && reason != reasonDial, noRetry: h.Get(HeaderNoRetry) == "true"}
}

// parseLoad reads "<in-flight>/<slots>" with or without failingMark; anything
// else is the zero load.
func parseLoad(text string) gate.Load {
	text, failing := strings.CutSuffix(text, failingMark)
	a, b, _ := strings.Cut(text, "/")
	inFlight, err1 := strconv.ParseUint(a, 10, 16)
	slots, err2 := strconv.ParseUint(b, 10, 16)
	if err1 != nil || err2 != nil {
		return gate.Load{}
	}
	return gate.Load{InFlight: int(inFlight), Slots: int(slots), Failing: failing}
}

// answer writes the result to the caller.
func (x *exchange) answer(w http.ResponseWriter, r *http.Request, res result) {
	defer x.finish(res)
	if res.failure != nil {
		x.entry.fail(w, x.call.id, res.failure)
		return
	}
	if res.noRetry {
		res.reply.header[HeaderNoRetry] = []string{"true"}
	}
	if len(x.tried) == 1 && x.match.Route.Idempotent() {
		x.entry.meters.latencyAdded.Update((x.entry.config.Now().Sub(x.start) - res.server).Seconds())
	}
	x.entry.relay(w, r, x.call.id, res.reply)
}

// relay writes a reply to the caller.
func (e *entry) relay(w http.ResponseWriter, r *http.Request, id string, reply *reply) {
	if reply.rest != nil && reply.length < 0 && !r.ProtoAtLeast(1, 1) {
		reply.close()
		e.fail(w, id, &failure{reason: "old-protocol", hint: "a large response without a length needs HTTP/1.1"})
		return
	}
	reply.header[HeaderCallID] = []string{id}
	reply.relay(w)
}

func (x *exchange) event(kind string, server backend.ServerID, detail string) {
	x.entry.config.Events(Event{Kind: kind, CallID: x.call.id, Server: server, Detail: detail})
}
