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
	refusalPeriod = time.Minute // one line for each address
	refusalPeers  = 10          // addresses in a period
)

// refusals logs connections that were refused for their certificate.
type refusals struct {
	log *zap.Logger
	now func() time.Time

	mu     sync.Mutex
	since  time.Time // start of the period
	logged map[netip.Addr]bool
}

// watch returns a configuration for accepting connections that logs the
// addresses of refused peers.
func (r *refusals) watch(server *tls.Config) *tls.Config {
	outer := server.Clone()
	outer.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		inner := server.Clone()
		inner.VerifyConnection = func(s tls.ConnectionState) error {
			err := server.VerifyConnection(s)
			if err != nil {
				r.add(unmapped(hello.Conn.RemoteAddr()), err)
			}
			return err
		}
		return inner, nil
	}
	return outer
}

func (r *refusals) add(from netip.AddrPort, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.since) >= refusalPeriod {
		r.since, r.logged = now, make(map[netip.Addr]bool)
	}
	if r.logged[from.Addr()] || len(r.logged) >= refusalPeers {
		return
	}
	r.logged[from.Addr()] = true
	r.log.Warn("Refused a connection; more from this address are not logged for a minute.", zap.Stringer("peer", from), zap.Error(reason))
}
