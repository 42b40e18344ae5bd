// Package documentcheck implements "peridotlb document check", which checks a
// document file.
package documentcheck

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/document"
)

// Options are the options of the command.
type Options struct {
	Streams command.Streams
	File    string
	Base    string // file of the document that File replaces; "" if unknown
	JSON    bool
}

// New returns the "document check" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Streams: s}
	fs := command.NewFlagSet("document check")
	fs.StringVar(&o.Base, "base", "", "`file` of the document that FILE replaces; also warns about the change")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	return command.NewCommand(command.Spec{
		Path: "document check", Operands: "FILE", MinOperands: 1, MaxOperands: 1,
		Short:    "Check a document file without a daemon; prints every fault as file:line:column: message, and warnings about entries without effect.",
		Examples: []string{"peridotlb document check mesh.yaml", "peridotlb document check mesh.yaml --base current.yaml"},
	}, fs, func(_ context.Context, operands []string) error {
		o.File = operands[0]
		return Run(o)
	})
}

// Fault is the JSON form of a fault.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Run checks the file.
func Run(o Options) error {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return command.UsageError("%v", err)
	}
	d, err := document.Parse(o.File, data)
	var faults document.Faults
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	warnings := []string{}
	if len(faults) == 0 {
		warnings = append(warnings, document.Warnings(d)...)
	}
	if len(faults) == 0 && o.Base != "" {
		base, err := command.ReadDocument(o.Streams, o.Base)
		if err != nil {
			return err
		}
		warnings = append(warnings, document.ChangeWarnings(base, d)...)
	}
	if o.JSON {
		list := []Fault{}
		for _, f := range faults {
			list = append(list, Fault(f))
		}
		if err := command.WriteJSON(o.Streams, map[string]any{"faults": list, "warnings": warnings}); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Fprintln(o.Streams.Out, f.Error())
		}
		for _, w := range warnings {
			fmt.Fprintf(o.Streams.Out, "%s: warning: %s\n", o.File, w)
		}
	}
	if len(faults) > 0 {
		return command.Error{Code: command.ExitRefused, Hint: fmt.Sprintf("correct the %d faults of %s and check again", len(faults), o.File)}
	}
	if !o.JSON {
		services, routes := 0, 0
		for _, s := range d.Sections {
			services += len(s.Services)
			routes += len(s.Routes)
		}
		fmt.Fprintf(o.Streams.Out, "%s: no faults; sections %d, services %d, routes %d\n", o.File, len(d.Sections), services, routes)
	}
	return nil
}
