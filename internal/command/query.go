package command

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Query holds the options of a command that only reads from a daemon. Options of
// such commands embed it.
type Query struct {
	Streams Streams
	API     api.Invoker
	JSON    bool
}

// Leaf returns a command with the flags of the connection and of the output. It
// sets the API before it calls run.
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

// Print prints an answer of the API as JSON, or else the table made of it.
func (q Query) Print(answer any, t Table) error {
	if q.JSON {
		return WriteJSON(q.Streams, answer)
	}
	return t.Write(q.Streams)
}
