// Command soak runs a fleet of real processes under calls while faults from outside
// come in series and overlap: daemons and backend servers are killed, stopped as planned
// and frozen, the platform is down, slow or loses responses, zones and regions are cut
// off, and versions change. A seed determines the faults and their times.
//
// While it runs and at its end it checks, from what callers and backend servers have
// seen, that no paid action runs twice, that what was acknowledged ran, that what was
// refused as not run did not, that no daemon ends by itself or outlasts its stop, that no
// host applies an older version, and that every host serves again after the last fault.
// It exits with 0 only if all promises held.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the faults")
	seeds := flag.Int("seeds", 1, "number of seeds to run one after the other")
	duration := flag.Duration("duration", 40*time.Second, "time in which faults happen, for each seed")
	hosts := flag.Int("hosts", 9, "number of hosts, at least 6")
	file := flag.String("document", "examples/shop.yaml", "document to submit")
	logs := flag.Bool("logs", false, "keep the log directory and print its path")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := 0
	for i := range *seeds {
		c := config{seed: *seed + uint64(i), duration: *duration, hosts: max(*hosts, 6), keepLogs: *logs, out: os.Stdout}
		broken, err := runSeed(ctx, c, *file)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", c.seed, err)
			os.Exit(2)
		}
		for _, b := range broken {
			fmt.Printf("BROKEN, seed %d: %s\n", c.seed, b)
		}
		if len(broken) > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds from %d, %d with a broken promise\n", *seeds, *seed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func runSeed(ctx context.Context, c config, file string) ([]string, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the built programs: %w", err)
	}
	c.bin = filepath.Dir(program)
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	if c.document, err = document.Parse(file, data); err != nil {
		return nil, fmt.Errorf("parse document: %w", err)
	}
	fmt.Printf("Running seed %d for %v on %d hosts ...\n", c.seed, c.duration, c.hosts)
	return run(ctx, c)
}
