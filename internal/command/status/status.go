// Package status implements "peridotlb status", which shows the convergence of the
// fleet on the head version.
package status

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	command.Query
}

// New returns the "status" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Query: command.Query{Streams: s}}
	fs := command.NewFlagSet("status")
	return o.NewCommand(command.Spec{
		Path: "status", Short: "Show which versions the hosts of each availability zone have applied.",
		Long: `Columns: region, availability zone, state (converged, converging, unreachable),
head version, live hosts, hosts by applied version as VERSION:HOSTS, and some of
the hosts that lack the head version. Counts of an unreachable zone may be old.
On a terminal, a first line has the control traffic of the answering daemon. Entries
of its version that can't be read are listed on standard error.`,
		Examples: []string{"peridotlb status", "peridotlb status --json"},
	}, fs, func(ctx context.Context, _ []string) error {
		return Run(ctx, o)
	})
}

// Run shows the status.
func Run(ctx context.Context, o Options) error {
	s, err := o.API.GetStatus(ctx)
	if err != nil {
		return command.ErrorFromAPI(err)
	}
	if o.Streams.Terminal && !o.JSON {
		fmt.Fprintf(o.Streams.Out, "head version %d; control traffic of this daemon: sent %d B in %d packets, received %d B in %d packets\n",
			s.Head, s.Traffic.SentBytes, s.Traffic.SentPackets, s.Traffic.ReceivedBytes, s.Traffic.ReceivedPackets)
	}
	if !o.JSON {
		for _, e := range s.Unreadable {
			fmt.Fprintf(o.Streams.Err, "unreadable: %s\n", e)
		}
	}
	t := command.Table{Header: []string{"REGION", "ZONE", "STATE", "HEAD", "HOSTS", "APPLIED", "STRAGGLERS"}}
	for _, z := range s.Zones {
		applied := make([]string, len(z.Applied))
		for i, a := range z.Applied {
			applied[i] = fmt.Sprintf("%d:%d", a.Version, a.Hosts)
		}
		t.AddRow(z.Region, z.Zone, ZoneState(z, s.Head), s.Head, z.Hosts, strings.Join(applied, ","), strings.Join(z.Stragglers, ","))
	}
	return o.Print(s, t)
}

// ZoneState returns the state of a zone for a version: "converged" (all its hosts
// applied the version or a newer one), "converging" or "unreachable".
func ZoneState(z api.ZoneStatus, version uint64) string {
	switch {
	case z.Unreachable:
		return "unreachable"
	case AppliedHosts(z, version) >= z.Hosts:
		return "converged"
	default:
		return "converging"
	}
}

// AppliedHosts returns the number of hosts of a zone that have applied a version
// or a newer one.
func AppliedHosts(z api.ZoneStatus, version uint64) int {
	hosts := 0
	for _, a := range z.Applied {
		if a.Version >= version {
			hosts += a.Hosts
		}
	}
	return hosts
}
