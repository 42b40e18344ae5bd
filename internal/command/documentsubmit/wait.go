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

// firstPoll is the first pause between reads of the status; it doubles up to
// Options.Poll. Most zones converge within fractions of a second.
const firstPollInterval = 50 * time.Millisecond

// wait shows the zones as they converge, until all have or the context ends.
// Reads of the status that fail are repeated: the version is accepted anyway.
func (r *submitter) wait(ctx context.Context) error {
	started := r.Now()
	r.result.Zones = map[string]bool{}
	var last error
	for pause := min(r.MaxPollInterval, firstPollInterval); ; pause = min(r.MaxPollInterval, 2*pause) {
		s, err := r.API.GetStatus(ctx)
		if err == nil && r.showProgress(s, r.Now().Sub(started)) {
			r.result.Converged = true
			r.printf("version %d is in effect in all %d zones\n", r.result.Version, len(s.Zones))
			return nil
		}
		if err != nil && ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			r.clearLine()
			return r.notConvergedError(ctx, last)
		case <-time.After(pause):
		}
	}
}

// observe shows the progress and reports whether all zones have converged.
func (r *submitter) showProgress(s *api.Status, elapsed time.Duration) bool {
	all := len(s.Zones) > 0
	var line []string
	for _, z := range s.Zones {
		state := status.ZoneState(z, r.result.Version)
		if state == "converged" && !r.result.Zones[z.Zone] {
			r.clearLine()
			r.printf("zone %s applied version %d on %s after %.1f s\n", z.Zone, r.result.Version, hostCount(z.Hosts), elapsed.Seconds())
		}
		r.result.Zones[z.Zone] = state == "converged"
		all = all && state == "converged"
		switch state {
		case "converging":
			line = append(line, fmt.Sprintf("%s %d/%d", z.Zone, status.AppliedHosts(z, r.result.Version), z.Hosts))
		case "unreachable":
			line = append(line, z.Zone+" unreachable")
		}
	}
	if r.Streams.Terminal && !all {
		r.printf("\r\x1b[Kwaiting: %s", strings.Join(line, ", "))
	}
	return all
}

// endLine removes the live line.
func (r *submitter) clearLine() {
	if r.Streams.Terminal {
		r.printf("\r\x1b[K")
	}
}

func hostCount(n int) string {
	if n == 1 {
		return "1 host"
	}
	return fmt.Sprintf("%d hosts", n)
}

func (r *submitter) notConvergedError(ctx context.Context, last error) error {
	why := "interrupted"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		why = "no convergence within " + r.Timeout.String()
	}
	// The last status may be old: while zones are unreachable, it takes seconds.
	var missing []string
	for zone, done := range r.result.Zones {
		if !done {
			missing = append(missing, zone)
		}
	}
	slices.Sort(missing)
	text := fmt.Sprintf("%s: version %d is accepted and cannot be lost", why, r.result.Version)
	if len(missing) > 0 {
		text += ", but was not yet seen in effect in " + strings.Join(missing, ", ")
	}
	if last != nil {
		text += "; last status: " + last.Error()
	}
	return command.Error{Code: command.ExitUnknown, Text: text, Hint: "watch it with peridotlb status; there is no need to submit again"}
}
