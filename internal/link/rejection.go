package link

import (
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Rate limits for the log lines about rejected peers. A rejected daemon retries
// every 3 s for as long as it runs, and source addresses can be spoofed.
const (
	rejectionLogWindow = time.Minute // at most one line per address
	maxLoggedAddrs     = 10          // addresses logged per window
)

// rejectionLogger logs connections that were rejected because of the peer's
// certificate.
type rejectionLogger struct {
	log *zap.Logger
	now func() time.Time

	mu          sync.Mutex
	windowStart time.Time // start of the current window
	loggedAddrs map[netip.Addr]bool
}

// wrap returns a copy of a server configuration that logs the addresses of
// peers whose certificates are rejected.
func (r *rejectionLogger) withLogging(server *tls.Config) *tls.Config {
	outer := server.Clone()
	outer.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		inner := server.Clone()
		inner.VerifyConnection = func(s tls.ConnectionState) error {
			err := server.VerifyConnection(s)
			if err != nil {
				r.logRejection(addrPortOf(hello.Conn.RemoteAddr()), err)
			}
			return err
		}
		return inner, nil
	}
	return outer
}

// logRejection logs a rejected peer within the rate limits.
func (r *rejectionLogger) logRejection(from netip.AddrPort, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.windowStart) >= rejectionLogWindow {
		r.windowStart, r.loggedAddrs = now, make(map[netip.Addr]bool)
	}
	if r.loggedAddrs[from.Addr()] || len(r.loggedAddrs) >= maxLoggedAddrs {
		return
	}
	r.loggedAddrs[from.Addr()] = true
	r.log.Warn("Refused a connection; more from this address are not logged for a minute.", zap.Stringer("peer", from), zap.Error(reason))
}
