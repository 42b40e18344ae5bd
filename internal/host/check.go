package host

import (
	"errors"
	"net/netip"
)

// CheckAddr returns an error for an address that can't be connected to. A missing one has
// port 0.
func CheckAddr(a netip.AddrPort) error {
	switch ip := a.Addr(); {
	case a.Port() == 0:
		return errors.New("has port 0")
	case ip.IsUnspecified(), ip.IsMulticast():
		return errors.New("is not the address of one host")
	}
	return nil
}
