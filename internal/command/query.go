package command

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Query holds the options of a command that only reads from a daemon. The options
// of such commands embed it.
type Query struct {
	Streams Streams
	API     api.Invoker
	JSON    bool
}

// NewCommand returns a command with the flags of the connection and the output
// format. The command sets q.API before it calls run.
func (q *Query) NewCommand(spec Spec, fs *flag.FlagSet, run func(ctx context.Context, operands []string) error) *ffcli.Command {
	var c Connection
	c.RegisterFlags(fs)
	fs.BoolVar(&q.JSON, "json", false, "print JSON")
	return NewCommand(spec, fs, func(ctx context.Context, operands []string) (err error) {
		if q.API, err = c.NewClient(); err != nil {
			return err
		}
		return run(ctx, operands)
	})
}

// Print prints a response of the API as JSON if q.JSON is set, and otherwise the
// table.
func (q Query) Print(response any, t Table) error {
	if q.JSON {
		return WriteJSON(q.Streams, response)
	}
	return t.Write(q.Streams)
}
