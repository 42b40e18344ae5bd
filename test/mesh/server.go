package mesh

import (
	"context"
	"fmt"
	"strconv"
)

// StartServer starts the backend server of a host.
func (m *Mesh) StartServer(ctx context.Context, h *Host) error {
	p, err := m.start(ctx, string(h.ID)+"-server", "backendserver", append([]string{
		"--id", h.ServerID(), "--service", h.Service, "--listen", h.port(backendPort),
		"--daemon", "http://" + h.port(announcePort), "--slots", strconv.Itoa(m.Deployment.Slots),
	}, m.ServerFlags...)...)
	if err != nil {
		return err
	}
	h.Server = p
	return nil
}

// ServerID returns the id of the host's backend server.
func (h *Host) ServerID() string { return fmt.Sprintf("%s-%s", h.Service, h.ID) }
