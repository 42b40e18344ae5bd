// Command relay stands for the network between availability zones and regions
// in tests. See package relay/relay.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peridotlb/peridotlb/test/relay/relay"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	config, err := parseFlags(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(2)
	}
	r, err := relay.Start(ctx, config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(1)
	}
	fmt.Println("control", r.ControlAddr())
	<-ctx.Done()
	r.Close()
}

// parse reads the configuration file, if any, and then the other flags, which
// add zones, hosts and delays and replace single values.
func parseFlags(args []string, out io.Writer) (relay.Config, error) {
	var c relay.Config
	flags := flag.NewFlagSet("relay", flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Func("config", "JSON `file`; must come before the other flags", func(name string) error {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		c, err = relay.ParseConfig(data)
		return err
	})
	flags.Func("control", "`address` of the control API", func(s string) (err error) {
		c.Control, err = netip.ParseAddrPort(s)
		return err
	})
	flags.Func("zone", "`name:number:region`, for example pwani-a:1:pwani", func(s string) error {
		z, err := parseZone(s)
		c.Zones = append(c.Zones, z)
		return err
	})
	flags.Func("host", "`address,protocol:port,...`, for example 127.1.0.1,udp:7000,tcp:7443", func(s string) error {
		h, err := parseHost(s)
		c.Hosts = append(c.Hosts, h)
		return err
	})
	flags.Func("delay", "`a:b:one-way` between two zones or regions, for example pwani:kaskazini:12ms", func(s string) error {
		d, err := parseDelay(s)
		c.Delays = append(c.Delays, d)
		return err
	})
	flags.Func("zone-delay", "one-way `delay` between zones of a region", func(s string) error { return c.ZoneDelay.UnmarshalText([]byte(s)) })
	flags.Func("region-delay", "one-way `delay` between regions", func(s string) error { return c.RegionDelay.UnmarshalText([]byte(s)) })
	flags.Func("bandwidth", "`bits` per second between two regions, each way", func(s string) (err error) {
		c.Bandwidth, err = strconv.ParseInt(s, 10, 64)
		return err
	})
	flags.Func("queue", "`bytes` that wait for the bandwidth", func(s string) (err error) {
		c.Queue, err = strconv.ParseInt(s, 10, 64)
		return err
	})
	if err := flags.Parse(args); err != nil {
		return c, err
	}
	if flags.NArg() > 0 {
		return c, fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return c, nil
}

func parseZone(s string) (relay.Zone, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 3 {
		return relay.Zone{}, errors.New("want name:number:region")
	}
	n, err := strconv.ParseUint(parts[1], 10, 8)
	return relay.Zone{Name: parts[0], Number: byte(n), Region: parts[2]}, err
}

func parseHost(s string) (h relay.Host, err error) {
	parts := strings.Split(s, ",")
	if h.Address, err = netip.ParseAddr(parts[0]); err != nil {
		return h, err
	}
	for _, part := range parts[1:] {
		protocol, port, _ := strings.Cut(part, ":")
		n, err := strconv.ParseUint(port, 10, 16)
		if err != nil {
			return h, err
		}
		switch protocol {
		case "udp":
			h.UDP = append(h.UDP, uint16(n))
		case "tcp":
			h.TCP = append(h.TCP, uint16(n))
		default:
			return h, fmt.Errorf("protocol %q is not udp or tcp", protocol)
		}
	}
	return h, nil
}

func parseDelay(s string) (relay.Delay, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 3 {
		return relay.Delay{}, errors.New("want a:b:one-way")
	}
	d, err := time.ParseDuration(parts[2])
	return relay.Delay{A: parts[0], B: parts[1], OneWay: relay.Duration(d)}, err
}
