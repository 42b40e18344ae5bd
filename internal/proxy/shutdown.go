package proxy

// refuseBeforeShutdown returns a failure for a call that might not end before this
// daemon cancels the calls in flight. Only the deadline of a call bounds when it ends:
// earlier run times of its route say little about the longest ones.
func (e *entryHandler) refuseBeforeShutdown(c *call) *failure {
	end := e.config.ShutdownDeadline()
	if end.IsZero() || !c.deadline.After(end) {
		return nil
	}
	return &failure{reason: reasonStopping, notRun: true, retryAfter: end.Sub(e.config.Now())}
}

// mayBeginLate reports whether a call that was accepted may be sent to a server now. A
// call that may run twice is still worth an attempt shortly before the shutdown, but the
// outcome of another one would be unknown if it is broken off.
func (x *exchange) mayBeginLate() bool {
	return x.match.Route.Idempotent() || x.entry.refuseBeforeShutdown(x.call) == nil
}
