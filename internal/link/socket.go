package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
)

// packetOverhead is the size of the IPv4 and UDP headers in bytes.
const packetOverhead = 28

// Counters counts packets of one kind of remote address. Bytes include 28 bytes
// of IP and UDP header per packet.
type Counters struct {
	BytesSent       uint64 `json:"bytes-sent"`
	BytesReceived   uint64 `json:"bytes-received"`
	PacketsSent     uint64 `json:"packets-sent"`
	PacketsReceived uint64 `json:"packets-received"`
}

// Traffic is what passed the socket since the start. Remote is the part of
// Total whose peer Config.Remote selects.
type Traffic struct {
	Total       Counters `json:"total"`
	CrossRegion Counters `json:"remote"`
}

type atomicCounters struct {
	bytesSent, bytesReceived, packetsSent, packetsReceived atomic.Uint64
}

func (c *atomicCounters) addSent(n int) {
	c.bytesSent.Add(uint64(n) + packetOverhead)
	c.packetsSent.Add(1)
}

func (c *atomicCounters) addReceived(n int) {
	c.bytesReceived.Add(uint64(n) + packetOverhead)
	c.packetsReceived.Add(1)
}

func (c *atomicCounters) load() Counters {
	return Counters{
		BytesSent:       c.bytesSent.Load(),
		BytesReceived:   c.bytesReceived.Load(),
		PacketsSent:     c.packetsSent.Load(),
		PacketsReceived: c.packetsReceived.Load(),
	}
}

// udpConn is the part of *net.UDPConn in use; tests replace it.
type udpConn interface {
	net.PacketConn
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort([]byte, netip.AddrPort) (int, error)
	SyscallConn() (syscall.RawConn, error)
	SetReadBuffer(int) error
	SetWriteBuffer(int) error
}

// socket counts the packets of a UDP socket and translates addresses, so that
// QUIC and everything above it see the addresses of host rows only. It leaves
// out ReadMsgUDP and WriteMsgUDP on purpose: quic-go then uses ReadFrom and
// WriteTo with one packet each, which makes the count exact.
type socket struct {
	net.PacketConn
	udp           udpConn
	nat           NAT
	isCrossRegion func(netip.Addr) bool

	total, crossRegion atomicCounters
}

func openSocket(config Config) (*socket, error) {
	open := config.openUDP
	if open == nil {
		open = func(addr netip.AddrPort) (udpConn, error) {
			return net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		}
	}
	udp, err := open(config.Addr)
	if err != nil {
		return nil, fmt.Errorf("open control socket: %w", err)
	}
	return &socket{PacketConn: udp, udp: udp, nat: config.NAT, isCrossRegion: config.IsCrossRegion}, nil
}

// ReadFrom returns the next packet and the host row's address of its sender.
func (s *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := s.udp.ReadFromUDPAddrPort(b)
	if err != nil {
		return n, nil, err
	}
	from = s.nat.Inside(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	s.total.addReceived(n)
	if s.isCrossRegion(from.Addr()) {
		s.crossRegion.addReceived(n)
	}
	return n, net.UDPAddrFromAddrPort(from), nil
}

// WriteTo sends a packet to a host row's address.
func (s *socket) WriteTo(b []byte, addr net.Addr) (int, error) {
	to := addrPortOf(addr)
	n, err := s.udp.WriteToUDPAddrPort(b, s.nat.Outside(to))
	if err != nil {
		return n, err
	}
	s.total.addSent(n)
	if s.isCrossRegion(to.Addr()) {
		s.crossRegion.addSent(n)
	}
	return n, nil
}

// SyscallConn, SetReadBuffer and SetWriteBuffer let quic-go size the buffers.
func (s *socket) SyscallConn() (syscall.RawConn, error) { return s.udp.SyscallConn() }

// SetReadBuffer sets the size of the receive buffer in bytes.
func (s *socket) SetReadBuffer(n int) error { return s.udp.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the send buffer in bytes.
func (s *socket) SetWriteBuffer(n int) error { return s.udp.SetWriteBuffer(n) }

func (s *socket) traffic() Traffic {
	return Traffic{Total: s.total.load(), CrossRegion: s.crossRegion.load()}
}

// unmapped returns a UDP address with an IPv4 address in its short form.
func addrPortOf(addr net.Addr) netip.AddrPort {
	u, ok := addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := u.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
