// Package scenario implements the commands of the scripts under testdata, which
// test the guarantees of the system under failures with real processes. In addition
// to the commands of testscript, there are:
//
//	mesh         starts daemons, backend servers, platform and relay
//	submit       changes a section           race          submits to several daemons at once
//	applied      waits for a version         status-lacks  waits for a status
//	load         makes calls                 paid          sends one paid action
//	daemon       kill, freeze, resume, stop, start
//	server       the same for backend servers, and drain
//	platform     down, up, slow, lose, watch
//	link, zone   cut, heal                   datagram      sends invalid packets
//	foreign      starts a daemon outside the mesh
//	sleep        waits                       expect        checks a guarantee
//
// Hosts are selected by ID or by patterns such as pwani-a-*. A command that begins
// with ! must fail.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/test/caller/load"
	"github.com/peridotlb/peridotlb/test/mesh"
)

const (
	// scriptTimeout limits the run time of a script from the start of its mesh.
	scriptTimeout = 100 * time.Second
	// maxConcurrentMeshes limits the number of meshes that run at the same time.
	maxConcurrentMeshes = 2
)

var meshSlots = make(chan struct{}, maxConcurrentMeshes)

// Config holds the settings that all scripts of a test run share.
type Config struct {
	BinDir   string // directory of the built programs
	Document document.Document
	KeepLogs bool // keep the directories of the meshes and log their paths
}

// scriptState is the state of one script.
type scriptState struct {
	config        Config
	ctx           context.Context
	cancel        context.CancelFunc
	mesh          *mesh.Mesh
	doc           document.Document // newest sections that the script has submitted
	latestVersion uint64            // newest version that the script knows
	loadCount     int               // loads started
	responseSize  int               // size of the backend servers' response bodies in bytes
	generator     *load.Generator
	loadResult    load.Result // results of the loads that were stopped
	paidResponses map[string][]paidResponse
	sampler       *counterSampler
	logf          func(string, ...any)

	mu        sync.Mutex // guards logf during concurrent submissions
	closeOnce sync.Once
}

type stateKey struct{}

// Setup creates the state of a script.
func (c Config) Setup(e *testscript.Env) error {
	st := &scriptState{config: c, paidResponses: make(map[string][]paidResponse), doc: cloneDocument(c.Document), cancel: func() {}}
	e.Values[stateKey{}] = st
	e.Setenv("PATH", c.BinDir)
	e.Defer(st.close)
	return nil
}

// command implements a script command.
type command func(st *scriptState, ts *testscript.TestScript, args []string) error

// Commands returns the script commands by name.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"mesh": startMesh, "submit": submit, "race": race, "applied": applied, "status-lacks": statusLacks,
		"load": runLoad, "paid": sendPaid,
		"daemon": controlDaemons, "server": controlServers, "platform": controlPlatform, "link": changeLink, "zone": changeZone,
		"datagram": sendDatagrams, "foreign": startForeign, "sleep": sleepCommand, "expect": expect,
	}
	commands := make(map[string]func(*testscript.TestScript, bool, []string), len(all))
	for name, run := range all {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			st := ts.Value(stateKey{}).(*scriptState)
			st.logf = ts.Logf
			start := time.Now()
			err := run(st, ts, args)
			ts.Logf("[%s finished in %v]", name, time.Since(start).Round(10*time.Millisecond))
			switch {
			case err != nil && !neg:
				ts.Fatalf("%s: %v", name, err)
			case err == nil && neg:
				ts.Fatalf("%s succeeded, want an error", name)
			case err != nil:
				ts.Logf("failed as expected: %v", err)
			}
		}
	}
	return commands
}

var errUsage = errors.New("invalid arguments")

// parseArgs separates the "name=value" arguments from the others.
func parseArgs(args []string) (plain []string, named map[string]string) {
	named = make(map[string]string)
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok {
			named[name] = value
		} else {
			plain = append(plain, a)
		}
	}
	return plain, named
}

// hosts returns the hosts whose IDs match one of the patterns, for example
// "pwani-a-*".
func (st *scriptState) hosts(patterns ...string) ([]*mesh.Host, error) {
	if st.mesh == nil {
		return nil, errors.New("no mesh is running; start one with the command mesh")
	}
	var found []*mesh.Host
	for _, h := range st.mesh.Hosts {
		matches := func(p string) bool { ok, _ := path.Match(p, string(h.ID)); return ok }
		if slices.ContainsFunc(patterns, matches) {
			found = append(found, h)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no host matches %q", patterns)
	}
	return found, nil
}

// startMesh starts a mesh and waits until it can serve calls:
//
//	mesh kujaza|prairie [DAEMONS] [size=BYTES] [body-time=DURATION] [service-time=DURATION] [servers=false] [peers=none] [FLAG=VALUE...]
//
// With peers=none, daemons find each other through the table, which takes up to
// 13 s. Other names, such as --distribution, are flags of the daemons.
func startMesh(st *scriptState, ts *testscript.TestScript, args []string) error {
	plain, named := parseArgs(args)
	c := mesh.Config{BinDir: st.config.BinDir, Servers: named["servers"] != "false", KeepLogs: st.config.KeepLogs, Daemons: 12, Peers: named["peers"] != "none"}
	switch {
	case len(plain) == 0 || st.mesh != nil:
		return errUsage
	case plain[0] == "kujaza":
		c.Deployment = mesh.Kujaza
	case plain[0] == "prairie":
		c.Deployment = mesh.Prairie
	default:
		return errUsage
	}
	if len(plain) == 2 {
		var err error
		if c.Daemons, err = strconv.Atoi(plain[1]); err != nil {
			return err
		}
	}
	// With twelve hosts, each zone has a backend server of each service.
	c.Deployment.ServersPerService = []int{c.Daemons / 3, c.Daemons / 3, c.Daemons - 2*(c.Daemons/3)}
	for name, value := range named {
		switch name {
		case "size":
			st.responseSize, _ = strconv.Atoi(value)
			fallthrough
		case "body-time", "service-time":
			c.ServerFlags = append(c.ServerFlags, "--"+name, value)
		case "servers", "peers":
		default:
			c.Flags = append(c.Flags, name+"="+value)
		}
	}
	meshSlots <- struct{}{}
	ts.Defer(func() { <-meshSlots })
	st.ctx, st.cancel = context.WithTimeout(context.Background(), scriptTimeout)
	return st.launchMesh(ts, c)
}

func (st *scriptState) launchMesh(ts *testscript.TestScript, c mesh.Config) error {
	var err error
	if st.mesh, err = mesh.Start(st.ctx, c); err != nil {
		return fmt.Errorf("start mesh: %w", err)
	}
	ts.Defer(st.close)
	if c.KeepLogs {
		ts.Logf("logs: %s", st.mesh.Dir)
	}
	ctx, cancel := context.WithTimeout(st.ctx, 30*time.Second)
	defer cancel()
	if st.latestVersion, err = st.mesh.SubmitAll(ctx, st.doc); err != nil {
		return err
	}
	if err := st.mesh.WaitApplied(ctx, st.latestVersion); err != nil {
		return fmt.Errorf("wait for the first version: %w", err)
	}
	for _, h := range st.mesh.Hosts {
		name := strings.ReplaceAll(string(h.ID), "-", "_")
		ts.Setenv(name+"_operator", h.OperatorURL())
		ts.Setenv(name+"_control", h.ControlAddr())
		ts.Setenv(name+"_call", strings.TrimPrefix(h.CallURL(), "http://"))
	}
	ts.Setenv("MESH", st.mesh.Dir)
	if !c.Servers {
		return nil
	}
	return st.mesh.WaitServers(ctx, len(st.mesh.Hosts))
}

// close stops everything that the script started.
func (st *scriptState) close() {
	st.closeOnce.Do(func() {
		st.cancel()
		if st.generator != nil {
			st.generator.Stop()
		}
		if st.sampler != nil {
			st.sampler.stop()
		}
		if st.mesh != nil {
			_ = st.mesh.Close()
		}
	})
}

// sleepCommand waits: sleep DURATION.
func sleepCommand(_ *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

func cloneDocument(d document.Document) document.Document {
	sections := slices.Clone(d.Sections)
	for i := range sections {
		sections[i].Routes = slices.Clone(sections[i].Routes)
	}
	return document.Document{Sections: sections}
}
