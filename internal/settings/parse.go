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

// flagValue collects the values given for a flag. Set does not fail, so that all
// faults can be reported together after parsing.
type flagValue struct {
	setting Setting
	texts   []string
}

// String returns the last given value. Package ff gets the name of the settings
// file with it.
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

// text returns the given value, or the default.
func (v *flagValue) text() string {
	if len(v.texts) == 0 {
		return v.setting.Default
	}
	return strings.Join(v.texts, ",")
}

// Parse reads the settings from arguments, the environment and the settings file,
// in this order of precedence. The error is flag.ErrHelp when help was requested,
// and Faults with all faults otherwise.
func Parse(args []string) (Daemon, error) {
	table := Table()
	values := make([]*flagValue, len(table))
	fs := flag.NewFlagSet("peridotlbd", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	for i, s := range table {
		values[i] = &flagValue{setting: s}
		fs.Var(values[i], s.Name, s.Help)
	}
	argumentFaults, err := parseAll(fs, args)
	if err != nil {
		return Daemon{}, err
	}
	v := validator{faults: argumentFaults, invalid: map[string]bool{}}
	for _, value := range values {
		v.apply(value)
	}
	v.checkPlatform()
	v.checkAddresses()
	v.checkFiles()
	if len(v.faults) > 0 {
		return Daemon{}, v.faults
	}
	return v.daemon, nil
}

// parseAll parses args, the environment and the settings file. It continues after
// an unknown flag and after an argument that is not a flag, and returns a fault for
// each. Faults do not quote such an argument, because it may be a secret that
// follows a mistyped flag.
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

// validator applies values to the settings, checks them and collects faults.
type validator struct {
	daemon  Daemon
	faults  Faults
	invalid map[string]bool // names of settings with a fault
}

func (v *validator) addFault(setting, format string, args ...any) {
	v.invalid[setting] = true
	v.faults = append(v.faults, Fault{Setting: setting, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) apply(value *flagValue) {
	text := value.text()
	if text == "" {
		if value.setting.Required {
			v.addFault(value.setting.Name, "missing; set it or %s", value.setting.Env())
		}
		return
	}
	if err := value.setting.apply(&v.daemon, text); err != nil {
		v.addFault(value.setting.Name, "%v", err)
	}
}

// checkPlatform checks that the settings that the platform needs are given.
func (v *validator) checkPlatform() {
	d := &v.daemon
	if d.Platform == Store && !d.StoreAddress.IsValid() && !v.invalid["store-address"] {
		v.addFault("store-address", "missing; needed with --platform=store")
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
		if !need.given && !v.invalid[need.setting] {
			v.addFault(need.setting, "missing; needed with --platform=aws")
		}
	}
}

// checkAddresses checks that no two TCP listeners share an address and that tokens
// are not sent over a network in plain text. The control address uses UDP.
func (v *validator) checkAddresses() {
	d := v.daemon
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
		if v.invalid[a.setting] || !a.address.IsValid() {
			continue
		}
		if other, ok := used[a.address]; ok {
			v.addFault(a.setting, "%s is also the value of --%s", a.address, other)
		}
		used[a.address] = a.setting
	}
	// With the store of the environment, backend servers announce themselves at the
	// address of the host instead of on loopback.
	if d.Platform != Store && !v.invalid["announce-address"] {
		if _, err := loopback.parse(d.AnnounceAddress.String()); err != nil {
			v.addFault("announce-address", "%v", err)
		}
	}
	if !v.invalid["operator-address"] && !d.OperatorAddress.Addr().IsLoopback() && !d.OperatorTLS {
		v.addFault("operator-tls", "tokens would be sent in the clear to %s; set --operator-tls or use a loopback address", d.OperatorAddress)
	}
}

// readFile returns the content of the file of a setting, or nil if the setting has
// a fault.
func (v *validator) readFile(setting, path string) []byte {
	if v.invalid[setting] {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		v.addFault(setting, "%v", err)
	}
	return data
}

// checkFiles checks that the files exist, that the key belongs to the certificate,
// and that the certificate is signed by the CA and has the name that daemons
// require.
func (v *validator) checkFiles() {
	d := v.daemon
	if d.CAFile == "" && d.CertificateFile == "" && d.KeyFile == "" {
		return
	}
	ca := v.readFile("ca-file", d.CAFile)
	certificate := v.readFile("certificate-file", d.CertificateFile)
	key := v.readFile("key-file", d.KeyFile)

	roots := x509.NewCertPool()
	if !v.invalid["ca-file"] && !roots.AppendCertsFromPEM(ca) {
		v.addFault("ca-file", "%s holds no PEM certificate", d.CAFile)
	}
	if !v.invalid["certificate-file"] && !containsCertificate(certificate) {
		v.addFault("certificate-file", "%s holds no PEM certificate", d.CertificateFile)
	}
	if v.invalid["certificate-file"] || v.invalid["key-file"] {
		return
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		v.addFault("key-file", "%s does not match %s: %v", d.KeyFile, d.CertificateFile, err)
		return
	}
	if v.invalid["ca-file"] {
		return
	}
	if err := verifyCertificate(pair, roots); err != nil {
		v.addFault("certificate-file", "%s does not verify with %s: %v", d.CertificateFile, d.CAFile, err)
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
