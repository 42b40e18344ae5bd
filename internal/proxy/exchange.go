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
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/route"
)

const (
	// refusedRetries is the number of retries after proof that a call was not run
	// that every route gets. Such a retry repeats nothing, and without it a server
	// that has just begun to drain would fail calls of routes without retries.
	notRunRetries = 2
	// maxAsked bounds the gates that refuse one call of a route with a target. Each
	// refusal tells the wait there, so that the next choice is better.
	maxGateRefusals = 8
)

// exchange is one call at the entry with all its attempts.
type exchange struct {
	entry        *entryHandler
	call         *call
	match        route.Match
	start        time.Time
	targetTime   time.Time // until which a response is useful in full; zero when none is stated
	shortTimeout bool      // the caller's timeout is shorter than the route's
	tried        []backend.ServerID
	fullServers  []backend.ServerID // servers whose gates had no room
	allFull      bool               // all had none: the call waits wherever it can
	gateRefusals int                // gates that refused the call for lack of room
	attemptLogs  []attemptLog
	// mayHaveRun is set by every attempt without proof that it was not run.
	mayHaveRun bool

	startedAttempts int                // attempts
	running         []*attempt         // attempts without a result
	results         chan attemptResult // of attempts
}

// result is the end of an exchange. A reply comes with the choice that it
// keeps busy until it was relayed.
type attemptResult struct {
	gateResult
	*attempt
	noRetry bool
	elapsed time.Duration // by the attempt
}

func (x *exchange) now() time.Time { return x.entry.config.Now() }

// left is the time until the deadline of the call.
func (x *exchange) remaining() time.Duration { return x.call.deadline.Sub(x.now()) }

// note takes note of what an attempt means for the next ones. A server that is
// only full may be chosen once more when all others are full too.
func (x *exchange) recordAttempt(r attemptResult) {
	busy := r.failure != nil && r.failure.serverFull && !x.targetTime.IsZero()
	if busy {
		x.gateRefusals++
		if !x.allFull {
			x.tried = slices.DeleteFunc(x.tried, func(id backend.ServerID) bool { return id == r.choice.Server.ID })
			x.fullServers = append(x.fullServers, r.choice.Server.ID)
		}
		return
	}
	if r.failure == nil || !r.failure.notRun {
		x.mayHaveRun = true
	}
}

// noServer is the failure of a call for which no server can be chosen.
func (x *exchange) noServerFailure(err error) *failure {
	f := &failure{reason: reasonNoServer, notRun: true, err: err}
	var room *pool.NoRoomError
	if errors.As(err, &room) {
		f.reason, f.retryAfter = reasonNoRoom, room.Wait
	}
	return f
}

// pick chooses a server that was not tried, or any server when all were tried
// and the last one failed without refusing the call.
func (x *exchange) chooseServer(last *failure) (*pool.Choice, error) {
	p := x.entry.config.Pool
	c := pool.Call{
		Service: x.match.Service.Name, Route: x.match.Route.Name, TimeToDeadline: x.remaining(), Priority: x.match.Route.Priority,
		AtMostOnce: !x.match.Route.Idempotent(), AlreadyCounted: len(x.tried)+x.gateRefusals > 0,
		WaitForSlot: x.allFull,
	}
	if !x.targetTime.IsZero() {
		// A call that is late already is still of use until its deadline.
		c.TimeToTarget = max(x.targetTime.Sub(x.now()), time.Millisecond)
	}
	c.Tried = slices.Concat(x.tried, x.fullServers)
	choice, err := p.Choose(c)
	if errors.Is(err, pool.ErrNoServer) && len(x.fullServers) > 0 {
		// All are full: the call waits where the wait is shortest, as long as it can.
		x.fullServers, x.allFull = nil, true
		c.Tried, c.AlreadyCounted, c.WaitForSlot = x.tried, true, true
		choice, err = p.Choose(c)
	}
	if errors.Is(err, pool.ErrNoServer) && last != nil && !last.refused {
		c.Tried, c.AlreadyCounted = nil, true
		choice, err = p.Choose(c)
	}
	return choice, err
}

// mayRetry applies the rules for retries. It notes in r that retries are
// exhausted, so that callers up the chain do not multiply them.
func (x *exchange) mayRetry(ctx context.Context, r *attemptResult) bool {
	proved := r.failure != nil && r.failure.notRun
	switch {
	case ctx.Err() != nil, x.remaining() <= 0, !x.call.body.resendable():
		return false
	case r.failure != nil && r.failure.noRetry, r.reply != nil && r.reply.header[HeaderNoRetry] != nil:
		r.noRetry = true
		return false
	case !x.match.Route.Idempotent() && !proved:
		return false
	case proved && r.failure.serverFull && !x.targetTime.IsZero():
		// Only gates were asked; no server has seen the call. One that has waited in
		// vain until it is late would only wait elsewhere.
		return x.gateRefusals < maxGateRefusals && (r.failure.reason != reasonQueueTimeout || x.now().Before(x.targetTime))
	}
	limit := int(x.match.Route.Retries)
	if proved {
		limit = max(limit, notRunRetries)
	}
	if retries := x.retryCount(); retries >= limit {
		r.noRetry = retries > 0
		return false
	}
	take := x.entry.config.Pool.Retry
	if proved && r.failure.reason != reasonServerRefused {
		// No server has seen the call.
		take = x.entry.config.Pool.RetryRefused
	}
	if !take(x.match.Service.Name) {
		r.noRetry = true
		x.entry.metrics.retriesDenied.Inc()
		x.recordEvent("retry-denied", r.choice.Server.ID, "retry budget of "+string(x.match.Service.Name)+" is used up")
		return false
	}
	return true
}

// end completes the failure of an exchange. Proof that the last attempt was
// not run is no proof for the call when an earlier attempt may have run.
func (x *exchange) finalize(r attemptResult) attemptResult {
	if r.failure != nil {
		f := *r.failure
		f.notRun = !x.mayHaveRun
		f.noRetry = r.noRetry
		r.failure = &f
	}
	return r
}

// finish ends the last attempt.
func (x *exchange) finish(r attemptResult) {
	r.reply.close()
	x.reportOutcome(r)
}

// report reports the end of an attempt to the pool.
func (x *exchange) reportOutcome(r attemptResult) {
	if r.attempt == nil {
		return
	}
	outcome := pool.Succeeded
	switch f := r.failure; {
	case f == nil && r.reply.status >= http.StatusInternalServerError:
		outcome = pool.Failed
	case f == nil:
	case f.reason == reasonCallerGone, f.reason == reasonDeadline && f.refused, x.timedOutEarly(r):
		outcome = pool.Abandoned
	case f.refused && f.serverUnavailable:
		outcome = pool.Unusable
	case f.refused:
		outcome = pool.Refused
	default:
		outcome = pool.Failed
	}
	r.choice.Done(pool.Result{Outcome: outcome, InFlight: r.load.InFlight, Slots: r.load.Slots, ProbeFailing: r.load.ProbeFailing, ForecastWait: r.forecast.Wait, MeanSlotTime: r.forecast.MeanSlotTime, RunTime: r.serverTime, Bytes: x.transferSize(r)})
}

// headerBytes is the assumed size of the headers of a request and its response
// between two hosts.
const assumedHeaderBytes = 600

// size returns the bytes of the call between two hosts.
func (x *exchange) transferSize(r attemptResult) int {
	n := assumedHeaderBytes + len(x.call.body.buffered)
	if r.reply != nil {
		n += max(int(r.reply.length), len(r.reply.head))
	}
	return n
}

// cutShort reports whether the caller's own timeout ended the attempt so early
// that it says nothing about the server. Down a call chain every timeout is
// shorter than that of the route, and a hung server must still be ejected.
func (x *exchange) timedOutEarly(r attemptResult) bool {
	timedOut := r.failure.reason == reasonDeadline
	return timedOut && x.shortTimeout && r.elapsed < x.match.Route.Timeout/4
}

// send sends the call to one server.
func (x *exchange) sendAttempt(ctx context.Context, choice *pool.Choice) gateResult {
	if x.remaining() <= 0 {
		return gateResult{failure: &failure{reason: reasonDeadline, notRun: true, refused: true}}
	}
	q := gate.Call{Priority: x.match.Route.Priority, Target: x.targetTime, ExpectedRun: choice.ExpectedRun, MaxWait: choice.MaxWait}
	if choice.Local {
		return x.entry.gate.handleCall(ctx, x.call, choice.Server.ID, q)
	}
	return x.sendRemote(ctx, choice, q)
}

// remote sends the call to the gate of another host.
func (x *exchange) sendRemote(ctx context.Context, choice *pool.Choice, q gate.Call) gateResult {
	fields := []connection.Field{
		{Name: HeaderTimeoutMS, Value: formatMilliseconds(x.remaining())},
		{Name: HeaderServer, Value: string(choice.Server.ID)},
	}
	if text := formatQueue(q, x.now()); text != "" {
		fields = append(fields, connection.Field{Name: HeaderQueue, Value: text})
	}
	s := send(ctx, x.entry.config.Transports.gates, choice.GateAddr, x.call.buildMessage(fields...), connection.Options{})
	if s.err != nil {
		return gateResult{failure: sendFailure(ctx, s, "gate-unreachable", "gate-broke")}
	}
	h := s.response.Header
	a := gateResult{}
	a.load, a.forecast = parseLoad(h.Get(HeaderLoad))
	reason := h.Get(HeaderReason)
	us, _ := strconv.ParseInt(h.Get(HeaderServerUS), 10, 64) // 0 when absent
	a.serverTime = time.Duration(us) * time.Microsecond
	reply, err := readReply(s.response, x.call.method, false)
	switch {
	case reason != "":
		a.failure = gateFailure(reason, h)
		reply.close()
	case err != nil:
		a.failure = responseFailure(ctx, err)
	default:
		for _, name := range []string{HeaderLoad, HeaderServerUS, HeaderCallID} {
			delete(reply.header, name)
		}
		a.reply = reply
	}
	return a
}

// answer writes the result to the caller.
func (x *exchange) writeResult(w http.ResponseWriter, r *http.Request, res attemptResult) {
	defer x.finish(res)
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
