// Command flood measures the peak memory of a daemon whose callers send requests of
// permitted size that are expensive to keep in memory. It runs a store, a daemon and a
// backend server on loopback for each attack.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

func main() {
	c := siteConfig{}
	flag.StringVar(&c.Daemon, "daemon", "bin/peridotlbd", "built daemon")
	flag.StringVar(&c.Template, "template", "deploy/daemon.conf", "template of the settings")
	flag.IntVar(&c.MemoryMB, "memory-mb", 184, "memory of the host")
	flag.IntVar(&c.Descriptors, "descriptors", 4100, "file descriptors of the daemon")
	flag.IntVar(&c.HeaderBytes, "header-bytes", 16384, "header limit of the configuration")
	flag.StringVar(&c.Listener, "listener", "outbound", "listener that is attacked: outbound or inbound")
	connections := flag.Int("connections", 60, "attacking connections")
	duration := flag.Duration("duration", 6*time.Second, "duration of each attack")
	only := flag.String("only", "", "run only the attacks whose names contain this text")
	ordinary := flag.Int("ordinary", -1, "instead of attacking, send ordinary requests with bodies of this many bytes")
	flag.Parse()
	run := func() error { return measure(c, *connections, *duration, *only) }
	if *ordinary >= 0 {
		run = func() error { return measureOrdinary(c, *connections, *ordinary, *duration) }
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "flood:", err)
		os.Exit(1)
	}
}

func measure(c siteConfig, connections int, duration time.Duration, only string) error {
	fmt.Println("| Attack | Connections | Peak memory, MB | Descriptors | Alive | Served afterwards |\n|---|---|---|---|---|---|")
	for _, a := range attackCases(connections) {
		if !strings.Contains(a.name, only) {
			continue
		}
		r, err := a.run(c, duration)
		if err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
		fmt.Printf("| %s | %d | %.0f | %d | %t | %t |\n", a.name, connections, float64(r.peakMemory)/1e6, r.descriptors, r.alive, r.served == nil)
	}
	return nil
}
