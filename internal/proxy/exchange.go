package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/route"
)

const (
	// notRunRetries is the minimum number of retries, on every route, of calls that
	// provably were not run. Such a retry cannot run a call twice. Without it, a
	// server that has just started to drain would fail the calls of routes without
	// retries.
	notRunRetries = 2
	// maxGateRefusals bounds how many gates may refuse one call with a latency
	// target for lack of room. Each refusal reports the current wait, which
	// improves the next choice.
	maxGateRefusals = 8
	// maxGateSearch is the number of gates that a call with a latency target asks for
	// a slot within the wait that pays off. After that it waits where the wait is
	// shortest: if so many are full, the others probably are too.
	maxGateSearch = 3
	// maxUnreachableGates is the number of gates that one call may fail to connect to
	// before each further one counts as a retry. Several hosts can die at once, and an
	// attempt that was not sent adds no work to any server.
	maxUnreachableGates = 5
)

// exchange is one call at the entry with all its attempts.
type exchange struct {
	entry        *entryHandler
	call         *call
	match        route.Match
	organisation *document.Organisation // nil if the call has none
	priority     uint8
	runBy        time.Time // the token of the call is valid until then; zero if it needs none
	start        time.Time
	targetTime   time.Time // until which a response meets the latency target; zero if there is none
	shortTimeout bool      // the caller's timeout is shorter than the route's
	tried        []backend.ServerID
	fullServers  []backend.ServerID // servers whose gates had no room
	allFull      bool               // no server that was asked had room: the call may wait as long as possible
	gateRefusals int                // number of gate refusals for lack of room
	unreachable  int                // number of gates that could not be connected to
	attemptLogs  []attemptLog
	// mayHaveRun is set by every attempt that does not prove that the call was not
	// run.
	mayHaveRun bool

	startedAttempts int                // number of attempts started
	running         []*attempt         // attempts without a result yet
	results         chan attemptResult // results of the attempts
}

// attemptResult is the result of an attempt or of the whole exchange. If it has a
// reply, its choice counts as in flight until the reply was relayed.
type attemptResult struct {
	gateResult
	*attempt
	noRetry bool
	elapsed time.Duration // duration of the attempt
}

func (x *exchange) now() time.Time { return x.entry.config.Now() }

// remaining returns the time until the deadline of the call.
func (x *exchange) remaining() time.Duration { return x.call.deadline.Sub(x.now()) }

// recordAttempt records what an attempt means for the following ones. A server that
// was only full may be chosen once more when all others are full too.
func (x *exchange) recordAttempt(r attemptResult) {
	full := r.failure != nil && r.failure.serverFull && !x.targetTime.IsZero()
	if full {
		x.gateRefusals++
		if !x.allFull {
			x.tried = slices.DeleteFunc(x.tried, func(id backend.ServerID) bool { return id == r.choice.Server.ID })
			x.fullServers = append(x.fullServers, r.choice.Server.ID)
		}
		return
	}
	if r.failure != nil && r.failure.reason == reasonGateUnreachable {
		x.unreachable++
	}
	if r.failure == nil || !r.failure.notRun {
		x.mayHaveRun = true
	}
}

// noServerFailure returns the failure of a call for which no server can be chosen.
func (x *exchange) noServerFailure(err error) *failure {
	f := &failure{reason: reasonNoServer, notRun: true, err: err}
	var room *pool.NoRoomError
	if errors.As(err, &room) {
		f.reason, f.retryAfter = reasonNoRoom, room.Wait
	}
	return f
}

// chooseServer chooses a server that was not tried. If only full servers are left,
// it chooses the one with the shortest wait. If all were tried and the last one
// failed without refusing the call, it chooses any server. last is the failure of
// the last attempt; nil before the first one and after a response.
func (x *exchange) chooseServer(last *failure) (*pool.Choice, error) {
	p := x.entry.config.Pool
	c := pool.Call{
		LinkWait: x.receivingWait(),
		Service:  x.match.Service.Name, Route: x.match.Route.Name, TimeToDeadline: x.remaining(), Priority: x.priority,
		AtMostOnce: !x.match.Route.Idempotent(), AlreadyCounted: len(x.tried)+x.gateRefusals > 0,
		WaitForSlot: x.allFull,
	}
	if !x.targetTime.IsZero() {
		// A response after the target is still useful until the deadline.
		c.TimeToTarget = max(x.targetTime.Sub(x.now()), time.Millisecond)
	}
	if len(x.fullServers) >= maxGateSearch {
		x.waitForSlot(&c)
	}
	c.Tried = slices.Concat(x.tried, x.fullServers)
	choice, err := p.Choose(c)
	if errors.Is(err, pool.ErrNoServer) && len(x.fullServers) > 0 {
		x.waitForSlot(&c)
		c.Tried = x.tried
		choice, err = p.Choose(c)
	}
	if errors.Is(err, pool.ErrNoServer) && last != nil && !last.refused {
		c.Tried, c.AlreadyCounted = nil, true
		choice, err = p.Choose(c)
	}
	return choice, err
}

// waitForSlot makes the call wait for a slot where the wait is shortest, for as long
// as its deadline permits. Servers that were only full may be chosen again.
func (x *exchange) waitForSlot(c *pool.Call) {
	x.fullServers, x.allFull = nil, true
	c.AlreadyCounted, c.WaitForSlot = true, true
}

// promisesWithoutProof reports whether the caller would take a response of the server for
// a promise that the call was not run, although the server did not say so. It may have run
// the call, and the caller would send one that may run once again.
func (x *exchange) promisesWithoutProof(status int) bool {
	if !x.entry.config.Dialect.StatusPromises || x.match.Route.Idempotent() {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// takeRetry takes a retry from the budget and reports whether the call may be
// retried. A call with a latency target that was refused by a full gate needs no
// budget. takeRetry sets r.noRetry if retries are exhausted, so that callers up the
// call chain do not multiply them.
func (x *exchange) takeRetry(ctx context.Context, r *attemptResult) bool {
	provedNotRun := r.failure != nil && r.failure.notRun
	switch {
	case ctx.Err() != nil, x.remaining() <= 0, !x.call.body.resendable(), !x.mayBeginLate():
		return false
	case r.failure != nil && r.failure.reason == reasonEntryLinkFull:
		return false // any other host would respond over the same link
	case r.failure != nil && r.failure.noRetry, r.reply != nil && r.reply.header[HeaderNoRetry] != nil:
		r.noRetry = true
		return false
	case !x.match.Route.Idempotent() && !provedNotRun:
		return false
	case provedNotRun && (r.failure.reason == reasonOverQuota || r.failure.reason == reasonNoToken || r.failure.reason == reasonKeyRemoved):
		return false
	case provedNotRun && r.failure.reason == reasonGateUnreachable && x.unreachable <= maxUnreachableGates:
		return true
	case provedNotRun && r.failure.serverFull && !x.targetTime.IsZero():
		// The call was only refused by gates; no server has seen it. If it already
		// waited in a queue until it was late, it would only wait elsewhere.
		return x.gateRefusals < maxGateRefusals && (r.failure.reason != reasonQueueTimeout || x.now().Before(x.targetTime))
	}
	limit := int(x.match.Route.Retries)
	if provedNotRun {
		limit = max(limit, notRunRetries)
	}
	if retries := x.retryCount(); retries >= limit {
		r.noRetry = retries > 0
		return false
	}
	take := x.entry.config.Pool.TakeRetry
	if provedNotRun && r.failure.reason != reasonServerRefused {
		// No server has seen the call.
		take = x.entry.config.Pool.TakeRefusedRetry
	}
	if !take(x.match.Service.Name) {
		r.noRetry = true
		x.entry.metrics.retriesDenied.Inc()
		x.recordEvent("retry-denied", r.choice.Server.ID, "retry budget of "+string(x.match.Service.Name)+" is used up")
		return false
	}
	return true
}

// withFinalFailure returns the final result of an exchange that failed. Even if the
// last attempt provably was not run, an earlier attempt may have been.
func (x *exchange) withFinalFailure(r attemptResult) attemptResult {
	if r.failure != nil {
		f := *r.failure
		f.notRun = !x.mayHaveRun
		f.noRetry = r.noRetry
		if f.reason == reasonKeyRemoved && f.notRun {
			f.status, f.hint = http.StatusUnauthorized, "the key was removed while the call was waiting; the call was not run"
		}
		if x.call.body.tooLarge.Load() {
			// The server got a part of the body and may have acted on it.
			f.reason, f.status, f.hint = reasonTooLarge, http.StatusRequestEntityTooLarge, "the request body exceeds the limit of the configuration"
		}
		r.failure = &f
	}
	return r
}

// closeAndReport closes the reply of the last attempt and reports its outcome.
func (x *exchange) closeAndReport(r attemptResult) {
	r.reply.close()
	x.reportOutcome(r)
}

// reportOutcome reports the outcome of an attempt to the pool.
func (x *exchange) reportOutcome(r attemptResult) {
	if r.attempt == nil {
		return
	}
	if r.reply != nil {
		r.reply.recordSize(x.entry.config.Bandwidth, x.match.Route.Name)
	}
	outcome := pool.Succeeded
	switch f := r.failure; {
	case f == nil && r.reply.status >= http.StatusInternalServerError:
		outcome = pool.Failed
	case f == nil:
	case f.reason == reasonCallerGone, f.reason == reasonStopping, f.reason == reasonEntryLinkFull, f.reason == reasonOverQuota, f.reason == reasonNoToken, f.reason == reasonTokenExpired, f.reason == reasonKeyRemoved, f.reason == reasonDeadline && f.refused, x.timedOutEarly(r):
		outcome = pool.Abandoned
	case f.reason == reasonGateUnreachable:
		outcome = pool.Unreachable
	case f.reason == reasonLinkFull:
		outcome = pool.LinkFull
	case f.refused && f.serverUnavailable:
		outcome = pool.Unusable
	case f.refused:
		outcome = pool.Refused
	default:
		outcome = pool.Failed
	}
	r.choice.Done(pool.Result{Outcome: outcome, InFlight: r.load.InFlight, Slots: r.load.Slots, ProbeFailing: r.load.ProbeFailing, ForecastWait: r.forecast.Wait, LinkWait: r.forecast.LinkWait, ExpectedSlotTime: r.forecast.ExpectedSlotTime, RunTime: r.serverTime, Bytes: x.transferSize(r)})
}

// assumedHeaderBytes is the assumed size of the headers of a request and its
// response between two hosts.
const assumedHeaderBytes = 600

// transferSize returns the number of bytes that the call transfers between two
// hosts.
func (x *exchange) transferSize(r attemptResult) int {
	n := assumedHeaderBytes + len(x.call.body.buffered)
	if r.reply != nil {
		n += max(int(r.reply.length), len(r.reply.buffered))
	}
	return n
}

// timedOutEarly reports whether the caller's own timeout ended the attempt too
// early to blame the server. In a call chain, every timeout is shorter than that of
// the route, and a hung server must still be ejected.
func (x *exchange) timedOutEarly(r attemptResult) bool {
	timedOut := r.failure.reason == reasonDeadline
	return timedOut && x.shortTimeout && r.elapsed < x.match.Route.Timeout/4
}

// sendAttempt sends the call to one server, through the local gate or that of
// another host.
func (x *exchange) sendAttempt(ctx context.Context, choice *pool.Choice, runsAgain bool) gateResult {
	if x.call.key.removed(x.entry.config.Routes()) {
		return gateResult{failure: keyRemovedFailure()}
	}
	runBy, f := x.tokenFor(ctx, runsAgain)
	if f != nil {
		return gateResult{failure: f}
	}
	if x.remaining() <= 0 {
		return gateResult{failure: &failure{reason: reasonDeadline, notRun: true, refused: true}}
	}
	q := gate.Call{Priority: x.priority, Target: x.targetTime, ExpectedRunTime: choice.ExpectedRunTime, MaxWait: choice.MaxWait, Notice: choice.Notice}
	if !runBy.IsZero() && q.MaxWait > 0 {
		q.MaxWait = min(q.MaxWait, runBy.Sub(x.now()))
	}
	if choice.Local {
		return x.entry.gate.handleCall(ctx, x.call, choice.Server.ID, q, runBy)
	}
	return x.sendRemote(ctx, choice, q, runBy)
}

// sendRemote sends the call to the gate of another host.
func (x *exchange) sendRemote(ctx context.Context, choice *pool.Choice, q gate.Call, runBy time.Time) gateResult {
	sending, f := x.admitSending()
	if f != nil {
		return gateResult{failure: f}
	}
	defer sending.End()
	receiving, f := x.admitReceiving(ctx, choice)
	if f != nil {
		return gateResult{failure: f}
	}
	// The wait for the link has taken time, which the gate must not count as left.
	if x.remaining() <= 0 {
		receiving.End()
		return gateResult{failure: &failure{reason: reasonDeadline, notRun: true, refused: true}}
	}
	fields := []connection.Field{
		{Name: HeaderTimeoutMS, Value: formatMilliseconds(x.remaining())},
		{Name: HeaderServer, Value: string(choice.Server.ID)},
	}
	if text := formatQueue(q, x.now()); text != "" {
		fields = append(fields, connection.Field{Name: HeaderQueue, Value: text})
	}
	if q.Notice.Limited {
		fields = append(fields, connection.Field{Name: HeaderNoticedLimit, Value: strconv.FormatFloat(q.Notice.Limit, 'f', -1, 64)})
	}
	if !runBy.IsZero() {
		fields = append(fields, connection.Field{Name: HeaderRunWithin, Value: formatMilliseconds(runBy.Sub(x.now()))})
	}
	if x.call.key != nil {
		fields = append(fields, connection.Field{Name: HeaderKey, Value: x.call.key.text()})
	}
	m := x.call.buildMessage(fields...)
	s := send(ctx, x.entry.config.Transports.gates, choice.GateAddr, m, connection.Options{})
	if s.err != nil {
		receiving.End()
		return gateResult{failure: sendFailure(ctx, s, reasonGateUnreachable, "gate-broke")}
	}
	h := s.response.Header
	result := gateResult{}
	result.load, result.forecast = parseLoad(h.Get(HeaderLoad))
	reason := h.Get(HeaderReason)
	us, _ := strconv.ParseInt(h.Get(HeaderServerUS), 10, 64) // 0 if absent
	result.serverTime = time.Duration(us) * time.Microsecond
	reply, err := x.entry.headers.readReply(s.response, m, false)
	switch {
	case reason != "":
		receiving.End()
		result.failure = gateFailure(reason, h)
		reply.close()
	case err != nil:
		receiving.End()
		result.failure = responseFailure(ctx, err)
	default:
		reply.received(x.entry.config.Bandwidth, receiving)
		for _, name := range []string{HeaderLoad, HeaderServerUS, HeaderCallID} {
			delete(reply.header, name)
		}
		result.reply = reply
	}
	return result
}

// writeResult writes the result to the caller.
func (x *exchange) writeResult(w http.ResponseWriter, r *http.Request, res attemptResult) {
	defer x.closeAndReport(res)
	x.logFailure(res)
	if res.failure != nil {
		x.entry.writeFailure(w, x.call.id, res.failure)
		return
	}
	if res.noRetry {
		res.reply.header[HeaderNoRetry] = []string{"true"}
	}
	if len(x.tried) == 1 && x.match.Route.Idempotent() {
		x.entry.metrics.latencyAdded.Update((x.entry.config.Now().Sub(x.start) - res.serverTime).Seconds())
	}
	x.entry.relay(w, r, x.call.id, res.reply)
}

func (x *exchange) recordEvent(kind string, server backend.ServerID, detail string) {
	x.entry.config.Events(Event{Kind: kind, CallID: x.call.id, Server: server, Detail: detail})
}
