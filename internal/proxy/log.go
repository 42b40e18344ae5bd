package proxy

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/gate"
)

// attemptLog describes one attempt of a call for the log, with the values that
// determined it.
type attemptLog struct {
	server       backend.ServerID
	startedAfter time.Duration // since the call arrived
	elapsed      time.Duration
	expectedWait time.Duration // for a slot
	expectedRun  time.Duration // at the server
	maxWait      time.Duration
	forecastWait time.Duration // forecast by the gate for the lowest priority band
	outcome      string
}

func newAttemptLog(r attemptResult, at time.Duration) attemptLog {
	c := r.choice
	s := attemptLog{server: c.Server.ID, startedAfter: at, elapsed: r.elapsed, expectedWait: c.ExpectedWait, expectedRun: c.ExpectedRunTime, maxWait: c.MaxWait, forecastWait: r.forecast.Wait[gate.PriorityBands-1], outcome: "answered"}
	if r.failure != nil {
		s.outcome = r.failure.reason
	}
	return s
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s attemptLog) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("server", string(s.server))
	e.AddInt64("at-ms", s.startedAfter.Milliseconds())
	e.AddInt64("took-ms", s.elapsed.Milliseconds())
	e.AddInt64("expected-wait-ms", s.expectedWait.Milliseconds())
	e.AddInt64("expected-run-ms", s.expectedRun.Milliseconds())
	e.AddInt64("max-wait-ms", s.maxWait.Milliseconds())
	e.AddInt64("forecast-ms", s.forecastWait.Milliseconds())
	e.AddString("outcome", s.outcome)
	return nil
}

// logFailure logs a call that ended without a response from a server.
func (x *exchange) logFailure(res attemptResult) {
	if res.failure == nil {
		return
	}
	x.entry.config.Log.Info("Call failed.",
		zap.String("call", x.call.id), zap.String("route", string(x.match.Route.Name)), zap.String("service", string(x.match.Service.Name)),
		zap.String("reason", res.failure.reason), zap.Bool("not-run", res.failure.notRun), zap.Int64("left-ms", x.remaining().Milliseconds()),
		zap.Int64("after-ms", x.now().Sub(x.start).Milliseconds()), zap.Objects("attempts", x.attemptLogs), zap.Error(res.failure.err))
}

// logFailure logs a call that ended at this gate without a response from its
// server.
func (g *gateHandler) logFailure(text string, c *call, id backend.ServerID, q gate.Call, a gateResult) {
	g.config.Log.Info(text,
		zap.String("call", c.id), zap.String("server", string(id)), zap.String("reason", a.failure.reason), zap.Bool("not-run", a.failure.notRun),
		zap.Int("in-flight", a.load.InFlight), zap.Int("queued", a.load.Queued), zap.Int("slots", a.load.Slots), zap.Uint8("priority", q.Priority),
		zap.Int64("max-wait-ms", q.MaxWait.Milliseconds()), zap.Int64("left-ms", c.deadline.Sub(g.config.Now()).Milliseconds()), zap.Error(a.failure.err))
}
