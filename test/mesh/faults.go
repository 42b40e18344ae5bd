package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
)

// ChangeNetwork changes the network between two zones or two regions. The action is
// cut, heal, delay or loss, as in the relay's control API, and more holds its other
// parameters.
func (m *Mesh) ChangeNetwork(ctx context.Context, action, a, b string, more url.Values) error {
	q := url.Values{"a": {a}, "b": {b}}
	for name, values := range more {
		q[name] = values
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.relayControlAddr()+"/-/"+action+"?"+q.Encode(), nil)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	_, err = do(r)
	return err
}

// Zones returns the names of the availability zones.
func (m *Mesh) Zones() []string {
	var names []string
	for _, z := range m.relayConfig().Zones {
		names = append(names, z.Name)
	}
	return names
}

// PlatformURL returns the base URL of the platform.
func (m *Mesh) PlatformURL() string { return "http://" + m.platformAddr(1) }

// PlatformCounters holds the platform's request counters since its start. Dropped
// counts the requests that arrived while it was down.
type PlatformCounters struct {
	Reads   uint64 `json:"read-requests"`
	Writes  uint64 `json:"write-requests"`
	Dropped uint64 `json:"dropped"`
}

// PlatformCounters reads the counters of the platform.
func (m *Mesh) PlatformCounters(ctx context.Context) (PlatformCounters, error) {
	var c PlatformCounters
	text, err := get(ctx, m.PlatformURL()+"/-/counters")
	if err != nil {
		return c, err
	}
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return c, fmt.Errorf("decode platform counters: %w", err)
	}
	return c, nil
}

// AppliedVersions returns the versions that the daemon of a host applied, in order
// and including those before restarts.
func (m *Mesh) AppliedVersions(h *Host) ([]uint64, error) {
	file, err := os.Open(h.Daemon.Log)
	if err != nil {
		return nil, fmt.Errorf("open daemon log: %w", err)
	}
	defer file.Close()
	var versions []uint64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Event   string `json:"event"`
			Version uint64 `json:"version"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "version-applied" {
			versions = append(versions, line.Version)
		}
	}
	return versions, lines.Err()
}
