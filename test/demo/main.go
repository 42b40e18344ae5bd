// Command demo runs a small fleet of real processes for each deployment of
// package mesh. It submits the example document, makes calls from both regions,
// changes a section and drains a backend server under load, and prints whether
// the guarantees held. It exits with 0 only if no guarantee was violated.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/peridotlb/peridotlb/test/mesh"
)

// runTimeout limits the total run time of the demo.
const runTimeout = 58 * time.Second

func main() {
	asJSON := flag.Bool("json", false, "print one JSON object as the last line")
	short := flag.Bool("short", false, "run the first deployment only")
	document := flag.String("document", "examples/shop.yaml", "document to submit")
	logs := flag.Bool("logs", false, "keep the log directory and print its path")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	program, err := os.Executable()
	if err != nil {
		exitWithError(err)
	}
	deployments := []mesh.Deployment{mesh.Kujaza, mesh.Prairie}
	if *short {
		deployments = deployments[:1]
	}
	var results []result
	for _, d := range deployments {
		fmt.Printf("Running %s: regions %s and %s ...\n", d.Name, d.Regions[0], d.Regions[1])
		r, err := run(ctx, d, filepath.Dir(program), *document, *logs)
		if err != nil {
			exitWithError(fmt.Errorf("%s: %w", d.Name, err))
		}
		results = append(results, r)
	}
	printTable(results, *asJSON)
	for _, r := range results {
		if len(r.Violations) > 0 {
			os.Exit(1)
		}
	}
}

func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, "demo:", err)
	os.Exit(1)
}

func printTable(results []result, asJSON bool) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	row := func(name string, value func(result) any) {
		fmt.Fprint(w, name)
		for _, r := range results {
			fmt.Fprintf(w, "\t%v", value(r))
		}
		fmt.Fprintln(w)
	}
	row("", func(r result) any { return r.Deployment })
	row("daemons", func(r result) any { return r.Daemons })
	row("accepted version", func(r result) any { return r.Version })
	row("convergence p50, ms", func(r result) any { return r.ConvergenceP50 })
	row("convergence max, ms", func(r result) any { return r.ConvergenceMax })
	row("control bytes", func(r result) any { return r.ControlBytes })
	row("control bytes over the link", func(r result) any { return r.LinkBytes })
	row("calls", func(r result) any { return r.Calls })
	row("calls failed", func(r result) any { return r.Failed })
	row("calls duplicated", func(r result) any { return r.Duplicated })
	row("attempts refused as not run", func(r result) any { return r.Refused })
	row("latency p99, ms", func(r result) any { return r.LatencyP99 })
	_ = w.Flush()
	for _, r := range results {
		for _, v := range r.Violations {
			fmt.Printf("VIOLATION (%s): %s\n", r.Deployment, v)
		}
	}
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(totals(results))
	}
}
