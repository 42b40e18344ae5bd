// Command caller makes calls at a rate for a while and prints an account.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peridotlb/peridotlb/test/caller/load"
)

func main() {
	targets := flag.String("targets", "http://127.0.0.1:7002", "base URLs of daemons, comma-separated")
	rate := flag.Float64("rate", 50, "calls per second")
	paid := flag.Float64("paid-share", 0.1, "share of paid calls")
	reads := flag.String("read-paths", "/stock", "paths of idempotent calls, comma-separated")
	paidPath := flag.String("paid-path", "/orders", "path of paid calls")
	duration := flag.Duration("duration", 10*time.Second, "how long to make calls")
	seed := flag.Uint64("seed", 1, "seed of targets and kinds of calls")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l := load.Start(ctx, load.Config{
		Targets: strings.Split(*targets, ","), Rate: *rate, PaidShare: *paid,
		ReadPaths: strings.Split(*reads, ","), PaidPath: *paidPath, Seed: *seed, Retries: 2,
	})
	select {
	case <-ctx.Done():
	case <-time.After(*duration):
	}
	r := l.Stop()
	summary := map[string]any{
		"calls": r.Calls, "calls-failed": r.Failed, "calls-refused": r.Refused, "calls-unknown": r.Unknown,
		"wrong-answers": r.Mismatched, "latency-p50-ms": r.Quantile(0.5).Seconds() * 1000,
		"latency-p99-ms": r.Quantile(0.99).Seconds() * 1000, "errors": r.Errors,
	}
	if err := json.NewEncoder(os.Stdout).Encode(summary); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}
