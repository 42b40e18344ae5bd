package documentsubmit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/command/status"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// firstPollInterval is the first pause between two reads of the status. The pause
// doubles up to Options.MaxPollInterval. Most zones converge within a fraction of a
// second.
const firstPollInterval = 50 * time.Millisecond

// wait prints the zones as they converge, until all have converged or the context
// ends. Failed reads of the status are retried, because the version is accepted in
// any case.
func (sub *submitter) wait(ctx context.Context) error {
	started := sub.Now()
	sub.result.Zones = map[string]bool{}
	var statusErr error
	for pause := min(sub.MaxPollInterval, firstPollInterval); ; pause = min(sub.MaxPollInterval, 2*pause) {
		s, err := sub.API.GetStatus(ctx)
		if err == nil && sub.showProgress(s, sub.Now().Sub(started)) {
			sub.result.Converged = true
			sub.printf("version %d is in effect in all %d zones\n", sub.result.Version, len(s.Zones))
			return nil
		}
		if err != nil && ctx.Err() == nil {
			statusErr = err
		}
		select {
		case <-ctx.Done():
			sub.clearLine()
			return sub.notConvergedError(ctx, statusErr)
		case <-time.After(pause):
		}
	}
}

// showProgress prints the progress and reports whether all zones have converged.
func (sub *submitter) showProgress(s *api.Status, elapsed time.Duration) bool {
	all := len(s.Zones) > 0
	var line []string
	for _, z := range s.Zones {
		state := status.ZoneState(z, sub.result.Version)
		if state == "converged" && !sub.result.Zones[z.Zone] {
			sub.clearLine()
			sub.printf("zone %s applied version %d on %s after %.1f s\n", z.Zone, sub.result.Version, hostCount(z.Hosts), elapsed.Seconds())
		}
		sub.result.Zones[z.Zone] = state == "converged"
		all = all && state == "converged"
		switch state {
		case "converging":
			line = append(line, fmt.Sprintf("%s %d/%d", z.Zone, status.AppliedHosts(z, sub.result.Version), z.Hosts))
		case "unreachable":
			line = append(line, z.Zone+" unreachable")
		}
	}
	if sub.Streams.Terminal && !all {
		sub.printf("\r\x1b[Kwaiting: %s", strings.Join(line, ", "))
	}
	return all
}

// clearLine removes the progress line from the terminal.
func (sub *submitter) clearLine() {
	if sub.Streams.Terminal {
		sub.printf("\r\x1b[K")
	}
}

func hostCount(n int) string {
	if n == 1 {
		return "1 host"
	}
	return fmt.Sprintf("%d hosts", n)
}

func (sub *submitter) notConvergedError(ctx context.Context, statusErr error) error {
	reason := "interrupted"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = "no convergence within " + sub.Timeout.String()
	}
	// The last status may be some seconds old, because reading the status takes
	// that long while zones are unreachable.
	var pending []string
	for zone, done := range sub.result.Zones {
		if !done {
			pending = append(pending, zone)
		}
	}
	slices.Sort(pending)
	text := fmt.Sprintf("%s: version %d is accepted and cannot be lost", reason, sub.result.Version)
	if len(pending) > 0 {
		text += ", but was not yet seen in effect in " + strings.Join(pending, ", ")
	}
	if statusErr != nil {
		text += "; last status: " + statusErr.Error()
	}
	return command.Error{Code: command.ExitUnknown, Text: text, Hint: "watch it with peridotlb status; there is no need to submit again"}
}
