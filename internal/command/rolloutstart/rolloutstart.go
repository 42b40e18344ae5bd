// Package rolloutstart implements "peridotlb rollout start", which starts a roll-out.
package rolloutstart

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// defaultDuration leaves time for servers that warm up for some seconds.
const defaultDuration = 18 * time.Second

// Options are the options of the command.
type Options struct {
	command.Query
	Duration        time.Duration
	Service, Target string
}

// New returns the "rollout start" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("rollout start")
	fs.DurationVar(&o.Duration, "duration", defaultDuration, "`time` within which the roll-out is completed or rolled back")
	return o.NewCommand(command.Spec{
		Path: "rollout start", Operands: "SERVICE VERSION", MinOperands: 2, MaxOperands: 2, Short: "Start to move the calls of a service to a version.",
		Long:     "Start the backend servers of the version beside the others first, or within the first seconds. Stop the others when the roll-out is completed.",
		Examples: []string{"peridotlb rollout start bead-stock v2 --duration 18s"},
	}, fs, func(ctx context.Context, operands []string) error {
		o.Service, o.Target = operands[0], operands[1]
		return Run(ctx, o)
	})
}

// Run starts the roll-out.
func Run(ctx context.Context, o Options) error {
	r, err := o.API.StartRollout(ctx, &api.RolloutOrder{Service: o.Service, Target: o.Target, Duration: o.Duration.String()})
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	t := command.Table{Header: command.RolloutHeader()}
	t.AddRow(command.RolloutCells(*r)...)
	return o.Print(r, t)
}
