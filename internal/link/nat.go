package link

import (
	"fmt"
	"net/netip"
	"strings"
)

// NAT maps the addresses of host rows to the addresses under which this host
// reaches them, by prefix. The zero NAT maps every address to itself.
type NAT struct{ rules []natRule }

type natRule struct{ inside, outside netip.Prefix }

// ParseNAT parses rules of the form "127.2.0.0/16=127.102.0.0/16", each mapping
// the prefix used in host rows to the prefix that this host sends to. A rule
// may hold several, separated by commas. Prefixes of a rule have the same
// family and length, and no two rules overlap on the same side.
func ParseNAT(rules ...string) (NAT, error) {
	var n NAT
	for _, list := range rules {
		for rule := range strings.SplitSeq(list, ",") {
			if rule = strings.TrimSpace(rule); rule == "" {
				continue
			}
			r, err := parseNATRule(rule)
			if err != nil {
				return NAT{}, fmt.Errorf("NAT rule %q: %w", rule, err)
			}
			for _, o := range n.rules {
				if o.inside.Overlaps(r.inside) || o.outside.Overlaps(r.outside) {
					return NAT{}, fmt.Errorf("NAT rule %q: overlaps rule %s=%s", rule, o.inside, o.outside)
				}
			}
			n.rules = append(n.rules, r)
		}
	}
	return n, nil
}

func parseNATRule(rule string) (natRule, error) {
	left, right, ok := strings.Cut(rule, "=")
	if !ok {
		return natRule{}, fmt.Errorf("want prefix=prefix, for example 127.2.0.0/16=127.102.0.0/16")
	}
	inside, err := netip.ParsePrefix(left)
	if err != nil {
		return natRule{}, err
	}
	outside, err := netip.ParsePrefix(right)
	if err != nil {
		return natRule{}, err
	}
	switch {
	case inside.Addr().BitLen() != outside.Addr().BitLen():
		return natRule{}, fmt.Errorf("prefixes have different address families")
	case inside.Bits() != outside.Bits():
		return natRule{}, fmt.Errorf("prefixes have different lengths, /%d and /%d", inside.Bits(), outside.Bits())
	case inside != inside.Masked():
		return natRule{}, fmt.Errorf("%s has bits set after the prefix; did you mean %s?", inside, inside.Masked())
	case outside != outside.Masked():
		return natRule{}, fmt.Errorf("%s has bits set after the prefix; did you mean %s?", outside, outside.Masked())
	}
	return natRule{inside, outside}, nil
}

// Outside returns the address to send to for an address of a host row.
func (n NAT) Outside(a netip.AddrPort) netip.AddrPort {
	for _, r := range n.rules {
		if r.inside.Contains(a.Addr()) {
			return netip.AddrPortFrom(replacePrefix(a.Addr(), r.outside), a.Port())
		}
	}
	return a
}

// Inside returns the host row's address for an address that a packet came from.
func (n NAT) Inside(a netip.AddrPort) netip.AddrPort {
	for _, r := range n.rules {
		if r.outside.Contains(a.Addr()) {
			return netip.AddrPortFrom(replacePrefix(a.Addr(), r.inside), a.Port())
		}
	}
	return a
}

// move replaces the leading bits of a with those of the prefix.
func replacePrefix(a netip.Addr, to netip.Prefix) netip.Addr {
	b, p := a.AsSlice(), to.Addr().AsSlice()
	for i := range b {
		keep := byte(0xff)
		if bits := to.Bits() - 8*i; bits >= 8 {
			keep = 0
		} else if bits > 0 {
			keep >>= bits
		}
		b[i] = p[i]&^keep | b[i]&keep
	}
	moved, _ := netip.AddrFromSlice(b)
	return moved
}
