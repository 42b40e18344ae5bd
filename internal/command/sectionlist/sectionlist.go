// Package sectionlist is the command that lists sections.
package sectionlist

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	Streams command.Streams
	API     api.Invoker
	Team    string // empty: all teams
	JSON    bool
}

// New returns the command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Streams: s}
	var c command.Connection
	fs := command.FlagSet("section list")
	c.Register(fs)
	fs.StringVar(&o.Team, "team", "", "only sections of this `team`")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	return command.Leaf(command.Spec{
		Path: "section list", Short: "List the sections of the current version.",
		Long:     "Columns: section, team, number of services, number of routes, bytes of the canonical encoding, start of the digest.",
		Examples: []string{"peridotlb section list", "peridotlb section list --team stock-team --json"},
	}, fs, func(ctx context.Context, _ []string) (err error) {
		if o.API, err = c.Dial(); err != nil {
			return err
		}
		return Run(ctx, o)
	})
}

// Run lists the sections.
func Run(ctx context.Context, o Options) error {
	list, err := o.API.ListSections(ctx)
	if err != nil {
		return command.Explain(err)
	}
	kept := []api.SectionSummary{}
	t := command.Table{Header: []string{"SECTION", "TEAM", "SERVICES", "ROUTES", "BYTES", "DIGEST"}}
	for _, s := range list.Sections {
		if o.Team == "" || s.Team == o.Team {
			kept = append(kept, s)
			t.Add(s.Name, s.Team, s.Services, s.Routes, s.Bytes, s.Digest[:min(12, len(s.Digest))])
		}
	}
	if o.JSON {
		list.Sections = kept
		return command.JSON(o.Streams, list)
	}
	return t.Write(o.Streams)
}
