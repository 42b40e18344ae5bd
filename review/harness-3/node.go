package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a machine with one daemon of the project.
type node struct {
	name, zone, region, service, ip string
	store                           string
	dir                             string
	ports                           map[string]int // outbound, inbound, control, ready, app, link, operator, metrics
	command                         *exec.Cmd
	exited                          chan struct{}
	log                             *os.File
}

// newNode reserves the addresses of a machine. Each machine has a loopback address of
// its own.
func newNode(dir, name, zone, region, service, ip, store string) (*node, error) {
	n := &node{name: name, zone: zone, region: region, service: service, ip: ip, store: store, dir: dir, ports: make(map[string]int)}
	for _, p := range []string{"outbound", "inbound", "control", "ready", "app", "operator", "metrics"} {
		at := ip
		if p == "operator" {
			at = "127.0.0.1"
		}
		port, err := freePort(at)
		if err != nil {
			return nil, err
		}
		n.ports[p] = port
	}
	u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return nil, err
	}
	n.ports["link"] = u.LocalAddr().(*net.UDPAddr).Port
	_ = u.Close()
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, err
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (n *node) at(port string) string { return fmt.Sprintf("%s:%d", n.ip, n.ports[port]) }

// writeSettings writes the settings file that deploy/daemon.conf gives on this machine.
func (n *node) writeSettings() error {
	lines := []string{
		"host-id " + n.name, "availability-zone " + n.zone, "region " + n.region, "caller-service " + n.service,
		"cores 0.32", "link-mbps " + linkMbps(),
		"call-address " + n.at("outbound"), "gate-address " + n.at("inbound"), "announce-address " + n.at("control"),
		"ready-address " + n.at("ready"), "control-address " + n.at("link"), "operator-address 127.0.0.1:" + fmt.Sprint(n.ports["operator"]),
		"metrics-address " + n.at("metrics"), "platform store", "store-address " + n.store, "watch 700ms", "announce-lease 6s",
		"drain-timeout 6s", "log-format json", "retry-ratio 0.2", "retry-extra 58", "retry-window 10s", "",
	}
	return os.WriteFile(n.settings(), []byte(strings.Join(lines, "\n")), 0o600)
}

func (n *node) settings() string { return filepath.Join(n.dir, n.name+".conf") }

// start starts the daemon with the command of the deploy file.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	c := exec.Command("target/peridotlbd", "--settings-file="+n.settings())
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTLB_NODE_FILE=" + n.settings(),
		"PERIDOTLB_MEMORY_MB=284", "PERIDOTLB_FILE_DESCRIPTORS=4100", "PERIDOTLB_QUOTA_WINDOW=", "PERIDOTLB_QUOTA_OVERRUN=",
		"PERIDOTLB_QUOTA_SLACK=", "PERIDOTLB_ROLLOUT_EXPOSURE_SHARE=", "PERIDOTLB_ROLLOUT_EXPOSURE_SLACK=",
	}
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the daemon.
func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// kill ends the daemon and waits for its end.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// awaitReady waits until the daemon says that it is ready.
func (n *node) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + n.at("ready") + "/v1/readiness")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s isn't ready after %v", n.name, limit)
}

// linkMbps is the rate of a machine's link in the settings.
func linkMbps() string {
	if v := os.Getenv("LINK"); v != "" {
		return v
	}
	return "1000.0"
}
