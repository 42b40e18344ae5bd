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

// reloadInterval is the minimum time between two checks whether the certificate
// files have changed.
const reloadInterval = 10 * time.Second

// TLSConfig locates the PEM files of a daemon.
type CertificateConfig struct {
	CA          string // certificates of the fleet's certificate authority
	Certificate string // certificate of this host
	Key         string // private key of this host
	// Now is the clock for validity checks and reloading; the default is
	// time.Now.
	Now func() time.Time
	// Log receives a line when changed files are reloaded or can't be loaded. It
	// may be nil.
	Log *zap.Logger
}

// Identity holds the credentials of a daemon and the means to authenticate other
// daemons.
type Identity struct {
	// Server and Client are the TLS configurations for incoming and outgoing
	// connections.
	Server, Client *tls.Config
	Signer         *Signer // nil in a fleet without keys
}

// LoadTLS loads the certificate files. Connections require TLS 1.3 and a peer
// certificate for the name PeerName, issued by the fleet's certificate authority.
// Changed files are reloaded on later use, at most every 10 s. If reloading fails,
// the previous content stays in use. Errors name the file and the problem.
func LoadIdentity(config CertificateConfig) (Identity, error) {
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
		// VerifyConnection verifies the chain instead, because it uses reloaded
		// certificate authorities and also runs for resumed sessions.
		ClientAuth:       tls.RequireAnyClientCert,
		VerifyConnection: s.connectionVerifier(x509.ExtKeyUsageClientAuth),
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.currentContent().certificate, nil },
	}
	client := &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       config.Now,
		ServerName: PeerName,
		// Disables the built-in verification only; VerifyConnection replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   s.connectionVerifier(x509.ExtKeyUsageServerAuth),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.currentContent().certificate, nil
		},
	}
	return Identity{Server: server, Client: client, Signer: &Signer{s}}, nil
}

// certificateFiles is the parsed content of the files, and the state of the files
// when they were loaded.
type certificateContent struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
	states      [3]fileState
}

// fileState is compared to detect that a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// certificateStore reloads the certificate files when they change.
type certificateStore struct {
	config CertificateConfig

	mu           sync.Mutex
	lastCheck    time.Time
	failedStates [3]fileState // state of the files at the last failed reload
	current      *certificateContent
}

// currentFiles returns the current content, which it reloads first if the files
// have changed.
func (s *certificateStore) currentContent() *certificateContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	if now.Sub(s.lastCheck) < reloadInterval {
		return s.current
	}
	s.lastCheck = now
	states, err := s.config.fileStates()
	if err == nil && (states == s.current.states || states == s.failedStates) {
		return s.current
	}
	var next *certificateContent
	if err == nil {
		next, err = s.config.loadFiles()
	}
	if err != nil {
		s.failedStates = states
		s.config.Log.Warn("Certificate files not reloaded; the previous ones stay in use.", zap.Error(err))
		return s.current
	}
	s.current = next
	s.config.Log.Info("Certificate files reloaded.", zap.String("certificate", s.config.Certificate))
	return next
}

// connectionVerifier returns a function that verifies the certificate chain and the
// name of a peer for a key usage.
func (s *certificateStore) connectionVerifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer presented no certificate")
		}
		return s.verifyChain(state.PeerCertificates, usage)
	}
}

// verifyChain verifies the certificate of a host, which is the first of the
// chain; the others are intermediates.
func (s *certificateStore) verifyChain(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		DNSName:       PeerName,
		Roots:         s.currentContent().pool,
		Intermediates: intermediates,
		CurrentTime:   s.config.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fmt.Errorf("certificate of %q refused: %w", chain[0].Subject.CommonName, err)
	}
	return nil
}

func (c CertificateConfig) fileStates() (states [3]fileState, err error) {
	for i, name := range []string{c.CA, c.Certificate, c.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return states, fileError(name, err)
		}
		states[i] = fileState{info.ModTime(), info.Size()}
	}
	return states, nil
}

func (c CertificateConfig) loadFiles() (*certificateContent, error) {
	// The file states are read first, so that the next check detects a change
	// during loading.
	states, err := c.fileStates()
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
	return &certificateContent{certificate: &pair, pool: pool, states: states}, nil
}

// intermediatePool returns the intermediate certificates of a chain, which follow
// the leaf.
func intermediatePool(pair tls.Certificate) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, der := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			pool.AddCert(c)
		}
	}
	return pool
}

// fileError adds the file name to an error. It removes the name that errors of
// package os already contain.
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
