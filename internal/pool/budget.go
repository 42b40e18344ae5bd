package pool

import (
	"sync"
	"time"
)

// BudgetConfig bounds the retries of a service, so that failures do not multiply
// the load. The zero value takes the defaults.
type RetryBudgetConfig struct {
	PerCall   float64 // retries that each call adds
	PerSecond float64 // retries that each second adds
	Burst     float64 // most retries that can be saved
}

// DefaultBudget returns the budget of a daemon without further settings: 10% of
// the calls and 3 a second, saved for up to 10 s.
func DefaultRetryBudget() RetryBudgetConfig {
	return RetryBudgetConfig{PerCall: 0.1, PerSecond: 3, Burst: 30}
}

// FleetBudget bounds the retries that all daemons together send to a service
// within any window.
type FleetRetryBudget struct {
	Ratio        float64 // of the calls of the service
	ExtraRetries float64 // retries besides, in each window
	Window       time.Duration
}

const (
	// ratioShare and extraShare are the parts of a fleet's budget that are used: a
	// call that is repeated repeats the calls that its server makes, which count at
	// their services without passing through this budget.
	usedRatioFraction = 0.7
	usedExtraFraction = 0.5
)

// Share returns the budget of one of some daemons. Half of the extra retries can
// be made at once, since a window can begin with a full budget and refill it.
func (f FleetRetryBudget) PerDaemon(daemons int) RetryBudgetConfig {
	extra := usedExtraFraction * f.ExtraRetries / float64(max(daemons, 1))
	return RetryBudgetConfig{PerCall: usedRatioFraction * f.Ratio, PerSecond: extra / 2 / f.Window.Seconds(), Burst: max(extra/2, 1)}
}

// startSeconds is the time for which a new budget has saved.
const initialAccrualSeconds = 1

// budget counts the retries that may be made now.
type retryBudget struct {
	sync.Mutex
	config    RetryBudgetConfig
	tokens    float64
	accruedAt time.Time
}

func newRetryBudget(c RetryBudgetConfig, now time.Time) *retryBudget {
	return &retryBudget{config: c, tokens: min(initialAccrualSeconds*c.PerSecond, c.Burst), accruedAt: now}
}

// set changes the bounds from now on.
func (b *retryBudget) reconfigure(c RetryBudgetConfig, now time.Time) {
	b.Lock()
	defer b.Unlock()
	b.accrue(now)
	b.config = c
	b.tokens = min(b.tokens, c.Burst)
}

// call adds the share of a new call.
func (b *retryBudget) recordCall() {
	b.Lock()
	defer b.Unlock()
	b.tokens = min(b.tokens+b.config.PerCall, b.config.Burst)
}

// take adds the share of the time that passed and takes one retry.
func (b *retryBudget) takeRetry(now time.Time) bool {
	b.Lock()
	defer b.Unlock()
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) accrue(now time.Time) {
	if elapsed := now.Sub(b.accruedAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.config.PerSecond, b.config.Burst)
		b.accruedAt = now
	}
}

// left returns the retries that may be made now.
func (b *retryBudget) available(now time.Time) float64 {
	b.Lock()
	defer b.Unlock()
	b.accrue(now)
	return b.tokens
}
