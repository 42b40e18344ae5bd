// Package settings holds the settings of the daemon in one table, from which
// flags, environment variables, checks, help and docs/settings.md come.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
)

// EnvPrefix precedes the names of environment variables.
const EnvPrefix = "PERIDOTLB"

// Platform selects the table service and object store.
type Platform string

// Platforms.
const (
	Memory Platform = "memory" // embedded, lost when the process ends
	AWS    Platform = "aws"    // DynamoDB and S3 protocols
	Store  Platform = "store"  // the prepared platform's store
)

// LogFormat selects the form of log lines.
type LogFormat string

// Log formats.
const (
	Console LogFormat = "console"
	JSON    LogFormat = "json"
)

// Secret is a value that fmt, encoders and loggers do not print.
type Secret string

const redacted = "[hidden]"

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// Format implements fmt.Formatter for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// OperatorToken is a bearer token and the team it is bound to.
type OperatorToken struct {
	Team  document.TeamName
	Token Secret
}

// NAT maps the addresses of a prefix to those of another of equal length.
type NAT struct{ From, To netip.Prefix }

// Daemon holds the checked settings of a daemon.
type Daemon struct {
	HostID           host.ID
	AvailabilityZone host.AvailabilityZone
	Region           host.Region
	CallerService    string // service whose calls this daemon takes; may be empty
	SettingsFile     string
	Cores            float64 // that the daemon may use
	LinkMbps         float64 // rate of the host's link, Mbit/s

	ControlAddress  netip.AddrPort // QUIC between daemons
	GateAddress     netip.AddrPort // TLS, calls from other daemons
	CallAddress     netip.AddrPort // HTTP, calls from callers
	AnnounceAddress netip.AddrPort // HTTP on loopback, backend servers of this host
	OperatorAddress netip.AddrPort // operator API
	MetricsAddress  netip.AddrPort // /metrics, /healthz, /readyz
	ReadyAddress    netip.AddrPort // readiness for callers; may be invalid
	StoreAddress    netip.AddrPort // with Store
	Peers           []netip.AddrPort
	NAT             []NAT

	Platform              Platform
	Watch                 time.Duration
	TableEndpoint         *url.URL // may be nil with Memory, as the next one
	ObjectEndpoint        *url.URL
	TableName             string
	Bucket                string
	PlatformAccessKey     string
	PlatformSecretKey     Secret
	PlatformSigningRegion string

	Distribution fleet.Distribution

	CAFile          string
	CertificateFile string
	KeyFile         string
	OperatorTokens  []OperatorToken // none: the operator API refuses every request
	OperatorTLS     bool

	RetryRatio       float64       // of the calls of a service
	RetryExtra       float64       // retries besides, of all daemons in a window
	RetryWindow      time.Duration // 0: each daemon has a budget of its own
	AnnounceLease    time.Duration
	OutcomeRetention time.Duration
	TimelineSize     int // events
	DrainTimeout     time.Duration
	LogLevel         zapcore.Level
	LogFormat        LogFormat
	Check            bool // check the settings and exit
}

// Open reports whether no keys are set, so that daemons neither encrypt calls
// nor verify each other.
func (d Daemon) Insecure() bool { return d.CAFile == "" && d.CertificateFile == "" && d.KeyFile == "" }

// Fault is one thing wrong with the settings.
type Fault struct {
	Setting string // empty when it concerns an argument that is no setting
	Message string
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Setting == "" {
		return f.Message
	}
	return "--" + f.Setting + ": " + f.Message
}

// Faults is the error that lists everything wrong with the settings.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs)+1)
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	lines = append(lines, "run peridotlbd --help for the settings and their ranges")
	return strings.Join(lines, "\n")
}
