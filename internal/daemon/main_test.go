package daemon

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/settings"
)

// Guards against faults that are reported one at a time, with a wrong exit code,
// or with a secret.
func TestMainFaults(t *testing.T) {
	t.Parallel()
	ca := newCA(t)
	good := slices.Clip(daemonArgs(t, ca, "a", "pwani-a"))
	other := keyFiles(t, newCA(t), "a")
	caFlag := other[slices.IndexFunc(other, func(f string) bool { return strings.HasPrefix(f, "--ca-file=") })]
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, c := range []struct {
		name string
		args []string
		code int
		out  []string // parts of standard output
		errs []string // parts of standard error, one on each line
	}{
		{"check", append(good, "--check"), exitOK, []string{"The settings are valid."}, nil},
		{"help", []string{"--help"}, exitOK, []string{"--host-id", "PERIDOTLB_HOST_ID"}, nil},
		{"unknown flag", append(good, "--distributoin=fast"), exitUsage, nil, []string{"unknown flag --distributoin", "peridotlbd --help"}},
		{
			"several faults", append(good, "--announce-lease=5", "--region=Pwani", "--operator-tokens="+testToken, testSecret), exitUsage, nil,
			[]string{"is not a flag", `--region: "Pwani" is not a name`, "--operator-tokens: element 2 is not like team:token", `--announce-lease: "5" is not a duration with a unit`, "peridotlbd --help"},
		},
		{"port in use", append(good, "--log-level=error", "--call-address="+taken.Addr().String()), exitError, nil, []string{"peridotlbd: open --call-address: listen tcp " + taken.Addr().String()}},
		{
			"certificate of another fleet", append(good, caFlag), exitUsage, nil,
			[]string{"--certificate-file: ", "peridotlbd --help"},
		},
	} {
		var out, errs bytes.Buffer
		code := Main(t.Context(), c.args, &out, &errs, nil)
		lines := strings.Split(strings.TrimSpace(errs.String()), "\n")
		if errs.Len() == 0 {
			lines = nil
		}
		if code != c.code || len(lines) != len(c.errs) {
			t.Errorf("%s: got code %d and %q, want code %d and %d lines", c.name, code, lines, c.code, len(c.errs))
			continue
		}
		for i, want := range c.errs {
			if !strings.Contains(lines[i], want) {
				t.Errorf("%s: got line %q, want %q in it", c.name, lines[i], want)
			}
		}
		for _, want := range c.out {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: got %q, want %q in it", c.name, out.String(), want)
			}
		}
		if all := out.String() + errs.String(); strings.Contains(all, testToken) || strings.Contains(all, testSecret) {
			t.Errorf("%s: got a secret in %q", c.name, all)
		}
	}
}

// Guards against a daemon of another fleet that gets in, and a log that does not
// say why it is alone.
func TestOtherFleetIsRefused(t *testing.T) {
	t.Parallel()
	a := start(t, platform.NewMemory(), daemonArgs(t, newCA(t), "a", "pwani-a"))
	t.Cleanup(a.stop)
	b := start(t, platform.NewMemory(), daemonArgs(t, newCA(t), "b", "pwani-a", "--peers="+a.settings.ControlAddress.String()))
	t.Cleanup(b.stop)
	eventually(t, longWait, "reason in the log", func() bool { return strings.Contains(b.log.String(), `certificate of \"a\" refused`) })
	if got := a.countHosts(t, 0); got != 1 {
		t.Errorf("got %d hosts, want 1", got)
	}
}

// Guards against a log that a repeated line fills, against lines of other parts
// that are lost with it, and against dropped lines that nobody counts.
func TestRepeatedLinesAreLimited(t *testing.T) {
	var out bytes.Buffer
	log, dropped := newLog(settings.Daemon{LogFormat: settings.JSON}, &out)
	now := fixedClock(time.Unix(1_800_000_000, 0))
	log = log.WithOptions(zap.WithClock(&now))
	for second := 1; second <= 2; second++ {
		for i := range 1000 {
			log.Warn("Could not connect.", zap.Int("attempt", i))
		}
		log.Warn("Another line.")
		for text, want := range map[string]int{"Could not connect.": second * logSampleFirst, "Another line.": second} {
			if got := strings.Count(out.String(), text); got != want {
				t.Errorf("second %d: got %d lines %q, want %d", second, got, text, want)
			}
		}
		if got, want := dropped.Load(), uint64(second*(1000-logSampleFirst)); got != want {
			t.Errorf("second %d: got %d dropped lines counted, want %d", second, got, want)
		}
		now = fixedClock(time.Time(now).Add(logSamplePeriod))
	}
}

// Guards against refused handshakes of the gate that fill the log because each
// line has another port in it.
func TestHandshakeLinesAreLimited(t *testing.T) {
	var out bytes.Buffer
	log, dropped := newLog(settings.Daemon{LogFormat: settings.JSON}, &out)
	now := fixedClock(time.Unix(1_800_000_000, 0))
	w := httpLogWriter{log.WithOptions(zap.WithClock(&now))}
	for port := range 100 {
		fmt.Fprintf(w, "http: TLS handshake error from [fd00::1]:%d: certificate of \"a\" refused: expired\n", port)
	}
	fmt.Fprintln(w, "http: another line")
	for text, want := range map[string]int{
		`"TLS handshake failed.","peer":"[fd00::1]:`: logSampleFirst, `"reason":"certificate of \"a\" refused: expired"`: logSampleFirst, "http: another line": 1,
	} {
		if got := strings.Count(out.String(), text); got != want {
			t.Errorf("got %d lines with %s, want %d; log: %s", got, text, want, out.String())
		}
	}
	if got, want := dropped.Load(), uint64(100-logSampleFirst); got != want {
		t.Errorf("got %d dropped lines counted, want %d", got, want)
	}
}

// fixedClock is a zapcore.Clock that stands still.
type fixedClock time.Time

func (c *fixedClock) Now() time.Time                       { return time.Time(*c) }
func (c *fixedClock) NewTicker(time.Duration) *time.Ticker { return time.NewTicker(time.Hour) }
