package root_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/pem"
	"errors"
	"flag"
	"io"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/command/keyscreate"
	"github.com/peridotlb/peridotlb/internal/command/root"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/operator/operatortest"
	"github.com/peridotlb/peridotlb/internal/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"peridotlb": func() {
		os.Exit(int(root.Run(context.Background(), os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr})))
	}})
}

type backendKey struct{}

// newFakeBackend returns a fake of the daemon behind the operator API: a fleet with
// two regions, three backend servers and the events of one rollout.
func newFakeBackend() *operatortest.Backend {
	at := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	b := &operatortest.Backend{
		LastAccepted: at,
		Zones: []operatortest.Zone{
			{Name: "pwani-a", Region: "pwani", Hosts: []host.ID{"pwani-a-1", "pwani-a-2"}},
			{Name: "kaskazini-a", Region: "kaskazini", Hosts: []host.ID{"kaskazini-a-1"}},
		},
		BackendServers: []operator.Server{
			{Server: backend.Server{ID: "bead-2", Service: "bead-stock", Host: "pwani-a-2", Addr: netip.MustParseAddrPort("127.1.0.2:9000"), Slots: 9, State: backend.Draining}, Zone: "pwani-a", Region: "pwani", HostState: host.Suspect},
			{Server: backend.Server{ID: "bead-1", Service: "bead-stock", Host: "pwani-a-1", Addr: netip.MustParseAddrPort("127.1.0.1:9000"), Slots: 9, State: backend.Ready}, Zone: "pwani-a", Region: "pwani"},
			{Server: backend.Server{ID: "road-1", Service: "road-map", Host: "kaskazini-a-1", Addr: netip.MustParseAddrPort("127.2.0.1:9000"), State: backend.Ready}, Zone: "kaskazini-a", Region: "kaskazini"},
		},
		Unanswered: []host.ID{"kaskazini-b-1"},
	}
	for i, e := range []operator.Event{
		{Kind: "accepted", Host: "pwani-a-1", Zone: "pwani-a"},
		{Kind: "version-loaded", Host: "pwani-a-1", Zone: "pwani-a"},
		{Kind: "version-fetched", Host: "kaskazini-a-1", Zone: "kaskazini-a"},
		{Kind: "version-applied", Host: "pwani-a-1", Zone: "pwani-a"},
		{Kind: "version-applied", Host: "kaskazini-a-1", Zone: "kaskazini-a", Detail: "line\nbreak\x1b[31m"},
	} {
		e.Time, e.Version = at.Add(time.Duration(i)*10*time.Millisecond), 1
		b.Events = append(b.Events, e)
	}
	return b
}

// setup starts the operator API without TLS, with TLS, and with a certificate of
// another certificate authority, and sets the environment of a script.
func setup(e *testscript.Env) error {
	b := newFakeBackend()
	h, err := operator.New(operator.Config{
		Backend: b, Host: host.Row{ID: "pwani-a-1", Zone: "pwani-a", Region: "pwani"}, Release: "1.2.3",
		Tokens: []settings.OperatorToken{{Team: "stock-team", Token: "stock-0123456789"}, {Team: "road-team", Token: "road-0123456789"}},
	})
	if err != nil {
		return err
	}
	plain, encrypted, foreign := httptest.NewServer(h), httptest.NewUnstartedServer(h), httptest.NewTLSServer(h)
	e.Defer(plain.Close)
	e.Defer(encrypted.Close)
	e.Defer(foreign.Close)
	keys := keyscreate.Options{
		Streams: command.Streams{Out: io.Discard}, Directory: e.WorkDir, Hosts: []string{"pwani-a-1"},
		CAValidity: time.Hour, HostValidity: time.Hour, Now: time.Now,
	}
	if err := keyscreate.Run(keys); err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(e.WorkDir, "pwani-a-1.pem"), filepath.Join(e.WorkDir, "pwani-a-1-key.pem"))
	if err != nil {
		return err
	}
	encrypted.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	encrypted.StartTLS()
	// The certificate of the foreign server is its own CA, but is issued for other
	// names.
	data := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: foreign.Certificate().Raw})
	if err := os.WriteFile(filepath.Join(e.WorkDir, "foreign-ca.pem"), data, 0o600); err != nil {
		return err
	}
	e.Setenv("FOREIGN_ADDRESS", foreign.Listener.Addr().String())
	e.Values[backendKey{}] = b
	e.Setenv("PERIDOTLB_OPERATOR_ADDRESS", plain.Listener.Addr().String())
	e.Setenv("TLS_ADDRESS", encrypted.Listener.Addr().String())
	e.Setenv("PERIDOTLB_TOKEN", "stock-0123456789")
	return nil
}

// expectExitCode runs a program and checks its exit code.
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code: got %d, want %d", got, want)
	}
}

// controlBackend changes the state of the fake behind the operator API:
//
//	down, up                    the platform does not answer, or answers again
//	slow                        submissions wait until their context ends
//	lose N                      the next N submissions have an unknown outcome
//	hold ZONE, release ZONE     a zone is unreachable, or reachable again
func controlBackend(ts *testscript.TestScript, _ bool, args []string) {
	b := ts.Value(backendKey{}).(*operatortest.Backend)
	switch args[0] {
	case "down", "up":
		b.SetUnavailable(args[0] == "down")
	case "slow":
		b.SetSlow(true)
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		b.MakeNextUnknown(n)
	case "hold", "release":
		b.SetUnreachable(host.AvailabilityZone(args[1]), args[0] == "hold")
	default:
		ts.Fatalf("unknown backend command: %v", args)
	}
}

// Runs the scripts in testdata. Each guards against wrong exit codes, missing
// hints and listings that differ from the response of the API.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", Setup: setup, RequireExplicitExec: true, RequireUniqueNames: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": expectExitCode, "backend": controlBackend},
	})
}

// Guards against commands without examples or documented exit codes, and flags
// without a description.
func TestHelp(t *testing.T) {
	var visit func(path []string, c *ffcli.Command)
	visit = func(path []string, c *ffcli.Command) {
		var out, errs bytes.Buffer
		code := root.Run(t.Context(), append(path, "--help"), command.Streams{Out: &out, Err: &errs})
		if code != command.ExitOK || errs.Len() > 0 {
			t.Errorf("%v --help: got exit code %d and errors %q", path, code, errs.String())
		}
		wants := []string{"Usage: peridotlb", "Exit codes:", "  3  not known yet"}
		if len(c.Subcommands) == 0 {
			wants = append(wants, "Examples:\n  peridotlb "+strings.Join(path, " "))
		}
		for _, want := range wants {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%v --help: got %q, want %q in it", path, out.String(), want)
			}
		}
		c.FlagSet.VisitAll(func(f *flag.Flag) {
			if f.Usage == "" {
				t.Errorf("%v: flag %s has no help", path, f.Name)
			}
		})
		for _, sub := range c.Subcommands {
			visit(append(path[:len(path):len(path)], sub.Name), sub)
		}
	}
	visit(nil, root.New(command.Streams{}))
}
