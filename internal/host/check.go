package host

import (
	"errors"
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"
)

// maxNameBytes bounds the length of the ids and names in rows, which are sent to the
// whole fleet and with each call.
const maxNameBytes = 256

// CheckName returns an error for an id or name that can't be the value of a header: an
// empty or very long one, and one with spaces, control characters or other characters
// that are not printable. A line break would add a header of the sender's choice to
// calls.
func CheckName(name string) error {
	switch {
	case name == "":
		return errors.New("is empty")
	case len(name) > maxNameBytes:
		return fmt.Errorf("has %d bytes, more than %d", len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return errors.New("is not valid UTF-8")
	}
	for _, r := range name {
		if r == ' ' || !unicode.IsPrint(r) {
			return fmt.Errorf("contains the character %q", r)
		}
	}
	return nil
}

// CheckAddr returns an error for an address that can't be connected to. An address that
// is missing counts as one with port 0. An IPv6 zone is free text and must satisfy
// CheckName.
func CheckAddr(a netip.AddrPort) error {
	switch ip := a.Addr(); {
	case a.Port() == 0:
		return errors.New("has port 0")
	case ip.IsUnspecified(), ip.IsMulticast():
		return errors.New("is not the address of one host")
	case ip.Zone() != "":
		if err := CheckName(ip.Zone()); err != nil {
			return fmt.Errorf("has a zone that %w", err)
		}
	}
	return nil
}

// Check returns an error for a row that can't be used. The gate address may be missing.
func (r Row) Check() error {
	for _, name := range []string{string(r.ID), string(r.Zone), string(r.Region)} {
		if err := CheckName(name); err != nil {
			return fmt.Errorf("id, zone or region %q of host %q %w", name, r.ID, err)
		}
	}
	if err := CheckAddr(r.ControlAddr); err != nil {
		return fmt.Errorf("control address of host %q %w", r.ID, err)
	}
	if r.GateAddr != (netip.AddrPort{}) {
		if err := CheckAddr(r.GateAddr); err != nil {
			return fmt.Errorf("gate address of host %q %w", r.ID, err)
		}
	}
	if r.State > Left {
		return fmt.Errorf("state %d of host %q is unknown", r.State, r.ID)
	}
	return nil
}
