package link

import (
	"errors"
	"testing"
	"time"
)

// TestSigner checks that only signatures of hosts of the fleet are accepted.
func TestSigner(t *testing.T) {
	f := newFleet(t)
	files := f.files(f.issueHost())
	now := time.Now()
	files.Now = func() time.Time { return now }
	identity, err := LoadIdentity(files)
	if err != nil {
		t.Fatal(err)
	}
	other := newFleet(t)
	foreign, err := LoadIdentity(other.files(other.issueHost()))
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
	foreignSignature, err := foreign.Signer.Sign(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := identity.Signer.Verify(value, foreignSignature); err == nil {
		t.Error("signature of a foreign fleet: got no error")
	}
	foreignSignature.Certificates = own.Certificates
	if err := identity.Signer.Verify(value, foreignSignature); err == nil {
		t.Error("signature with the certificate of another key: got no error")
	}
	if err := identity.Signer.Verify(value, Signature{}); !errors.Is(err, ErrUnsigned) {
		t.Errorf("no signature: got error %v, want %v", err, ErrUnsigned)
	}
	now = now.Add(100 * 365 * 24 * time.Hour)
	if err := identity.Signer.Verify(value, own); err == nil {
		t.Error("signature with an expired certificate: got no error")
	}
	insecure, err := InsecureIdentity()
	if err != nil {
		t.Fatal(err)
	}
	if err := insecure.Signer.Verify(value, Signature{}); err != nil {
		t.Errorf("fleet without keys: got error %v, want none", err)
	}
}
