package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/quota"
)

// takeToken takes a token for a call of an organisation with a quota. The call must
// begin to run before the returned time, unless that is zero.
func (e *entryHandler) takeToken(ctx context.Context, customer *document.Organisation) (time.Time, *failure) {
	if e.config.Quotas == nil || customer == nil || !customer.Limited() {
		return time.Time{}, nil
	}
	d := e.config.Quotas.Take(ctx, customer.Name)
	if d.Granted {
		return d.RunBy, nil
	}
	f := tokenFailure(d)
	if d.OverQuota {
		f.status, f.hint = http.StatusTooManyRequests, "the quota of the organisation is used up; the call was not run"
	}
	return time.Time{}, f
}

func tokenFailure(d quota.Decision) *failure {
	f := &failure{reason: reasonNoToken, notRun: true, refused: true, retryAfter: d.RetryAfter}
	if d.OverQuota {
		f.reason = reasonOverQuota
	}
	return f
}

// tokenFor returns until when the token of an attempt is valid. An attempt that can make
// the call run again needs a token of its own, and so does one whose token is about to
// expire. Its failure has no status of its own, because an earlier attempt may have run.
func (x *exchange) tokenFor(ctx context.Context, runsAgain bool) (time.Time, *failure) {
	if x.runBy.IsZero() || !runsAgain && x.runBy.Sub(x.now()) >= time.Millisecond {
		return x.runBy, nil
	}
	d := x.entry.config.Quotas.Take(ctx, x.organisation.Name)
	if !d.Granted {
		return time.Time{}, tokenFailure(d)
	}
	return d.RunBy, nil
}

// parseRunWithin returns until when a call of another host must begin to run, or zero if
// that is not limited. A value that is not valid makes the call too late.
func parseRunWithin(h http.Header, now time.Time) time.Time {
	text := h.Get(HeaderRunWithin)
	if text == "" {
		return time.Time{}
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return now
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}
