package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/test/mesh"
)

// stopTimeout bounds a planned stop. Daemons wait 2 s for the news of their
// leaving to spread, and backend servers until they were idle for 1 s.
const stopTimeout = 15 * time.Second

// daemon changes daemons: daemon kill|freeze|resume|stop|start HOST...
func controlDaemons(w *scriptState, _ *testscript.TestScript, args []string) error {
	return w.controlProcesses(args, func(h *mesh.Host) *mesh.Process { return h.Daemon }, w.startDaemon)
}

func (w *scriptState) startDaemon(h *mesh.Host) error { return w.mesh.StartDaemon(w.ctx, h) }

// server changes backend servers: server kill|freeze|resume|stop|start|drain HOST...
func controlServers(w *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) > 1 && args[0] == "drain" {
		return w.forEachHost(args[1:], func(h *mesh.Host) error { return h.DrainServer(w.ctx) })
	}
	return w.controlProcesses(args, func(h *mesh.Host) *mesh.Process { return h.Server }, func(h *mesh.Host) error {
		return w.mesh.StartServer(w.ctx, h)
	})
}

func (w *scriptState) controlProcesses(args []string, of func(*mesh.Host) *mesh.Process, start func(*mesh.Host) error) error {
	if len(args) < 2 {
		return errUsage
	}
	actions := map[string]func(h *mesh.Host) error{
		"kill":   func(h *mesh.Host) error { return of(h).Kill() },
		"freeze": func(h *mesh.Host) error { return of(h).Freeze() },
		"resume": func(h *mesh.Host) error { return of(h).Resume() },
		"stop":   func(h *mesh.Host) error { return of(h).Stop(stopTimeout) },
		"start":  start,
	}
	action, ok := actions[args[0]]
	if !ok {
		return errUsage
	}
	return w.forEachHost(args[1:], action)
}

// each runs f for all hosts that match, at the same time.
func (w *scriptState) forEachHost(patterns []string, f func(*mesh.Host) error) error {
	hosts, err := w.hosts(patterns...)
	if err != nil {
		return err
	}
	errs := make(chan error, len(hosts))
	for _, h := range hosts {
		go func() { errs <- f(h) }()
	}
	for range hosts {
		err = errors.Join(err, <-errs)
	}
	return err
}

// platformFault changes the platform, or begins to watch its counters:
// platform up|down|slow MS|lose COMMITS|watch.
func controlPlatform(w *scriptState, _ *testscript.TestScript, args []string) error {
	faults := map[string]any{"down": false, "slow-ms": 0, "lose-answers": 0}
	switch {
	case len(args) == 1 && args[0] == "watch":
		return w.startSampler()
	case len(args) == 1 && args[0] == "up":
	case len(args) == 1 && args[0] == "down":
		faults["down"] = true
	case len(args) == 2 && (args[0] == "slow" || args[0] == "lose"):
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		faults[map[string]string{"slow": "slow-ms", "lose": "lose-answers"}[args[0]]] = n
	default:
		return errUsage
	}
	return w.mesh.SetPlatformFaults(w.ctx, faults)
}

// cutLink cuts or heals the link between the regions: link cut|heal.
func changeLink(w *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 || (args[0] != "cut" && args[0] != "heal") {
		return errUsage
	}
	r := w.mesh.Deployment.Regions
	return w.mesh.ChangeNetwork(w.ctx, args[0], string(r[0]), string(r[1]), nil)
}

// cutZone cuts a zone off from all other zones, or only its control traffic:
// zone cut|heal ZONE [udp].
func changeZone(w *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 || (args[0] != "cut" && args[0] != "heal") {
		return errUsage
	}
	udp := len(args) == 3 && args[2] == "udp"
	for _, zone := range w.mesh.Zones() {
		if zone == args[1] {
			continue
		}
		verb, more := args[0], url.Values{}
		if udp {
			// The relay applies loss to datagrams only.
			verb = "loss"
			more.Set("percent", map[string]string{"cut": "100", "heal": "0"}[args[0]])
		}
		if err := w.mesh.ChangeNetwork(w.ctx, verb, args[1], zone, more); err != nil {
			return fmt.Errorf("%s and %s: %w", args[1], zone, err)
		}
	}
	return nil
}

// within returns a context for one command.
func (w *scriptState) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, d)
}

// sendDatagrams sends bad datagrams to the control address of hosts, from an
// address in the same zone: datagram random|truncated|forged HOST...
func sendDatagrams(w *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	return w.forEachHost(args[1:], func(h *mesh.Host) error { return sendBadDatagrams(h, args[0]) })
}

// badDatagrams is the number of datagrams sent to each host.
const badDatagramCount = 200

func sendBadDatagrams(h *mesh.Host, kind string) error {
	conn, err := net.Dial("udp", h.ControlAddr())
	if err != nil {
		return err
	}
	defer conn.Close()
	for i := range badDatagramCount {
		data, err := badDatagram(kind, i)
		if err != nil {
			return err
		}
		if _, err := conn.Write(data); err != nil {
			return err
		}
	}
	return nil
}

// badDatagram returns a datagram that is no valid QUIC packet.
func badDatagram(kind string, i int) ([]byte, error) {
	random := rand.New(rand.NewPCG(uint64(i), 0))
	data := make([]byte, 1200)
	for j := range data {
		data[j] = byte(random.Uint32())
	}
	// Long header of an Initial packet of QUIC version 1, with a connection id of
	// eight bytes and none of the source, no token, and a length.
	initial := []byte{0xc3, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0x44, 0x90}
	switch kind {
	case "random":
	case "truncated":
		copy(data, initial)
		data = data[:i%len(initial)+1]
	case "forged":
		copy(data, initial)
		copy(data[6:14], data[100:108])
	default:
		return nil, errUsage
	}
	return data, nil
}

// startForeign starts one more daemon in the first zone with keys of its own:
// foreign ID CA CERTIFICATE KEY. The files are in the directory of the script.
func startForeign(w *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errUsage
	}
	files := mesh.KeyFiles{CA: ts.MkAbs(args[1]), Certificate: ts.MkAbs(args[2]), Key: ts.MkAbs(args[3])}
	return w.mesh.StartForeignDaemon(w.ctx, args[0], files)
}
