// Package timeline implements "peridotlb timeline", which lists the events of all
// daemons and draws rollouts.
package timeline

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// maxEvents is the limit of the operator API. A rollout on 1,200 hosts has
// about 2,500 events.
const maxEvents = 100000

// Options are the options of the command.
type Options struct {
	Streams command.Streams
	API     api.Invoker
	Params  api.QueryTimelineParams
	Picture string // path of the SVG file; empty means that the events are listed
	JSON    bool
}

// New returns the "timeline" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Streams: s}
	var c command.Connection
	var kind, server, call, zone, since string
	var version uint64
	var limit int
	fs := command.NewFlagSet("timeline")
	c.RegisterFlags(fs)
	fs.StringVar(&kind, "kind", "", "only events of this `kind`")
	fs.Uint64Var(&version, "version", 0, "only events of the version with this `number`")
	fs.StringVar(&server, "server", "", "only events of the backend server with this `id`")
	fs.StringVar(&call, "call-id", "", "only events of the call with this `id`")
	fs.StringVar(&zone, "zone", "", "only events of this availability `zone`")
	fs.StringVar(&since, "since", "", "only events since this `time`: RFC 3339, or a duration before now, such as 10m")
	fs.IntVar(&limit, "limit", 1000, "newest matching events, a `number` from 1 to 100000")
	fs.StringVar(&o.Picture, "picture", "", "draw the rollout of --version into this SVG `file`")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	return command.NewCommand(command.Spec{
		Path: "timeline", Short: "List events of all daemons, sorted by time and logical counter.",
		Long: `Columns: time, logical counter, availability zone, host, kind, version, backend
server, call id, detail. Filters are combined with "and". Hosts that did not
answer, or no longer keep all events, are named on the error stream.

A picture has a row for each host, by availability zone, and marks where the
version was accepted, fetched and applied.`,
		Examples: []string{
			"peridotlb timeline --version 41",
			"peridotlb timeline --kind ejected --since 10m",
			"peridotlb timeline --call-id 7c2f --json",
			"peridotlb timeline --version 41 --picture rollout.svg",
		},
	}, fs, func(ctx context.Context, _ []string) (err error) {
		if limit < 1 || limit > maxEvents {
			return command.UsageError("--limit: %d is out of range 1 to %d", limit, maxEvents)
		}
		if o.Picture != "" && (version == 0 || o.JSON) {
			return command.UsageError("--picture needs --version and excludes --json")
		}
		if o.Picture != "" {
			limit = maxEvents
		}
		o.Params = api.QueryTimelineParams{Kind: optString(kind), Server: optString(server), CallID: optString(call), Zone: optString(zone), Limit: api.NewOptInt(limit)}
		if version > 0 {
			o.Params.Version = api.NewOptUint64(version)
		}
		if since != "" {
			at, err := parseSince(since, time.Now())
			if err != nil {
				return err
			}
			o.Params.Since = api.NewOptDateTime(at)
		}
		if o.API, err = c.NewClient(); err != nil {
			return err
		}
		return Run(ctx, o)
	})
}

func optString(s string) api.OptString { return api.OptString{Value: s, Set: s != ""} }

func parseSince(s string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(s); err == nil && d >= 0 {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return at, command.UsageError("--since: %q is neither a duration such as 10m nor a time such as 2026-01-02T15:04:05Z", s)
	}
	return at, nil
}

// Run lists or draws the events.
func Run(ctx context.Context, o Options) error {
	timeline, err := o.API.QueryTimeline(ctx, o.Params)
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	if len(timeline.Unanswered) > 0 {
		fmt.Fprintf(o.Streams.Err, "events are missing from hosts that did not answer: %s\n", strings.Join(timeline.Unanswered, ", "))
	}
	if len(timeline.Overflowed) > 0 {
		fmt.Fprintf(o.Streams.Err, "older events are missing from hosts that no longer keep them: %s\n", strings.Join(timeline.Overflowed, ", "))
	}
	if o.JSON {
		return command.WriteJSON(o.Streams, timeline)
	}
	if o.Picture != "" {
		return o.writePicture(timeline)
	}
	t := command.Table{Header: []string{"TIME", "COUNTER", "ZONE", "HOST", "KIND", "VERSION", "SERVER", "CALL", "DETAIL"}}
	for _, e := range timeline.Events {
		number := ""
		if v, ok := e.Version.Get(); ok {
			number = fmt.Sprint(v)
		}
		t.AddRow(e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), e.Counter, e.Zone, e.Host, e.Kind, number, e.Server.Or(""), e.CallID.Or(""), e.Detail.Or(""))
	}
	return t.Write(o.Streams)
}

func (o Options) writePicture(timeline *api.Timeline) error {
	picture, err := RenderRollout(o.Params.Version.Value, timeline)
	if err != nil {
		return err
	}
	if err := os.WriteFile(o.Picture, picture, 0o644); err != nil {
		return command.UsageError("--picture: %v", err)
	}
	fmt.Fprintf(o.Streams.Out, "wrote %s\n", o.Picture)
	return nil
}
