// Package operator serves the operator API, with which operators submit and read
// the document and read the state of the fleet and its timeline.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator/api"
	"github.com/peridotlb/peridotlb/internal/settings"
	"github.com/peridotlb/peridotlb/internal/submission"
)

// MaxRequestBytes bounds the body of a request. A document has at most 4 MiB; its
// JSON form is larger because it contains every field.
const MaxRequestBytes = 8 << 20

// defaultRate, in requests per second, is far above what operators and their tools
// need: the command-line tool polls the status twice per second while it waits.
const defaultRate = 100

// Config configures the operator API. SubmitTimeout, Rate and Log are optional.
type Config struct {
	Backend Backend
	Host    host.Row // host of this daemon, returned by ping
	Release string   // release of this daemon, returned by ping
	Tokens  []settings.OperatorToken
	// SubmitTimeout bounds the processing of a submission (default 10 s). After it,
	// the outcome is unknown. It must be shorter than the write timeout of the server.
	SubmitTimeout time.Duration
	// Rate bounds the requests per second (default 100) with and without a valid
	// token, so that token guessing and runaway scripts do not overload the daemon.
	Rate rate.Limit
	Log  *zap.Logger
}

// New returns the handler of the operator API.
func New(c Config) (http.Handler, error) {
	if c.SubmitTimeout == 0 {
		c.SubmitTimeout = 10 * time.Second
	}
	if c.Rate == 0 {
		c.Rate = defaultRate
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	h := &handler{Config: c}
	server, err := api.NewServer(
		h, newTokenAuthenticator(c.Tokens),
		api.WithErrorHandler(h.handleError),
		api.WithNotFound(func(w http.ResponseWriter, r *http.Request) {
			writeError(w, apiError{http.StatusNotFound, fmt.Sprintf("no such path: %s", r.URL.Path), "see api/operator.yaml for the paths"})
		}),
		api.WithMethodNotAllowed(func(w http.ResponseWriter, r *http.Request, allowed string) {
			w.Header().Set("Allow", allowed)
			writeError(w, apiError{http.StatusMethodNotAllowed, fmt.Sprintf("method %s is not allowed", r.Method), "use " + allowed})
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("operator API: %w", err)
	}
	limiter := rate.NewLimiter(c.Rate, int(c.Rate))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			writeError(w, apiError{http.StatusTooManyRequests, "too many requests to this daemon", "wait a second, or use another daemon"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxRequestBytes)
		server.ServeHTTP(w, r)
	}), nil
}

// tokenAuthenticator maps bearer tokens to teams.
type tokenAuthenticator struct {
	digests [][sha256.Size]byte
	teams   []document.TeamName
}

func newTokenAuthenticator(tokens []settings.OperatorToken) *tokenAuthenticator {
	a := &tokenAuthenticator{}
	for _, t := range tokens {
		a.digests = append(a.digests, sha256.Sum256([]byte(t.Token.Reveal())))
		a.teams = append(a.teams, t.Team)
	}
	return a
}

type teamKey struct{}

func teamFromContext(ctx context.Context) document.TeamName {
	team, _ := ctx.Value(teamKey{}).(document.TeamName)
	return team
}

var errInvalidToken = errors.New("token is not valid")

// HandleBearer implements api.SecurityHandler. It compares the digest of the token
// with those of all valid tokens, so that the time does not depend on the token or
// its length.
func (a *tokenAuthenticator) HandleBearer(ctx context.Context, _ api.OperationName, t api.Bearer) (context.Context, error) {
	digest := sha256.Sum256([]byte(t.Token))
	found := -1
	for i := range a.digests {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(digest[:], a.digests[i][:]), i, found)
	}
	if found < 0 {
		return ctx, errInvalidToken
	}
	return context.WithValue(ctx, teamKey{}, a.teams[found]), nil
}

// apiError is an error response to an operator.
type apiError struct {
	status  int
	message string
	hint    string
}

func (e apiError) Error() string { return e.message }

func writeError(w http.ResponseWriter, e apiError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	// The status has been sent; a failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": e.message, "hint": e.hint})
}

// toAPIError maps an error to the response that operators get.
func toAPIError(err error) apiError {
	var e apiError
	var tooLarge *http.MaxBytesError
	var security *ogenerrors.SecurityError
	var bad ogenerrors.Error
	var failed *PlatformError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &tooLarge):
		return apiError{http.StatusRequestEntityTooLarge, fmt.Sprintf("request is larger than %d bytes", tooLarge.Limit), "submit fewer sections at a time"}
	case errors.As(err, &security):
		return apiError{http.StatusUnauthorized, "token is missing or not valid", "send the header Authorization: Bearer TOKEN with a token of --operator-tokens"}
	case errors.As(err, &bad):
		return apiError{ogenerrors.ErrorCode(err), err.Error(), "see api/operator.yaml for the form of requests"}
	case errors.Is(err, ErrNotFound), errors.Is(err, submission.ErrNoVersion):
		return apiError{http.StatusNotFound, err.Error(), "list versions with GET /v1/versions"}
	case errors.As(err, &failed):
		return apiError{http.StatusServiceUnavailable, fmt.Sprintf("the platform's %s gave no usable answer", failed.Component), "try again when it answers; the log of this daemon has the cause"}
	default:
		return apiError{http.StatusServiceUnavailable, err.Error(), "try again, or ask another daemon"}
	}
}

// handleError writes the response to errors that occur outside the handler's
// methods.
func (h *handler) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	e := toAPIError(err)
	h.Log.Debug("An operator request failed.", zap.String("path", r.URL.Path), zap.Int("status", e.status), zap.Error(err))
	writeError(w, e)
}

// NewError implements api.Handler.
func (h *handler) NewError(_ context.Context, err error) *api.FailedStatusCode {
	e := toAPIError(err)
	log := h.Log.Debug
	if e.status == http.StatusServiceUnavailable {
		log = h.Log.Warn // the response to the operator does not contain the cause
	}
	log("An operator request failed.", zap.Int("status", e.status), zap.Error(err))
	return &api.FailedStatusCode{StatusCode: e.status, Response: api.Error{Error: e.message, Hint: e.hint}}
}
