package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/pool"
	"github.com/peridotlb/peridotlb/internal/rollout"
)

// rolloutLimits returns the limits of roll-outs; nil if the environment has none.
func (c *components) rolloutLimits() *rollout.Limits {
	if c.environment.Rollouts == nil {
		return nil
	}
	return &rollout.Limits{ExposureShare: c.settings.RolloutShare, ExposureSlack: c.settings.RolloutSlack}
}

func (l *loop) readRollouts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	orders, rows, err := l.environment.Rollouts.ReadRollouts(ctx)
	if err != nil {
		l.log.Warn("Could not read the roll-outs.", zap.Error(err))
	}
	l.post(ctx, fleet.ReadRolloutsResult{Orders: orders, Rows: rows, Err: err})
}

func (l *loop) writeRollout(ctx context.Context, e fleet.WriteRollout) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	result, err := l.environment.Rollouts.WriteRollout(ctx, e.Row, e.IfRevision)
	r := fleet.WriteRolloutResult{Row: e.Row}
	switch {
	case result.Outcome == platform.Applied:
		r.Outcome, r.Revision = fleet.Written, rollout.Revision(result.Revision)
	case result.Outcome == platform.NotApplied && err == nil:
		r.Outcome = fleet.Conflict
	case result.Outcome == platform.NotApplied:
		r.Outcome = fleet.NotWritten
	}
	if r.Outcome != fleet.Written {
		l.log.Warn("Could not write the row of a roll-out.", zap.Stringer("row", e.Row), zap.Stringer("outcome", result.Outcome), zap.Error(err))
	}
	l.post(ctx, r)
}

// applyRollouts puts the known roll-outs into effect at the entry and the gate.
func (l *loop) applyRollouts(all []rollout.Applied) {
	l.tracker.Apply(all)
	shares := make([]pool.Rollout, 0, len(all))
	for _, a := range all {
		shares = append(shares, pool.NewRollout(a))
	}
	l.pool.SetRollouts(shares)
}

// collectEvidence passes the evidence of the gate about running roll-outs to the core.
func (l *loop) collectEvidence(ctx context.Context) {
	if evidence := l.tracker.Evidence(time.Now(), l.routing.ownServers); len(evidence) > 0 {
		l.step(ctx, fleet.EvidenceCollected{Evidence: evidence})
	}
}
