// Package rolloutwatch implements "peridotlb rollout watch", which prints the steps of a
// roll-out until its verdict.
package rolloutwatch

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
)

const pollInterval = 250 * time.Millisecond

// Options are the options of the command.
type Options struct {
	command.Query
	Service string
}

// New returns the "rollout watch" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("rollout watch")
	return o.NewCommand(command.Spec{
		Path: "rollout watch", Operands: "SERVICE", MinOperands: 1, MaxOperands: 1, Short: "Print each step of the roll-out of a service until its verdict.",
		Long:     "Exits with 0 when the roll-out is completed, and with 1 when it is rolled back or there is none.",
		Examples: []string{"peridotlb rollout watch bead-stock"},
	}, fs, func(ctx context.Context, operands []string) error {
		o.Service = operands[0]
		return Run(ctx, o)
	})
}

// Run prints the steps.
func Run(ctx context.Context, o Options) error {
	last := ""
	for {
		list, err := o.API.ListRollouts(ctx)
		if err != nil {
			return command.ErrorFromAPI(err)
		}
		found := false
		for _, r := range list.Rollouts {
			if r.Service != o.Service {
				continue
			}
			found = true
			if line := fmt.Sprintf("%s %s step %d share %.3f %s", r.Target, r.State, r.Step, r.Share, r.Detail); line != last {
				last = line
				fmt.Fprintln(o.Streams.Out, r.Age+" "+line)
			}
			switch r.State {
			case "completed":
				return nil
			case "rolled-back":
				return command.Error{Code: command.ExitRefused, Text: "rolled back: " + r.Detail}
			}
		}
		if !found {
			return command.Error{Code: command.ExitRefused, Text: "no roll-out of " + o.Service, Hint: "see peridotlb rollout list"}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return command.Error{Code: command.ExitUnknown, Text: "interrupted before the verdict"}
		}
	}
}
