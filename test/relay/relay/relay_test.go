package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/message"
)

var testZones = []Zone{{"pwani-a", 41, "pwani"}, {"pwani-b", 42, "pwani"}, {"kaskazini-a", 43, "kaskazini"}}

// testHosts returns the address of one host in each of the three zones. All use the
// same port, which was free on their addresses.
func testHosts(t *testing.T) (a, b, c netip.AddrPort) {
	t.Helper()
	addrs := []netip.Addr{netip.MustParseAddr("127.41.0.1"), netip.MustParseAddr("127.42.0.1"), netip.MustParseAddr("127.43.0.1")}
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	port := l.Addr().(*net.TCPAddr).AddrPort().Port()
	_ = l.Close()
	return netip.AddrPortFrom(addrs[0], port), netip.AddrPortFrom(addrs[1], port), netip.AddrPortFrom(addrs[2], port)
}

func startRelay(t *testing.T, addrs ...netip.AddrPort) *Relay {
	t.Helper()
	config := Config{
		Control: netip.MustParseAddrPort("127.0.0.1:0"), Zones: testZones,
		ZoneDelay: Duration(time.Millisecond), RegionDelay: Duration(3 * time.Millisecond),
	}
	for _, a := range addrs {
		config.Hosts = append(config.Hosts, Host{Address: a.Addr(), UDP: []uint16{a.Port()}, TCP: []uint16{a.Port()}})
	}
	r, err := Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func translatedAddr(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(Translated(a.Addr()), a.Port())
}

func listenTestUDP(t *testing.T, a netip.AddrPort) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func sendUDP(t *testing.T, from *net.UDPConn, to netip.AddrPort, text string) {
	t.Helper()
	if _, err := from.WriteToUDPAddrPort([]byte(text), translatedAddr(to)); err != nil {
		t.Fatal(err)
	}
}

func receiveUDP(t *testing.T, c *net.UDPConn) (string, netip.AddrPort) {
	t.Helper()
	b := make([]byte, 2000)
	n, from, err := c.ReadFromUDPAddrPort(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n]), from
}

// waitUntil repeats a step until it returns true. The timeout of the test limits
// the wait.
func waitUntil(step func() bool) {
	for !step() {
		time.Sleep(time.Millisecond)
	}
}

// TestUDP guards against a sender address that cannot be replied to, and against
// cuts that let datagrams pass.
func TestUDP(t *testing.T) {
	a, b, c := testHosts(t)
	r := startRelay(t, a, b, c)
	ua, uc := listenTestUDP(t, a), listenTestUDP(t, c)
	sendUDP(t, ua, c, "one")
	if got, from := receiveUDP(t, uc); got != "one" || from != translatedAddr(a) {
		t.Errorf("got %q from %v, want it from %v", got, from, translatedAddr(a))
	}
	if err := r.Cut("kaskazini", "pwani"); err != nil {
		t.Fatal(err)
	}
	sendUDP(t, ua, c, "cut off")
	waitUntil(func() bool { return r.Counters().Zones[0].UDPDropped == 1 })
	if err := r.Heal("pwani", "kaskazini"); err != nil {
		t.Fatal(err)
	}
	sendUDP(t, ua, c, "two")
	if got, _ := receiveUDP(t, uc); got != "two" {
		t.Errorf("got %q, want the datagram after the cut", got)
	}
	if err := r.SetLoss("pwani-a", "kaskazini-a", 100); err != nil {
		t.Fatal(err)
	}
	sendUDP(t, ua, c, "lost")
	waitUntil(func() bool { return r.Counters().Zones[0].UDPDropped == 2 })
	got := r.Counters()
	want := Counters{From: "pwani", To: "kaskazini", UDPBytes: 2 * (3 + 28), UDPPackets: 2, UDPDropped: 2}
	if len(got.Regions) != 2 || got.Regions[0] != want {
		t.Errorf("got %+v, want %+v", got.Regions, want)
	}
}

// TestTCP guards against truncated or reordered streams and a lost half-close.
func TestTCP(t *testing.T) {
	a, b, c := testHosts(t)
	r := startRelay(t, a, b, c)
	l, err := net.Listen("tcp4", c.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	type call struct {
		from string
		data []byte
	}
	calls := make(chan call, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		data, _ := io.ReadAll(conn)
		calls <- call{conn.RemoteAddr().(*net.TCPAddr).IP.String(), data}
		_, _ = conn.Write(append(data, "done"...))
		_ = conn.Close()
	}()
	dial := func() *net.TCPConn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: a.Addr().AsSlice()}}
		conn, err := d.Dial("tcp4", translatedAddr(c).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn.(*net.TCPConn)
	}
	conn := dial()
	sent := strings.Repeat("0123456789", 30_000)
	if _, err := io.WriteString(conn, sent); err != nil {
		t.Fatal(err)
	}
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	back, err := io.ReadAll(conn)
	if err != nil || string(back) != sent+"done" {
		t.Errorf("got %d bytes and error %v, want %d bytes", len(back), err, len(sent)+4)
	}
	if got := <-calls; got.from != Translated(a.Addr()).String() || string(got.data) != sent {
		t.Errorf("host got %d bytes from %s, want %d from %s", len(got.data), got.from, len(sent), Translated(a.Addr()))
	}
	got := r.Counters().Regions
	if len(got) != 2 || got[0].TCPBytes < uint64(len(sent)) || got[1].TCPBytes < uint64(len(sent)) || got[0].UDPBytes != 0 {
		t.Errorf("got %+v, want at least %d bytes of TCP each way", got, len(sent))
	}
	_ = l.Close()
	if _, err := io.ReadAll(dial()); err == nil {
		t.Error("a connection to a closed port ended without an error")
	}
}

// TestPath guards against packets that arrive too early or are accepted by a full
// queue.
func TestPath(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPath(testZones[0], testZones[2], &bandwidthLimiter{bandwidth: 8_000_000, queue: 3000}) // 1 byte per microsecond
	p.now = func() time.Time { return now }
	p.delay.Store(int64(12 * time.Millisecond))
	for range 4 {
		p.sendDatagram(1000-udpOverhead, func() {})
	}
	if got := p.counters(); got.UDPPackets != 3 || got.UDPDropped != 1 || got.UDPBytes != 3000 {
		t.Errorf("got %+v, want three packets in the queue and one dropped", got)
	}
	for i := 1; i <= 3; i++ {
		want := now.Add(12*time.Millisecond + time.Duration(i)*time.Millisecond)
		if got := (<-p.packets).arrival; !got.Equal(want) {
			t.Errorf("packet %d arrives at %v, want %v", i, got, want)
		}
	}
	now = now.Add(time.Second)
	if at, ok := p.admitTCP(t.Context(), 1000); !ok || !at.Equal(now.Add(12*time.Millisecond+1052*time.Microsecond)) {
		t.Errorf("TCP data arrives at %v, want it after its own bytes and the delay", at)
	}
	p.addCuts(1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := p.admitTCP(ctx, 1); ok {
		t.Error("a cut path accepted TCP data")
	}
}

// TestControl guards against control requests that have no effect, and against
// accepting unknown names and invalid values.
func TestControl(t *testing.T) {
	a, b, _ := testHosts(t)
	r := startRelay(t, a, b)
	base := "http://" + r.ControlAddr().String() + "/-/"
	post := func(path string) int {
		res, err := http.Post(base+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	for path, want := range map[string]int{
		"cut?a=pwani&b=kaskazini":               204,
		"cut?a=pwani&b=nowhere":                 400,
		"heal?a=pwani-a&b=pwani-b":              204,
		"delay?a=pwani-a&b=pwani-b&one-way=7ms": 204,
		"delay?a=pwani-a&b=pwani-b&one-way=7":   400,
		"loss?a=pwani-a&b=pwani-b&percent=2.5":  204,
		"loss?a=pwani-a&b=pwani-b&percent=101":  400,
		"loss?a=pwani-a&b=pwani-b&percent=NaN":  400,
	} {
		if got := post(path); got != want {
			t.Errorf("POST %s: got status %d, want %d", path, got, want)
		}
	}
	p := r.pathForAddrs(a.Addr(), b.Addr())
	if p.oneWay() != 7*time.Millisecond || p.loss.Load() != 25_000 {
		t.Errorf("got delay %v and loss %d, want 7ms and 25000 per million", p.oneWay(), p.loss.Load())
	}
	if !r.paths[[2]byte{43, 41}].isCut() || p.isCut() {
		t.Error("the cut does not apply exactly to the paths between the regions")
	}
	ua, ub := listenTestUDP(t, a), listenTestUDP(t, b)
	if post("loss?a=pwani-a&b=pwani-b&percent=0") != 204 {
		t.Error("loss was not reset")
	}
	sendUDP(t, ua, b, "x")
	receiveUDP(t, ub)
	res, err := http.Get(base + "counters")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var got Report
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil || len(got.Zones) != 1 || got.Zones[0].UDPBytes != 29 {
		t.Errorf("got %+v and error %v, want 29 bytes between the zones", got, err)
	}
}

// TestConfig guards against accepting an invalid configuration, and against a
// network that differs from its configuration.
func TestConfig(t *testing.T) {
	_, err := Start(context.Background(), Config{
		Zones:  []Zone{{"a", 1, "r"}, {"b", 1, "a"}, {"c", 200, "r"}},
		Hosts:  []Host{{Address: netip.MustParseAddr("127.9.0.1")}},
		Delays: []Delay{{A: "c", B: "r"}},
		Queue:  1,
	})
	for _, want := range []string{`zone "b"`, `zone "c"`, `region "a"`, "host 127.9.0.1", `delay between "c" and "r"`, "queue of 1"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want %q in it", err, want)
		}
	}
	if _, err := ParseConfig([]byte(`{"zone":[]}`)); err == nil {
		t.Error("an unknown key was accepted")
	}
	c, err := ParseConfig([]byte(`{"zones":[{"name":"a","number":1,"region":"r"},{"name":"b","number":2,"region":"r"}],"zone-delay":"500us"}`))
	if err != nil || time.Duration(c.ZoneDelay) != 500*time.Microsecond {
		t.Errorf("got %+v and error %v, want a delay of 500µs", c, err)
	}
	if got := c.NAT(1); len(got) != 1 || got[0] != "127.2.0.0/16=127.102.0.0/16" {
		t.Errorf("got NAT rules %q, want the rule of the other zone", got)
	}
}

// TestLinkThroughRelay guards against passing translated addresses to the receiver
// of messages, and against link counters that differ from the bytes on the network.
func TestLinkThroughRelay(t *testing.T) {
	a, b, c := testHosts(t)
	r := startRelay(t, a, b, c)
	ca, err := link.NewCA("test", time.Now().Add(-time.Hour), 2*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	type received struct {
		from netip.AddrPort
		m    message.Message
	}
	listen := func(addr netip.AddrPort, zone byte) (*link.Link, chan received) {
		keys, err := link.NewHostKeyPair(ca, addr.String(), time.Now().Add(-time.Hour), 2*time.Hour)
		dir := t.TempDir()
		files := link.CertificateConfig{CA: filepath.Join(dir, "ca"), Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
		err = errors.Join(err, os.WriteFile(files.CA, ca.Certificate, 0o600), os.WriteFile(files.Certificate, keys.Certificate, 0o600), os.WriteFile(files.Key, keys.Key, 0o600))
		if err != nil {
			t.Fatal(err)
		}
		identity, err := link.LoadIdentity(files)
		if err != nil {
			t.Fatal(err)
		}
		nat, err := link.ParseNAT(r.config.NAT(zone)...)
		if err != nil {
			t.Fatal(err)
		}
		in := make(chan received, 10)
		l, err := link.Listen(context.Background(), link.Config{
			Addr: addr, Server: identity.Server, Client: identity.Client, NAT: nat,
			IsCrossRegion: func(p netip.Addr) bool { return p.As4()[1] != zone },
			HandleMessage: func(from netip.AddrPort, m message.Message) { in <- received{from, m} },
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l, in
	}
	la, ina := listen(a, 41)
	lc, inc := listen(c, 43)
	la.Send(c, message.Announce{Number: 5})
	if got := <-inc; got.from != a || got.m != (message.Announce{Number: 5}) {
		t.Errorf("got %+v, want an announcement from %v", got, a)
	}
	lc.Send(a, message.Probe{Nonce: 1})
	if got := <-ina; got.from != c {
		t.Errorf("got a message from %v, want %v", got.from, c)
	}
	waitUntil(func() bool {
		sent, received := la.Traffic().CrossRegion.BytesSent, la.Traffic().CrossRegion.BytesReceived
		regions := r.Counters().Regions
		return len(regions) == 2 && regions[0].UDPBytes == sent && regions[1].UDPBytes == received &&
			lc.Traffic().CrossRegion.BytesReceived == sent && lc.Traffic().CrossRegion.BytesSent == received
	})
	// Announcements are sent on a QUIC stream, which retransmits lost data.
	if err := r.Cut("pwani", "kaskazini"); err != nil {
		t.Fatal(err)
	}
	la.Send(c, message.Announce{Number: 6})
	waitUntil(func() bool { return r.Counters().Regions[0].UDPDropped > 0 })
	if err := r.Heal("pwani", "kaskazini"); err != nil {
		t.Fatal(err)
	}
	if got := <-inc; got.m != (message.Announce{Number: 6}) {
		t.Errorf("after the cut: got %+v, want the announcement", got.m)
	}
}
