package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/pool"
)

const (
	// forwardTimeout bounds a forwarded call whose caller set no timeout. Only the
	// daemon that handles the call knows the timeout of the route.
	forwardTimeout = 30 * time.Second
	// maxForwardAttempts bounds the number of daemons to which one call is
	// forwarded.
	maxForwardAttempts = 8
)

// noVersionFailure returns the refusal of a call when no configuration version is
// applied.
func noVersionFailure() *failure {
	return &failure{
		reason: reasonNoVersion, notRun: true,
		hint: "no configuration is in effect yet on the daemons that were asked; send the call again",
	}
}

// forwardedCall is a call that is forwarded to the entry of another daemon because
// this daemon has not applied a configuration version.
type forwardedCall struct {
	entry *entryHandler
	call  *call
	tried []host.ID
}

// forward forwards a call to another daemon and relays its response.
func (e *entryHandler) forward(w http.ResponseWriter, r *http.Request, id string) {
	start := e.config.Now()
	timeout, _, f := e.callTimeout(r, forwardTimeout)
	if f != nil {
		e.writeFailure(w, id, f)
		return
	}
	c := e.headers.newCall(r, id, start.Add(timeout))
	if f := e.refuseBeforeShutdown(c); f != nil {
		e.writeFailure(w, id, f)
		return
	}
	// The other daemon checks the key of the call. The caller may have listed the
	// header as a hop-by-hop header, and may not name an organisation itself.
	delete(c.header, e.config.Dialect.organisationHeader())
	if credentials := r.Header.Values(headerAuthorization); len(credentials) > 0 {
		c.header[headerAuthorization] = credentials
	}
	c.header[HeaderForwarded] = []string{"true"}
	if c.body, f = e.readBody(w, r, timeout); f != nil {
		e.writeFailure(w, id, f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	e.metrics.forwarded.Inc()
	x := &forwardedCall{entry: e, call: c}
	reply, f := x.run(ctx)
	if f != nil {
		e.writeFailure(w, id, f)
		return
	}
	e.relay(w, r, id, reply)
}

// run forwards the call to one daemon after another until one that has a version
// responds. It retries only calls that provably were not run, because only the
// other daemon knows the route and whether the call may run twice.
func (x *forwardedCall) run(ctx context.Context) (*reply, *failure) {
	p := x.entry.config.Pool
	last, mayHaveRun, applied := noVersionFailure(), false, false
	for range maxForwardAttempts {
		d, err := p.ChooseDaemon(x.tried, applied)
		if err != nil {
			break
		}
		x.tried = append(x.tried, d.ID)
		reply, f := x.sendTo(ctx, d)
		if f == nil {
			p.ReportDaemon(d.ID, true)
			return reply, nil
		}
		if contextReason(ctx) == "" {
			p.ReportDaemon(d.ID, false)
		}
		applied = true
		if f.reason != reasonNoVersion {
			last = f
		}
		mayHaveRun = mayHaveRun || !f.notRun
		if contextReason(ctx) != "" || !x.call.body.resendable() || !f.notRun {
			break
		}
	}
	f := *last
	f.notRun = !mayHaveRun
	return nil, &f
}

// sendTo forwards the call to one daemon.
func (x *forwardedCall) sendTo(ctx context.Context, d pool.Daemon) (*reply, *failure) {
	m := x.call.buildMessage(connection.Field{Name: HeaderTimeoutMS, Value: formatMilliseconds(x.call.deadline.Sub(x.entry.config.Now()))})
	s := send(ctx, x.entry.config.Transports.gates, d.GateAddr, m, connection.Options{})
	if s.err != nil {
		return nil, sendFailure(ctx, s, "daemon-unreachable", "daemon-broke")
	}
	h := s.response.Header
	reason := h.Get(HeaderReason)
	reply, err := x.entry.headers.readReply(s.response, m, false)
	switch {
	case reason == reasonNoVersion:
		reply.close()
		return nil, noVersionFailure()
	case reason == reasonMemory:
		reply.close()
		return nil, gateFailure(reason, h)
	case err != nil:
		return nil, responseFailure(ctx, err)
	}
	return reply, nil
}
