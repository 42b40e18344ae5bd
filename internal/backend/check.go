package backend

import (
	"fmt"
	"net/netip"

	"github.com/peridotlb/peridotlb/internal/host"
)

// Check returns an error for a row that can't be used: its id is sent with each call to
// the server, and its address is connected to. A missing service, host or address is
// not an error, because the row of a server that is gone may have none.
func (s Server) Check() error {
	if err := s.ID.Check(); err != nil {
		return err
	}
	if s.State > Gone {
		return fmt.Errorf("state %d of backend server %q is unknown", s.State, s.ID)
	}
	for _, name := range []string{string(s.Service), string(s.Host)} {
		if name == "" {
			continue
		}
		if err := host.CheckName(name); err != nil {
			return fmt.Errorf("service or host %q of backend server %q %w", name, s.ID, err)
		}
	}
	if s.Addr != (netip.AddrPort{}) {
		if err := host.CheckAddr(s.Addr); err != nil {
			return fmt.Errorf("address of backend server %q %w", s.ID, err)
		}
	}
	return nil
}

// Check returns an error for an id that can't be sent with a call.
func (id ServerID) Check() error {
	if err := host.CheckName(string(id)); err != nil {
		return fmt.Errorf("id %q of a backend server %w", id, err)
	}
	return nil
}
