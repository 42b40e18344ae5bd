// Command harness runs the cases of the review that can't be played as a day of the
// bench. It starts daemons as separate processes with the command of the deploy file
// and plays their clients, backend servers and store itself, on loopback addresses.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't
// run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxRunTime bounds a case.
const maxRunTime = 110 * time.Second

// cases are the cases by name. Each returns how often it saw the rule broken. With
// trouble false, it leaves out the disruption.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (broken int, err error){
	"leaving-forgotten": leavingForgotten,
	"late-heartbeat":    lateHeartbeat,
	"changed-body":      changedBody,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD-FILE")
		return exitCannotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitCannotRun
	}
	defer r.close()
	d, err := newDeployment(r)
	if err != nil {
		r.write("could not run: %v", err)
		return exitCannotRun
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](ctx, d, trouble)
	switch {
	case err != nil:
		r.write("could not run: %v", err)
		return exitCannotRun
	case broken > 0:
		r.write("BROKEN %d times", broken)
		return exitBroken
	default:
		r.write("HELD")
		return exitHeld
	}
}
