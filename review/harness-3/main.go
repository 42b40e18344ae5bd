// Command harness3 runs the cases of review/REPORT-3.md against the daemons of this
// repository, with stand-ins for clients, servers and the platform's store.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(record string, trouble bool) (int, error){
	"chaos": chaos, "reuse": reuse, "shorter": shorter, "odd": odd, "foreign": foreign,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(code)
}
