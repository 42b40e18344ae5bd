package proxy

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errAttemptEnded is the cause of a context whose attempt has used up its share
// of the time.
var errAttemptEnded = errors.New("the attempt has used its share of the time")

// attemptContext returns a context that ends after a time, if mayEnd then agrees,
// so that a gate or server that hangs leaves time for another one. mayEnd takes the retry from the budget: without it, waiting on is
// better than a failure. After stop, only the parent ends the context, because a
// large response is read after the attempt.
func attemptContext(ctx context.Context, limit time.Duration, mayEnd func() bool) (attempt context.Context, stop func()) {
	attempt, cancel := context.WithCancelCause(ctx)
	var mu sync.Mutex
	stopped := false
	timer := time.AfterFunc(limit, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped && mayEnd() {
			cancel(errAttemptEnded)
		}
	})
	return attempt, func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
	}
}

// attemptEnded reports whether the share of the time of an attempt ended it.
// The retry is then already taken from the budget.
func attemptEnded(attempt context.Context) bool {
	return context.Cause(attempt) == errAttemptEnded
}
