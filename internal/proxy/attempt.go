package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/pool"
)

const (
	// hungServerFactor is the multiple of the expected run time after which the
	// server of a call with a latency target is presumed hung.
	hungServerFactor = 4
	// slowAttemptFactor is the multiple of the expected run time after which an
	// attempt of a call with a latency target counts as slow and a hedged attempt
	// may start. About one call in nine takes that long.
	slowAttemptFactor = 2
	// hedgeRunFactor is the multiple of the expected run time that is reserved for
	// a hedged attempt. Four in five complete within it.
	hedgeRunFactor = 1.5
	// maxHedgeTransferCost is the highest transfer cost, in the units of
	// pool.Choice.TransferCost, at which hedging a slow attempt pays off.
	maxHedgeTransferCost = 0.3
)

// attempt is one attempt to send a call to one backend server.
type attempt struct {
	choice *pool.Choice
	start  time.Time
	cancel context.CancelFunc
	// presumedHung is set when a hedged attempt was started because this one takes
	// so long that its server may hang.
	presumedHung bool
}

// run sends the call and retries it until it has a response or must not be retried.
// A hedged attempt may run in parallel with a slow one; the first response wins.
func (x *exchange) run(ctx context.Context) attemptResult {
	x.results = make(chan attemptResult, 1+maxGateRefusals+maxUnreachableGates+int(x.match.Route.Retries)+notRunRetries)
	if f := x.entry.refuseBeforeShutdown(x.call); f != nil {
		return attemptResult{gateResult: gateResult{failure: f}}
	}
	choice, err := x.chooseServer(nil)
	if err != nil {
		return attemptResult{gateResult: gateResult{failure: x.noServerFailure(err)}}
	}
	defer x.cancelRunning()
	slowAfter, hungAfter := x.hedgeDelays(choice)
	hedgeTimer := time.NewTimer(slowAfter)
	defer hedgeTimer.Stop()
	x.startAttempt(ctx, choice)
	for {
		select {
		case r := <-x.results:
			if final, done := x.handleResult(ctx, r); done {
				return final
			}
		case <-hedgeTimer.C:
			early := slowAfter < hungAfter
			if x.startHedge(ctx, early) || !early {
				continue
			}
			hedgeTimer.Reset(hungAfter - slowAfter)
			slowAfter = hungAfter // the next hedged attempt is no longer early
		}
	}
}

// hedgeDelays returns the times after which a hedged attempt may start. hungAfter
// is half of the remaining time; for a call with a latency target, it is at least
// the time after which the server is presumed hung. For such a call, slowAfter may be
// earlier: it is the latest time at which a hedged attempt can start and still meet
// the target, but not before the first attempt counts as slow.
func (x *exchange) hedgeDelays(choice *pool.Choice) (slowAfter, hungAfter time.Duration) {
	hungAfter = x.remaining() / 2
	if x.targetTime.IsZero() {
		return hungAfter, hungAfter
	}
	hungAfter = max(hungAfter, choice.ExpectedWait+hungServerFactor*choice.ExpectedRunTime)
	slowAfter = max(choice.ExpectedWait+slowAttemptFactor*choice.ExpectedRunTime, x.targetTime.Sub(x.now())-time.Duration(hedgeRunFactor*float64(choice.ExpectedRunTime)))
	return min(slowAfter, hungAfter), hungAfter
}

// startAttempt sends the call to the chosen server in a new goroutine.
func (x *exchange) startAttempt(ctx context.Context, choice *pool.Choice) {
	a := &attempt{choice: choice, start: x.now()}
	ctx, a.cancel = context.WithCancel(ctx)
	// An attempt concurrent with another, or after one that may have run, can make the call
	// run twice.
	runsAgain := x.mayHaveRun || len(x.running) > 0
	x.startedAttempts++
	x.tried = append(x.tried, choice.Server.ID)
	x.running = append(x.running, a)
	go func() {
		r := attemptResult{gateResult: x.sendAttempt(ctx, choice, runsAgain), attempt: a}
		r.elapsed = x.now().Sub(a.start)
		x.results <- r
	}()
}

// retryCount returns the number of attempts after the first one, not counting those
// that a gate refused for lack of room, or whose gate could not be connected to.
func (x *exchange) retryCount() int {
	return x.startedAttempts - 1 - x.gateRefusals - min(x.unreachable, maxUnreachableGates)
}

// handleResult decides how to continue after an attempt ended. It returns the final
// result and true when the exchange is over.
func (x *exchange) handleResult(ctx context.Context, r attemptResult) (attemptResult, bool) {
	x.running = slices.DeleteFunc(x.running, func(a *attempt) bool { return a == r.attempt })
	x.attemptLogs = append(x.attemptLogs, newAttemptLog(r, r.start.Sub(x.start)))
	x.observeNotice(r)
	x.recordAttempt(r)
	if r.failure == nil && x.promisesWithoutProof(r.reply.status) {
		r.reply.close()
		r.reply, r.failure = nil, &failure{reason: reasonUnprovedRefusal}
		return x.endIfNoneRunning(r)
	}
	if r.failure == nil && (!r.reply.hasRetryableStatus() || !x.match.Route.Idempotent()) {
		return r, true
	}
	if !x.takeRetry(ctx, &r) {
		return x.endIfNoneRunning(r)
	}
	choice, err := x.chooseServer(r.failure)
	if err != nil {
		r.noRetry = x.retryCount() > 0
		if r.failure != nil && r.failure.notRun && r.failure.reason != reasonLinkFull {
			r.failure = x.noServerFailure(err)
		}
		return x.endIfNoneRunning(r)
	}
	if !r.reply.stopUpload() {
		choice.Done(pool.Result{Outcome: pool.Abandoned})
		return x.endIfNoneRunning(r)
	}
	x.discard(r)
	x.entry.metrics.retries.Inc()
	x.startAttempt(ctx, choice)
	return attemptResult{}, false
}

// endIfNoneRunning ends the exchange with a failed attempt, unless another attempt
// is still running and may succeed.
func (x *exchange) endIfNoneRunning(r attemptResult) (attemptResult, bool) {
	if len(x.running) > 0 {
		x.discard(r)
		return attemptResult{}, false
	}
	return x.withFinalFailure(r), true
}

// discard closes the reply of an attempt whose result is not used, reports its
// outcome and releases its context.
func (x *exchange) discard(r attemptResult) {
	r.reply.close()
	x.reportOutcome(r)
	r.cancel()
}

// startHedge starts a second attempt in parallel with a slow one if the route is
// idempotent, a server has a free slot and the retry budget allows it. If early is
// set, the transfer cost must be low enough too. It reports whether it started an
// attempt.
func (x *exchange) startHedge(ctx context.Context, early bool) bool {
	if !x.match.Route.Idempotent() || x.retryCount() >= int(x.match.Route.Retries) || !x.call.body.resendable() || len(x.running) != 1 {
		return false
	}
	// With a refusal as the last failure, only a server that was not tried is chosen.
	choice, err := x.chooseServer(&failure{refused: true})
	if err != nil {
		return false
	}
	if !x.targetTime.IsZero() && choice.ExpectedWait > 0 || early && choice.TransferCost > maxHedgeTransferCost || !x.entry.config.Pool.TakeRetry(x.match.Service.Name) {
		choice.Done(pool.Result{Outcome: pool.Abandoned})
		return false
	}
	// An early hedged attempt only means that the call is slow, not that its server
	// hangs.
	x.running[0].presumedHung = !early
	x.entry.metrics.retries.Inc()
	x.startAttempt(ctx, choice)
	return true
}

// cancelRunning cancels the attempts that are still running when the exchange has
// its result.
func (x *exchange) cancelRunning() {
	if len(x.running) == 0 {
		return
	}
	running := slices.Clone(x.running)
	for _, a := range running {
		a.cancel()
	}
	go func() {
		for range running {
			r := <-x.results
			r.reply.close()
			outcome := pool.Abandoned
			if r.presumedHung {
				outcome = pool.Failed // a hedged attempt was faster
			}
			r.choice.Done(pool.Result{Outcome: outcome})
		}
	}()
}
