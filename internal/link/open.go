package link

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"time"
)

// openValid is the validity of a certificate that nobody verifies.
const insecureValidity = 10 * 365 * 24 * time.Hour

// OpenTLS returns the identity in a fleet without keys: connections are
// encrypted with a certificate made for this process, and no daemon verifies
// another. It is for networks that only the fleet's hosts can reach.
func InsecureTLS() (Identity, error) {
	keys, err := NewCA(PeerName, time.Now().Add(-insecureValidity/2), insecureValidity)
	if err != nil {
		return Identity{}, fmt.Errorf("create certificate: %w", err)
	}
	certificate, err := tls.X509KeyPair(keys.Certificate, keys.Key)
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

// openResetKey is the secret from which a fleet without keys derives stateless
// resets: the address, so that a restarted daemon has the key of its earlier run.
func insecureResetSecret(addr netip.AddrPort) []byte { return []byte(addr.String()) }
