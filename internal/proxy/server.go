package proxy

import (
	"crypto/tls"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// ServerConfig configures a listener of the call path.
type ServerConfig struct {
	Handler http.Handler
	// Limits of callers; nil uses the defaults. NewGateServer only takes the size of
	// headers, and permits what daemons add.
	Limits func() connection.Limits
	// HeaderFirst reports whether calls can be refused by their header, so that their
	// bodies should not be read first. NewGateServer ignores it.
	HeaderFirst func() bool
	Log         *zap.Logger
	Memory      *connection.Memory // shared by the entry and the gate; nil sets no limit
}

// NewEntryServer returns a server for callers.
func NewEntryServer(c ServerConfig) *connection.Server {
	return connection.NewServer(connection.ServerConfig{Handler: c.Handler, Limits: c.Limits, HeaderFirst: c.HeaderFirst, Log: c.Log, Memory: c.Memory, Refuse: refuseForMemory})
}

// addedHeaderBytes bounds what an entry adds to the header of a call for the gate.
const addedHeaderBytes = 4 << 10

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
		if c.Limits != nil {
			l.HeaderBytes = max(l.HeaderBytes, c.Limits().HeaderBytes)
		}
		l.HeaderBytes += addedHeaderBytes
		return l
	}
	return connection.NewServer(connection.ServerConfig{Handler: c.Handler, Limits: limits, TLS: t, Log: c.Log, Memory: c.Memory, Peers: true, Refuse: refuseGateCallForMemory})
}

// memoryRetryAfter is when callers should repeat a request that was refused for lack of
// memory. Queued calls, which hold most of it, end within about this time.
const memoryRetryAfter = time.Second

// refuseForMemory writes the response to a request for which no memory was reserved.
func refuseForMemory(w http.ResponseWriter, r connection.Refusal) {
	f := &failure{reason: reasonMemory, status: connection.RefusalStatus(r), notRun: true, retryAfter: memoryRetryAfter}
	if r == connection.RequestTooCostly {
		f.hint = "the header has too many lines for the memory of this host"
	}
	f.write(w, "")
}

// refuseGateCallForMemory also names the reason, by which the entry recognizes the
// refusal. It has no call id, because the header was not parsed.
func refuseGateCallForMemory(w http.ResponseWriter, r connection.Refusal) {
	w.Header()[HeaderReason] = []string{reasonMemory}
	refuseForMemory(w, r)
}

// isMemoryRefusal reports whether a response is one of refuseGateCallForMemory.
func isMemoryRefusal(h http.Header) bool {
	return h.Get(HeaderReason) == reasonMemory && h.Get(HeaderNotRun) == "true" && h.Get(HeaderCallID) == ""
}
