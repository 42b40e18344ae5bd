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

// ErrUnsigned is returned for a value without a signature.
var ErrUnsigned = errors.New("not signed by a host of this fleet")

// Signature is a host's signature of a value, with the certificates that lead to
// the fleet's authority, the host's own first (DER).
type Signature struct {
	Value        []byte   `cbor:"1,keyasint"`
	Certificates [][]byte `cbor:"2,keyasint"`
}

// Signer signs what this host writes where others can write too, and checks what
// was read there. A nil Signer signs nothing and accepts everything.
type Signer struct{ store *certificateStore }

// Sign signs a value with the key in use.
func (s *Signer) Sign(value []byte) (Signature, error) {
	if s == nil {
		return Signature{}, nil
	}
	certificate := s.store.currentFiles().certificate
	key, ok := certificate.PrivateKey.(crypto.Signer)
	if !ok {
		return Signature{}, fmt.Errorf("keys of type %T can't sign", certificate.PrivateKey)
	}
	_, hash, err := signatureAlgorithm(key.Public())
	if err != nil {
		return Signature{}, err
	}
	signed, err := crypto.SignMessage(key, rand.Reader, value, hash)
	if err != nil {
		return Signature{}, fmt.Errorf("sign: %w", err)
	}
	return Signature{Value: signed, Certificates: certificate.Certificate}, nil
}

// Check returns nil for a signature of a value by a host whose certificate the
// fleet's authority has issued and that is valid now.
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
			return fmt.Errorf("read the certificate of a signature: %w", err)
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
	if err := chain[0].CheckSignature(algorithm, value, signature.Value); err != nil {
		return fmt.Errorf("signature of %q refused: %w", chain[0].Subject.CommonName, err)
	}
	return nil
}

// algorithmOf returns the signature algorithm for a public key.
func signatureAlgorithm(key crypto.PublicKey) (x509.SignatureAlgorithm, crypto.Hash, error) {
	switch key.(type) {
	case *ecdsa.PublicKey:
		return x509.ECDSAWithSHA256, crypto.SHA256, nil
	case *rsa.PublicKey:
		return x509.SHA256WithRSA, crypto.SHA256, nil
	case ed25519.PublicKey:
		return x509.PureEd25519, crypto.Hash(0), nil
	default:
		return 0, 0, fmt.Errorf("keys of type %T are not supported", key)
	}
}
