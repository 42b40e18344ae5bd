package mesh

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
)

// StartServer starts the backend server of a host.
func (m *Mesh) StartServer(ctx context.Context, h *Host) error {
	p, err := m.startProcess(ctx, string(h.ID)+"-server", "backendserver", append([]string{
		"--id", h.ServerID(), "--service", h.Service, "--listen", h.portAddr(serverPort),
		"--daemon", "http://" + h.portAddr(announcePort), "--slots", strconv.Itoa(m.Deployment.Slots),
		"--run-log", m.filePath(string(h.ID) + ".runs"),
	}, m.ServerFlags...)...)
	if err != nil {
		return err
	}
	h.Server = p
	return nil
}

// ServerID returns the ID of the host's backend server.
func (h *Host) ServerID() string { return fmt.Sprintf("%s-%s", h.Service, h.ID) }

// RunLog returns the run log of the host's backend server, one line per call with
// its method, path and attempt, including calls before restarts.
func (m *Mesh) RunLog(h *Host) ([]string, error) {
	text, err := os.ReadFile(m.filePath(string(h.ID) + ".runs"))
	if err != nil {
		return nil, fmt.Errorf("read run log: %w", err)
	}
	return strings.FieldsFunc(string(text), func(r rune) bool { return r == '\n' }), nil
}

// DrainServer drains the backend server through the daemon's announcement API.
func (h *Host) DrainServer(ctx context.Context) error {
	url := fmt.Sprintf("http://%s/backend-servers/%s/drain", h.portAddr(announcePort), h.ServerID())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	_, err = do(r)
	return err
}
