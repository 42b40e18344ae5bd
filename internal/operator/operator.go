// Package operator serves the operator API: submissions and reads of the
// document, the state of the fleet and its timeline.
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

// MaxRequestBytes bounds the body of a request. A document has at most 4 MiB;
// its JSON form is larger, since it spells out every field.
const MaxRequestBytes = 8 << 20

// defaultRate is far above what operators and their tools need: the tool polls
// the status twice a second while it waits.
const defaultRate = 100

// Config configures the operator API. SubmitTimeout, Rate and Log are optional.
type Config struct {
	Backend Backend
	Host    host.Row // this daemon, for ping
	Release string   // release of this daemon, for ping
	Tokens  []settings.OperatorToken
	// SubmitTimeout bounds the accept procedure (default 10 s); the outcome is
	// then unknown. It must be shorter than the write timeout of the server.
	SubmitTimeout time.Duration
	// Rate bounds the requests a second (default 100), tokens or not, so that
	// guesses at tokens and runaway scripts do not take the daemon's time.
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

// bearers finds the team of a token.
type tokenAuthenticator struct {
	digests [][sha256.Size]byte
	teams   []document.TeamName
}

func newTokenAuthenticator(tokens []settings.OperatorToken) *tokenAuthenticator {
	b := &tokenAuthenticator{}
	for _, t := range tokens {
		b.digests = append(b.digests, sha256.Sum256([]byte(t.Token.Reveal())))
		b.teams = append(b.teams, t.Team)
	}
	return b
}

type teamKey struct{}

func teamFromContext(ctx context.Context) document.TeamName {
	team, _ := ctx.Value(teamKey{}).(document.TeamName)
	return team
}

var errInvalidToken = errors.New("token is not valid")

// HandleBearer implements api.SecurityHandler. It compares digests with every
// token, so that the time taken does not depend on the token or its length.
func (b *tokenAuthenticator) HandleBearer(ctx context.Context, _ api.OperationName, t api.Bearer) (context.Context, error) {
	digest := sha256.Sum256([]byte(t.Token))
	found := -1
	for i := range b.digests {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(digest[:], b.digests[i][:]), i, found)
	}
	if found < 0 {
		return ctx, errInvalidToken
	}
	return context.WithValue(ctx, teamKey{}, b.teams[found]), nil
}

// problem is an error that operators see.
type apiError struct {
	status  int
	message string
	hint    string
}

func (p apiError) Error() string { return p.message }

func writeError(w http.ResponseWriter, p apiError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.status)
	// The status is sent; a failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": p.message, "hint": p.hint})
}

// problemOf maps an error to what operators see.
func toAPIError(err error) apiError {
	var p apiError
	var tooLarge *http.MaxBytesError
	var security *ogenerrors.SecurityError
	var bad ogenerrors.Error
	var failed *PlatformError
	switch {
	case errors.As(err, &p):
		return p
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

// fail writes errors that occur outside the handler's methods.
func (h *handler) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	p := toAPIError(err)
	h.Log.Debug("request failed", zap.String("path", r.URL.Path), zap.Int("status", p.status), zap.Error(err))
	writeError(w, p)
}

// NewError implements api.Handler.
func (h *handler) NewError(_ context.Context, err error) *api.FailedStatusCode {
	p := toAPIError(err)
	log := h.Log.Debug
	if p.status == http.StatusServiceUnavailable {
		log = h.Log.Warn // operators get only a sentence about the platform
	}
	log("request failed", zap.Int("status", p.status), zap.Error(err))
	return &api.FailedStatusCode{StatusCode: p.status, Response: api.Error{Error: p.message, Hint: p.hint}}
}
