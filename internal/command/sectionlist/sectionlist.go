// Package sectionlist implements "peridotlb section list", which lists sections.
package sectionlist

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	command.Query
	Team string // empty means all teams
}

// New returns the "section list" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("section list")
	fs.StringVar(&o.Team, "team", "", "only sections of this `team`")
	return o.NewCommand(command.Spec{
		Path: "section list", Short: "List the sections of the current version.",
		Long:     "Columns: section, team, number of services, number of routes, bytes of the canonical encoding, start of the digest.",
		Examples: []string{"peridotlb section list", "peridotlb section list --team stock-team --json"},
	}, fs, func(ctx context.Context, _ []string) error {
		return Run(ctx, o)
	})
}

// Run lists the sections.
func Run(ctx context.Context, o Options) error {
	list, err := o.API.ListSections(ctx)
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	selected := []api.SectionSummary{}
	t := command.Table{Header: []string{"SECTION", "TEAM", "SERVICES", "ROUTES", "BYTES", "DIGEST"}}
	for _, s := range list.Sections {
		if o.Team == "" || s.Team == o.Team {
			selected = append(selected, s)
			t.AddRow(s.Name, s.Team, s.Services, s.Routes, s.Bytes, s.Digest[:min(12, len(s.Digest))])
		}
	}
	list.Sections = selected
	return o.Print(list, t)
}
