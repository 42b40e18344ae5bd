package link

import (
	"crypto/tls"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/version"
)

type versionNumber = version.Number

// snapshot is a message.Snapshot without sections.
type snapshot struct{}

func (snapshot) Manifest() version.Manifest { return version.Manifest{Number: 1} }
func (snapshot) Blob(version.Digest) []byte { return nil }

// pair parses a key pair.
func (f fleet) pair(k KeyPair) *tls.Certificate {
	f.t.Helper()
	c, err := tls.X509KeyPair(k.Certificate, k.Key)
	if err != nil {
		f.t.Fatal(err)
	}
	return &c
}

// setCertificate replaces the certificate that an identity presents to peers.
func setCertificate(i Identity, c *tls.Certificate) {
	i.Server.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c, nil }
	i.Client.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c, nil }
}

// TestLoadTLSErrors checks that errors of LoadTLS name the file and the
// problem.
func TestLoadIdentityErrors(t *testing.T) {
	f := newFleet(t)
	now := time.Now()
	for name, c := range map[string]struct {
		keys   KeyPair
		change func(*CertificateConfig)
		want   []string
	}{
		"missing key": {f.issueHost(), func(c *CertificateConfig) { c.Key += ".absent" }, []string{"host.key.absent", "no such file"}},
		"no CA":       {f.issueHost(), func(c *CertificateConfig) { c.CA = c.Key }, []string{"CA file", "host.key", "no PEM certificate"}},
		"wrong name":  {f.issue(now.Add(-time.Hour), 2*time.Hour, "gate"), nil, []string{"host.pem", "valid for gate"}},
		"expired":     {f.issue(now.Add(-2*time.Hour), time.Hour, PeerName), nil, []string{"host.pem", "expired"}},
		"foreign":     {newFleet(t).issueHost(), nil, []string{"host.pem", "ca.pem", "unknown authority"}},
		"other key":   {KeyPair{f.issueHost().Certificate, f.issueHost().Key}, nil, []string{"host.pem", "host.key", "does not match"}},
		"empty name":  {f.issueHost(), func(c *CertificateConfig) { c.Certificate = "" }, []string{"is empty"}},
	} {
		t.Run(name, func(t *testing.T) {
			files := fleet{t, f.ca}.files(c.keys)
			if c.change != nil {
				c.change(&files)
			}
			_, err := LoadIdentity(files)
			for _, want := range c.want {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("got error %v, want %q in it", err, want)
				}
			}
		})
	}
}

// TestReload checks that changed certificate files are loaded without a
// restart, and that invalid files leave the previous certificate in use.
func TestReload(t *testing.T) {
	f := newFleet(t)
	files := f.files(f.issueHost())
	now := time.Now()
	files.Now = func() time.Time { return now }
	identity, err := LoadIdentity(files)
	if err != nil {
		t.Fatal(err)
	}
	serial := func() string {
		c, err := identity.Server.GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		return c.Leaf.SerialNumber.String()
	}
	replace := func(keys KeyPair, modified time.Time) {
		t.Helper()
		for name, data := range map[string][]byte{files.Certificate: keys.Certificate, files.Key: keys.Key} {
			if err := os.WriteFile(name, data, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Chtimes(name, modified, modified); err != nil {
				t.Fatal(err)
			}
		}
	}
	first := serial()
	replace(f.issueHost(), now.Add(time.Minute))
	if got := serial(); got != first {
		t.Errorf("files were reloaded before %v had passed", reloadInterval)
	}
	now = now.Add(reloadInterval)
	second := serial()
	if second == first {
		t.Error("changed files were not loaded")
	}
	replace(newFleet(t).issueHost(), now.Add(2*time.Minute))
	now = now.Add(reloadInterval)
	if got := serial(); got != second {
		t.Error("certificate of a foreign authority was loaded")
	}
	third := f.issueHost()
	replace(third, now.Add(3*time.Minute))
	now = now.Add(reloadInterval)
	if got, want := serial(), f.pair(third).Leaf.SerialNumber.String(); got != want {
		t.Errorf("after the files were corrected: got serial %s, want %s", got, want)
	}
}

// TestNAT checks that addresses are translated in both directions, and that
// invalid rules are rejected.
func TestNAT(t *testing.T) {
	n, err := ParseNAT("127.2.0.0/16=127.102.0.0/16, 127.3.0.0/16=127.103.0.0/16", "10.0.64.0/18=10.9.128.0/18", "fd01::/64=fd02::/64")
	if err != nil {
		t.Fatal(err)
	}
	for inside, outside := range map[string]string{
		"127.2.7.9:7000":    "127.102.7.9:7000",
		"127.3.0.1:1":       "127.103.0.1:1",
		"10.0.127.255:5":    "10.9.191.255:5",
		"[fd01::5:6]:7":     "[fd02::5:6]:7",
		"127.1.7.9:7000":    "127.1.7.9:7000",
		"192.168.0.1:65535": "192.168.0.1:65535",
	} {
		in, out := netip.MustParseAddrPort(inside), netip.MustParseAddrPort(outside)
		if got := n.Outside(in); got != out {
			t.Errorf("Outside(%v): got %v, want %v", in, got, out)
		}
		if got := n.Inside(out); got != in {
			t.Errorf("Inside(%v): got %v, want %v", out, got, in)
		}
	}
	for rule, want := range map[string]string{
		"127.2.0.0/16":                                  "want prefix=prefix",
		"127.2.0.0/16=127.102.0.0/24":                   "different lengths",
		"127.2.0.0/16=fd00::/16":                        "address families",
		"127.2.0.1/16=127.102.0.0/16":                   "did you mean 127.2.0.0/16",
		"127.2.0.0/16=127.102.0.9/16":                   "did you mean 127.102.0.0/16",
		"nowhere=127.102.0.0/16":                        "nowhere",
		"127.2.0.0/16=":                                 "",
		"10.0.0.0/8=11.0.0.0/8,10.1.0.0/16=12.0.0.0/16": "overlaps rule 10.0.0.0/8=11.0.0.0/8",
	} {
		if _, err := ParseNAT(rule); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "NAT rule") {
			t.Errorf("ParseNAT(%q): got error %v, want %q", rule, err, want)
		}
	}
}
