// Package command contains the code that the commands of the peridotlb tool share:
// output streams, exit codes, the connection to the operator API, tables and help
// texts.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Streams are the output streams of the tool.
type Streams struct {
	Out, Err io.Writer
	Terminal bool // whether Out is a terminal
}

// ExitCode is an exit code of the tool.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0
	ExitRefused     ExitCode = 1 // a refusal, faults, or a failure without an exit code of its own
	ExitUsage       ExitCode = 2
	ExitUnknown     ExitCode = 3 // the outcome is not known, or not reached yet
	ExitUnreachable ExitCode = 4 // no daemon or platform was reached, or the response was not usable
)

// exitCodeHelp is part of the help text of every command.
const exitCodeHelp = `  0  done
  1  refused, faults found, or another failure
  2  wrong usage
  3  not known yet: repeat as the message says
  4  no daemon or platform reached, or no usable response`

// Error is an error with an exit code and a hint that says what to do next.
type Error struct {
	Code ExitCode
	Text string // empty if the command has already printed the error
	Hint string
}

// Error implements error.
func (e Error) Error() string { return e.Text }

// UsageError returns an error for wrong usage of the tool.
func UsageError(format string, args ...any) error {
	return Error{Code: ExitUsage, Text: fmt.Sprintf(format, args...), Hint: "see --help"}
}

// ReportError prints an error with its hint and returns its exit code.
func ReportError(s Streams, err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	e := Error{Code: ExitRefused, Text: err.Error()}
	errors.As(err, &e)
	if e.Text != "" {
		fmt.Fprintln(s.Err, "error: "+stripControl(e.Text))
	}
	if e.Hint != "" {
		fmt.Fprintln(s.Err, "hint: "+stripControl(e.Hint))
	}
	return e.Code
}

// Spec describes a command that can be run.
type Spec struct {
	Path                     string // all words of the command, for example "document submit"
	Operands                 string // for the usage line, for example "FILE"
	MinOperands, MaxOperands int    // number of operands
	Short                    string // one sentence
	Long                     string
	Examples                 []string
}

// NewCommand returns a command that can be run. Flags may follow operands.
func NewCommand(spec Spec, fs *flag.FlagSet, run func(ctx context.Context, operands []string) error) *ffcli.Command {
	words := strings.Fields(spec.Path)
	usage := strings.TrimSpace("peridotlb " + spec.Path + " " + spec.Operands)
	var long strings.Builder
	if spec.Long != "" {
		long.WriteString(spec.Long + "\n\n")
	}
	long.WriteString("Examples:\n")
	for _, e := range spec.Examples {
		long.WriteString("  " + e + "\n")
	}
	return &ffcli.Command{
		Name: words[len(words)-1], ShortUsage: usage + " [flags]", ShortHelp: spec.Short,
		LongHelp: strings.TrimRight(long.String(), "\n"), FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			operands, err := parseInterspersed(fs, args)
			if err != nil {
				return err
			}
			if len(operands) < spec.MinOperands || len(operands) > spec.MaxOperands {
				return UsageError("%s takes %s, got %d operands", spec.Path, operandsHelp(spec), len(operands))
			}
			return run(ctx, operands)
		},
	}
}

func operandsHelp(s Spec) string {
	if s.MaxOperands == 0 {
		return "no operands"
	}
	return s.Operands
}

// parseInterspersed parses flags that follow operands, because the flag package
// stops at the first operand. It returns the operands. Everything after "--" is an
// operand.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var operands []string
	for len(args) > 0 {
		if args[0] == "--" {
			return append(operands, args[1:]...), nil
		}
		if strings.HasPrefix(args[0], "-") && args[0] != "-" {
			if err := fs.Parse(args); err != nil {
				if errors.Is(err, flag.ErrHelp) {
					return nil, err
				}
				return nil, UsageError("%v", err)
			}
			args = fs.Args()
			continue
		}
		operands = append(operands, args[0])
		args = args[1:]
	}
	return operands, nil
}

// NewGroup returns a command that has only subcommands and cannot be run itself.
func NewGroup(path, short string, subcommands ...*ffcli.Command) *ffcli.Command {
	words := strings.Fields("peridotlb " + path)
	return &ffcli.Command{
		Name: words[len(words)-1], ShortUsage: strings.Join(words, " ") + " COMMAND [flags]", ShortHelp: short,
		FlagSet: NewFlagSet(path), Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			names := make([]string, len(subcommands))
			for i, c := range subcommands {
				names[i] = c.Name
			}
			if len(args) == 0 {
				return UsageError("a command is required: %s", strings.Join(names, ", "))
			}
			return UsageError("unknown command %q; commands: %s", strings.TrimSpace(path+" "+args[0]), strings.Join(names, ", "))
		},
	}
}

// NewFlagSet returns a flag set that does not print errors or help itself.
func NewFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

// Help returns the help text of a command.
func Help(c *ffcli.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage: %s\n\n%s\n", c.ShortUsage, c.ShortHelp)
	if c.LongHelp != "" {
		fmt.Fprintf(&b, "\n%s\n", c.LongHelp)
	}
	if len(c.Subcommands) > 0 {
		b.WriteString("\nCommands:\n")
		for _, s := range c.Subcommands {
			fmt.Fprintf(&b, "  %-10s %s\n", s.Name, s.ShortHelp)
		}
	}
	var flags strings.Builder
	c.FlagSet.VisitAll(func(f *flag.Flag) {
		value, help := flag.UnquoteUsage(f)
		if value != "" {
			value = "=" + strings.ToUpper(value)
		}
		if f.DefValue != "" && f.DefValue != "false" && f.DefValue != "0" {
			help += " (default " + f.DefValue + ")"
		}
		fmt.Fprintf(&flags, "  --%s%s\n        %s\n", f.Name, value, help)
	})
	if flags.Len() > 0 {
		b.WriteString("\nFlags:\n" + flags.String())
	}
	b.WriteString("\nExit codes:\n" + exitCodeHelp + "\n")
	return b.String()
}
