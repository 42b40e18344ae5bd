package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"github.com/peridotlb/peridotlb/internal/link"
)

// value collects the texts of a flag. Set does not fail, so that all faults
// can be reported together after parsing.
type flagValue struct {
	setting Setting
	texts   []string
}

// String returns the value given last. ff reads the name of the settings file
// with it.
func (v *flagValue) String() string {
	if len(v.texts) == 0 {
		return ""
	}
	return v.texts[len(v.texts)-1]
}

func (v *flagValue) IsBoolFlag() bool { return v.setting.Bool }

func (v *flagValue) Set(s string) error {
	if !v.setting.Repeated {
		v.texts = v.texts[:0]
	}
	v.texts = append(v.texts, s)
	return nil
}

// text returns the value given, or the default.
func (v *flagValue) text() string {
	if len(v.texts) == 0 {
		return v.setting.Default
	}
	return strings.Join(v.texts, ",")
}

// Parse reads the settings from arguments and the environment; arguments take
// precedence. The error is flag.ErrHelp when help was asked for, and Faults
// with everything wrong otherwise.
func Parse(args []string) (Daemon, error) {
	table := Table()
	values := make([]*flagValue, len(table))
	fs := flag.NewFlagSet("peridotlbd", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	for i, s := range table {
		values[i] = &flagValue{setting: s}
		fs.Var(values[i], s.Name, s.Help)
	}
	unparsed, err := parseAll(fs, args)
	if err != nil {
		return Daemon{}, err
	}
	c := validator{faults: unparsed, invalid: map[string]bool{}}
	for _, v := range values {
		c.apply(v)
	}
	c.checkPlatform()
	c.checkAddresses()
	c.checkFiles()
	if len(c.faults) > 0 {
		return Daemon{}, c.faults
	}
	return c.daemon, nil
}

// parseAll parses args and the environment. It continues after an unknown flag
// and after an argument that is no flag, and returns a fault for each. Such
// arguments are not quoted: they may be a secret after a mistyped flag.
func parseAll(fs *flag.FlagSet, args []string) (Faults, error) {
	var faults Faults
	rest := args
	for {
		err := ff.Parse(fs, rest, ff.WithEnvVarPrefix(EnvPrefix), ff.WithConfigFileFlag("settings-file"), ff.WithConfigFileParser(ff.PlainParser))
		rest = fs.Args()
		position := len(args) - len(rest)
		switch {
		case errors.Is(err, flag.ErrHelp):
			return nil, flag.ErrHelp
		case err != nil:
			name, _, _ := strings.Cut(strings.TrimLeft(args[position-1], "-"), "=")
			if fs.Lookup(name) != nil {
				faults = append(faults, Fault{Setting: name, Message: "needs a value"})
			} else {
				faults = append(faults, Fault{Message: fmt.Sprintf("argument %d: unknown flag --%s", position, name)})
			}
		case len(rest) > 0:
			faults = append(faults, Fault{Message: fmt.Sprintf("argument %d is not a flag", position+1)})
			rest = rest[1:]
		default:
			return faults, nil
		}
	}
}

// check applies values to the settings and collects faults.
type validator struct {
	daemon  Daemon
	faults  Faults
	invalid map[string]bool // settings with a fault
}

func (c *validator) addFault(setting, format string, args ...any) {
	c.invalid[setting] = true
	c.faults = append(c.faults, Fault{Setting: setting, Message: fmt.Sprintf(format, args...)})
}

func (c *validator) apply(v *flagValue) {
	text := v.text()
	if text == "" {
		if v.setting.Required {
			c.addFault(v.setting.Name, "missing; set it or %s", v.setting.Env())
		}
		return
	}
	if err := v.setting.apply(&c.daemon, text); err != nil {
		c.addFault(v.setting.Name, "%v", err)
	}
}

// platform checks what the platform needs.
func (c *validator) checkPlatform() {
	d := &c.daemon
	if d.Platform == Store && !d.StoreAddress.IsValid() && !c.invalid["store-address"] {
		c.addFault("store-address", "missing; needed with --platform=store")
	}
	if d.Platform != AWS {
		return
	}
	for _, need := range []struct {
		setting string
		given   bool
	}{
		{"table-endpoint", d.TableEndpoint != nil},
		{"table-name", d.TableName != ""},
		{"object-endpoint", d.ObjectEndpoint != nil},
		{"bucket", d.Bucket != ""},
		{"platform-access-key", d.PlatformAccessKey != ""},
		{"platform-secret-key", d.PlatformSecretKey != ""},
		{"platform-signing-region", d.PlatformSigningRegion != ""},
	} {
		if !need.given && !c.invalid[need.setting] {
			c.addFault(need.setting, "missing; needed with --platform=aws")
		}
	}
}

// addresses checks that no two TCP listeners share an address, and that tokens
// do not cross a network in the clear. The control address is UDP.
func (c *validator) checkAddresses() {
	d := c.daemon
	used := map[netip.AddrPort]string{}
	for _, a := range []struct {
		setting string
		address netip.AddrPort
	}{
		{"gate-address", d.GateAddress},
		{"call-address", d.CallAddress},
		{"announce-address", d.AnnounceAddress},
		{"operator-address", d.OperatorAddress},
		{"metrics-address", d.MetricsAddress},
		{"ready-address", d.ReadyAddress},
	} {
		if c.invalid[a.setting] || !a.address.IsValid() {
			continue
		}
		if other, ok := used[a.address]; ok {
			c.addFault(a.setting, "%s is also the value of --%s", a.address, other)
		}
		used[a.address] = a.setting
	}
	// On the platform, backend servers announce themselves at the host's address.
	if d.Platform != Store && !c.invalid["announce-address"] {
		if _, err := loopback.parse(d.AnnounceAddress.String()); err != nil {
			c.addFault("announce-address", "%v", err)
		}
	}
	if !c.invalid["operator-address"] && !d.OperatorAddress.Addr().IsLoopback() && !d.OperatorTLS {
		c.addFault("operator-tls", "tokens would be sent in the clear to %s; set --operator-tls or use a loopback address", d.OperatorAddress)
	}
}

// read returns the content of the file of a setting without a fault.
func (c *validator) readFile(setting, path string) []byte {
	if c.invalid[setting] {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		c.addFault(setting, "%v", err)
	}
	return data
}

// files checks that the files exist, that the key belongs to the certificate,
// and that the CA signed it with the name that daemons require.
func (c *validator) checkFiles() {
	d := c.daemon
	if d.CAFile == "" && d.CertificateFile == "" && d.KeyFile == "" {
		return
	}
	ca := c.readFile("ca-file", d.CAFile)
	certificate := c.readFile("certificate-file", d.CertificateFile)
	key := c.readFile("key-file", d.KeyFile)

	roots := x509.NewCertPool()
	if !c.invalid["ca-file"] && !roots.AppendCertsFromPEM(ca) {
		c.addFault("ca-file", "%s holds no PEM certificate", d.CAFile)
	}
	if !c.invalid["certificate-file"] && !containsCertificate(certificate) {
		c.addFault("certificate-file", "%s holds no PEM certificate", d.CertificateFile)
	}
	if c.invalid["certificate-file"] || c.invalid["key-file"] {
		return
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		c.addFault("key-file", "%s does not match %s: %v", d.KeyFile, d.CertificateFile, err)
		return
	}
	if c.invalid["ca-file"] {
		return
	}
	if err := verifyCertificate(pair, roots); err != nil {
		c.addFault("certificate-file", "%s does not verify with %s: %v", d.CertificateFile, d.CAFile, err)
	}
}

func verifyCertificate(pair tls.Certificate, roots *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, der := range pair.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return fmt.Errorf("intermediate certificate: %w", err)
		}
		intermediates.AddCert(c)
	}
	_, err := pair.Leaf.Verify(x509.VerifyOptions{
		DNSName: link.PeerName, Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

func containsCertificate(data []byte) bool {
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type == "CERTIFICATE" {
			return true
		}
	}
	return false
}
