package proxy

import (
	"context"

	"github.com/peridotlb/peridotlb/internal/claim"
)

// Claims grants the right to run a paid call once. claim.Claims implements it.
type Claims interface {
	// Take claims a key. The call may run only if the decision is claim.Granted.
	Take(ctx context.Context, key claim.Key, f claim.Fingerprint) (claim.Decision, error)
}
