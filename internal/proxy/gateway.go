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
)

// gateway runs calls on the backend servers of this host.
type gateway struct {
	config Config
	meters *meters
	entry  *entry // for calls passed on by other daemons; nil at an entry
}

// answer is the outcome of one attempt: a reply or a failure.
type answer struct {
	reply   *reply
	failure *failure
	load    gate.Load
	expect  gate.Forecast // for the next call
	server  time.Duration // time that the backend server took
}

// ServeHTTP answers an entry of another daemon.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.meters.gateInFlight.Inc()
	defer g.meters.gateInFlight.Dec()
	id := r.Header.Get(HeaderCallID)
	if r.Header.Get(HeaderForwarded) == "true" && id != "" {
		g.entry.serve(w, r, id, true)
		return
	}
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeoutMS), 10, 32)
	server := backend.ServerID(r.Header.Get(HeaderServer))
	if err != nil || ms <= 0 || id == "" || server == "" {
		g.refuse(w, id, &failure{
			reason: "bad-gate-request", status: http.StatusBadRequest, notRun: true,
			hint: "the gate needs " + HeaderCallID + ", " + HeaderServer + " and " + HeaderTimeoutMS,
		})
		return
	}
	c := newCall(r, id, g.config.Now().Add(time.Duration(ms)*time.Millisecond))
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.body, err = readBody(r); err != nil {
		g.refuse(w, id, &failure{reason: "request-cut", notRun: true, err: err})
		return
	}
	a := g.call(ctx, c, server, parseQueue(r.Header.Get(HeaderQueue), g.config.Now()))
	w.Header()[HeaderLoad] = []string{formatLoad(a.load, a.expect)}
	if a.failure != nil {
		g.refuse(w, id, a.failure)
		return
	}
	a.reply.header[HeaderCallID] = []string{id}
	a.reply.header[HeaderServerUS] = []string{strconv.FormatInt(a.server.Microseconds(), 10)}
	a.reply.relay(w)
}

func (g *gateway) refuse(w http.ResponseWriter, id string, f *failure) {
	w.Header()[HeaderReason] = []string{f.reason}
	f.write(w, id)
}

// call admits a call, sends it to the backend server and buffers the response.
// The slot is held until the response was read.
func (g *gateway) call(ctx context.Context, c *call, id backend.ServerID, q gate.Call) answer {
	pass, err := g.config.Gate.Admit(ctx, id, q)
	if err != nil {
		f := refusal(err)
		g.meters.refused.inc(f.reason)
		a := answer{failure: f, load: g.config.Gate.Load(id), expect: g.config.Gate.Forecast(id)}
		g.log("Refused a call.", c, id, q, a)
		return a
	}
	a := g.run(ctx, c, pass)
	if a.failure != nil && a.failure.refused {
		g.meters.refused.inc(a.failure.reason)
	}
	a.load, a.expect = pass.Load(), g.config.Gate.Forecast(id)
	if a.failure != nil {
		g.log("A call failed at its backend server.", c, id, q, a)
	}
	switch {
	case a.reply != nil && a.reply.rest != nil:
		a.reply.rest = &leavingBody{a.reply.rest, pass}
	case a.reply != nil:
		pass.Release()
	default:
		pass.ReleaseAborted()
	}
	return a
}

// leavingBody gives the slot back when the body is closed.
type leavingBody struct {
	io.ReadCloser
	pass *gate.Permit
}

func (b *leavingBody) Close() error {
	b.pass.Release()
	return b.ReadCloser.Close()
}

func refusal(err error) *failure {
	f := &failure{notRun: true, refused: true, err: err}
	switch {
	case errors.Is(err, gate.ErrDeadline), errors.Is(err, gate.ErrCancelled):
		f.reason = reasonDeadline
	case errors.Is(err, gate.ErrFull):
		f.reason, f.busy = reasonFull, true
	case errors.Is(err, gate.ErrQueueTimeout):
		f.reason, f.busy = reasonQueueWait, true
	case errors.Is(err, gate.ErrDraining):
		f.reason, f.unusable = reasonDraining, true
	case errors.Is(err, gate.ErrSuspended):
		f.reason, f.unusable = reasonSuspended, true
	default:
		f.reason, f.unusable = reasonNotReady, true
	}
	return f
}

// run sends a call to the backend server. The deadline is checked once more,
// because the process may have been paused.
func (g *gateway) run(ctx context.Context, c *call, pass *gate.Permit) answer {
	start := g.config.Now()
	remaining := c.deadline.Sub(start)
	if remaining <= 0 || ctx.Err() != nil {
		return answer{failure: &failure{reason: reasonDeadline, notRun: true, refused: true}}
	}
	server := pass.Server()
	m := c.message(g.config.Dialect.fields(string(server.ID), remaining)...)
	s := send(ctx, g.config.Transports.backends, server.Addr, m, connection.Options{})
	if s.err != nil {
		return answer{failure: sendFailure(ctx, s, reasonDial, "server-broke")}
	}
	shed := g.config.Dialect.sheds(s.response)
	reply, err := readReply(s.response, c.method, g.config.Dialect.Unframed)
	if shed {
		reply.close()
		return answer{failure: &failure{reason: reasonServerRefused, notRun: true, refused: true}}
	}
	if err != nil {
		return answer{failure: cut(ctx, err)}
	}
	// Any other response shows that the server ran the call, so that the mark
	// can only come from a call deeper in the chain.
	for _, name := range []string{HeaderNotRun, HeaderLoad, HeaderReason, HeaderServerUS, HeaderReplayed, HeaderCallID} {
		delete(reply.header, name)
	}
	return answer{reply: reply, server: g.config.Now().Sub(start)}
}

// sendFailure classifies an error of send. unsent names the reason when nothing
// was sent and broke when something was.
func sendFailure(ctx context.Context, s sent, unsent, broke string) *failure {
	f := &failure{reason: broke, notRun: s.notRun, err: s.err}
	if s.notRun {
		f.reason = unsent
	}
	if errors.Is(s.err, connection.ErrStale) {
		f.reason = reasonCallID
	}
	if r := ended(ctx); r != "" {
		f.reason = r
	}
	return f
}

// cut is the failure of a response that broke off.
func cut(ctx context.Context, err error) *failure {
	f := &failure{reason: reasonCut, err: err}
	if r := ended(ctx); r != "" {
		f.reason = r
	} else if errors.Is(err, errNoLength) || errors.Is(err, errUpgrade) {
		f.reason, f.hint = "bad-response", err.Error()
	}
	return f
}

// ended returns the reason for the end of a context, or "".
func ended(ctx context.Context) string {
	switch err := ctx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		return reasonDeadline
	case err != nil:
		return reasonCallerGone
	default:
		return ""
	}
}
