package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/pool"
)

const (
	// forwardTimeout bounds a passed call whose caller gave no timeout. The
	// timeout of the route is known only to the daemon that takes the call.
	forwardTimeout = 30 * time.Second
	// forwardTries bounds the daemons that one call asks for a version.
	forwardTries = 8
)

// noVersion is the refusal of a call without any version.
func noVersion() *failure {
	return &failure{
		reason: reasonNoVersion, notRun: true,
		hint: "no configuration is in effect yet on the daemons that were asked; send the call again",
	}
}

// forwarding is a call that is passed to the entry of another daemon, because
// this one has applied no version.
type forwarding struct {
	entry *entry
	call  *call
	// mayBePaid is set for a call with an Idempotency-Key. Only the other daemon
	// knows the route, and it refuses paid calls without a key.
	mayBePaid bool
	tried     []host.ID
}

// forward passes a call of a caller to another daemon and relays its response.
func (e *entry) forward(w http.ResponseWriter, r *http.Request, id string) {
	start := e.config.Now()
	timeout, _, f := e.timeoutOf(r, forwardTimeout)
	if f != nil {
		e.fail(w, id, f)
		return
	}
	c := newCall(r, id, start.Add(timeout))
	keys := r.Header.Values(headerIdempotencyKey)
	if len(keys) > 0 {
		// The caller may have put the key on its list of hop-by-hop headers.
		c.header["idempotency-key"] = keys
	}
	c.header[HeaderForwarded] = []string{"true"}
	if c.body, f = e.readBody(w, r, timeout); f != nil {
		e.fail(w, id, f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	e.meters.forwarded.Inc()
	x := &forwarding{entry: e, call: c, mayBePaid: r.Header.Get(headerIdempotencyKey) != ""}
	reply, f := x.run(ctx)
	if f != nil {
		e.fail(w, id, f)
		return
	}
	e.relay(w, r, id, reply)
}

// run passes the call to one daemon after another, until one has a version and
// answers or the call may not be sent again.
func (x *forwarding) run(ctx context.Context) (*reply, *failure) {
	p := x.entry.config.Pool
	last, mayHaveRun, applied := noVersion(), false, false
	for range forwardTries {
		d, err := p.PickDaemon(x.tried, applied)
		if err != nil {
			break
		}
		x.tried = append(x.tried, d.ID)
		attempt, stop := ctx, func() {}
		if !x.mayBePaid && x.call.body.resendable() {
			attempt, stop = attemptContext(ctx, x.call.deadline.Sub(x.entry.config.Now()), p.RetryDaemon)
		}
		reply, f := x.attempt(attempt, d)
		stop()
		if attemptEnded(attempt) && reply != nil && reply.rest != nil {
			// The rest of the response can no longer be read.
			reply.close()
			f = &failure{reason: reasonAttempt}
		}
		if f == nil {
			p.ReportDaemon(d.ID, true)
			return reply, nil
		}
		if ended(ctx) == "" {
			p.ReportDaemon(d.ID, false)
		}
		applied = true
		if f.reason != reasonNoVersion {
			last = f
		}
		mayHaveRun = mayHaveRun || !f.notRun
		if ended(ctx) != "" || !x.call.body.resendable() || !f.notRun && (x.mayBePaid || !attemptEnded(attempt) && !p.RetryDaemon()) {
			break
		}
	}
	f := *last
	f.notRun = !mayHaveRun
	return nil, &f
}

// attempt passes the call to one daemon.
func (x *forwarding) attempt(ctx context.Context, d pool.Daemon) (*reply, *failure) {
	t, addr := x.entry.config.Transports, d.Gate.String()
	s := send(ctx, t.gates, func(ctx context.Context) *http.Request {
		return x.call.request(ctx, t.scheme, addr, x.call.deadline.Sub(x.entry.config.Now()))
	})
	if s.err != nil {
		return nil, sendFailure(ctx, s, "daemon-unreachable", "daemon-broke")
	}
	h := s.response.Header
	if got := h.Get(HeaderCallID); got != x.call.id {
		_ = s.conn.Close()
		_ = s.response.Body.Close()
		x.entry.config.Events(Event{Kind: reasonCallID, CallID: x.call.id, Detail: "daemon " + string(d.ID) + " answered call " + strconv.Quote(got)})
		return nil, &failure{reason: reasonCallID}
	}
	reason := h.Get(HeaderReason)
	reply, err := readReply(s.response, x.call.method)
	switch {
	case reason == reasonNoVersion:
		reply.close()
		return nil, noVersion()
	case err != nil:
		return nil, cut(ctx, err)
	}
	return reply, nil
}
