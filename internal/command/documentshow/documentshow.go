// Package documentshow implements "peridotlb document show", which prints the
// document.
package documentshow

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
	Version uint64 // zero means the current version
}

// New returns the "document show" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("document show")
	fs.Uint64Var(&o.Version, "version", 0, "`number` of a version; without it, the current one")
	return o.NewCommand(command.Spec{
		Path: "document show", Short: "Print the document of a version as YAML.",
		Examples: []string{"peridotlb document show > mesh.yaml", "peridotlb document show --version 41"},
	}, fs, func(ctx context.Context, _ []string) error {
		return Run(ctx, o)
	})
}

// Run prints the document.
func Run(ctx context.Context, o Options) error {
	var d *api.Document
	var err error
	if o.Version == 0 {
		d, err = o.API.GetDocument(ctx)
	} else {
		d, err = o.API.GetVersion(ctx, api.GetVersionParams{Number: o.Version})
	}
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	if o.JSON {
		return command.WriteJSON(o.Streams, d)
	}
	if o.Streams.Terminal {
		fmt.Fprintf(o.Streams.Out, "# version %d\n", d.Version)
	}
	_, err = fmt.Fprint(o.Streams.Out, d.Yaml)
	return err
}
