package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/header"
)

// gateHandler runs calls on the backend servers of this host.
type gateHandler struct {
	config  Config
	metrics *callMetrics
	headers *headerTable
	entry   *entryHandler // for calls forwarded by other daemons; nil at an entry
}

// gateResult is the result of one attempt: a reply or a failure.
type gateResult struct {
	reply      *reply
	failure    *failure
	load       gate.Load
	forecast   gate.Forecast // for the next call
	serverTime time.Duration // time that the backend server took
}

// ServeHTTP handles a request from another daemon.
func (g *gateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.gateInFlight.Inc()
	defer g.metrics.gateInFlight.Dec()
	id := r.Header.Get(HeaderCallID)
	if r.Header.Get(HeaderForwarded) == "true" && id != "" {
		g.entry.serve(w, r, id, true)
		return
	}
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeoutMS), 10, 32)
	server := backend.ServerID(r.Header.Get(HeaderServer))
	if err != nil || ms <= 0 || id == "" || server == "" {
		g.writeRefusal(w, id, &failure{
			reason: "bad-gate-request", status: http.StatusBadRequest, notRun: true,
			hint: "a request to the gate must have the headers " + HeaderCallID + ", " + HeaderServer + " and " + HeaderTimeoutMS,
		})
		return
	}
	c := g.headers.newCall(r, id, g.config.Now().Add(time.Duration(ms)*time.Millisecond))
	c.route, c.key = g.routeName(r), parseUsedKey(r.Header.Get(HeaderKey))
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.body, err = readBody(r); err != nil {
		g.writeRefusal(w, id, &failure{reason: "request-cut", notRun: true, err: err})
		return
	}
	q := parseQueue(r.Header.Get(HeaderQueue), g.config.Now())
	q.Notice.Limit, q.Notice.Limited = parseLimit(r.Header.Get(HeaderNoticedLimit))
	result := g.handleRemoteCall(ctx, c, server, q, parseRunWithin(r.Header, g.config.Now()))
	w.Header()[HeaderLoad] = []string{formatLoad(result.load, result.forecast)}
	if result.failure != nil {
		g.writeRefusal(w, id, result.failure)
		return
	}
	result.reply.header[HeaderCallID] = []string{id}
	result.reply.header[HeaderServerUS] = []string{strconv.FormatInt(result.serverTime.Microseconds(), 10)}
	result.reply.relay(w)
}

func (g *gateHandler) writeRefusal(w http.ResponseWriter, id string, f *failure) {
	w.Header()[HeaderReason] = []string{f.reason}
	f.write(w, id)
}

// handleCall admits a call, sends it to the backend server and buffers the
// response. The slot is held until the response was read. The call must begin to run
// before runBy, unless that is zero.
func (g *gateHandler) handleCall(ctx context.Context, c *call, id backend.ServerID, q gate.Call, runBy time.Time) gateResult {
	permit, err := g.config.Gate.Admit(ctx, id, q)
	if err != nil {
		f := admissionFailure(err)
		g.metrics.refused.inc(f.reason)
		result := gateResult{failure: f, load: g.config.Gate.Load(id), forecast: g.config.Gate.Forecast(id)}
		g.logFailure("Refused a call.", c, id, q, result)
		return result
	}
	tracked, ok := g.beginTracked(c, permit)
	if !ok {
		permit.ReleaseAborted()
		g.metrics.refused.inc(reasonVersion)
		return gateResult{failure: &failure{reason: reasonVersion, notRun: true, refused: true, serverUnavailable: true}, load: g.config.Gate.Load(id), forecast: g.config.Gate.Forecast(id)}
	}
	start := g.config.Now()
	result := g.sendToServer(ctx, c, permit, runBy)
	g.observeRun(ctx, c, permit, result, g.config.Now().Sub(start))
	if result.failure != nil && result.failure.refused {
		g.metrics.refused.inc(result.failure.reason)
	}
	result.load, result.forecast = permit.Load(), g.config.Gate.Forecast(id)
	if result.failure != nil {
		g.logFailure("A call failed at its backend server.", c, id, q, result)
	}
	switch {
	case result.reply != nil && result.reply.rest != nil:
		result.reply.rest = &slotReleasingBody{
			ReadCloser: result.reply.rest, permit: permit, end: func() { g.endTracked(tracked, result) },
			broken: func(err error) { g.reportBrokenResponse(ctx, c, id, q, result, err) },
		}
	case result.reply != nil:
		permit.Release()
		g.endTracked(tracked, result)
	default:
		permit.ReleaseAborted()
		g.endTracked(tracked, result)
	}
	return result
}

// slotReleasingBody releases the slot when the body is closed.
type slotReleasingBody struct {
	io.ReadCloser
	permit *gate.Permit
	end    func()
	broken func(error) // called if reading fails
}

// Read implements io.Reader.
func (b *slotReleasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && b.broken != nil {
		b.broken(err)
		b.broken = nil
	}
	return n, err
}

func (b *slotReleasingBody) Close() error {
	b.permit.Release()
	b.end()
	return b.ReadCloser.Close()
}

func admissionFailure(err error) *failure {
	f := &failure{notRun: true, refused: true, err: err}
	switch {
	case errors.Is(err, gate.ErrDeadline), errors.Is(err, gate.ErrCanceled):
		f.reason = reasonDeadline
	case errors.Is(err, gate.ErrFull):
		f.reason, f.serverFull = reasonServerFull, true
	case errors.Is(err, gate.ErrLimited):
		f.reason, f.serverFull = reasonServerLimited, true
	case errors.Is(err, gate.ErrQueueTimeout):
		f.reason, f.serverFull = reasonQueueTimeout, true
	case errors.Is(err, gate.ErrDraining):
		f.reason, f.serverUnavailable = reasonDraining, true
	case errors.Is(err, gate.ErrSuspended):
		f.reason, f.serverUnavailable = reasonSuspended, true
	default:
		f.reason, f.serverUnavailable = reasonNotReady, true
	}
	return f
}

// reportBrokenResponse counts and logs a response that breaks off while it is passed on:
// its status has been sent, so that no failure can be.
func (g *gateHandler) reportBrokenResponse(ctx context.Context, c *call, id backend.ServerID, q gate.Call, result gateResult, err error) {
	result.failure = responseFailure(ctx, err)
	g.metrics.broken.inc(result.failure.reason)
	if result.failure.reason != reasonCallerGone {
		g.logFailure("A response broke off while it was passed on.", c, id, q, result)
	}
}

// sendToServer sends a call to the backend server. It checks the deadline again,
// because the process may have been paused.
func (g *gateHandler) sendToServer(ctx context.Context, c *call, permit *gate.Permit, runBy time.Time) gateResult {
	start := g.config.Now()
	remaining := c.deadline.Sub(start)
	if remaining <= 0 || ctx.Err() != nil {
		return gateResult{failure: &failure{reason: reasonDeadline, notRun: true, refused: true}}
	}
	if !runBy.IsZero() && !start.Before(runBy) {
		return gateResult{failure: &failure{reason: reasonTokenExpired, notRun: true, refused: true}}
	}
	if c.key.removed(g.config.Routes()) {
		return gateResult{failure: keyRemovedFailure()}
	}
	server := permit.Server()
	m := c.buildMessage(g.config.Dialect.serverFields(string(server.ID), remaining)...)
	g.metrics.sentToServers.Inc()
	s := send(ctx, g.config.Transports.backends, server.Addr, m, connection.Options{})
	if s.err != nil {
		return gateResult{failure: sendFailure(ctx, s, reasonServerUnreachable, "server-broke")}
	}
	g.observeNotice(permit, s.response)
	notRun := g.config.Dialect.reportsNotRun(s.response)
	reply, err := g.headers.readReply(s.response, m, g.config.Dialect.CloseDelimited)
	if notRun {
		reply.close()
		// With the built-in headers, a refusal without an id on a reused connection can be
		// a second one of the call before, while the server runs this call.
		proved := g.config.Dialect.identifies(s.response) || !connection.Reused(s.response)
		return gateResult{failure: &failure{reason: reasonServerRefused, notRun: proved, refused: true}}
	}
	if err != nil {
		return gateResult{failure: responseFailure(ctx, err)}
	}
	// Any other response shows that the server ran the call. A not-run header can
	// then only come from a call further down the chain.
	for _, name := range g.headers.response.removed {
		delete(reply.header, name)
	}
	delete(reply.header, HeaderCallID)
	return gateResult{reply: reply, serverTime: g.config.Now().Sub(start)}
}

// sendFailure classifies an error of send. notSentReason applies if nothing was
// sent, sentReason if something was.
func sendFailure(ctx context.Context, s sendResult, notSentReason, sentReason string) *failure {
	f := &failure{reason: sentReason, notRun: s.notRun, err: s.err}
	if s.notRun {
		f.reason = notSentReason
	}
	switch {
	case errors.Is(s.err, connection.ErrResponseMismatch):
		f.reason = reasonCallIDMismatch
	case errors.Is(s.err, header.ErrMalformed):
		f.reason = reasonBadResponse
	}
	if r := contextReason(ctx); r != "" {
		f.reason = r
	}
	return f
}

// responseFailure returns the failure of a response that broke off or cannot be
// relayed.
func responseFailure(ctx context.Context, err error) *failure {
	f := &failure{reason: reasonResponseCut, err: err}
	if r := contextReason(ctx); r != "" {
		f.reason = r
	} else if errors.Is(err, errNoLength) || errors.Is(err, errUpgrade) || errors.Is(err, header.ErrMalformed) {
		f.reason, f.hint = reasonBadResponse, err.Error()
	}
	return f
}

// contextReason returns the reason why a context ended, or "" if it has not ended.
func contextReason(ctx context.Context) string {
	switch err := ctx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		return reasonDeadline
	case errors.Is(context.Cause(ctx), connection.ErrCanceled):
		return reasonStopping
	case err != nil:
		return reasonCallerGone
	default:
		return ""
	}
}
