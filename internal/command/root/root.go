// Package root builds the command tree of the peridotlb tool.
package root

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/command/completion"
	"github.com/peridotlb/peridotlb/internal/command/documentcheck"
	"github.com/peridotlb/peridotlb/internal/command/documentdiff"
	"github.com/peridotlb/peridotlb/internal/command/documenthistory"
	"github.com/peridotlb/peridotlb/internal/command/documentshow"
	"github.com/peridotlb/peridotlb/internal/command/documentsubmit"
	"github.com/peridotlb/peridotlb/internal/command/explain"
	"github.com/peridotlb/peridotlb/internal/command/keyscreate"
	"github.com/peridotlb/peridotlb/internal/command/organisationlist"
	"github.com/peridotlb/peridotlb/internal/command/rolloutabort"
	"github.com/peridotlb/peridotlb/internal/command/rolloutlist"
	"github.com/peridotlb/peridotlb/internal/command/rolloutstart"
	"github.com/peridotlb/peridotlb/internal/command/rolloutwatch"
	"github.com/peridotlb/peridotlb/internal/command/routelist"
	"github.com/peridotlb/peridotlb/internal/command/sectionlist"
	"github.com/peridotlb/peridotlb/internal/command/sectionshow"
	"github.com/peridotlb/peridotlb/internal/command/serverlist"
	"github.com/peridotlb/peridotlb/internal/command/status"
	"github.com/peridotlb/peridotlb/internal/command/timeline"
	"github.com/peridotlb/peridotlb/internal/command/version"
)

// New returns the root command with all subcommands.
func New(s command.Streams) *ffcli.Command {
	return command.NewGroup(
		"", "Command-line tool for operators of peridotlb.",
		command.NewGroup(
			"document", "Submit, check, show and compare the document.",
			documentsubmit.New(s), documentcheck.New(s), documentshow.New(s), documentdiff.New(s), documenthistory.New(s),
		),
		command.NewGroup("section", "List and show sections.", sectionlist.New(s), sectionshow.New(s)),
		status.New(s),
		command.NewGroup("server", "List backend servers.", serverlist.New(s)),
		command.NewGroup(
			"rollout", "Start, watch and abort roll-outs of versions.",
			rolloutstart.New(s), rolloutlist.New(s), rolloutwatch.New(s), rolloutabort.New(s),
		),
		command.NewGroup("route", "List routes.", routelist.New(s)),
		command.NewGroup("organisation", "List and show organisations.", organisationlist.New(s), organisationlist.NewShow(s)),
		timeline.New(s),
		explain.New(s),
		command.NewGroup("keys", "Create certificates and keys.", keyscreate.New(s)),
		version.New(s),
		completion.New(s, func() *ffcli.Command { return New(s) }),
	)
}

// Run runs the tool and returns its exit code.
func Run(ctx context.Context, args []string, s command.Streams) command.ExitCode {
	var help string
	tree := New(s)
	captureHelp(tree, &help)
	err := tree.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return command.ReportError(s, command.Error{Code: command.ExitUsage, Text: err.Error(), Hint: "see --help"})
	}
	if err == nil {
		err = tree.Run(ctx)
	}
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(s.Out, help)
		return command.ExitOK
	}
	return command.ReportError(s, err)
}

// captureHelp stores the help text of the selected command instead of printing it,
// because the flag package prints it on every error.
func captureHelp(c *ffcli.Command, help *string) {
	c.UsageFunc = func(c *ffcli.Command) string {
		*help = command.Help(c)
		return ""
	}
	for _, sub := range c.Subcommands {
		captureHelp(sub, help)
	}
}
