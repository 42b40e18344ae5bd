package link

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

// memoryNet transports packets between links inside a synctest bubble, where
// time advances when all goroutines are blocked.
type memoryNet struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*memoryConn
	drop  func([]byte) bool
}

type memoryPacket struct {
	from netip.AddrPort
	data []byte
}

// memoryConn is a udpConn on a memoryNet. Its address and raw connection are
// those of a UDP socket that is not used for packets.
type memoryConn struct {
	*net.UDPConn
	net                     *memoryNet
	addr                    netip.AddrPort
	inbox                   chan memoryPacket
	deadlineSet, closed     chan struct{} // closed by SetReadDeadline and Close
	deadlineOnce, closeOnce sync.Once
}

func (m *memoryNet) open(addr netip.AddrPort) (udpConn, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c := &memoryConn{UDPConn: udp, net: m, addr: addrPortOf(udp.LocalAddr()), inbox: make(chan memoryPacket, 1024), deadlineSet: make(chan struct{}), closed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c.addr] = c
	return c, nil
}

func (c *memoryConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-c.inbox:
		return copy(b, p.data), p.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	case <-c.deadlineSet:
		return 0, netip.AddrPort{}, os.ErrDeadlineExceeded
	}
}

func (c *memoryConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if peer := c.net.conns[to]; peer != nil && (c.net.drop == nil || !c.net.drop(b)) {
		select {
		case peer.inbox <- memoryPacket{c.addr, bytes.Clone(b)}:
		default:
		}
	}
	return len(b), nil
}

func (c *memoryConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.deadlineOnce.Do(func() { close(c.deadlineSet) })
	}
	return nil
}

func (c *memoryConn) Close() error {
	c.net.mu.Lock()
	if c.net.conns[c.addr] == c {
		delete(c.net.conns, c.addr)
	}
	c.net.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	return c.UDPConn.Close()
}

// runInBubble runs a test with two links in a synctest bubble, so that its timing
// does not depend on the machine.
func runInBubble(t *testing.T, test func(t *testing.T, f fleet, m *memoryNet, a, b node)) {
	synctest.Test(t, func(t *testing.T) {
		f, m := newFleet(t), &memoryNet{conns: map[netip.AddrPort]*memoryConn{}}
		open := func(c *Config) { c.openUDP = m.open }
		a, b := f.listen(f.issueHost(), open), f.listen(f.issueHost(), open)
		test(t, f, m, a, b)
		_, _ = a.Close(), b.Close()
	})
}

// TestIdleClose checks that idle connections, for example to former neighbors,
// close after the idle timeout without sending packets.
func TestIdleClose(t *testing.T) {
	runInBubble(t, func(t *testing.T, _ fleet, _ *memoryNet, a, b node) {
		a.Send(b.Addr(), message.Announce{Number: 1})
		<-b.received
		time.Sleep(idleTimeout - time.Second)
		if got := a.connections(b); got != 1 {
			t.Errorf("before the timeout: got %d connections, want 1", got)
		}
		packets := a.Traffic().Total.PacketsSent
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got := a.connections(b) + b.connections(a); got != 0 {
			t.Errorf("after the timeout: got %d connections, want none", got)
		}
		if got := a.Traffic().Total.PacketsSent; got != packets {
			t.Errorf("got %d packets while idle, want none", got-packets)
		}
	})
}

// TestStreamDeadline checks that a stream that a slow peer does not finish is
// canceled.
func TestStreamDeadline(t *testing.T) {
	runInBubble(t, func(t *testing.T, _ fleet, _ *memoryNet, a, b node) {
		c, err := a.peer(b.Addr()).connection(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		s, err := c.OpenUniStream()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Write([]byte{message.ProtocolVersion}); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		<-s.Context().Done()
		var canceled *quic.StreamError
		if err := context.Cause(s.Context()); !errors.As(err, &canceled) || canceled.ErrorCode != streamCanceled {
			t.Errorf("stream closed with %v, want code %d", err, streamCanceled)
		}
		if got := time.Since(start); got < streamTimeout || got > streamTimeout+time.Second {
			t.Errorf("stream closed after %v in the bubble, want %v", got, streamTimeout)
		}
		a.Send(b.Addr(), message.Announce{Number: 1})
		<-b.received
	})
}

// TestRejectedCertificate checks that a daemon whose certificate is rejected
// backs off, rather than starting a handshake for every message.
func TestRejectedCertificate(t *testing.T) {
	runInBubble(t, func(t *testing.T, f fleet, m *memoryNet, a, _ node) {
		foreign := fleet{t, newFleet(t).ca}
		identity, err := LoadIdentity(foreign.files(foreign.issueHost()))
		if err != nil {
			t.Fatal(err)
		}
		// The foreign node accepts certificates of the fleet, so that only its own
		// certificate is rejected.
		trusting, err := LoadIdentity(f.files(f.issueHost()))
		if err != nil {
			t.Fatal(err)
		}
		identity.Client.VerifyConnection = trusting.Client.VerifyConnection
		bad := foreign.listen(foreign.issueHost(), func(c *Config) { c.openUDP, c.Server, c.Client = m.open, identity.Server, identity.Client })
		defer func() { _ = bad.Close() }()
		p := bad.peer(a.Addr())
		for failures := 1; failures < 8; failures++ {
			bad.Send(a.Addr(), message.Announce{Number: 1})
			synctest.Wait()
			time.Sleep(minBackoff / 4)
			synctest.Wait()
			if p.failures != failures || len(p.conns) != 0 {
				t.Fatalf("got %d failures and %d connections, want %d and none; log: %v", p.failures, len(p.conns), failures, bad.logs.All())
			}
			wait := time.Until(p.notBefore)
			if low, high := backoff(failures, 0), backoff(failures, 1); wait < low-time.Second/10 || wait > high {
				t.Errorf("after %d failures: got a backoff of %v, want %v to %v", failures, wait, low, high)
			}
			packets, dropped := bad.Traffic().Total.PacketsSent, bad.Dropped()
			bad.Send(a.Addr(), message.Announce{Number: 1})
			synctest.Wait()
			if sent, lost := bad.Traffic().Total.PacketsSent-packets, bad.Dropped()-dropped; sent != 0 || lost != 1 {
				t.Errorf("after %d failures: got %d packets and %d dropped messages during the backoff, want 0 and 1", failures, sent, lost)
			}
			time.Sleep(wait)
		}
		if got := a.logs.FilterMessageSnippet("Refused a connection").Len(); got != 1 {
			t.Errorf("got %d log lines about the rejected peer within a minute, want 1", got)
		}
	})
}

// TestRejectionLogger checks that log lines about rejected peers are rate limited,
// but appear again in every window.
func TestRejectionLogger(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	now := time.Unix(1_800_000_000, 0)
	r := &rejectionLogger{log: zap.New(core), now: func() time.Time { return now }}
	for minute := 1; minute <= 2; minute++ {
		for i := range 2 * maxLoggedAddrs {
			for port := range uint16(3) {
				r.logRejection(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), port+1), errors.New("unknown authority"))
			}
		}
		if got, want := logs.Len(), minute*maxLoggedAddrs; got != want {
			t.Errorf("minute %d: got %d lines, want %d", minute, got, want)
		}
		now = now.Add(rejectionLogWindow)
	}
}

// TestLoss checks that announcements are neither lost nor reordered when
// packets are lost.
func TestLoss(t *testing.T) {
	runInBubble(t, func(t *testing.T, _ fleet, m *memoryNet, a, b node) {
		packets := 0
		m.drop = func([]byte) bool { packets++; return packets%5 == 0 }
		for n := version.Number(1); n <= 100; n++ {
			a.Send(b.Addr(), message.Announce{Number: n})
			time.Sleep(10 * time.Millisecond)
		}
		for n := version.Number(1); n <= 100; n++ {
			if got := <-b.received; got.m != (message.Announce{Number: n}) {
				t.Fatalf("got %+v, want announcement %d", got.m, n)
			}
		}
	})
}
