package link

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// reloadInterval is the least time between two looks at the certificate files.
const reloadInterval = 10 * time.Second

// TLSConfig names the PEM files of a daemon.
type TLSConfig struct {
	CA          string // certificates of the fleet's certificate authority
	Certificate string // certificate of this host
	Key         string // private key of this host
	// Now is the clock for validity and reloading; nil takes time.Now.
	Now func() time.Time
	// Log gets a line when changed files can't be loaded; nil discards it.
	Log *zap.Logger
}

// Identity is what a daemon proves itself with and checks others by.
type Identity struct {
	// Server and Client are for accepting and for making connections.
	Server, Client *tls.Config
	Signer         *Signer // nil in a fleet without keys
}

// LoadTLS reads the files. Connections require TLS 1.3 and a certificate of the
// fleet's authority with the name PeerName from the peer. Changed files are loaded
// when they are used later, at most every 10 s; when that fails, the previous
// content stays in use. Errors name the file and the fault.
func LoadTLS(config TLSConfig) (Identity, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	s := &certificateStore{config: config}
	var err error
	if s.current, err = config.loadFiles(); err != nil {
		return Identity{}, err
	}
	s.lastCheck = config.Now()
	server := &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       config.Now,
		// The chain is checked in VerifyConnection, where reloaded authorities
		// take effect and which also runs for resumed sessions.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: s.connectionVerifier(x509.ExtKeyUsageClientAuth),
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.currentFiles().certificate, nil },
	}
	client := &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       config.Now,
		ServerName: PeerName,
		// Only replaces the built-in check by the one in VerifyConnection.
		InsecureSkipVerify: true,
		VerifyConnection:   s.connectionVerifier(x509.ExtKeyUsageServerAuth),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.currentFiles().certificate, nil
		},
	}
	return Identity{Server: server, Client: client, Signer: &Signer{s}}, nil
}

// tlsFiles is the parsed content of the files and what they looked like.
type certificateFiles struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
	states      [3]fileState
}

type fileState struct {
	modified time.Time
	size     int64
}

type certificateStore struct {
	config TLSConfig

	mu           sync.Mutex
	lastCheck    time.Time
	failedStates [3]fileState // state of the files that last failed to load
	current      *certificateFiles
}

// get returns the current files, after a reload when they changed.
func (s *certificateStore) currentFiles() *certificateFiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if now.Sub(s.lastCheck) < reloadInterval {
		return s.current
	}
	s.lastCheck = now
	stamps, err := s.config.fileStates()
	if err == nil && (stamps == s.current.states || stamps == s.failedStates) {
		return s.current
	}
	var next *certificateFiles
	if err == nil {
		next, err = s.config.loadFiles()
	}
	if err != nil {
		s.failedStates = stamps
		s.config.Log.Warn("Certificate files not reloaded; the previous ones stay in use.", zap.Error(err))
		return s.current
	}
	s.current = next
	s.config.Log.Info("Certificate files reloaded.", zap.String("certificate", s.config.Certificate))
	return next
}

// verify returns a check of the peer's chain and name for one key usage.
func (s *certificateStore) connectionVerifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		return s.verifyChain(state.PeerCertificates, usage)
	}
}

// verifyChain checks a certificate of a host, which comes first, and those that
// lead to the authority.
func (s *certificateStore) verifyChain(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		DNSName:       PeerName,
		Roots:         s.currentFiles().pool,
		Intermediates: intermediates,
		CurrentTime:   s.config.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fmt.Errorf("certificate of %q refused: %w", chain[0].Subject.CommonName, err)
	}
	return nil
}

func (c TLSConfig) fileStates() (stamps [3]fileState, err error) {
	for i, name := range []string{c.CA, c.Certificate, c.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, fileError(name, err)
		}
		stamps[i] = fileState{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func (c TLSConfig) loadFiles() (*certificateFiles, error) {
	// The stamps are taken first, so that a change during the load is found by
	// the next look.
	stamps, err := c.fileStates()
	if err != nil {
		return nil, err
	}
	var content [3][]byte
	for i, name := range []string{c.CA, c.Certificate, c.Key} {
		if content[i], err = os.ReadFile(name); err != nil {
			return nil, fileError(name, err)
		}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content[0]) {
		return nil, fmt.Errorf("CA file %s: no PEM certificate found", c.CA)
	}
	pair, err := tls.X509KeyPair(content[1], content[2])
	if err != nil {
		return nil, fmt.Errorf("certificate file %s with key file %s: %w", c.Certificate, c.Key, err)
	}
	if err := pair.Leaf.VerifyHostname(PeerName); err != nil {
		return nil, fmt.Errorf("certificate file %s: %w", c.Certificate, err)
	}
	if _, err := pair.Leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediatePool(pair), CurrentTime: c.Now()}); err != nil {
		return nil, fmt.Errorf("certificate file %s, checked with CA file %s: %w", c.Certificate, c.CA, err)
	}
	return &certificateFiles{certificate: &pair, pool: pool, states: stamps}, nil
}

// chain returns the intermediate certificates that follow the leaf.
func intermediatePool(pair tls.Certificate) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, der := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			pool.AddCert(c)
		}
	}
	return pool
}

// fileError names the file once; errors of package os name it as well.
func fileError(name string, err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		err = p.Err
	}
	if name == "" {
		return fmt.Errorf("name of a certificate, key or CA file is empty: %w", err)
	}
	return fmt.Errorf("file %s: %w", name, err)
}
