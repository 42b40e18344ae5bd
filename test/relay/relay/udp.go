package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// listenUDP opens the translated socket of a host's port.
func (r *Relay) listenUDP(host netip.AddrPort) error {
	addr := netip.AddrPortFrom(Translated(host.Addr()), host.Port())
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	if err := socket.SetReadBuffer(4 << 20); err != nil {
		return errors.Join(fmt.Errorf("receive buffer of %s: %w", addr, err), socket.Close())
	}
	r.registerCloser(socket)
	r.sockets[host] = socket
	return nil
}

// forward sends every datagram that arrives at the translated address of a host
// on to that host, from the translated address of its sender. A datagram whose
// sender has no configured UDP port is dropped, as no answer could reach it.
func (r *Relay) forwardDatagrams(host netip.AddrPort, socket *net.UDPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier datagram
		}
		sender, path := r.sockets[from], r.pathBetween(from.Addr(), host.Addr())
		if sender == nil || path == nil {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		path.sendDatagram(n, func() {
			// Failures are losses, which datagrams may suffer.
			_, _ = sender.WriteToUDPAddrPort(data, host)
		})
	}
}
