package link

import (
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Bounds of the log lines about refused peers. A refused daemon tries again
// every 3 s for as long as it runs, and addresses can be forged.
const (
	rejectionLogWindow = time.Minute // one line for each address
	maxLoggedAddrs     = 10          // addresses in a period
)

// refusals logs connections that were refused for their certificate.
type rejectionLogger struct {
	log *zap.Logger
	now func() time.Time

	mu          sync.Mutex
	windowStart time.Time // start of the period
	loggedAddrs map[netip.Addr]bool
}

// watch returns a configuration for accepting connections that logs the
// addresses of refused peers.
func (r *rejectionLogger) wrap(server *tls.Config) *tls.Config {
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
