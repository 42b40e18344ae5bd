package link

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotlb/peridotlb/internal/message"
)

// fleet is a certificate authority that issues the certificates of test nodes.
type fleet struct {
	t  testing.TB
	ca KeyPair
}

func newFleet(t testing.TB) fleet {
	t.Helper()
	ca, err := NewCA("test", time.Now().Add(-time.Hour), 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return fleet{t, ca}
}

// issue issues a certificate with the given validity and DNS names.
func (f fleet) issue(start time.Time, valid time.Duration, names ...string) KeyPair {
	f.t.Helper()
	keys, err := newLeafKeyPair(f.ca, "test-host", start, valid, names)
	if err != nil {
		f.t.Fatal(err)
	}
	return keys
}

// issueHost issues a valid host certificate.
func (f fleet) issueHost() KeyPair {
	return f.issue(time.Now().Add(-time.Hour), 24*time.Hour, PeerName)
}

// files writes the CA certificate and a host's key pair to a new directory.
func (f fleet) files(keys KeyPair) CertificateConfig {
	f.t.Helper()
	dir := f.t.TempDir()
	c := CertificateConfig{CA: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key")}
	for name, data := range map[string][]byte{c.CA: f.ca.Certificate, c.Certificate: keys.Certificate, c.Key: keys.Key} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	return c
}

type received struct {
	from netip.AddrPort
	m    message.Message
}

// node is a link with the messages it received and its log.
type node struct {
	*Link
	received chan received
	logs     *observer.ObservedLogs
}

// listen starts a link with the given key pair.
func (f fleet) listen(keys KeyPair, change func(*Config)) node {
	f.t.Helper()
	return f.listenTLS(f.files(keys), change)
}

// listenTLS starts a link with the given certificate files.
func (f fleet) listenTLS(files CertificateConfig, change func(*Config)) node {
	f.t.Helper()
	identity, err := LoadIdentity(files)
	if err != nil {
		f.t.Fatal(err)
	}
	core, logs := observer.New(zapcore.DebugLevel)
	n := node{received: make(chan received, 1024), logs: logs}
	config := Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"), Server: identity.Server, Client: identity.Client, Log: zap.New(core),
		HandleMessage: func(from netip.AddrPort, m message.Message) { n.received <- received{from, m} },
	}
	if change != nil {
		change(&config)
	}
	n.Link, err = Listen(context.Background(), config)
	if err != nil {
		f.t.Fatal(err)
	}
	n.config.Addr = n.Addr()
	f.t.Cleanup(func() { _ = n.Close() })
	return n
}

// waitFor calls step repeatedly until it returns true. The test fails with the
// given message if its context is done first.
func waitFor(t testing.TB, message string, step func() bool) {
	t.Helper()
	for !step() {
		select {
		case <-t.Context().Done():
			t.Fatal(message)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// connections returns the number of connections to another node.
func (n node) connections(to node) int {
	p := n.peer(to.Addr())
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// incompressible returns pseudorandom bytes.
func incompressible(size int) []byte {
	b := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{}).Read(b)
	return b
}
