package link

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"time"
)

// insecureValidity is the validity period of a certificate that is not verified
// by peers.
const insecureValidity = 10 * 365 * 24 * time.Hour

// InsecureTLS returns the identity of a daemon in a fleet without keys.
// Connections are encrypted with a certificate generated for this process, but
// daemons do not authenticate each other. Use it only on networks that no other
// hosts can reach.
func InsecureIdentity() (Identity, error) {
	pair, err := NewCA(PeerName, time.Now().Add(-insecureValidity/2), insecureValidity)
	if err != nil {
		return Identity{}, fmt.Errorf("create certificate: %w", err)
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return Identity{}, fmt.Errorf("load certificate: %w", err)
	}
	server := &tls.Config{
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: func(tls.ConnectionState) error { return nil },
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &certificate, nil },
	}
	client := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: PeerName, InsecureSkipVerify: true}
	return Identity{Server: server, Client: client}, nil
}

// insecureResetSecret returns the secret from which the stateless reset key is
// derived in a fleet without keys. It is the address, so that a restarted daemon
// uses the same key as its previous process.
func insecureResetSecret(addr netip.AddrPort) []byte { return []byte(addr.String()) }
