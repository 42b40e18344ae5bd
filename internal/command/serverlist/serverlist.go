// Package serverlist implements "peridotlb server list", which lists backend
// servers.
package serverlist

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	command.Query
	Service string // empty means all services
}

// New returns the "server list" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("server list")
	fs.StringVar(&o.Service, "service", "", "only backend servers of this `service`")
	return o.NewCommand(command.Spec{
		Path: "server list", Short: "List backend servers and the state of their hosts.",
		Long:     "Columns: service, backend server, state, slots, address, host, state of the host, availability zone, region.",
		Examples: []string{"peridotlb server list", "peridotlb server list --service bead-stock"},
	}, fs, func(ctx context.Context, _ []string) error {
		return Run(ctx, o)
	})
}

// Run lists the backend servers.
func Run(ctx context.Context, o Options) error {
	var params api.ListServersParams
	if o.Service != "" {
		params.Service = api.NewOptString(o.Service)
	}
	list, err := o.API.ListServers(ctx, params)
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	t := command.Table{Header: []string{"SERVICE", "SERVER", "STATE", "SLOTS", "ADDRESS", "HOST", "HOST STATE", "ZONE", "REGION"}}
	for _, s := range list.Servers {
		t.AddRow(s.Service, s.ID, s.State, s.Slots, s.Address, s.Host, s.HostState, s.Zone, s.Region)
	}
	return o.Print(list, t)
}
