// Command peridotlb is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/term"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/command/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := command.Streams{Out: os.Stdout, Err: os.Stderr, Terminal: term.IsTerminal(int(os.Stdout.Fd()))}
	os.Exit(int(root.Run(ctx, os.Args[1:], s)))
}
