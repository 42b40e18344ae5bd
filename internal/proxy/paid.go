package proxy

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/claim"
)

const (
	// settleTimeout bounds the wait for the table after the action.
	claimUpdateTimeout = 500 * time.Millisecond
	// keyLimit is the longest Idempotency-Key in bytes; it is part of a row key.
	maxKeyBytes = 255
)

// servePaid runs a paid call at most once. The caller going away stops neither
// the claim, which would then block the key, nor the call, whose response is
// recorded for the repeated call.
func (x *exchange) servePaid(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	keys := r.Header.Values(headerIdempotencyKey)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		x.entry.writeFailure(w, x.call.id, &failure{
			reason: "idempotency-key-missing", status: http.StatusBadRequest, notRun: true,
			hint: "this call is paid: send one " + headerIdempotencyKey + " header of 1 to 255 bytes, and the same one when the call is repeated",
		})
		return
	}
	if x.call.body.rest != nil {
		x.entry.writeFailure(w, x.call.id, &failure{
			reason: "request-too-large", status: http.StatusRequestEntityTooLarge, notRun: true,
			hint: "the body of a paid call may have 64 KiB",
		})
		return
	}
	// The caller may have put the key on its list of hop-by-hop headers.
	x.call.header[headerIdempotencyKey] = keys
	ctx = context.WithoutCancel(ctx)
	runCtx, cancel := context.WithDeadline(ctx, x.call.deadline)
	defer cancel()
	held, f, recorded := x.takeClaim(runCtx, keys[0])
	switch {
	case f != nil:
		x.entry.writeFailure(w, x.call.id, f)
	case recorded != nil:
		x.replay(w, *recorded)
	default:
		x.writeResult(w, r, x.runPaid(runCtx, held))
	}
}

// claim takes the claim of the call. It returns one of its results.
func (x *exchange) takeClaim(ctx context.Context, key string) (*claim.Claim, *failure, *claim.Response) {
	unconfirmed := func(err error) *failure {
		return &failure{reason: "claim-unconfirmed", notRun: true, hint: "the call was not run, because its claim could not be confirmed; send it again with the same " + headerIdempotencyKey, err: err}
	}
	if x.entry.config.Claims == nil {
		return nil, unconfirmed(errors.New("no claims")), nil
	}
	d, err := x.entry.config.Claims.Take(ctx, claim.Key{Route: x.match.Route.Name, Value: key}, x.fingerprint())
	if err != nil {
		return nil, unconfirmed(err), nil
	}
	switch d := d.(type) {
	case claim.Granted:
		return d.Claim, nil, nil
	case claim.Recorded:
		return nil, nil, &d.Response
	case claim.Pending:
		return nil, &failure{reason: "claim-pending", status: http.StatusConflict, hint: "a call with this key was sent before and its outcome is not known; this one was not run"}, nil
	case claim.Mismatch:
		return nil, &failure{reason: "key-reused", status: http.StatusUnprocessableEntity, notRun: true, hint: "this key was used for another request; use a new key for a new action"}, nil
	case claim.Unconfirmed:
		return nil, unconfirmed(d.Err), nil
	default:
		return nil, unconfirmed(errors.New("unknown decision")), nil
	}
}

func (x *exchange) fingerprint() claim.Fingerprint {
	return claim.FingerprintOf(x.call.method, x.call.target, x.call.body.buffered)
}

// runPaid runs a claimed call, and records or releases the claim before the
// caller gets the response: a repeated call then finds it.
func (x *exchange) runPaid(ctx context.Context, held *claim.Claim) attemptResult {
	res := x.run(ctx)
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimUpdateTimeout)
	defer cancel()
	var err error
	switch {
	case res.failure == nil:
		err = held.Record(settle, recordedAnswer(res.reply))
	case res.failure.notRun:
		err = held.Release(settle)
	}
	if err != nil {
		var server backend.ServerID
		if res.choice != nil {
			server = res.choice.Server.ID
		}
		x.recordEvent("claim-lost", server, err.Error())
	}
	return res
}

// recordOf returns what is recorded of a reply. A body that is too large is left
// out, because a part of it cannot be replayed.
func recordedAnswer(r *reply) claim.Response {
	a := claim.Response{Status: r.status, Header: r.header}
	if r.rest != nil || len(r.head) > claim.MaxRecordedBody {
		a.Truncated = true
		return a
	}
	a.Body = r.head
	return a
}

// replay answers with a recorded response.
func (x *exchange) replay(w http.ResponseWriter, a claim.Response) {
	if a.Truncated {
		w.Header().Set(HeaderReplayed, "true")
		x.entry.writeFailure(w, x.call.id, &failure{
			reason: "already-run", status: http.StatusGone,
			hint: "the call was run before and its response was too large to be kept; it was not run again",
		})
		return
	}
	var none http.Header
	h := http.Header{}
	maps.Copy(h, a.Header)
	h[HeaderReplayed] = []string{"true"}
	h[HeaderCallID] = []string{x.call.id}
	hasBody := x.call.method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified
	(&reply{status: a.Status, header: h, head: a.Body, length: int64(len(a.Body)), trailer: &none, hasBody: hasBody}).relay(w)
}
