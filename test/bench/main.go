// Command bench measures peridotlb on this machine and prints tables, or one
// JSON object per measurement. It writes no files.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peridotlb/peridotlb/test/mesh"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o, err := parseFlags(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	}
	if err := runMeasurements(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// options are the flags of the program.
type options struct {
	measurements []string
	binDir       string
	asJSON       bool
	keepLogs     bool
	daemons      []int
	deployments  []mesh.Deployment
	situations   []string
	distribution string
	sections     int
	sectionBytes int
	idleDuration time.Duration
	changeWindow time.Duration
	changes      int
	callDuration time.Duration
	callers      int
	rates        []int
	timeout      time.Duration
}

var (
	measurements = []string{"convergence", "core", "calls"}
	situations   = []string{"idle", "change", "large-change", "burst", "kill"}
	deployments  = map[string]mesh.Deployment{mesh.Kujaza.Name: mesh.Kujaza, mesh.Prairie.Name: mesh.Prairie}
)

const usage = `bench measures peridotlb on this machine.

Usage: bench [flags] [convergence] [core] [calls]

Without names of measurements, all are run. Examples:

  bench --daemons 15 --deployments kujaza convergence
  bench --json core

Flags:
`

func parseFlags(args []string, out io.Writer) (options, error) {
	o := options{situations: situations, daemons: []int{15, 60, 150}, rates: []int{50, 500, 5000}, deployments: []mesh.Deployment{mesh.Kujaza, mesh.Prairie}}
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Usage = func() {
		fmt.Fprint(out, usage)
		flags.PrintDefaults()
	}
	flags.StringVar(&o.binDir, "bin", "bin", "`directory` of the built programs")
	flags.BoolVar(&o.asJSON, "json", false, "print one JSON object per measurement")
	flags.BoolVar(&o.keepLogs, "logs", false, "keep the directories with the logs and print their names")
	flags.Func("daemons", "comma-separated `sizes` of the fleet (default 15,60,150)", func(s string) (err error) {
		o.daemons, err = parseNumbers(s, 2, maxDaemons)
		return err
	})
	flags.Func("deployments", "comma-separated `names` of deployments (default kujaza,prairie)", func(s string) (err error) {
		o.deployments, err = parseDeployments(s)
		return err
	})
	flags.Func("situations", "comma-separated `names` of situations of convergence (default "+strings.Join(situations, ",")+")", func(s string) (err error) {
		o.situations, err = parseNames(s, situations)
		return err
	})
	flags.StringVar(&o.distribution, "distribution", "economical", "setting --distribution of the daemons")
	flags.IntVar(&o.sections, "sections", 3, "sections of the document")
	flags.IntVar(&o.sectionBytes, "section-bytes", 20000, "size of a section's canonical encoding in `bytes`")
	flags.DurationVar(&o.idleDuration, "idle", 30*time.Second, "time over which idle traffic is measured")
	flags.DurationVar(&o.changeWindow, "window", 6*time.Second, "time over which the traffic of one change is measured")
	flags.IntVar(&o.changes, "changes", 5, "single changes per measurement")
	flags.DurationVar(&o.callDuration, "duration", 10*time.Second, "time of a measurement of calls")
	flags.IntVar(&o.callers, "callers", 32, "callers of the measurement of calls under load")
	flags.Func("rates", "comma-separated `rates` in calls a second at which the processor time of a call is measured (default 50,500,5000)", func(s string) (err error) {
		o.rates, err = parseNumbers(s, 1, 20000)
		return err
	})
	flags.DurationVar(&o.timeout, "timeout", 6*time.Minute, "longest time of one measurement")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	o.measurements = flags.Args()
	if len(o.measurements) == 0 {
		o.measurements = measurements
	}
	if o.sections < 1 || o.changes < 1 || o.callers < 1 || o.callDuration < time.Second || o.idleDuration < time.Second || o.changeWindow < time.Second {
		return o, errors.New("--sections, --changes and --callers must be at least 1, --idle, --window and --duration at least 1s")
	}
	_, err := parseNames(strings.Join(o.measurements, ","), measurements)
	return o, err
}

// mostDaemons bounds the daemons. With the platform, the relay and this program,
// more would exceed 250 processes.
const maxDaemons = 240

func parseNumbers(s string, least, most int) ([]int, error) {
	var numbers []int
	for part := range strings.SplitSeq(s, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < least || n > most {
			return nil, fmt.Errorf("%q is not a number from %d to %d", part, least, most)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}

func parseDeployments(s string) ([]mesh.Deployment, error) {
	var list []mesh.Deployment
	for part := range strings.SplitSeq(s, ",") {
		d, ok := deployments[part]
		if !ok {
			return nil, fmt.Errorf("%q is not a deployment; want kujaza or prairie", part)
		}
		list = append(list, d)
	}
	return list, nil
}

func parseNames(s string, known []string) ([]string, error) {
	names := strings.Split(s, ",")
	for _, name := range names {
		if !slices.Contains(known, name) {
			return nil, fmt.Errorf("%q is not one of %s", name, strings.Join(known, ", "))
		}
	}
	return names, nil
}

func runMeasurements(ctx context.Context, o options) error {
	r := &reporter{out: os.Stdout, json: o.asJSON}
	for _, name := range o.measurements {
		var err error
		switch name {
		case "convergence":
			err = measureConvergence(ctx, o, r)
		case "core":
			err = measureCore(ctx, r)
		case "calls":
			err = measureCalls(ctx, o, r)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}
