package settings_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/settings"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

// writeKeys writes a CA, a certificate signed by it and its key, and the
// certificate and key of an unrelated CA. It returns the flags for the first three.
func writeKeys(t *testing.T, dir string) []string {
	t.Helper()
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	create := func(keys link.KeyPair, err error) link.KeyPair {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return keys
	}
	ca := create(link.NewCA("test", time.Now(), time.Hour))
	leaf := create(link.NewHostKeyPair(ca, "pwani-a-1", time.Now(), time.Hour))
	other := create(link.NewCA("other", time.Now(), time.Hour))
	write("other-ca.pem", other.Certificate)
	write("other-key.pem", other.Key)
	return []string{
		"--ca-file=" + write("ca.pem", ca.Certificate),
		"--certificate-file=" + write("certificate.pem", leaf.Certificate),
		"--key-file=" + write("key.pem", leaf.Key),
	}
}

func baseArgs(t *testing.T, dir string) []string {
	t.Helper()
	return append(writeKeys(t, dir), "--host-id=pwani-a-1", "--availability-zone=pwani-a", "--region=pwani")
}

// Verifies that settings are parsed into the right fields and that a flag overrides
// an environment variable.
func TestParse(t *testing.T) {
	t.Setenv("PERIDOTLB_DISTRIBUTION", "fast")
	t.Setenv("PERIDOTLB_LOG_LEVEL", "nonsense")
	t.Setenv("PERIDOTLB_OPERATOR_TOKENS", "stock-team:0123456789abcdef,road-team:fedcba9876543210")
	d, err := settings.Parse(append(baseArgs(t, t.TempDir()), "--log-level=warn", "--peers=10.0.0.2:7401,10.0.0.3:7401",
		"--nat=127.2.0.0/16=127.102.0.0/16", "--nat=127.3.0.0/16=127.103.0.0/16", "--announce-lease=4s", "--check"))
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprintln(d.HostID, d.AvailabilityZone, d.Region, d.Distribution == fleet.Fast, d.LogLevel, d.Peers, d.NAT, d.AnnounceLease, d.Check, d.TimelineSize, d.OperatorTokens,
		d.ControlAddress.Port(), d.GateAddress.Port(), d.CallAddress.Port(), d.AnnounceAddress.Port(), d.OperatorAddress.Port(), d.MetricsAddress.Port())
	want := "pwani-a-1 pwani-a pwani true warn [10.0.0.2:7401 10.0.0.3:7401] [{127.2.0.0/16 127.102.0.0/16} {127.3.0.0/16 127.103.0.0/16}] 4s true 16384 [{stock-team [hidden]} {road-team [hidden]}] 7401 7402 7403 7404 7405 7406\n"
	if got != want {
		t.Errorf("settings:\ngot  %s\nwant %s", got, want)
	}
	if got, want := d.OperatorTokens[1].Token.Reveal(), "fedcba9876543210"; got != want {
		t.Errorf("token: got %q, want %q", got, want)
	}
}

// Guards against a daemon that does not start because a template renders whole numbers
// with a fraction or an exponent.
func TestNumbersOfTemplates(t *testing.T) {
	for _, text := range []string{"4100", "4100.0", "4.1e3"} {
		t.Setenv("PERIDOTLB_FILE_DESCRIPTORS", text)
		t.Setenv("PERIDOTLB_MEMORY_MB", "284.0")
		d, err := settings.Parse(baseArgs(t, t.TempDir()))
		if err != nil || d.FileDescriptors != 4100 || d.MemoryMB != 284 {
			t.Errorf("%s: got %d descriptors, %v MB, error %v, want 4100 and 284", text, d.FileDescriptors, d.MemoryMB, err)
		}
	}
	for _, text := range []string{"4100.5", "NaN", "Inf", "1e99", "-1"} {
		t.Setenv("PERIDOTLB_FILE_DESCRIPTORS", text)
		if _, err := settings.Parse(baseArgs(t, t.TempDir())); err == nil {
			t.Errorf("%s: got no error", text)
		}
	}
}

// Verifies that faults in the settings are reported before the daemon runs.
func TestFaults(t *testing.T) {
	dir := t.TempDir()
	good := baseArgs(t, dir)
	aws := []string{
		"--platform=aws", "--table-endpoint=http://10.0.0.9:8000", "--table-name=t", "--object-endpoint=http://10.0.0.9:9000", "--bucket=b",
		"--platform-access-key=k", "--platform-secret-key=s", "--platform-signing-region=r",
	}
	for _, c := range []struct {
		name string
		args []string
		want []string // one element for each fault
	}{
		{"valid aws", aws, nil},
		{"name", []string{"--host-id=Pwani_A"}, []string{`--host-id: "Pwani_A" is not a name`}},
		{"missing", []string{"--availability-zone=", "--region="}, []string{"--availability-zone: missing", "--region: missing"}},
		{"unknown flag and stray argument", []string{"--hostid", "x", "--zone=y"}, []string{"unknown flag --hostid", "is not a flag", "unknown flag --zone"}},
		{"no value", []string{"--host-id"}, []string{"--host-id: needs a value"}},
		{"host name", []string{"--control-address=localhost:7401"}, []string{"--control-address: \"localhost:7401\" is not a numeric IP and port"}},
		{"port zero", []string{"--call-address=127.0.0.1:0"}, []string{"--call-address: \"127.0.0.1:0\" has port 0"}},
		{"unspecified", []string{"--gate-address=0.0.0.0:7402"}, []string{"--gate-address: \"0.0.0.0:7402\" is not an address that other hosts"}},
		{"announce away from loopback", []string{"--announce-address=10.0.0.1:7404"}, []string{"--announce-address: \"10.0.0.1:7404\" is not a loopback"}},
		{"same address", []string{"--metrics-address=127.0.0.1:7403"}, []string{"--metrics-address: 127.0.0.1:7403 is also the value of --call-address"}},
		{"tokens in the clear", []string{"--operator-address=10.0.0.1:7405"}, []string{"--operator-tls: tokens would be sent in the clear"}},
		{"tokens over TLS", []string{"--operator-address=10.0.0.1:7405", "--operator-tls"}, nil},
		{"peer", []string{"--peers=10.0.0.1:7401,b:7401"}, []string{`--peers: "b:7401"`}},
		{"translation", []string{"--nat=10.0.0.0/8=10.0.0.0/16"}, []string{"--nat: \"10.0.0.0/8=10.0.0.0/16\" maps prefixes of unequal"}},
		{"choices", []string{"--platform=disk", "--distribution=slow", "--log-format=xml"}, []string{`"disk" is not one of aws, memory`, `"slow" is not one of economical, fast`, `"xml" is not one of console, json`}},
		{"no unit", []string{"--drain-timeout=30"}, []string{"--drain-timeout: \"30\" is not a duration with a unit"}},
		{"ranges", []string{"--announce-lease=500ms", "--drain-timeout=11m", "--timeline-size=255"}, []string{"500ms is out of range 1s to 1m", "11m is out of range 1s to 10m", "255 is out of range 256 to 262144"}},
		{"not a number", []string{"--timeline-size=many"}, []string{`"many" is not a whole number`}},
		{"boolean", []string{"--check=perhaps"}, []string{`--check: "perhaps" is neither true nor false`}},
		{"aws needs", append(aws[:4:4], "--table-endpoint=table:8000"), []string{"--table-endpoint: not a URL", "--bucket: missing", "--platform-access-key: missing", "--platform-secret-key: missing", "--platform-signing-region: missing; needed with --platform=aws"}},
		{"endpoint name", append(aws[:8:8], "--object-endpoint=http://storage:9000"), []string{`--object-endpoint: "storage:9000" is not a numeric IP`}},
		{"no file", []string{"--ca-file=" + dir + "/none.pem"}, []string{"--ca-file: open " + dir + "/none.pem: no such file"}},
		{"no certificate in file", []string{"--ca-file=" + dir + "/key.pem", "--certificate-file=" + dir + "/key.pem"}, []string{"--ca-file: " + dir + "/key.pem holds no PEM", "--certificate-file: " + dir + "/key.pem holds no PEM"}},
		{"key of another", []string{"--key-file=" + dir + "/other-key.pem"}, []string{"--key-file: " + dir + "/other-key.pem does not match"}},
		{"certificate that is not of a host", []string{"--certificate-file=" + dir + "/other-ca.pem", "--key-file=" + dir + "/other-key.pem", "--ca-file=" + dir + "/other-ca.pem"}, []string{"does not verify"}},
		{"certificate of another CA", []string{"--ca-file=" + dir + "/other-ca.pem"}, []string{"--certificate-file: " + dir + "/certificate.pem does not verify"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse(append(good[:len(good):len(good)], c.args...))
			var got settings.Faults
			if err != nil && !errors.As(err, &got) {
				t.Fatalf("got %T %v, want Faults", err, err)
			}
			if len(got) != len(c.want) {
				t.Errorf("got %d faults, want %d: %v", len(got), len(c.want), err)
			}
			for _, want := range c.want {
				if !strings.Contains(fmt.Sprint(err), want) {
					t.Errorf("got %v, want a fault with %q", err, want)
				}
			}
		})
	}
}

// Verifies that faults, the help and a log of the settings contain no secret.
func TestSecretsAreNotPrinted(t *testing.T) {
	const secret = "hush-hush"
	t.Setenv("PERIDOTLB_PLATFORM_SECRET_KEY", secret+"-0123456789")
	_, err := settings.Parse([]string{"--operator-tokens", secret, "--operator-token", secret, "--operator-tokens=stock-team:" + secret, secret})
	if err == nil || strings.Contains(err.Error(), secret) {
		t.Errorf("faults: got %v, want faults without the secret", err)
	}
	d, err := settings.Parse(baseArgs(t, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	printed := fmt.Sprintf("%v %+v %#v %q %x %s", d, d, d, d.PlatformSecretKey, d.PlatformSecretKey, encoded)
	if strings.Contains(printed, secret) || !strings.Contains(printed, "[hidden]") {
		t.Errorf("got %s, want the secret hidden", printed)
	}
	if strings.Contains(settings.Help(), secret) {
		t.Error("help prints a secret of the environment")
	}
}

// Verifies that the reference page matches the table.
func TestPage(t *testing.T) {
	const path = "../../docs/settings.md"
	if *update {
		if err := os.WriteFile(path, []byte(settings.ReferencePage()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != settings.ReferencePage() {
		t.Errorf("%s differs from the table; run go test ./internal/settings -update", path)
	}
	if _, err := settings.Parse([]string{"--help"}); !errors.Is(err, flag.ErrHelp) {
		t.Errorf("--help: got %v, want flag.ErrHelp", err)
	}
}
