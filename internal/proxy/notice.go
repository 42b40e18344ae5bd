package proxy

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/gate"
)

// maxLimit is the highest limit that a backend server can name, in calls per
// second. It is far above what one server can run.
const maxLimit = 1e6

// decimal matches a number without sign and exponent.
var decimal = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// unreadableLimitError reports a limit that is not a decimal number of at most
// maxLimit. It changes nothing.
type unreadableLimitError struct{ value string }

// Error returns the start of the value.
func (e *unreadableLimitError) Error() string {
	const maxShown = 40 // bytes
	return fmt.Sprintf("limit %.*q is not a decimal number of at most %g", maxShown, e.value, float64(maxLimit))
}

// limitHeader returns the name of the header in which backend servers name their
// limit.
func (d Dialect) limitHeader() string {
	if d.Limit == "" {
		return HeaderLimit
	}
	return d.Limit
}

// leavingHeader returns the name of the header in which backend servers state that
// they leave.
func (d Dialect) leavingHeader() string {
	if d.Leaving == "" {
		return HeaderLeaving
	}
	return d.Leaving
}

// notice returns what a backend server states about itself in the header of a
// response. The error is an *unreadableLimitError; the rest of the notice is then
// valid.
func (d Dialect) notice(h http.Header) (gate.Notice, error) {
	n := gate.Notice{Leaving: h.Get(d.leavingHeader()) == "1"}
	values := h.Values(d.limitHeader())
	if len(values) == 0 {
		return n, nil
	}
	n.Limit, n.Limited = parseLimit(values[0])
	if len(values) > 1 || !n.Limited {
		return gate.Notice{Leaving: n.Leaving}, &unreadableLimitError{values[0]}
	}
	return n, nil
}

// parseLimit parses a limit in calls per second. It reports whether the text is one.
func parseLimit(text string) (float64, bool) {
	limit, err := strconv.ParseFloat(text, 64)
	if !decimal.MatchString(text) || err != nil || limit > maxLimit {
		return 0, false
	}
	return limit, true
}

// observeNotice records what a backend server states about itself in a response to
// the call of a permit.
func (g *gateHandler) observeNotice(permit *gate.Permit, r *http.Response) {
	if r.StatusCode == http.StatusMisdirectedRequest {
		return // from another server, which has taken over the address
	}
	server := permit.Server().ID
	n, err := g.config.Dialect.notice(r.Header)
	if n.Leaving && permit.ObserveLeaving() {
		g.config.Log.Info("A backend server of this host leaves and gets no more calls.", zap.String("server", string(server)))
	}
	if err != nil {
		if permit.ObserveUnreadable() {
			g.config.Log.Warn("Ignored the limit of a backend server.", zap.String("server", string(server)), zap.Error(err))
		}
		return
	}
	change, before := permit.Observe(n)
	switch change {
	case gate.LimitSet:
		g.config.Log.Info("A backend server limits its calls.", zap.String("server", string(server)), zap.Float64("limit-per-second", n.Limit), zap.Float64("previous", before))
	case gate.LimitEnded:
		g.config.Log.Info("A backend server no longer limits its calls.", zap.String("server", string(server)), zap.Float64("previous", before))
	case gate.Unchanged:
	}
}

// observeNotice records what the server of an attempt stated about itself in the
// response that is passed on to the caller.
func (x *exchange) observeNotice(r attemptResult) {
	if r.reply == nil || r.reply.status == http.StatusMisdirectedRequest {
		return
	}
	n, err := x.entry.config.Dialect.notice(r.reply.header)
	if err != nil {
		n.Limit, n.Limited = r.choice.Notice.Limit, r.choice.Notice.Limited // the gate logs the value
	}
	if r.choice.Observe(n) {
		x.entry.config.Log.Info("A backend server leaves and gets no more calls from this host.", zap.String("server", string(r.choice.Server.ID)), zap.String("call", x.call.id))
	}
}
