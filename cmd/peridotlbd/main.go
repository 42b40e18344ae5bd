// Command peridotlbd is the load-balancing daemon that runs on each host of backend
// servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/peridotlb/peridotlb/internal/daemon"
	"github.com/peridotlb/peridotlb/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Without this call, SIGHUP would end the daemon.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(daemon.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, platform.Adapt))
}
