package pool

import (
	"sync"
	"time"
)

// BudgetConfig bounds the retries of a service, so that failures do not multiply
// the load. The zero value takes the defaults.
type BudgetConfig struct {
	PerCall   float64 // retries that each call adds
	PerSecond float64 // retries that each second adds
	Burst     float64 // most retries that can be saved
}

// DefaultBudget returns the budget of a daemon without further settings: 10% of
// the calls and 3 a second, saved for up to 10 s.
func DefaultBudget() BudgetConfig { return BudgetConfig{PerCall: 0.1, PerSecond: 3, Burst: 30} }

// FleetBudget bounds the retries that all daemons together send to a service
// within any window.
type FleetBudget struct {
	Ratio  float64 // of the calls of the service
	Extra  float64 // retries besides, in each window
	Window time.Duration
}

const (
	// ratioShare and extraShare are the parts of a fleet's budget that are used: a
	// call that is repeated repeats the calls that its server makes, which count at
	// their services without passing through this budget.
	ratioShare = 0.7
	extraShare = 0.5
)

// Share returns the budget of one of some daemons. Half of the extra retries can
// be made at once, since a window can begin with a full budget and refill it.
func (f FleetBudget) Share(daemons int) BudgetConfig {
	extra := extraShare * f.Extra / float64(max(daemons, 1))
	return BudgetConfig{PerCall: ratioShare * f.Ratio, PerSecond: extra / 2 / f.Window.Seconds(), Burst: max(extra/2, 1)}
}

// startSeconds is the time for which a new budget has saved.
const startSeconds = 1

// budget counts the retries that may be made now.
type budget struct {
	sync.Mutex
	config BudgetConfig
	tokens float64
	at     time.Time
}

func newBudget(c BudgetConfig, now time.Time) *budget {
	return &budget{config: c, tokens: min(startSeconds*c.PerSecond, c.Burst), at: now}
}

// set changes the bounds from now on.
func (b *budget) set(c BudgetConfig, now time.Time) {
	b.Lock()
	defer b.Unlock()
	b.accrue(now)
	b.config = c
	b.tokens = min(b.tokens, c.Burst)
}

// call adds the share of a new call.
func (b *budget) call() {
	b.Lock()
	defer b.Unlock()
	b.tokens = min(b.tokens+b.config.PerCall, b.config.Burst)
}

// take adds the share of the time that passed and takes one retry.
func (b *budget) take(now time.Time) bool {
	b.Lock()
	defer b.Unlock()
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) accrue(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.config.PerSecond, b.config.Burst)
		b.at = now
	}
}

// left returns the retries that may be made now.
func (b *budget) left(now time.Time) float64 {
	b.Lock()
	defer b.Unlock()
	b.accrue(now)
	return b.tokens
}
