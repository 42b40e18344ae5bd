package proxy

import (
	"crypto/tls"
	"net/http"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// EntryServer returns a server for callers. The caller sets its address.
func EntryServer(h http.Handler) *http.Server { return newServer(h) }

// GateServer returns a server for the entries of other daemons. The TLS
// configuration must require and verify client certificates; nil serves without.
func GateServer(h http.Handler, c *tls.Config) *http.Server {
	s := newServer(h)
	if c == nil {
		return s
	}
	s.TLSConfig = c.Clone()
	s.TLSConfig.NextProtos = []string{"http/1.1"}
	return s
}

func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * gateIdle,
		MaxHeaderBytes:    64 << 10,
		Protocols:         protocols,
	}
}
