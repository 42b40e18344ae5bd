package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/pool"
)

// hangFactor is the time, in expected run times, after which the server of a call
// with a target is taken to hang.
const hangFactor = 4

// endFactor is the time, in expected run times, in which a call ends almost
// certainly: one in 500 takes longer.
const endFactor = 6

// attempt is one try of a call at one server.
type attempt struct {
	choice *pool.Choice
	start  time.Time
	cancel context.CancelFunc
	// overtaken says that a later attempt was begun because this one takes long.
	overtaken bool
}

// run attempts the call until it has a reply or may not be retried. While an
// attempt takes long, a second one may run beside it; the first reply counts.
func (x *exchange) run(ctx context.Context) result {
	x.results = make(chan result, 1+maxAsked+int(x.match.Route.Retries)+refusedRetries)
	choice, err := x.pick(nil)
	if err != nil {
		return result{answer: answer{failure: x.noServer(err)}}
	}
	if f := x.endsTooSoon(choice); f != nil {
		choice.Done(pool.Result{Outcome: pool.Abandoned})
		return result{answer: answer{failure: f}}
	}
	defer x.abandon()
	hedge := time.NewTimer(x.hedgeAfter(choice))
	defer hedge.Stop()
	x.begin(ctx, choice)
	for {
		select {
		case r := <-x.results:
			if end, done := x.next(ctx, r); done {
				return end
			}
		case <-hedge.C:
			x.hedge(ctx)
		}
	}
}

// endsTooSoon refuses a call that might not end before this daemon does.
func (x *exchange) endsTooSoon(choice *pool.Choice) *failure {
	end := x.entry.config.EndsAt()
	if end.IsZero() {
		return nil
	}
	left := end.Sub(x.now())
	if choice.Wait+endFactor*choice.Run <= left {
		return nil
	}
	return &failure{reason: reasonStopping, notRun: true, retryAfter: left}
}

// hedgeAfter is the time after which a second attempt may run beside the first:
// half of the time left, and for a call with a target also what only a server that
// hangs needs.
func (x *exchange) hedgeAfter(choice *pool.Choice) time.Duration {
	limit := x.left() / 2
	if !x.target.IsZero() {
		limit = max(limit, choice.Wait+hangFactor*choice.Run)
	}
	return limit
}

// begin starts an attempt.
func (x *exchange) begin(ctx context.Context, choice *pool.Choice) {
	a := &attempt{choice: choice, start: x.now()}
	ctx, a.cancel = context.WithCancel(ctx)
	x.started++
	x.tried = append(x.tried, choice.Server.ID)
	x.running = append(x.running, a)
	go func() {
		r := result{answer: x.send(ctx, choice), attempt: a}
		r.waited = x.now().Sub(a.start)
		x.results <- r
	}()
}

// retries is the number of attempts after the first one that a server saw, or may
// have seen, or refused for another reason than lack of room.
func (x *exchange) retries() int { return x.started - 1 - x.asked }

// next decides what follows the result of an attempt. It returns the end of the
// exchange when nothing does.
func (x *exchange) next(ctx context.Context, r result) (result, bool) {
	x.running = slices.DeleteFunc(x.running, func(a *attempt) bool { return a == r.attempt })
	x.steps = append(x.steps, stepOf(r, r.start.Sub(x.start)))
	x.note(r)
	if r.failure == nil && (!r.reply.failing() || !x.match.Route.Idempotent()) {
		return r, true
	}
	if !x.mayRetry(ctx, &r) {
		return x.endUnlessRunning(r)
	}
	choice, err := x.pick(r.failure)
	if err != nil {
		r.noRetry = x.retries() > 0
		if r.failure != nil && r.failure.notRun {
			r.failure = x.noServer(err)
		}
		return x.endUnlessRunning(r)
	}
	x.discard(r)
	x.entry.meters.retries.Inc()
	x.begin(ctx, choice)
	return result{}, false
}

// endUnlessRunning ends the exchange with a failed attempt, unless another attempt
// still runs, which may succeed.
func (x *exchange) endUnlessRunning(r result) (result, bool) {
	if len(x.running) > 0 {
		x.discard(r)
		return result{}, false
	}
	return x.end(r), true
}

// discard reports the end of an attempt whose result is not used.
func (x *exchange) discard(r result) {
	r.reply.close()
	x.report(r)
	r.cancel()
}

// hedge begins a second attempt beside one that takes long, if the call may run
// twice, a server has a free slot and the budget grants the retry.
func (x *exchange) hedge(ctx context.Context) {
	if !x.match.Route.Idempotent() || x.retries() >= int(x.match.Route.Retries) || !x.call.body.resendable() || len(x.running) != 1 {
		return
	}
	choice, err := x.pick(&failure{refused: true})
	if err != nil {
		return
	}
	if !x.target.IsZero() && choice.Wait > 0 || !x.entry.config.Pool.Retry(x.match.Service.Name) {
		choice.Done(pool.Result{Outcome: pool.Abandoned})
		return
	}
	x.running[0].overtaken = true
	x.entry.meters.retries.Inc()
	x.begin(ctx, choice)
}

// abandon ends the attempts that still run when the exchange has its result.
func (x *exchange) abandon() {
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
			if r.overtaken {
				outcome = pool.Failed // a later attempt was faster
			}
			r.choice.Done(pool.Result{Outcome: outcome})
		}
	}()
}
