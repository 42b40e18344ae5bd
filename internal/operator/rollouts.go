package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/operator/api"
	"github.com/peridotlb/peridotlb/internal/rollout"
)

// maxRolloutDuration bounds the duration of a roll-out, so that one that was forgotten
// does not run for days.
const maxRolloutDuration = 24 * time.Hour

// ListRollouts implements api.Handler.
func (h *handler) ListRollouts(ctx context.Context) (*api.ListRolloutsOK, error) {
	all, err := h.Backend.Rollouts(ctx)
	if err != nil {
		return nil, err
	}
	out := &api.ListRolloutsOK{Rollouts: []api.Rollout{}}
	for _, r := range all {
		out.Rollouts = append(out.Rollouts, rolloutToAPI(r))
	}
	return out, nil
}

// StartRollout implements api.Handler.
func (h *handler) StartRollout(ctx context.Context, req *api.RolloutOrder) (*api.Rollout, error) {
	d, err := time.ParseDuration(req.Duration)
	if err != nil || d <= 0 || d > maxRolloutDuration {
		return nil, apiError{http.StatusBadRequest, "duration must be positive, have a unit and be at most 24h", "for example 15s"}
	}
	r, err := h.Backend.StartRollout(ctx, rollout.Order{Service: backend.ServiceName(req.Service), Target: backend.Version(req.Target), Duration: d})
	return rolloutResult(r, err)
}

// AbortRollout implements api.Handler.
func (h *handler) AbortRollout(ctx context.Context, params api.AbortRolloutParams) (*api.Rollout, error) {
	r, err := h.Backend.AbortRollout(ctx, backend.ServiceName(params.Service))
	return rolloutResult(r, err)
}

func rolloutResult(r Rollout, err error) (*api.Rollout, error) {
	switch {
	case errors.Is(err, ErrNoRollouts):
		return nil, apiError{http.StatusNotFound, err.Error(), "roll-outs need --platform=store"}
	case errors.Is(err, ErrRolloutRefused):
		return nil, apiError{http.StatusConflict, err.Error(), "see peridotlb rollout list; a verdict never changes, so start another version"}
	case errors.Is(err, ErrRolloutUnknown):
		return nil, apiError{http.StatusServiceUnavailable, err.Error(), "see peridotlb rollout list before you repeat it"}
	case err != nil:
		return nil, err
	}
	out := rolloutToAPI(r)
	return &out, nil
}

func rolloutToAPI(r Rollout) api.Rollout {
	return api.Rollout{
		Service: string(r.Row.Service), Target: string(r.Row.Target), State: api.RolloutState(r.Row.State.String()), Step: int(r.Row.Step),
		Share: float64(r.Row.Share) / float64(rollout.AllCalls), Closing: r.Row.Closing, Held: r.Hold, Age: r.Age.Round(time.Millisecond).String(),
		Duration: r.Row.Duration().String(), Leader: string(r.Row.Leader), Detail: r.Row.Reason,
	}
}
