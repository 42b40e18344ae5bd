package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// The crowd and the limits were fixed before the daemon bounded the memory of
// requests. The target is that the process stays within its memory and its
// descriptors. The header limit is four times that of the deployments, so that few
// connections reproduce the fault.
const (
	testConnections     = 60
	testIdleConnections = 700 // more than the descriptors
	testMemoryMB        = 96
	testDescriptors     = 512
	testHeaderBytes     = 65536
	testDuration        = 2 * time.Second
)

// Guards against callers that make a daemon run out of memory or descriptors with
// requests of permitted size.
func TestMemoryOfRequestsIsBounded(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "peridotlbd")
	if out, err := exec.Command("go", "build", "-o", daemon, "../../cmd/peridotlbd").CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v: %s", err, out)
	}
	c := siteConfig{Daemon: daemon, Template: "../../deploy/daemon.conf", MemoryMB: testMemoryMB, Descriptors: testDescriptors, HeaderBytes: testHeaderBytes}
	cases := attackCases(testConnections)
	idle := cases[len(cases)-1]
	idle.name, idle.connections = "many idle connections", testIdleConnections
	for _, a := range append(cases, idle) {
		t.Run(a.name, func(t *testing.T) {
			r, err := a.run(c, testDuration)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak memory %d MB, %d descriptors", r.peakMemory>>20, r.descriptors)
			if !r.alive {
				t.Fatal("the daemon ended")
			}
			if got, want := r.peakMemory, testMemoryMB<<20; got > want {
				t.Errorf("peak memory: got %d bytes, want at most %d", got, want)
			}
			if got, want := r.descriptors, testDescriptors; got > want {
				t.Errorf("open descriptors: got %d, want at most %d", got, want)
			}
			if r.served != nil {
				t.Errorf("ordinary request afterwards: got %v, want an answer", r.served)
			}
		})
	}
}
