package daemon

import (
	"context"

	"github.com/peridotlb/peridotlb/internal/claim"
)

// meteredClaims counts the decisions on claims.
type meteredClaims struct {
	*claim.Claims
	meters *meters
}

// Take implements proxy.Claims.
func (m meteredClaims) Take(ctx context.Context, key claim.Key, f claim.Fingerprint) (claim.Decision, error) {
	decision, err := m.Claims.Take(ctx, key, f)
	m.meters.claim(decision, err)
	return decision, err
}
