package daemon

import (
	"context"

	"github.com/peridotlb/peridotlb/internal/claim"
)

// instrumentedClaims counts the decisions on claims.
type instrumentedClaims struct {
	*claim.Claims
	metrics *daemonMetrics
}

// Take implements proxy.Claims.
func (c instrumentedClaims) Take(ctx context.Context, key claim.Key, f claim.Fingerprint) (claim.Decision, error) {
	decision, err := c.Claims.Take(ctx, key, f)
	c.metrics.countClaim(decision, err)
	return decision, err
}
