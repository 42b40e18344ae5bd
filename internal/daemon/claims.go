package daemon

import (
	"context"

	"github.com/peridotlb/peridotlb/internal/claim"
	"github.com/peridotlb/peridotlb/internal/proxy"
)

// claimsAdapter gives the call path the claims of the platform's table.
type claimsAdapter struct {
	claims *claim.Claims
	meters *meters
}

// Take implements proxy.Claims.
func (a claimsAdapter) Take(ctx context.Context, key proxy.ClaimKey, f proxy.Fingerprint) (proxy.Decision, error) {
	decision, err := a.claims.Take(ctx, claim.Key{Route: key.Route, Value: key.Key}, claim.Fingerprint(f))
	a.meters.claim(decision, err)
	if err != nil {
		return nil, err
	}
	switch d := decision.(type) {
	case claim.Granted:
		return proxy.Granted{Claim: heldClaim{d.Claim}}, nil
	case claim.Recorded:
		return proxy.Recorded{Answer: proxy.Answer{
			Status: d.Answer.Status, Header: d.Answer.Header, Body: d.Answer.Body, Partial: d.Answer.Truncated,
		}}, nil
	case claim.Pending:
		return proxy.Pending{}, nil
	case claim.Mismatch:
		return proxy.Mismatch{}, nil
	case claim.Unconfirmed:
		return proxy.Unconfirmed{Err: d.Err}, nil
	}
	return proxy.Unconfirmed{}, nil
}

// heldClaim is a granted claim.
type heldClaim struct{ claim *claim.Claim }

// Record implements proxy.Claim.
func (h heldClaim) Record(ctx context.Context, a proxy.Answer) error {
	return h.claim.Record(ctx, claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body, Truncated: a.Partial})
}

// Release implements proxy.Claim.
func (h heldClaim) Release(ctx context.Context) error { return h.claim.Release(ctx) }
