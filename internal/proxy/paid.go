package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/claim"
)

const (
	// claimUpdateTimeout bounds the update of the claim table after the call.
	claimUpdateTimeout = 500 * time.Millisecond
	// maxKeyBytes is the maximum length of an Idempotency-Key in bytes; the key is
	// part of a row key.
	maxKeyBytes = 255
)

// servePaid runs a paid call at most once. If the caller disconnects, neither the
// claim nor the call is cancelled: an interrupted claim would block the key, and the
// response of the call is recorded for when it is repeated.
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
			reason: reasonTooLarge, status: http.StatusRequestEntityTooLarge, notRun: true,
			hint: "the body of a paid call must not exceed 64 KiB",
		})
		return
	}
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

// takeClaim claims the idempotency key of the call. Exactly one of its results is
// set.
func (x *exchange) takeClaim(ctx context.Context, key string) (*claim.Claim, *failure, *claim.Response) {
	unconfirmed := func(err error) *failure {
		return &failure{reason: "claim-unconfirmed", notRun: true, hint: "the call was not run, because its claim could not be confirmed; send it again with the same " + headerIdempotencyKey, err: err}
	}
	if x.entry.config.Claims == nil {
		return nil, unconfirmed(errors.New("no claim store is configured")), nil
	}
	if x.organisation != nil {
		// Organisations that choose the same key must not get each other's responses.
		prefix := string(x.organisation.Name) + "/"
		if len(prefix)+len(key) > maxKeyBytes {
			digest := sha256.Sum256([]byte(key))
			key = hex.EncodeToString(digest[:])
		}
		key = prefix + key
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
		return nil, &failure{reason: "key-reused", status: http.StatusUnprocessableEntity, notRun: true, hint: "this key was used for another request; use a new key for a new call"}, nil
	case claim.Unconfirmed:
		return nil, unconfirmed(d.Err), nil
	default:
		return nil, unconfirmed(errors.New("unknown claim decision")), nil
	}
}

func (x *exchange) fingerprint() claim.Fingerprint {
	return claim.FingerprintOf(x.call.method, x.call.requestTarget, x.call.body.buffered)
}

// runPaid runs a claimed call. Before the caller gets the response, it records the
// response with the claim, so that a repeated call finds it, or releases the claim
// of a call that provably was not run. The claim of a call that may have run is
// kept.
func (x *exchange) runPaid(ctx context.Context, held *claim.Claim) attemptResult {
	res := x.run(ctx)
	updateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimUpdateTimeout)
	defer cancel()
	var err error
	switch {
	case res.failure == nil:
		err = held.Record(updateCtx, recordedResponse(res.reply))
	case res.failure.notRun:
		err = held.Release(updateCtx)
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

// recordedResponse returns what is recorded of a reply. A body that is too large is
// left out, because a truncated one cannot be replayed.
func recordedResponse(r *reply) claim.Response {
	recorded := claim.Response{Status: r.status, Header: r.header}
	if r.rest != nil || len(r.buffered) > claim.MaxRecordedBodyBytes {
		recorded.Truncated = true
		return recorded
	}
	recorded.Body = r.buffered
	return recorded
}

// replay writes a recorded response.
func (x *exchange) replay(w http.ResponseWriter, recorded claim.Response) {
	if recorded.Truncated {
		w.Header().Set(HeaderReplayed, "true")
		x.entry.writeFailure(w, x.call.id, &failure{
			reason: "already-run", status: http.StatusGone,
			hint: "the call was run before and its response was too large to be recorded; it was not run again",
		})
		return
	}
	var none http.Header
	h := http.Header{}
	maps.Copy(h, recorded.Header)
	h[HeaderReplayed] = []string{"true"}
	h[HeaderCallID] = []string{x.call.id}
	hasBody := x.call.method != http.MethodHead && recorded.Status != http.StatusNoContent && recorded.Status != http.StatusNotModified
	(&reply{status: recorded.Status, header: h, buffered: recorded.Body, length: int64(len(recorded.Body)), trailer: &none, hasBody: hasBody}).relay(w)
}
