// Package documenthistory implements "peridotlb document history", which lists
// accepted versions.
package documenthistory

import (
	"context"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	command.Query
	Before uint64 // zero means from the newest version
	Limit  int
}

// New returns the "document history" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("document history")
	fs.Uint64Var(&o.Before, "before", 0, "only versions with a lower `number`")
	fs.IntVar(&o.Limit, "limit", 20, "`number` of versions, 1 to 200")
	return o.NewCommand(command.Spec{
		Path: "document history", Short: "List accepted versions, newest first, with the sections that each changed.",
		Long:     "Columns: version, time of acceptance, submission id, changed sections, removed sections.",
		Examples: []string{"peridotlb document history", "peridotlb document history --before 100 --limit 50"},
	}, fs, func(ctx context.Context, _ []string) error {
		if o.Limit < 1 || o.Limit > 200 {
			return command.UsageError("--limit: %d is out of range 1 to 200", o.Limit)
		}
		return Run(ctx, o)
	})
}

// Run lists the versions.
func Run(ctx context.Context, o Options) error {
	params := api.ListVersionsParams{Limit: api.NewOptInt(o.Limit)}
	if o.Before > 0 {
		params.Before = api.NewOptUint64(o.Before)
	}
	list, err := o.API.ListVersions(ctx, params)
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	t := command.Table{Header: []string{"VERSION", "ACCEPTED", "SUBMISSION", "CHANGED", "REMOVED"}}
	for _, v := range list.Versions {
		t.AddRow(v.Number, v.AcceptedAt.UTC().Format(time.RFC3339), v.Submission, strings.Join(v.Changed, ","), strings.Join(v.Removed, ","))
	}
	return o.Print(list, t)
}
