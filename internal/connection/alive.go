package connection

import (
	"errors"
	"net"
	"syscall"
)

// alive reports whether an idle connection is open and has no unread data, neither
// an end of file nor bytes that no request asked for. Connections other than TCP
// cannot be checked and count as alive.
func (cc *clientConn) alive() bool {
	under := cc.raw
	if secure, ok := under.(interface{ NetConn() net.Conn }); ok {
		under = secure.NetConn()
	}
	tcp, ok := under.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, readErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && errors.Is(readErr, syscall.EAGAIN)
}
