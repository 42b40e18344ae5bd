// Command harness-2 runs the cases of the second review as scripts: real daemons on
// loopback addresses, and stand-ins for the platform's store, the application servers
// and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// outcome is the result of a case.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	failed outcome = 2 // the case could not run
)

// options are the options of a case.
type options struct {
	trouble bool
	keep    bool // keep the temporary folder
	seconds int
}

// cases has the cases by name.
var cases = map[string]func(*site, options) outcome{}

func main() {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "target/peridotlbd", "program of the daemon")
	template := flag.String("template", "deploy/daemon.conf", "template of the settings")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	keep := flag.Bool("keep", false, "keep the temporary folder with the logs")
	seconds := flag.Int("seconds", 0, "length; 0 for that of the case")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(int(failed))
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	s, err := newSite(rec, *daemon, *template)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not start the store:", err)
		os.Exit(int(failed))
	}
	// A case ends before the 120 s that a script may take.
	timer := time.AfterFunc(110*time.Second, func() {
		fmt.Println("the case took too long")
		s.close(*keep)
		os.Exit(int(failed))
	})
	result := run(s, options{trouble: *trouble, keep: *keep, seconds: *seconds})
	timer.Stop()
	if *keep {
		fmt.Println("logs in", s.dir)
	}
	s.close(*keep)
	rec.add("result: %d", result)
	rec.close()
	os.Exit(int(result))
}

// report prints a line and records it.
func (s *site) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	s.rec.add("%s", text)
}

// startAll starts the daemons of all hosts and waits until they are ready.
func (s *site) startAll() bool {
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			s.report("could not start %s: %v", h.name, err)
			return false
		}
	}
	if !s.awaitReady(15 * time.Second) {
		s.report("the daemons did not become ready")
		return false
	}
	return true
}
