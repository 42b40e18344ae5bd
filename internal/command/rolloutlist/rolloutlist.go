// Package rolloutlist implements "peridotlb rollout list", which lists roll-outs.
package rolloutlist

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
)

// Options are the options of the command.
type Options struct{ command.Query }

// New returns the "rollout list" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{command.Query{Streams: s}}
	fs := command.NewFlagSet("rollout list")
	return o.NewCommand(command.Spec{
		Path: "rollout list", Short: "List the last roll-out of each service.",
		Long:     "Columns: service, target version, state, step, share of the calls, time since the order, duration, leading host, and the figures that decided the step or the verdict.",
		Examples: []string{"peridotlb rollout list", "peridotlb rollout list --json"},
	}, fs, func(ctx context.Context, _ []string) error { return Run(ctx, o) })
}

// Run lists the roll-outs.
func Run(ctx context.Context, o Options) error {
	list, err := o.API.ListRollouts(ctx)
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	t := command.Table{Header: command.RolloutHeader()}
	for _, r := range list.Rollouts {
		t.AddRow(command.RolloutCells(r)...)
	}
	return o.Print(list, t)
}
