// Package rolloutabort implements "peridotlb rollout abort", which rolls a running
// roll-out back.
package rolloutabort

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	command.Query
	Service string
}

// New returns the "rollout abort" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("rollout abort")
	return o.NewCommand(command.Spec{
		Path: "rollout abort", Operands: "SERVICE", MinOperands: 1, MaxOperands: 1, Short: "Roll the running roll-out of a service back.",
		Long:     "The target version gets no more calls, also not by a later roll-out to the same version.",
		Examples: []string{"peridotlb rollout abort bead-stock"},
	}, fs, func(ctx context.Context, operands []string) error {
		o.Service = operands[0]
		return Run(ctx, o)
	})
}

// Run aborts the roll-out.
func Run(ctx context.Context, o Options) error {
	r, err := o.API.AbortRollout(ctx, api.AbortRolloutParams{Service: o.Service})
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	t := command.Table{Header: command.RolloutHeader()}
	t.AddRow(command.RolloutCells(*r)...)
	return o.Print(r, t)
}
