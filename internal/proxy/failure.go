package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// failure says why a call got no response of a backend server.
type failure struct {
	reason     string // kebab case; label of metrics and "error" of the response
	status     int    // 0 derives it from notRun and reason
	notRun     bool   // it is proved that nothing was run
	refused    bool   // the gate refused the call; says nothing bad of the server
	serverFull bool   // the gate refused the call because the server has no room for it
	// unusable says that the gate refused the call because the server takes none.
	serverUnavailable bool
	noRetry           bool // retries were exhausted here or deeper in the call chain
	// retryAfter is when there may be room; zero takes defaultRetryAfter.
	retryAfter time.Duration
	hint       string
	err        error
}

const (
	// defaultRetryAfter is when a caller may send a refused call again.
	defaultRetryAfter = 300 * time.Millisecond
	// maxRetryAfter bounds what a caller is told, since a forecast of a long wait is
	// not worth much.
	maxRetryAfter = 2 * time.Second
)

// Reasons that more than one place uses.
const (
	reasonDeadline       = "deadline-passed"
	reasonCallerGone     = "caller-gone"
	reasonCallIDMismatch = "call-id-mismatch"
	reasonResponseCut    = "response-cut"
	reasonNoServer       = "no-server-available"
	reasonNoRoom         = "no-room-in-time"
	reasonServerFull     = "server-full"
	reasonDraining       = "server-draining"
	reasonSuspended      = "host-suspended"
	reasonNotReady       = "server-not-ready"
	// reasonServerRefused says that the server itself did not run the call.
	reasonServerRefused     = "server-refused"
	reasonQueueTimeout      = "queue-timeout"
	reasonNoVersion         = "no-version-applied"
	reasonServerUnreachable = "server-unreachable"
	reasonStopping          = "daemon-stopping"
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

// write sends the failure as a small JSON body.
func (f *failure) write(w http.ResponseWriter, callID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h[HeaderCallID] = []string{callID}
	if f.notRun {
		h.Set(HeaderNotRun, "true")
	} else if f.status == 0 || f.status == http.StatusConflict {
		h.Set(HeaderOutcome, "unknown")
	}
	if f.statusCode() == http.StatusServiceUnavailable {
		after := min(max(f.retryAfter, defaultRetryAfter), maxRetryAfter)
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	if f.noRetry {
		h.Set(HeaderNoRetry, "true")
	}
	// A struct of strings always encodes.
	body, _ := json.Marshal(struct {
		Error  string `json:"error"`
		CallID string `json:"call-id"`
		Hint   string `json:"hint"`
	}{f.reason, callID, f.hintText()})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.statusCode())
	// A failed write means that the caller is gone.
	_, _ = w.Write(body)
}
