package daemon

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/operator"
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
	defer l.pool.SetInformed()
	shares := make([]pool.Rollout, 0, len(all))
	for _, a := range all {
		l.metrics.observeRollout(a, time.Now())
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

// Rollouts implements operator.Backend.
func (d *Daemon) Rollouts(ctx context.Context) ([]operator.Rollout, error) {
	var all []operator.Rollout
	err := d.loop.withCore(ctx, func(c *fleet.Core) {
		for _, a := range c.Rollouts() {
			all = append(all, operator.Rollout{Update: a.Update, Age: time.Duration(a.AgeMS)*time.Millisecond + time.Since(a.At)})
		}
	})
	return all, err
}

// StartRollout implements operator.Backend.
func (d *Daemon) StartRollout(ctx context.Context, o rollout.Order) (operator.Rollout, error) {
	return d.requestRollout(ctx, o, func(r rollout.Row) bool {
		return r.State == rollout.Running && r.Target == o.Target && r.Duration() == o.Duration
	})
}

// AbortRollout implements operator.Backend.
func (d *Daemon) AbortRollout(ctx context.Context, service backend.ServiceName) (operator.Rollout, error) {
	return d.requestRollout(ctx, rollout.Order{Service: service, Withdrawn: true}, func(r rollout.Row) bool { return r.State > rollout.Running })
}

const (
	// rolloutRequestTimeout is how long a request waits until its roll-out is stored.
	rolloutRequestTimeout = 3 * time.Second
	rolloutPollInterval   = 20 * time.Millisecond
)

// requestRollout passes an order to the core and waits until the roll-out that it leads
// to is stored.
func (d *Daemon) requestRollout(ctx context.Context, o rollout.Order, stored func(rollout.Row) bool) (operator.Rollout, error) {
	if d.environment.Rollouts == nil {
		return operator.Rollout{}, operator.ErrNoRollouts
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutRequestTimeout)
	defer cancel()
	current, err := d.rolloutOf(ctx, o.Service)
	if err != nil {
		return current, err
	}
	next := o
	next.Number = current.Row.Order + 1
	if _, changed := rollout.Follow(current.Row, next, time.Now()); !changed {
		return current, operator.ErrRolloutRefused
	}
	d.loop.post(ctx, fleet.RolloutRequested{Order: o})
	for {
		select {
		case <-time.After(rolloutPollInterval):
		case <-ctx.Done():
			return current, operator.ErrRolloutUnknown
		}
		r, err := d.rolloutOf(ctx, o.Service)
		if err == nil && !r.Provisional && r.Row.Order > current.Row.Order && stored(r.Row) {
			return r, nil
		}
	}
}

func (d *Daemon) rolloutOf(ctx context.Context, service backend.ServiceName) (operator.Rollout, error) {
	all, err := d.Rollouts(ctx)
	if err != nil {
		return operator.Rollout{}, fmt.Errorf("read the roll-outs: %w", err)
	}
	for _, r := range all {
		if r.Row.Service == service {
			return r, nil
		}
	}
	return operator.Rollout{}, nil
}
