// Package scenario is the test language in which scripts under testdata prove
// the promises of the system under failure, on real processes. The commands,
// besides those of testscript, are:
//
//	mesh         starts daemons, backend servers, platform and relay
//	submit       changes a section           race          submits at all daemons at once
//	applied      waits for a version         status-lacks  waits for a status
//	load         makes calls                 paid          sends one paid action
//	daemon       kill, freeze, resume, stop, start
//	server       the same for backend servers, and drain
//	platform     down, up, slow, lose, watch
//	link, zone   cut, heal                   datagram      sends bad packets
//	foreign      starts a daemon with keys of its own
//	sleep        waits                       expect        checks a promise
//
// Hosts are named by id or by patterns such as pwani-a-*. A command that begins
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
	// scriptLimit bounds a script from the start of its mesh.
	scriptTimeout = 100 * time.Second
	// meshLimit is the number of meshes that run at the same time.
	maxConcurrentMeshes = 2
)

var meshSlots = make(chan struct{}, maxConcurrentMeshes)

// Config is what all scripts of a run share.
type Config struct {
	BinDir   string // directory of the built programs
	Document document.Document
	KeepLogs bool // keep the directories of the meshes and log their names
}

// world is the state of one script.
type scriptState struct {
	config        Config
	ctx           context.Context
	cancel        context.CancelFunc
	mesh          *mesh.Mesh
	doc           document.Document // newest sections that the script submitted
	latestVersion uint64            // newest version that the script knows
	loadCount     int               // loads started
	responseSize  int               // bytes of an answer of the backend servers
	generator     *load.Generator
	loadResult    load.Result // of the loads that were stopped
	paidResponses map[string][]paidResponse
	sampler       *counterSampler
	logf          func(string, ...any)

	mu   sync.Mutex
	once sync.Once
}

type stateKey struct{}

// Setup gives a script its state.
func (c Config) Setup(e *testscript.Env) error {
	w := &scriptState{config: c, paidResponses: make(map[string][]paidResponse), doc: cloneDocument(c.Document), cancel: func() {}}
	e.Values[stateKey{}] = w
	e.Setenv("PATH", c.BinDir)
	e.Defer(w.close)
	return nil
}

// command is a command of the test language.
type command func(w *scriptState, ts *testscript.TestScript, args []string) error

// Commands returns the test language.
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
			w := ts.Value(stateKey{}).(*scriptState)
			w.logf = ts.Logf
			start := time.Now()
			err := run(w, ts, args)
			ts.Logf("[%s took %v]", name, time.Since(start).Round(10*time.Millisecond))
			switch {
			case err != nil && !neg:
				ts.Fatalf("%s: %v", name, err)
			case err == nil && neg:
				ts.Fatalf("%s succeeded unexpectedly", name)
			case err != nil:
				ts.Logf("failed as expected: %v", err)
			}
		}
	}
	return commands
}

var errUsage = errors.New("wrong arguments")

// options splits "name=value" arguments from the others.
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

// hosts returns the hosts whose ids match one of the patterns, for example
// "pwani-a-*".
func (w *scriptState) hosts(patterns ...string) ([]*mesh.Host, error) {
	if w.mesh == nil {
		return nil, errors.New("no mesh runs")
	}
	var found []*mesh.Host
	for _, h := range w.mesh.Hosts {
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

// startMesh starts a mesh and waits until calls can be made:
//
//	mesh kujaza|prairie [DAEMONS] [size=BYTES] [body-time=DURATION] [service-time=DURATION] [servers=false] [peers=none] [FLAG=VALUE...]
//
// With peers=none, daemons find each other through the table, which takes up to
// 13 s. Names that begin with -- are flags of the daemons.
func startMesh(w *scriptState, ts *testscript.TestScript, args []string) error {
	plain, named := parseArgs(args)
	c := mesh.Config{BinDir: w.config.BinDir, Servers: named["servers"] != "false", KeepLogs: w.config.KeepLogs, Daemons: 12, Peers: named["peers"] != "none"}
	switch {
	case len(plain) == 0 || w.mesh != nil:
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
	// Each zone has a server of each service when there are twelve hosts.
	c.Deployment.ServersPerService = []int{c.Daemons / 3, c.Daemons / 3, c.Daemons - 2*(c.Daemons/3)}
	for name, value := range named {
		switch name {
		case "size":
			w.responseSize, _ = strconv.Atoi(value)
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
	w.ctx, w.cancel = context.WithTimeout(context.Background(), scriptTimeout)
	return w.launchMesh(ts, c)
}

func (w *scriptState) launchMesh(ts *testscript.TestScript, c mesh.Config) error {
	var err error
	if w.mesh, err = mesh.Start(w.ctx, c); err != nil {
		return fmt.Errorf("start mesh: %w", err)
	}
	ts.Defer(w.close)
	if c.KeepLogs {
		ts.Logf("logs: %s", w.mesh.Dir)
	}
	ctx, cancel := context.WithTimeout(w.ctx, 30*time.Second)
	defer cancel()
	if w.latestVersion, err = w.mesh.SubmitAll(ctx, w.doc); err != nil {
		return err
	}
	if err := w.mesh.WaitApplied(ctx, w.latestVersion); err != nil {
		return fmt.Errorf("first version: %w", err)
	}
	for _, h := range w.mesh.Hosts {
		name := strings.ReplaceAll(string(h.ID), "-", "_")
		ts.Setenv(name+"_operator", h.OperatorURL())
		ts.Setenv(name+"_control", h.ControlAddr())
		ts.Setenv(name+"_call", strings.TrimPrefix(h.CallURL(), "http://"))
	}
	ts.Setenv("MESH", w.mesh.Dir)
	if !c.Servers {
		return nil
	}
	return w.mesh.WaitServers(ctx, len(w.mesh.Hosts))
}

// close ends everything that the script started.
func (w *scriptState) close() {
	w.once.Do(func() {
		w.cancel()
		if w.generator != nil {
			w.generator.Stop()
		}
		if w.sampler != nil {
			w.sampler.stop()
		}
		if w.mesh != nil {
			_ = w.mesh.Close()
		}
	})
}

// pause waits: sleep DURATION.
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
