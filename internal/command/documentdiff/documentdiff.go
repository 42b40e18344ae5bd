// Package documentdiff implements "peridotlb document diff", which compares
// documents.
package documentdiff

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/change"
	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	Streams command.Streams
	API     api.Invoker
	File    string // empty means that the version To is compared
	Base    uint64 // zero means the current version
	To      uint64 // zero means the current version
	JSON    bool
}

// New returns the "document diff" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Streams: s}
	var c command.Connection
	fs := command.NewFlagSet("document diff")
	c.RegisterFlags(fs)
	fs.Uint64Var(&o.Base, "base", 0, "`number` of the version to compare with; without it, the current one")
	fs.Uint64Var(&o.To, "to", 0, "without FILE: `number` of the second version; without it, the current one")
	fs.BoolVar(&o.JSON, "json", false, "print JSON: names of changed and removed sections")
	return command.NewCommand(command.Spec{
		Path: "document diff", Operands: "[FILE]", MaxOperands: 1,
		Short: "Compare a file or a version with a version, section by section.",
		Examples: []string{
			"peridotlb document diff mesh.yaml",
			"peridotlb document diff mesh.yaml --base 41",
			"peridotlb document diff --base 41 --to 43",
		},
	}, fs, func(ctx context.Context, operands []string) (err error) {
		if len(operands) == 1 {
			o.File = operands[0]
		}
		if o.File == "" && o.Base == 0 {
			return command.UsageError("a FILE, or a version with --base, is required")
		}
		if o.File != "" && o.To != 0 {
			return command.UsageError("--to cannot be combined with a FILE")
		}
		if o.API, err = c.NewClient(); err != nil {
			return err
		}
		return Run(ctx, o)
	})
}

// Run compares the documents.
func Run(ctx context.Context, o Options) error {
	var to document.Document
	if o.File != "" {
		var err error
		if to, err = command.ReadDocument(o.Streams, o.File); err != nil {
			return err
		}
	}
	from, err := command.FetchDocument(ctx, o.API, o.Base)
	if err != nil {
		return err
	}
	if o.File == "" {
		second, err := command.FetchDocument(ctx, o.API, o.To)
		if err != nil {
			return err
		}
		to = second.Document
	}
	c, err := change.Between(from.Document, to)
	if err != nil {
		return err
	}
	if o.JSON {
		changed := []document.SectionName{}
		for _, s := range c.Changed {
			changed = append(changed, s.Name)
		}
		return command.WriteJSON(o.Streams, map[string]any{"base": from.Number, "changed": changed, "removed": append([]document.SectionName{}, c.Removed...)})
	}
	for _, name := range c.Names() {
		before, err := formatSection(from.Document, name)
		if err != nil {
			return err
		}
		after, err := formatSection(to, name)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Streams.Out, "section %s:\n", name)
		for _, l := range change.LineDiff(before, after) {
			fmt.Fprintln(o.Streams.Out, l)
		}
	}
	return nil
}

// formatSection formats one section. The text is empty if the document does not
// have the section.
func formatSection(d document.Document, name document.SectionName) (string, error) {
	for _, s := range d.Sections {
		if s.Name == name {
			data, err := document.Format(document.Document{Sections: []document.Section{s}})
			return string(data), err
		}
	}
	return "", nil
}
