package daemon

import (
	"context"

	"github.com/peridotlb/peridotlb/internal/claim"
)

// meteredClaims counts the decisions on claims.
type instrumentedClaims struct {
	*claim.Claims
	metrics *daemonMetrics
}

// Take implements proxy.Claims.
func (m instrumentedClaims) Take(ctx context.Context, key claim.Key, f claim.Fingerprint) (claim.Decision, error) {
	decision, err := m.Claims.Take(ctx, key, f)
	m.metrics.countClaim(decision, err)
	return decision, err
}
