package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/pool"
)

const (
	// hangFactor is the time, in expected run times, after which the server of a call
	// with a target is taken to hang.
	hungServerFactor = 4
	// slowFactor is the time, in expected run times, after which a call with a target
	// may run a second time because the first is slow: about one call in nine.
	slowAttemptFactor = 2
	// secondFactor is the time, in expected run times, that the second one needs:
	// four in five end within it.
	hedgeRunFactor = 1.5
	// maxHedgeToll is the cost of the bytes, in calls, up to which that pays.
	maxHedgeTransferCost = 0.3
)

// endFactor is the time, in expected run times, in which a call ends almost
// certainly: one in 500 takes longer.
const completionFactor = 6

// attempt is one try of a call at one server.
type attempt struct {
	choice *pool.Choice
	start  time.Time
	cancel context.CancelFunc
	// overtaken says that a later attempt was begun because this one takes long.
	presumedHung bool
}

// run attempts the call until it has a reply or may not be retried. While an
// attempt takes long, a second one may run beside it; the first reply counts.
func (x *exchange) run(ctx context.Context) attemptResult {
	x.results = make(chan attemptResult, 1+maxGateRefusals+int(x.match.Route.Retries)+notRunRetries)
	choice, err := x.chooseServer(nil)
	if err != nil {
		return attemptResult{gateResult: gateResult{failure: x.noServerFailure(err)}}
	}
	if f := x.refuseBeforeShutdown(choice); f != nil {
		choice.Done(pool.Result{Outcome: pool.Abandoned})
		return attemptResult{gateResult: gateResult{failure: f}}
	}
	defer x.cancelRunning()
	slow, hang := x.hedgeDelays(choice)
	hedge := time.NewTimer(slow)
	defer hedge.Stop()
	x.startAttempt(ctx, choice)
	for {
		select {
		case r := <-x.results:
			if end, done := x.handleResult(ctx, r); done {
				return end
			}
		case <-hedge.C:
			early := slow < hang
			if x.startHedge(ctx, early) || !early {
				continue
			}
			hedge.Reset(hang - slow)
			slow = hang
		}
	}
}

// endsTooSoon refuses a call that might not end before this daemon does.
func (x *exchange) refuseBeforeShutdown(choice *pool.Choice) *failure {
	end := x.entry.config.ShutdownDeadline()
	if end.IsZero() {
		return nil
	}
	left := end.Sub(x.now())
	if choice.ExpectedWait+completionFactor*choice.ExpectedRun <= left {
		return nil
	}
	return &failure{reason: reasonStopping, notRun: true, retryAfter: left}
}

// hedgeAfter is the time after which a second attempt may run beside the first: half
// of the time left, and for a call with a target also what only a server that hangs
// needs. A call with a target is slow before that, when the second attempt must begin
// to meet the target.
func (x *exchange) hedgeDelays(choice *pool.Choice) (slow, hang time.Duration) {
	hang = x.remaining() / 2
	if x.targetTime.IsZero() {
		return hang, hang
	}
	hang = max(hang, choice.ExpectedWait+hungServerFactor*choice.ExpectedRun)
	slow = max(choice.ExpectedWait+slowAttemptFactor*choice.ExpectedRun, x.targetTime.Sub(x.now())-time.Duration(hedgeRunFactor*float64(choice.ExpectedRun)))
	return min(slow, hang), hang
}

// begin starts an attempt.
func (x *exchange) startAttempt(ctx context.Context, choice *pool.Choice) {
	a := &attempt{choice: choice, start: x.now()}
	ctx, a.cancel = context.WithCancel(ctx)
	x.startedAttempts++
	x.tried = append(x.tried, choice.Server.ID)
	x.running = append(x.running, a)
	go func() {
		r := attemptResult{gateResult: x.sendAttempt(ctx, choice), attempt: a}
		r.elapsed = x.now().Sub(a.start)
		x.results <- r
	}()
}

// retries is the number of attempts after the first one that a server saw, or may
// have seen, or refused for another reason than lack of room.
func (x *exchange) retryCount() int { return x.startedAttempts - 1 - x.gateRefusals }

// next decides what follows the result of an attempt. It returns the end of the
// exchange when nothing does.
func (x *exchange) handleResult(ctx context.Context, r attemptResult) (attemptResult, bool) {
	x.running = slices.DeleteFunc(x.running, func(a *attempt) bool { return a == r.attempt })
	x.attemptLogs = append(x.attemptLogs, newAttemptLog(r, r.start.Sub(x.start)))
	x.recordAttempt(r)
	if r.failure == nil && (!r.reply.hasRetryableStatus() || !x.match.Route.Idempotent()) {
		return r, true
	}
	if !x.mayRetry(ctx, &r) {
		return x.endIfNoneRunning(r)
	}
	choice, err := x.chooseServer(r.failure)
	if err != nil {
		r.noRetry = x.retryCount() > 0
		if r.failure != nil && r.failure.notRun {
			r.failure = x.noServerFailure(err)
		}
		return x.endIfNoneRunning(r)
	}
	x.discard(r)
	x.entry.metrics.retries.Inc()
	x.startAttempt(ctx, choice)
	return attemptResult{}, false
}

// endUnlessRunning ends the exchange with a failed attempt, unless another attempt
// still runs, which may succeed.
func (x *exchange) endIfNoneRunning(r attemptResult) (attemptResult, bool) {
	if len(x.running) > 0 {
		x.discard(r)
		return attemptResult{}, false
	}
	return x.finalize(r), true
}

// discard reports the end of an attempt whose result is not used.
func (x *exchange) discard(r attemptResult) {
	r.reply.close()
	x.reportOutcome(r)
	r.cancel()
}

// hedge begins a second attempt beside one that takes long, if the call may run
// twice, a server has a free slot and the budget grants the retry. An early one must
// also be worth its bytes. It reports whether it began one.
func (x *exchange) startHedge(ctx context.Context, early bool) bool {
	if !x.match.Route.Idempotent() || x.retryCount() >= int(x.match.Route.Retries) || !x.call.body.resendable() || len(x.running) != 1 {
		return false
	}
	choice, err := x.chooseServer(&failure{refused: true})
	if err != nil {
		return false
	}
	if !x.targetTime.IsZero() && choice.ExpectedWait > 0 || early && choice.TransferCost > maxHedgeTransferCost || !x.entry.config.Pool.Retry(x.match.Service.Name) {
		choice.Done(pool.Result{Outcome: pool.Abandoned})
		return false
	}
	// A server that is only slow with one call is not to blame.
	x.running[0].presumedHung = !early
	x.entry.metrics.retries.Inc()
	x.startAttempt(ctx, choice)
	return true
}

// abandon ends the attempts that still run when the exchange has its result.
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
				outcome = pool.Failed // a later attempt was faster
			}
			r.choice.Done(pool.Result{Outcome: outcome})
		}
	}()
}
