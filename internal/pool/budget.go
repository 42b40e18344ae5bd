package pool

import (
	"sync"
	"time"
)

// RetryBudgetConfig limits the retries of a service, so that failures do not
// multiply the load.
type RetryBudgetConfig struct {
	PerCall   float64 // retries added by each call
	PerSecond float64 // retries added per second
	Burst     float64 // maximum number of saved retries
}

// DefaultRetryBudget returns the default retry budget of a daemon: 10% of the
// calls plus 3 retries per second. It saves up to 30 retries, which 3 per second
// add in 10 s.
func DefaultRetryBudget() RetryBudgetConfig {
	return RetryBudgetConfig{PerCall: 0.1, PerSecond: 3, Burst: 30}
}

// FleetRetryBudget limits the retries that all daemons together send to a
// service within any window.
type FleetRetryBudget struct {
	Ratio        float64 // retries per call of the service
	ExtraRetries float64 // additional retries per window
	Window       time.Duration
}

const (
	// usedRatioFraction and usedExtraFraction are the fractions of a fleet's budget
	// that its daemons may use. The rest is left for nested calls: a retried call
	// also repeats the calls that its server makes, and these count as retries at
	// their services without being taken from this budget.
	usableRatioFraction = 0.7
	usableExtraFraction = 0.5
)

// PerDaemon returns the budget of one daemon in a fleet with the given number of
// daemons. Half of the extra retries may be saved and half accrue during a
// window, since a window can start with a full budget that refills.
func (f FleetRetryBudget) PerDaemon(daemons int) RetryBudgetConfig {
	extra := usableExtraFraction * f.ExtraRetries / float64(max(daemons, 1))
	return RetryBudgetConfig{PerCall: usableRatioFraction * f.Ratio, PerSecond: extra / 2 / f.Window.Seconds(), Burst: max(extra/2, 1)}
}

// initialAccrualSeconds is the accrual time that a new budget starts with.
const initialAccrualSeconds = 1

// retryBudget is a token bucket of retries.
type retryBudget struct {
	sync.Mutex
	config    RetryBudgetConfig
	tokens    float64
	accruedAt time.Time
}

func newRetryBudget(c RetryBudgetConfig, now time.Time) *retryBudget {
	return &retryBudget{config: c, tokens: min(initialAccrualSeconds*c.PerSecond, c.Burst), accruedAt: now}
}

// reconfigure changes the limits from now on.
func (b *retryBudget) reconfigure(c RetryBudgetConfig, now time.Time) {
	b.Lock()
	defer b.Unlock()
	b.accrue(now)
	b.config = c
	b.tokens = min(b.tokens, c.Burst)
}

// recordCall adds the retries that a new call earns.
func (b *retryBudget) recordCall() {
	b.Lock()
	defer b.Unlock()
	b.tokens = min(b.tokens+b.config.PerCall, b.config.Burst)
}

// takeRetry takes one retry, after adding those accrued since the last update.
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

// available returns the number of retries that can be taken now.
func (b *retryBudget) available(now time.Time) float64 {
	b.Lock()
	defer b.Unlock()
	b.accrue(now)
	return b.tokens
}
