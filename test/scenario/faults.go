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

// stopTimeout limits a graceful shutdown. Daemons wait 2 s until their departure
// has propagated, and backend servers wait until they have been idle for 1 s.
const stopTimeout = 15 * time.Second

// controlDaemons controls daemons: daemon kill|freeze|resume|stop|start HOST...
func controlDaemons(st *scriptState, _ *testscript.TestScript, args []string) error {
	return st.controlProcesses(args, func(h *mesh.Host) *mesh.Process { return h.Daemon }, st.startDaemon)
}

func (st *scriptState) startDaemon(h *mesh.Host) error { return st.mesh.StartDaemon(st.ctx, h) }

// controlServers controls backend servers:
// server kill|freeze|resume|stop|start|drain HOST...
func controlServers(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) > 1 && args[0] == "drain" {
		return st.forEachHost(args[1:], func(h *mesh.Host) error { return h.DrainServer(st.ctx) })
	}
	return st.controlProcesses(args, func(h *mesh.Host) *mesh.Process { return h.Server }, func(h *mesh.Host) error {
		return st.mesh.StartServer(st.ctx, h)
	})
}

func (st *scriptState) controlProcesses(args []string, of func(*mesh.Host) *mesh.Process, start func(*mesh.Host) error) error {
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
	return st.forEachHost(args[1:], action)
}

// forEachHost runs f concurrently for all hosts that match a pattern.
func (st *scriptState) forEachHost(patterns []string, f func(*mesh.Host) error) error {
	hosts, err := st.hosts(patterns...)
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

// controlPlatform injects faults into the platform, or starts sampling its
// counters: platform up|down|slow MS|lose COMMITS|watch.
func controlPlatform(st *scriptState, _ *testscript.TestScript, args []string) error {
	faults := map[string]any{"down": false, "slow-ms": 0, "lose-answers": 0}
	switch {
	case len(args) == 1 && args[0] == "watch":
		return st.startSampler()
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
	return st.mesh.SetPlatformFaults(st.ctx, faults)
}

// changeLink cuts or heals the link between the regions: link cut|heal.
func changeLink(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 || (args[0] != "cut" && args[0] != "heal") {
		return errUsage
	}
	r := st.mesh.Deployment.Regions
	return st.mesh.ChangeNetwork(st.ctx, args[0], string(r[0]), string(r[1]), nil)
}

// changeZone cuts or heals the network between a zone and all other zones, for all
// traffic or only for control traffic: zone cut|heal ZONE [udp].
func changeZone(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 || (args[0] != "cut" && args[0] != "heal") {
		return errUsage
	}
	udp := len(args) == 3 && args[2] == "udp"
	for _, zone := range st.mesh.Zones() {
		if zone == args[1] {
			continue
		}
		action, more := args[0], url.Values{}
		if udp {
			// Loss in the relay affects only datagrams.
			action = "loss"
			more.Set("percent", map[string]string{"cut": "100", "heal": "0"}[args[0]])
		}
		if err := st.mesh.ChangeNetwork(st.ctx, action, args[1], zone, more); err != nil {
			return fmt.Errorf("change network between %s and %s: %w", args[1], zone, err)
		}
	}
	return nil
}

// withTimeout returns a context for a command, which the end of the script also
// cancels.
func (st *scriptState) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(st.ctx, d)
}

// sendDatagrams sends invalid datagrams to the control address of hosts, without
// passing through the relay, as from the same zone:
// datagram random|truncated|forged HOST...
func sendDatagrams(st *scriptState, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	return st.forEachHost(args[1:], func(h *mesh.Host) error { return sendBadDatagrams(h, args[0]) })
}

// badDatagramCount is the number of invalid datagrams for each host.
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

// badDatagram returns a datagram that is not a valid QUIC packet.
func badDatagram(kind string, i int) ([]byte, error) {
	random := rand.New(rand.NewPCG(uint64(i), 0))
	data := make([]byte, 1200)
	for j := range data {
		data[j] = byte(random.Uint32())
	}
	// Long header of a QUIC version 1 Initial packet with an 8-byte destination
	// connection ID, no source connection ID, no token, and a length.
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

// startForeign starts a daemon in the first zone that does not belong to the mesh:
// foreign ID CA CERTIFICATE KEY. Paths are relative to the directory of the script.
func startForeign(st *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errUsage
	}
	files := mesh.KeyFiles{CA: ts.MkAbs(args[1]), Certificate: ts.MkAbs(args[2]), Key: ts.MkAbs(args[3])}
	return st.mesh.StartForeignDaemon(st.ctx, args[0], files)
}
