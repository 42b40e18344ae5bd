package proxy

import (
	"crypto/tls"
	"net/http"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// ServerConfig configures a listener of the call path.
type ServerConfig struct {
	Handler http.Handler
	Limits  func() connection.Limits // of NewEntryServer; nil uses the defaults. NewGateServer ignores it.
	// HeaderFirst reports whether calls can be refused by their header, so that their
	// bodies should not be read before. NewGateServer ignores it.
	HeaderFirst func() bool
	Log         *zap.Logger
}

// NewEntryServer returns a server for callers.
func NewEntryServer(c ServerConfig) *connection.Server {
	return connection.NewServer(connection.ServerConfig{Handler: c.Handler, Limits: c.Limits, HeaderFirst: c.HeaderFirst, Log: c.Log})
}

// NewGateServer returns a server for calls from other daemons. The TLS
// configuration must require and verify client certificates; nil disables TLS.
func NewGateServer(c ServerConfig, t *tls.Config) *connection.Server {
	if t != nil {
		t = t.Clone()
		t.NextProtos = []string{"http/1.1"}
	}
	limits := func() connection.Limits {
		l := connection.DefaultLimits()
		l.IdleTimeout = 2 * gateIdleTimeout
		return l
	}
	return connection.NewServer(connection.ServerConfig{Handler: c.Handler, Limits: limits, TLS: t, Log: c.Log})
}
