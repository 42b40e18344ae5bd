// Package routelist implements "peridotlb route list", which lists routes.
package routelist

import (
	"context"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	command.Query
	Service string // empty means all services
}

// New returns the "route list" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("route list")
	fs.StringVar(&o.Service, "service", "", "only routes to this `service`")
	return o.NewCommand(command.Spec{
		Path: "route list", Short: "List the routes of the current version.",
		Long:     "Columns: path prefix, methods (* for every method), route, service, timeout, retries, paid, section, team.",
		Examples: []string{"peridotlb route list", "peridotlb route list --service bead-stock"},
	}, fs, func(ctx context.Context, _ []string) error {
		return Run(ctx, o)
	})
}

// Run lists the routes.
func Run(ctx context.Context, o Options) error {
	list, err := o.API.ListRoutes(ctx)
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	selected := []api.RouteEntry{}
	t := command.Table{Header: []string{"PATH PREFIX", "METHODS", "ROUTE", "SERVICE", "TIMEOUT", "RETRIES", "PAID", "SECTION", "TEAM"}}
	for _, e := range list.Routes {
		r := e.Route
		if o.Service != "" && r.Service != o.Service {
			continue
		}
		methods := strings.Join(r.Methods, ",")
		if methods == "" {
			methods = "*"
		}
		selected = append(selected, e)
		t.AddRow(r.PathPrefix, methods, r.Name, r.Service, r.Timeout, r.Retries, r.Paid, e.Section, e.Team)
	}
	list.Routes = selected
	return o.Print(list, t)
}
