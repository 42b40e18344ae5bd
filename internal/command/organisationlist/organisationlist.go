// Package organisationlist implements "peridotlb organisation list" and
// "peridotlb organisation show", which show organisations without the digests of their
// keys.
package organisationlist

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the commands.
type Options struct {
	command.Query
	Name string // empty means all organisations
}

// New returns the "organisation list" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	return o.NewCommand(command.Spec{
		Path: "organisation list", Short: "List the organisations of the current version.",
		Long:     "Columns: organisation, keys, priority (- for that of the route), rate in requests per second (- for no limit), burst, section, team.",
		Examples: []string{"peridotlb organisation list"},
	}, command.NewFlagSet("organisation list"), func(ctx context.Context, _ []string) error {
		return Run(ctx, o)
	})
}

// NewShow returns the "organisation show" command.
func NewShow(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	return o.NewCommand(command.Spec{
		Path: "organisation show", Operands: "NAME", MinOperands: 1, MaxOperands: 1, Short: "Show one organisation.",
		Long:     "The columns are those of organisation list.",
		Examples: []string{"peridotlb organisation show bead-house"},
	}, command.NewFlagSet("organisation show"), func(ctx context.Context, args []string) error {
		o.Name = args[0]
		return Run(ctx, o)
	})
}

// Run shows the organisations.
func Run(ctx context.Context, o Options) error {
	list, err := o.API.ListOrganisations(ctx)
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	selected := []api.OrganisationEntry{}
	t := command.Table{Header: []string{"ORGANISATION", "KEYS", "PRIORITY", "RATE", "BURST", "SECTION", "TEAM"}}
	for _, e := range list.Organisations {
		if o.Name != "" && e.Name != o.Name {
			continue
		}
		selected = append(selected, e)
		priority, rate := "-", "-"
		if p, ok := e.Priority.Get(); ok {
			priority = fmt.Sprint(p)
		}
		if e.RatePerSecond > 0 {
			rate = fmt.Sprint(e.RatePerSecond)
		}
		t.AddRow(e.Name, e.Keys, priority, rate, e.Burst, e.Section, e.Team)
	}
	if o.Name != "" && len(selected) == 0 {
		return command.Error{Code: command.ExitRefused, Text: fmt.Sprintf("version %d has no organisation %q", list.Version, o.Name), Hint: "list organisations with: peridotlb organisation list"}
	}
	list.Organisations = selected
	return o.Print(list, t)
}
