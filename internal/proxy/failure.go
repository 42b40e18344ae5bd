package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// failure describes why a call got no response from a backend server.
type failure struct {
	reason     string // kebab case; label of metrics and "error" of the response
	status     int    // 0 derives it from notRun and reason
	notRun     bool   // the call provably was not run
	refused    bool   // the call was refused before it was run, which does not count against the server
	serverFull bool   // the gate refused the call because the server has no room for it
	// serverUnavailable is set if the gate refused the call because the server
	// accepts no calls.
	serverUnavailable bool
	noRetry           bool // retries were exhausted here or further down the call chain
	// retryAfter is the time after which there may be room; at least minRetryAfter
	// is sent.
	retryAfter time.Duration
	hint       string
	err        error
}

const (
	// minRetryAfter bounds the Retry-After header from below. It also applies to a
	// refused call for which retryAfter is zero.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter bounds the Retry-After header from above, because forecasts of
	// long waits are unreliable.
	maxRetryAfter = 2 * time.Second
	// minQuotaRetryAfter bounds the Retry-After header of a call over a quota.
	minQuotaRetryAfter = 50 * time.Millisecond
)

// Reasons of failures. Further ones are literals where they are used.
const (
	reasonDeadline       = "deadline-passed"
	reasonCallerGone     = "caller-gone"
	reasonCallIDMismatch = "call-id-mismatch"
	reasonResponseCut    = "response-cut"
	// reasonBadResponse means that the bytes of the server or gate are no response that
	// can be passed on.
	reasonBadResponse   = "bad-response"
	reasonNoServer      = "no-server-available"
	reasonNoRoom        = "no-room-in-time"
	reasonServerFull    = "server-full"
	reasonServerLimited = "server-limited"
	reasonDraining      = "server-draining"
	reasonVersion       = "version-refused"
	reasonSuspended     = "host-suspended"
	reasonNotReady      = "server-not-ready"
	// reasonServerRefused means that the server itself reported that it did not run
	// the call.
	reasonServerRefused = "server-refused"
	reasonQueueTimeout  = "queue-timeout"
	// reasonUnprovedRefusal means that the server answered a call that may run once with a
	// status that promises that it was not run, but did not state that.
	reasonUnprovedRefusal = "refusal-without-proof"
	// reasonLinkFull means that the link of the gate has no room for the response in
	// time, and reasonEntryLinkFull that the link of the entry has none.
	reasonLinkFull          = "link-full"
	reasonEntryLinkFull     = "entry-link-full"
	reasonNoVersion         = "no-version-applied"
	reasonServerUnreachable = "server-unreachable"
	reasonTooLarge          = "request-too-large"
	// reasonGateUnreachable means that the entry could not connect to the gate.
	reasonGateUnreachable = "gate-unreachable"
	reasonStopping        = "daemon-stopping"
	// reasonUnreadable means that an entry of the version that can't be read may be for
	// the call.
	reasonUnreadable = "entry-unreadable"
	// reasonMemory means that the requests of callers hold too much memory of the
	// daemon that refused the call. It is decided before the header is parsed.
	reasonMemory = "request-memory"
	// reasonUnauthorised means that the call needs a key and has no valid one.
	reasonUnauthorised = "unauthorised"
	// reasonKeyRemoved means that a version without the key of the call came into force
	// while the call was waiting.
	reasonKeyRemoved = "key-removed"
	// reasonOverQuota means that the quota of the organisation is used up, and
	// reasonNoToken that no owner of the quota has answered.
	reasonOverQuota = "over-quota"
	reasonNoToken   = "quota-unavailable"
	// reasonTokenExpired means that the call has waited longer than its token is valid.
	reasonTokenExpired = "quota-token-expired"
)

func (f *failure) statusCode() int {
	switch {
	case f.status != 0:
		return f.status
	case f.notRun:
		return http.StatusServiceUnavailable
	case f.reason == reasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func (f *failure) hintText() string {
	switch {
	case f.hint != "":
		return f.hint
	case f.notRun:
		return "the call was not run; send it again"
	default:
		return "the call may have been run; repeat it only if that is safe, or with the same Idempotency-Key"
	}
}

func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 2, 64))
}

// write writes the failure as a JSON response.
func (f *failure) write(w http.ResponseWriter, callID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if callID != "" {
		h[HeaderCallID] = []string{callID}
	}
	if f.notRun {
		h.Set(HeaderNotRun, "true")
	} else if f.status == 0 || f.status == http.StatusConflict {
		// Of the failures with a status of their own, only claim-pending (409) has an
		// unknown outcome.
		h.Set(HeaderOutcome, "unknown")
	}
	switch f.statusCode() {
	case http.StatusTooManyRequests:
		setRetryAfter(h, max(f.retryAfter, minQuotaRetryAfter))
	case http.StatusServiceUnavailable:
		after := min(max(f.retryAfter, minRetryAfter), maxRetryAfter)
		setRetryAfter(h, after)
	}
	if f.statusCode() == http.StatusUnauthorized {
		h.Set(headerAuthenticate, "Bearer")
	}
	if f.noRetry {
		h.Set(HeaderNoRetry, "true")
	}
	// Encoding a struct of strings cannot fail.
	body, _ := json.Marshal(struct {
		Error  string `json:"error"`
		CallID string `json:"call-id"`
		Hint   string `json:"hint"`
	}{f.reason, callID, f.hintText()})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.statusCode())
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}
