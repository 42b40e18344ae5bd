package link

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"errors"
	"fmt"
)

// ErrUnsigned is returned by Signer.Verify for a value without a signature.
var ErrUnsigned = errors.New("not signed by a host of this fleet")

// Signature is the signature of a value by a host, together with the host's
// certificate chain up to the fleet's certificate authority. The certificates are
// DER encoded, the host's own first.
type Signature struct {
	Bytes        []byte   `cbor:"1,keyasint"`
	Certificates [][]byte `cbor:"2,keyasint"`
}

// Signer signs values that this host writes to shared storage, and verifies
// values read from there. A nil Signer returns empty signatures and accepts every
// value.
type Signer struct{ store *certificateStore }

// Sign signs a value with the current private key.
func (s *Signer) Sign(value []byte) (Signature, error) {
	if s == nil {
		return Signature{}, nil
	}
	certificate := s.store.currentContent().certificate
	key, ok := certificate.PrivateKey.(crypto.Signer)
	if !ok {
		return Signature{}, fmt.Errorf("private key of type %T can't sign", certificate.PrivateKey)
	}
	_, hash, err := signatureAlgorithm(key.Public())
	if err != nil {
		return Signature{}, err
	}
	signed, err := crypto.SignMessage(key, rand.Reader, value, hash)
	if err != nil {
		return Signature{}, fmt.Errorf("sign: %w", err)
	}
	return Signature{Bytes: signed, Certificates: certificate.Certificate}, nil
}

// Verify returns an error unless the value was signed by a host with a currently
// valid certificate issued by the fleet's certificate authority.
func (s *Signer) Verify(value []byte, signature Signature) error {
	if s == nil {
		return nil
	}
	if len(signature.Certificates) == 0 {
		return ErrUnsigned
	}
	var chain []*x509.Certificate
	for _, der := range signature.Certificates {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return fmt.Errorf("parse certificate of the signature: %w", err)
		}
		chain = append(chain, c)
	}
	if err := s.store.verifyChain(chain, x509.ExtKeyUsageClientAuth); err != nil {
		return err
	}
	algorithm, _, err := signatureAlgorithm(chain[0].PublicKey)
	if err != nil {
		return err
	}
	if err := chain[0].CheckSignature(algorithm, value, signature.Bytes); err != nil {
		return fmt.Errorf("verify signature of %q: %w", chain[0].Subject.CommonName, err)
	}
	return nil
}

// signatureAlgorithm returns the signature algorithm and the hash function for a
// public key.
func signatureAlgorithm(key crypto.PublicKey) (x509.SignatureAlgorithm, crypto.Hash, error) {
	switch key.(type) {
	case *ecdsa.PublicKey:
		return x509.ECDSAWithSHA256, crypto.SHA256, nil
	case *rsa.PublicKey:
		return x509.SHA256WithRSA, crypto.SHA256, nil
	case ed25519.PublicKey:
		return x509.PureEd25519, crypto.Hash(0), nil
	default:
		return 0, 0, fmt.Errorf("public key of type %T is not supported", key)
	}
}
