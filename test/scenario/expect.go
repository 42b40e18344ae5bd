package scenario

import (
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/test/mesh"
)

// expect checks a promise: expect WHAT [ARGUMENT...]. See expectations.
func expect(w *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	check, ok := expectations()[args[0]]
	if !ok {
		return fmt.Errorf("%q is not one of the expectations", args[0])
	}
	return check(w, ts, args[1:])
}

func expectations() map[string]command {
	return map[string]command{
		"no-duplicates":      noDuplicates,      // no paid action ran twice
		"no-lost":            noLost,            // acknowledged actions ran
		"not-run-not-run":    notRunNotRun,      // attempts refused as not run did not run
		"whole-answers":      wholeAnswers,      // complete answers were whole and the caller's own
		"no-failed-calls":    noFailedCalls,     // every call got an answer
		"no-failed-reads":    noFailedReads,     // every idempotent call got an answer
		"some-refused":       someRefused,       // some attempts were refused as not run
		"some-cut":           someCut,           // some answers broke off
		"paid-refused":       paidRefused,       // KEY: every reply says that it was not run
		"paid-runs":          paidRuns,          // KEY N: the action ran N times
		"same-answers":       sameAnswers,       // KEY: at least one answer, all equal
		"no-new-work":        noNewWork,         // HOST: its server begins nothing for 1.5 s
		"gate-refused":       gateRefused,       // HOST REASON: its gate refused calls for this reason
		"absent":             absent,            // ID: no daemon knows the host
		"versions-monotonic": versionsMonotonic, // no host applied a version below an earlier one
		"platform-rates":     platformRates,     // READS WRITES: most calls per second since platform watch, for 1,200 daemons
		"platform-dropped":   platformDropped,   // REQUESTS: most requests per second to the platform while down, for 1,200 daemons
		"exit":               exitCode,          // CODE PROGRAM ARGUMENT...
		"running":            running,           // HOST...: the daemons run
	}
}

func noDuplicates(w *scriptState, _ *testscript.TestScript, _ []string) error {
	r, err := w.countRuns()
	if err != nil {
		return err
	}
	var twice []string
	for key, n := range r.byKey {
		if n > 1 {
			twice = append(twice, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	if len(r.byKey) == 0 {
		return errors.New("no paid action ran")
	}
	return violationError(twice)
}

func noLost(w *scriptState, _ *testscript.TestScript, _ []string) error {
	r, err := w.countRuns()
	if err != nil {
		return err
	}
	var lost []string
	for _, key := range w.loadResult.AcknowledgedKeys {
		if r.byKey[key] == 0 {
			lost = append(lost, key+" was acknowledged and did not run")
		}
	}
	if len(w.loadResult.AcknowledgedKeys) == 0 {
		return errors.New("no paid action was acknowledged")
	}
	return violationError(lost)
}

func notRunNotRun(w *scriptState, _ *testscript.TestScript, _ []string) error {
	r, err := w.countRuns()
	if err != nil {
		return err
	}
	var wrong []string
	for _, attempt := range w.loadResult.RefusedAttempts {
		if r.byAttempt[attempt] > 0 {
			wrong = append(wrong, attempt+" was refused as not run and ran")
		}
	}
	return violationError(wrong)
}

func wholeAnswers(w *scriptState, _ *testscript.TestScript, _ []string) error {
	if w.loadResult.Mismatched > 0 {
		return fmt.Errorf("%d answers were truncated or of another request, for example %q", w.loadResult.Mismatched, w.loadResult.Errors)
	}
	if len(w.loadResult.Latencies) == 0 {
		return errors.New("no call was answered")
	}
	return nil
}

func noFailedCalls(w *scriptState, ts *testscript.TestScript, args []string) error {
	if w.loadResult.Failed > 0 {
		return fmt.Errorf("%d of %d calls failed, for example %q", w.loadResult.Failed, w.loadResult.Calls, w.loadResult.Errors)
	}
	return wholeAnswers(w, ts, args)
}

func noFailedReads(w *scriptState, ts *testscript.TestScript, args []string) error {
	if w.loadResult.FailedReads > 0 {
		return fmt.Errorf("%d reads of %d calls failed, for example %q", w.loadResult.FailedReads, w.loadResult.Calls, w.loadResult.Errors)
	}
	return wholeAnswers(w, ts, args)
}

func someRefused(w *scriptState, _ *testscript.TestScript, _ []string) error {
	if w.loadResult.Refused == 0 {
		return errors.New("no attempt was refused as not run")
	}
	return nil
}

func someCut(w *scriptState, _ *testscript.TestScript, _ []string) error {
	if w.loadResult.Truncated == 0 {
		return errors.New("no answer broke off")
	}
	return nil
}

func paidRefused(w *scriptState, _ *testscript.TestScript, args []string) error {
	for _, key := range args {
		if len(w.paidResponses[key]) == 0 {
			return fmt.Errorf("no reply for %s", key)
		}
		for _, r := range w.paidResponses[key] {
			if r.err != nil || !r.notRun {
				return fmt.Errorf("%s: %s answered %d %q (%v), want a refusal as not run", key, r.host, r.status, r.body, r.err)
			}
		}
	}
	return nil
}

func paidRuns(w *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	r, err := w.countRuns()
	if err != nil {
		return err
	}
	if want, _ := strconv.Atoi(args[1]); r.byKey[args[0]] != want {
		return fmt.Errorf("%s ran %d times, want %s", args[0], r.byKey[args[0]], args[1])
	}
	return nil
}

func sameAnswers(w *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	var answers []paidResponse
	for _, r := range w.paidResponses[args[0]] {
		switch {
		case r.err == nil && r.status < 300:
			answers = append(answers, r)
		case r.err != nil || (!r.unknown && !r.notRun):
			return fmt.Errorf("%s answered %d %q (%v), want an answer, a refusal or an unknown outcome", r.host, r.status, r.body, r.err)
		}
	}
	if len(answers) == 0 {
		return fmt.Errorf("no answer among %d replies", len(w.paidResponses[args[0]]))
	}
	for _, r := range answers {
		if r.status != answers[0].status || r.body != answers[0].body {
			return fmt.Errorf("%s answered %d %q, and %s %d %q", r.host, r.status, r.body, answers[0].host, answers[0].status, answers[0].body)
		}
	}
	return nil
}

// quietTime is how long a leaving server must begin nothing.
const noNewWorkPeriod = 1500 * time.Millisecond

func noNewWork(w *scriptState, _ *testscript.TestScript, args []string) error {
	hosts, err := w.hosts(args...)
	if err != nil {
		return err
	}
	all, err := w.countRuns()
	if err != nil {
		return err
	}
	before := make([]int, len(hosts))
	for i, h := range hosts {
		lines, err := w.mesh.RunLog(h)
		if err != nil {
			return err
		}
		before[i] = len(lines)
	}
	time.Sleep(noNewWorkPeriod)
	for i, h := range hosts {
		lines, err := w.mesh.RunLog(h)
		if err != nil {
			return err
		}
		if len(lines) > before[i] {
			return fmt.Errorf("%s began %d calls, for example %q", h.ServerID(), len(lines)-before[i], lines[len(lines)-1])
		}
	}
	now, err := w.countRuns()
	if err != nil {
		return err
	}
	if len(now.byAttempt) == len(all.byAttempt) {
		return errors.New("no other backend server ran anything")
	}
	return nil
}

func gateRefused(w *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	hosts, err := w.hosts(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := w.withTimeout(5 * time.Second)
	defer cancel()
	name := fmt.Sprintf("peridotlb_refused_total{reason=%q}", args[1])
	if n, err := hosts[0].Metric(ctx, name); err != nil || n == 0 {
		return fmt.Errorf("the gate of %s refused %v calls (%v), want some", hosts[0].ID, n, err)
	}
	return nil
}

func absent(w *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	ctx, cancel := w.withTimeout(10 * time.Second)
	defer cancel()
	for _, h := range w.mesh.Hosts {
		client, err := h.Operator(mesh.AnyToken())
		if err != nil {
			return err
		}
		status, err := client.GetStatus(ctx)
		if err != nil {
			return err
		}
		live := 0
		for _, z := range status.Zones {
			live += z.Hosts
		}
		if live != len(w.mesh.Hosts) {
			return fmt.Errorf("%s counts %d live hosts, want %d without %s", h.ID, live, len(w.mesh.Hosts), args[0])
		}
	}
	return nil
}

func exitCode(_ *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			return err
		}
		got = exit.ExitCode()
	}
	if got != want {
		return fmt.Errorf("%s exited with %d, want %d", args[1], got, want)
	}
	return nil
}

func running(w *scriptState, _ *testscript.TestScript, args []string) error {
	hosts, err := w.hosts(args...)
	if err != nil {
		return err
	}
	var ended []string
	for _, h := range hosts {
		ctx, cancel := w.withTimeout(5 * time.Second)
		_, err := h.Metric(ctx, "peridotlb_version_applied")
		cancel()
		if err != nil || !h.Daemon.Running() {
			ended = append(ended, fmt.Sprintf("%s does not run: %v", h.ID, err))
		}
	}
	return violationError(ended)
}

// maxReported bounds the violations that one message lists.
const maxReported = 5

func violationError(violations []string) error {
	if len(violations) == 0 {
		return nil
	}
	slices.Sort(violations)
	return fmt.Errorf("%d violations: %q", len(violations), violations[:min(maxReported, len(violations))])
}
