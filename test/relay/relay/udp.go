package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// listenUDP opens the socket at the translated address of a host's port.
func (r *Relay) listenUDP(host netip.AddrPort) error {
	addr := netip.AddrPortFrom(Translated(host.Addr()), host.Port())
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	if err := socket.SetReadBuffer(4 << 20); err != nil {
		return errors.Join(fmt.Errorf("set receive buffer of %s: %w", addr, err), socket.Close())
	}
	r.registerCloser(socket)
	r.sockets[host] = socket
	return nil
}

// forwardDatagrams forwards every datagram that arrives at the translated address
// of a host to that host, from the translated address of the sender. A datagram
// whose sender has no configured UDP port is dropped, since no response could reach
// the sender.
func (r *Relay) forwardDatagrams(host netip.AddrPort, socket *net.UDPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier datagram
		}
		sender, path := r.sockets[from], r.pathForAddrs(from.Addr(), host.Addr())
		if sender == nil || path == nil {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		path.sendDatagram(n, func() {
			// A failed write counts as packet loss.
			_, _ = sender.WriteToUDPAddrPort(data, host)
		})
	}
}
