// Package announcement serves the API through which the backend servers of
// this host announce themselves.
package announcement

import (
	"net/http"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// Config holds the settings of the API.
type Config struct {
	Lease    time.Duration
	Announce func(backend.Server)
	Health   func(backend.ServerID, bool)
}

// New returns the handler. It refuses every request until the API is written.
func New(Config) http.Handler { return http.NotFoundHandler() }
