// Package completion implements "peridotlb completion", which prints completion
// scripts for shells.
package completion

import (
	"context"
	_ "embed"
	"flag"
	"fmt"
	"slices"
	"strings"
	"text/template"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
)

//go:embed bash.tmpl
var bashScript string

//go:embed zsh.tmpl
var zshScript string

//go:embed fish.tmpl
var fishScript string

// Shell is a shell with a completion script.
type Shell string

// Supported shells.
const (
	Bash Shell = "bash"
	Zsh  Shell = "zsh"
	Fish Shell = "fish"
)

var functions = template.FuncMap{"names": joinNames, "valued": flagsWithValue, "quote": shellQuote, "fishQuote": fishQuote}

var scripts = map[Shell]*template.Template{
	Bash: template.Must(template.New("bash").Funcs(functions).Parse(bashScript)),
	Zsh:  template.Must(template.New("zsh").Funcs(functions).Parse(zshScript)),
	Fish: template.Must(template.New("fish").Funcs(functions).Parse(fishScript)),
}

// Options are the options of the command of one shell.
type Options struct {
	Streams command.Streams
	Shell   Shell
	Tree    *ffcli.Command
}

// New returns the group of the completion commands. The function tree returns the
// root command of the tool, including these commands. It is called when a command
// runs.
func New(s command.Streams, tree func() *ffcli.Command) *ffcli.Command {
	shell := func(name Shell, load string) *ffcli.Command {
		path := "completion " + string(name)
		return command.NewCommand(command.Spec{
			Path: path, Short: fmt.Sprintf("Print the completion script of %s.", name),
			Long:     "The script knows the commands and flags of this release. Load it again after an upgrade.",
			Examples: []string{"peridotlb " + path, load},
		}, command.NewFlagSet(path), func(context.Context, []string) error {
			return Run(Options{Streams: s, Shell: name, Tree: tree()})
		})
	}
	return command.NewGroup(
		"completion", "Print completion scripts for shells.",
		shell(Bash, `source <(peridotlb completion bash)`),
		shell(Zsh, `peridotlb completion zsh > "${fpath[1]}/_peridotlb"`),
		shell(Fish, `peridotlb completion fish > ~/.config/fish/completions/peridotlb.fish`),
	)
}

// Run prints the completion script of a shell.
func Run(o Options) error {
	script, ok := scripts[o.Shell]
	if !ok {
		return command.UsageError("no completion for the shell %q", o.Shell)
	}
	return script.Execute(o.Streams.Out, collectNodes(nil, o.Tree))
}

// node is one command of the command tree.
type node struct {
	Path         string // words of the command after the name of the tool
	Commands     []entry
	Flags        []entry
	FileOperands bool // whether the operands are files
}

// entry is a subcommand or a flag.
type entry struct {
	Name, Help string
	TakesValue bool // whether it is a flag that takes a value
	FileValue  bool // whether the value is a file or a directory
}

// collectNodes returns the nodes of a command and of all commands below it.
func collectNodes(path []string, c *ffcli.Command) []node {
	n := node{Path: strings.Join(path, " "), FileOperands: strings.Contains(c.ShortUsage, "FILE")}
	c.FlagSet.VisitAll(func(f *flag.Flag) {
		value, help := flag.UnquoteUsage(f)
		n.Flags = append(n.Flags, entry{f.Name, help, value != "", value == "path" || value == "file"})
	})
	n.Flags = append(n.Flags, entry{Name: "help", Help: "print the help of the command"})
	list := []node{}
	for _, sub := range c.Subcommands {
		n.Commands = append(n.Commands, entry{Name: sub.Name, Help: sub.ShortHelp})
		list = append(list, collectNodes(append(slices.Clip(path), sub.Name), sub)...)
	}
	return append([]node{n}, list...)
}

// joinNames joins the names of entries with spaces, each after a prefix.
func joinNames(prefix string, entries []entry) string {
	words := make([]string, len(entries))
	for i, e := range entries {
		words[i] = prefix + e.Name
	}
	return strings.Join(words, " ")
}

// flagsWithValue returns the flags that take a value.
func flagsWithValue(flags []entry) []entry {
	return slices.DeleteFunc(slices.Clone(flags), func(e entry) bool { return !e.TakesValue })
}

// shellQuote quotes a word for bash and zsh.
func shellQuote(w string) string { return "'" + strings.ReplaceAll(w, "'", `'\''`) + "'" }

// fishQuote quotes a word for fish, which has escape sequences inside quotes.
func fishQuote(w string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, "'", `\'`).Replace(w) + "'"
}
