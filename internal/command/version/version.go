// Package version implements "peridotlb version", which prints the release.
package version

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
	"github.com/peridotlb/peridotlb/internal/release"
)

// Options are the options of the command.
type Options struct {
	Streams command.Streams
	API     api.Invoker // nil means that no daemon is asked
	JSON    bool
}

// New returns the "version" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Streams: s}
	var c command.Connection
	var daemon bool
	fs := command.NewFlagSet("version")
	c.RegisterFlags(fs)
	fs.BoolVar(&daemon, "daemon", false, "also ask a daemon for its release")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	return command.NewCommand(command.Spec{
		Path: "version", Short: "Print the release of the tool.",
		Examples: []string{"peridotlb version", "peridotlb version --daemon"},
	}, fs, func(ctx context.Context, _ []string) (err error) {
		if daemon {
			if o.API, err = c.NewClient(); err != nil {
				return err
			}
		}
		return Run(ctx, o)
	})
}

// Run prints the release of the tool and, if the API is set, that of a daemon.
func Run(ctx context.Context, o Options) error {
	out := map[string]any{"tool": release.Number()}
	text := "peridotlb " + release.Number() + "\n"
	if o.API != nil {
		pong, err := o.API.Ping(ctx)
		if err != nil {
			return command.ErrorFromAPI(err)
		}
		out["daemon"] = pong
		text += fmt.Sprintf("peridotlbd %s on host %s (zone %s, region %s), token of team %s\n", pong.Release, pong.Host, pong.Zone, pong.Region, pong.Team)
	}
	if o.JSON {
		return command.WriteJSON(o.Streams, out)
	}
	_, err := fmt.Fprint(o.Streams.Out, text)
	return err
}
