package link

import (
	"errors"
	"testing"
	"time"
)

// Guards against records of hosts outside the fleet that are taken for genuine.
func TestSigner(t *testing.T) {
	f := newFleet(t)
	files := f.files(f.issueHost())
	now := time.Now()
	files.Now = func() time.Time { return now }
	identity, err := LoadTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	other := newFleet(t)
	foreign, err := LoadTLS(other.files(other.issueHost()))
	if err != nil {
		t.Fatal(err)
	}
	value := []byte("record")
	own, err := identity.Signer.Sign(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := identity.Signer.Verify(value, own); err != nil {
		t.Errorf("own signature: got error %v, want none", err)
	}
	if err := identity.Signer.Verify([]byte("other"), own); err == nil {
		t.Error("signature of another value: got no error")
	}
	strange, err := foreign.Signer.Sign(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := identity.Signer.Verify(value, strange); err == nil {
		t.Error("signature under another authority: got no error")
	}
	strange.Certificates = own.Certificates
	if err := identity.Signer.Verify(value, strange); err == nil {
		t.Error("signature with the certificate of another key: got no error")
	}
	if err := identity.Signer.Verify(value, Signature{}); !errors.Is(err, ErrUnsigned) {
		t.Errorf("no signature: got error %v, want %v", err, ErrUnsigned)
	}
	now = now.Add(100 * 365 * 24 * time.Hour)
	if err := identity.Signer.Verify(value, own); err == nil {
		t.Error("signature with an expired certificate: got no error")
	}
	open, err := InsecureTLS()
	if err != nil {
		t.Fatal(err)
	}
	if err := open.Signer.Verify(value, Signature{}); err != nil {
		t.Errorf("fleet without keys: got error %v, want none", err)
	}
}
