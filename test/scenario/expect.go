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

// expect checks a guarantee: expect NAME [ARGUMENT...]. See expectations.
func expect(st *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	check, ok := expectations()[args[0]]
	if !ok {
		return fmt.Errorf("unknown expectation %q", args[0])
	}
	return check(st, ts, args[1:])
}

func expectations() map[string]command {
	return map[string]command{
		"no-duplicates":      noDuplicates,      // no paid action ran twice
		"no-lost":            noLost,            // every acknowledged paid action ran
		"not-run-not-run":    notRunNotRun,      // no attempt that was refused as not run was run
		"whole-answers":      wholeAnswers,      // every complete response matches its request
		"no-failed-calls":    noFailedCalls,     // every call got a complete response
		"no-failed-reads":    noFailedReads,     // every idempotent call got a complete response
		"some-refused":       someRefused,       // at least one attempt was refused as not run
		"some-cut":           someCut,           // at least one response was truncated
		"paid-refused":       paidRefused,       // KEY: every response says that the action was not run
		"paid-runs":          paidRuns,          // KEY N: the paid action ran N times
		"same-answers":       sameAnswers,       // KEY: the action succeeded at least once, and all successful responses are equal
		"no-new-work":        noNewWork,         // HOST: its backend server starts no call for 1.5 s
		"gate-refused":       gateRefused,       // HOST REASON: its gate refused calls for this reason
		"absent":             absent,            // ID: every daemon counts as many live hosts as the mesh has, so the host is not one of them
		"versions-monotonic": versionsMonotonic, // no host applied an older version than before
		"platform-rates":     platformRates,     // READS WRITES: maximum requests per second since platform watch, for 1,200 daemons
		"platform-dropped":   platformDropped,   // REQUESTS: maximum requests per second to the platform while it is down, for 1,200 daemons
		"exit":               exitCode,          // CODE PROGRAM ARGUMENT...: the program exits with the code
		"running":            running,           // HOST...: the daemons run and serve metrics
	}
}

func noDuplicates(st *scriptState, _ *testscript.TestScript, _ []string) error {
	r, err := st.countRuns()
	if err != nil {
		return err
	}
	var duplicates []string
	for key, n := range r.byKey {
		if n > 1 {
			duplicates = append(duplicates, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	if len(r.byKey) == 0 {
		return errors.New("no paid action ran")
	}
	return violationError(duplicates)
}

func noLost(st *scriptState, _ *testscript.TestScript, _ []string) error {
	r, err := st.countRuns()
	if err != nil {
		return err
	}
	var lost []string
	for _, key := range st.loadResult.AcknowledgedKeys {
		if r.byKey[key] == 0 {
			lost = append(lost, key+" was acknowledged but did not run")
		}
	}
	if len(st.loadResult.AcknowledgedKeys) == 0 {
		return errors.New("no paid action was acknowledged")
	}
	return violationError(lost)
}

func notRunNotRun(st *scriptState, _ *testscript.TestScript, _ []string) error {
	r, err := st.countRuns()
	if err != nil {
		return err
	}
	var violations []string
	for _, attempt := range st.loadResult.RefusedAttempts {
		if r.byAttempt[attempt] > 0 {
			violations = append(violations, attempt+" was refused as not run but ran")
		}
	}
	return violationError(violations)
}

func wholeAnswers(st *scriptState, _ *testscript.TestScript, _ []string) error {
	if st.loadResult.Mismatched > 0 {
		return fmt.Errorf("%d responses were truncated or belong to another request, for example %q", st.loadResult.Mismatched, st.loadResult.Errors)
	}
	if len(st.loadResult.Latencies) == 0 {
		return errors.New("no call succeeded")
	}
	return nil
}

func noFailedCalls(st *scriptState, ts *testscript.TestScript, args []string) error {
	if st.loadResult.Failed > 0 {
		return fmt.Errorf("%d of %d calls failed, for example %q", st.loadResult.Failed, st.loadResult.Calls, st.loadResult.Errors)
	}
	return wholeAnswers(st, ts, args)
}

func noFailedReads(st *scriptState, ts *testscript.TestScript, args []string) error {
	if st.loadResult.FailedReads > 0 {
		return fmt.Errorf("%d reads of %d calls failed, for example %q", st.loadResult.FailedReads, st.loadResult.Calls, st.loadResult.Errors)
	}
	return wholeAnswers(st, ts, args)
}

func someRefused(st *scriptState, _ *testscript.TestScript, _ []string) error {
	if st.loadResult.Refused == 0 {
		return errors.New("no attempt was refused as not run")
	}
	return nil
}

func someCut(st *scriptState, _ *testscript.TestScript, _ []string) error {
	if st.loadResult.Truncated == 0 {
		return errors.New("no response was truncated")
	}
	return nil
}

func paidRefused(st *scriptState, _ *testscript.TestScript, args []string) error {
	for _, key := range args {
		if len(st.paidResponses[key]) == 0 {
			return fmt.Errorf("no call was made for %s", key)
		}
		for _, r := range st.paidResponses[key] {
			if r.err != nil || !r.notRun {
				return fmt.Errorf("%s: %s responded with %d %q (error %v), want a refusal as not run", key, r.host, r.status, r.body, r.err)
			}
		}
	}
	return nil
}

func paidRuns(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	r, err := st.countRuns()
	if err != nil {
		return err
	}
	if want, _ := strconv.Atoi(args[1]); r.byKey[args[0]] != want {
		return fmt.Errorf("%s ran %d times, want %s", args[0], r.byKey[args[0]], args[1])
	}
	return nil
}

func sameAnswers(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	var successes []paidResponse
	for _, r := range st.paidResponses[args[0]] {
		switch {
		case r.err == nil && r.status < 300:
			successes = append(successes, r)
		case r.err != nil || (!r.unknown && !r.notRun):
			return fmt.Errorf("%s responded with %d %q (error %v), want success, a refusal as not run or an unknown outcome", r.host, r.status, r.body, r.err)
		}
	}
	if len(successes) == 0 {
		return fmt.Errorf("none of %d calls succeeded", len(st.paidResponses[args[0]]))
	}
	for _, r := range successes {
		if r.status != successes[0].status || r.body != successes[0].body {
			return fmt.Errorf("%s responded with %d %q, but %s with %d %q", r.host, r.status, r.body, successes[0].host, successes[0].status, successes[0].body)
		}
	}
	return nil
}

// noNewWorkPeriod is the period in which a draining backend server must start no
// call.
const noNewWorkPeriod = 1500 * time.Millisecond

func noNewWork(st *scriptState, _ *testscript.TestScript, args []string) error {
	hosts, err := st.hosts(args...)
	if err != nil {
		return err
	}
	all, err := st.countRuns()
	if err != nil {
		return err
	}
	before := make([]int, len(hosts))
	for i, h := range hosts {
		lines, err := st.mesh.RunLog(h)
		if err != nil {
			return err
		}
		before[i] = len(lines)
	}
	time.Sleep(noNewWorkPeriod)
	for i, h := range hosts {
		lines, err := st.mesh.RunLog(h)
		if err != nil {
			return err
		}
		if len(lines) > before[i] {
			return fmt.Errorf("%s started %d calls, for example %q", h.ServerID(), len(lines)-before[i], lines[len(lines)-1])
		}
	}
	now, err := st.countRuns()
	if err != nil {
		return err
	}
	if len(now.byAttempt) == len(all.byAttempt) {
		return errors.New("no other backend server ran a call in the meantime")
	}
	return nil
}

func gateRefused(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	hosts, err := st.hosts(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := st.withTimeout(5 * time.Second)
	defer cancel()
	name := fmt.Sprintf("peridotlb_refused_total{reason=%q}", args[1])
	if n, err := hosts[0].Metric(ctx, name); err != nil || n == 0 {
		return fmt.Errorf("the gate of %s refused %v calls (%v), want some", hosts[0].ID, n, err)
	}
	return nil
}

func absent(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	ctx, cancel := st.withTimeout(10 * time.Second)
	defer cancel()
	for _, h := range st.mesh.Hosts {
		client, err := h.Operator(mesh.ReadToken())
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
		if live != len(st.mesh.Hosts) {
			return fmt.Errorf("%s counts %d live hosts, want %d without %s", h.ID, live, len(st.mesh.Hosts), args[0])
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

func running(st *scriptState, _ *testscript.TestScript, args []string) error {
	hosts, err := st.hosts(args...)
	if err != nil {
		return err
	}
	var ended []string
	for _, h := range hosts {
		ctx, cancel := st.withTimeout(5 * time.Second)
		_, err := h.Metric(ctx, "peridotlb_version_applied")
		cancel()
		if err != nil || !h.Daemon.Running() {
			ended = append(ended, fmt.Sprintf("%s does not run or serves no metrics: %v", h.ID, err))
		}
	}
	return violationError(ended)
}

// maxReported limits the number of violations that an error lists.
const maxReported = 5

func violationError(violations []string) error {
	if len(violations) == 0 {
		return nil
	}
	slices.Sort(violations)
	return fmt.Errorf("%d violations: %q", len(violations), violations[:min(maxReported, len(violations))])
}
