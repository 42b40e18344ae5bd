// Package sectionshow implements "peridotlb section show", which prints one
// section.
package sectionshow

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	command.Query
	Name string
}

// New returns the "section show" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("section show")
	return o.NewCommand(command.Spec{
		Path: "section show", Operands: "NAME", MinOperands: 1, MaxOperands: 1,
		Short:    "Print one section of the current version as YAML.",
		Examples: []string{"peridotlb section show stock"},
	}, fs, func(ctx context.Context, operands []string) error {
		o.Name = operands[0]
		return Run(ctx, o)
	})
}

// Run prints the section.
func Run(ctx context.Context, o Options) error {
	s, err := o.API.GetSection(ctx, api.GetSectionParams{Name: o.Name})
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	if o.JSON {
		return command.WriteJSON(o.Streams, s)
	}
	_, err = fmt.Fprint(o.Streams.Out, s.Yaml)
	return err
}
