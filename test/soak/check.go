package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/peridotlb/peridotlb/test/caller/load"
)

// runs counts what the backend servers ran, according to their run logs.
type runs struct {
	byKey     map[string]int // of paid actions by idempotency key
	byAttempt map[string]int // of calls by attempt
}

// countRuns counts the lines of run logs: method, path and attempt.
func countRuns(lines []string) runs {
	r := runs{byKey: make(map[string]int), byAttempt: make(map[string]int)}
	for _, line := range lines {
		method, rest, _ := strings.Cut(line, " ")
		path, attempt, _ := strings.Cut(rest, " ")
		if method == http.MethodPost {
			r.byKey[path[strings.LastIndexByte(path, '/')+1:]]++
		}
		if attempt != "" {
			r.byAttempt[attempt]++
		}
	}
	return r
}

// duplicates returns the paid actions that ran more than once.
func (r runs) duplicates() []string {
	var broken []string
	for _, key := range slices.Sorted(maps.Keys(r.byKey)) {
		if n := r.byKey[key]; n > 1 {
			broken = append(broken, fmt.Sprintf("paid action %s ran %d times", key, n))
		}
	}
	return broken
}

// checkCalls returns the promises to callers that were broken.
func checkCalls(l load.Result, r runs) []string {
	broken := r.duplicates()
	for _, key := range l.AcknowledgedKeys {
		if r.byKey[key] == 0 {
			broken = append(broken, fmt.Sprintf("paid action %s was acknowledged and did not run", key))
		}
	}
	for _, attempt := range l.RefusedAttempts {
		if r.byAttempt[attempt] > 0 {
			broken = append(broken, fmt.Sprintf("attempt %s was refused as not run and ran", attempt))
		}
	}
	if l.Mismatched > 0 {
		broken = append(broken, fmt.Sprintf("%d complete responses do not match their request", l.Mismatched))
	}
	if len(l.Latencies) == 0 || len(l.AcknowledgedKeys) == 0 {
		broken = append(broken, "no call or no paid action succeeded")
	}
	return broken
}

// checkVersions returns the versions that a host applied after a newer one.
func checkVersions(host string, versions []uint64) []string {
	var broken []string
	for i := 1; i < len(versions); i++ {
		if versions[i] < versions[i-1] {
			broken = append(broken, fmt.Sprintf("%s applied version %d after %d", host, versions[i], versions[i-1]))
		}
	}
	return broken
}
