package proxy

import (
	"context"

	"github.com/peridotlb/peridotlb/internal/claim"
)

// Claims grants the right to run a paid action once; claim.Claims implements it.
type Claims interface {
	// Take claims a key. Anything but claim.Granted means that nothing may run.
	Take(ctx context.Context, key claim.Key, f claim.Fingerprint) (claim.Decision, error)
}
