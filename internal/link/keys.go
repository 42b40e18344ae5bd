package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// PeerName is the DNS name that the certificate of every daemon must carry.
const PeerName = "peridotlb"

// KeyPair is a certificate and its private key, both PEM encoded.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewCA creates a certificate authority for one fleet, valid from notBefore for
// the given validity period.
func NewCA(name string, notBefore time.Time, validity time.Duration) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             notBefore,
		NotAfter:              notBefore.Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	pair, err := newSignedKeyPair(template, nil)
	if err != nil {
		return KeyPair{}, fmt.Errorf("create certificate authority: %w", err)
	}
	return pair, nil
}

// NewHostKeyPair creates a private key and a certificate for the daemon on a
// host, signed by ca. The subject of the certificate is the host ID and its DNS
// names are PeerName and extraNames.
func NewHostKeyPair(ca KeyPair, hostID string, notBefore time.Time, validity time.Duration, extraNames ...string) (KeyPair, error) {
	return newLeafKeyPair(ca, hostID, notBefore, validity, append([]string{PeerName}, extraNames...))
}

func newLeafKeyPair(ca KeyPair, subject string, notBefore time.Time, validity time.Duration, names []string) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: subject},
		DNSNames:    names,
		NotBefore:   notBefore,
		NotAfter:    notBefore.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	pair, err := newSignedKeyPair(template, &ca)
	if err != nil {
		return KeyPair{}, fmt.Errorf("create certificate for %s: %w", subject, err)
	}
	return pair, nil
}

// newSignedKeyPair creates a P-256 key and its certificate, signed by ca, or
// self-signed if ca is nil.
func newSignedKeyPair(template *x509.Certificate, ca *KeyPair) (KeyPair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 63))
	if err != nil {
		return KeyPair{}, err
	}
	template.SerialNumber = serial
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	parent, signer := template, any(key)
	if ca != nil {
		if parent, signer, err = ca.parse(); err != nil {
			return KeyPair{}, fmt.Errorf("certificate authority: %w", err)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return KeyPair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func (k KeyPair) parse() (*x509.Certificate, any, error) {
	cert, _ := pem.Decode(k.Certificate)
	key, _ := pem.Decode(k.Key)
	if cert == nil || key == nil {
		return nil, nil, errors.New("no PEM block found")
	}
	c, err := x509.ParseCertificate(cert.Bytes)
	if err != nil {
		return nil, nil, err
	}
	signer, err := x509.ParsePKCS8PrivateKey(key.Bytes)
	if err != nil {
		return nil, nil, err
	}
	return c, signer, nil
}
