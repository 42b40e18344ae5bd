// Package settings defines the settings of the daemon in one table. Flags,
// environment variables, checks, help and docs/settings.md are derived from it.
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

// EnvPrefix is the prefix of the names of environment variables.
const EnvPrefix = "PERIDOTLB"

// Platform selects the table service and object store.
type Platform string

// Platforms.
const (
	Memory Platform = "memory" // embedded, lost when the process ends
	AWS    Platform = "aws"    // DynamoDB and S3 protocols
	Store  Platform = "store"  // the store of the environment
)

// LogFormat selects the form of log lines.
type LogFormat string

// Log formats.
const (
	Console LogFormat = "console"
	JSON    LogFormat = "json"
)

// Secret is a string that fmt, encoders and loggers do not print.
type Secret string

const redacted = "[hidden]"

// Reveal returns the secret in plain text.
func (s Secret) Reveal() string { return string(s) }

// Format implements fmt.Formatter for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// OperatorToken is a bearer token and the team that it authenticates.
type OperatorToken struct {
	Team  document.TeamName
	Token Secret
}

// NAT maps the addresses of a prefix to those of another prefix of equal length.
type NAT struct{ From, To netip.Prefix }

// Daemon holds the validated settings of a daemon.
type Daemon struct {
	HostID           host.ID
	AvailabilityZone host.AvailabilityZone
	Region           host.Region
	CallerService    string // service whose backend server makes calls through this daemon; may be empty
	SettingsFile     string
	Cores            float64 // processor cores that the daemon may use
	LinkMbps         float64 // rate of the host's link, Mbit/s
	RankNestedCalls  bool    // calls of the backend servers of this host get the priority of the requests that they run
	LearnedCapacity  bool    // learn how many concurrent calls each backend server handles well
	MemoryMB         float64 // memory that the process may use
	RequestsMemoryMB float64 // memory that callers' requests may hold; 0 derives it from MemoryMB
	FileDescriptors  int     // open descriptors of the process; 0 for its own limit

	ControlAddress  netip.AddrPort // QUIC between daemons
	GateAddress     netip.AddrPort // TLS, calls from other daemons
	CallAddress     netip.AddrPort // HTTP, calls from callers
	AnnounceAddress netip.AddrPort // HTTP, announcements of the backend servers of this host; on loopback except with Store
	OperatorAddress netip.AddrPort // operator API
	MetricsAddress  netip.AddrPort // /metrics, /healthz, /readyz
	ReadyAddress    netip.AddrPort // readiness for callers; invalid if not set
	StoreAddress    netip.AddrPort // only with Store
	Peers           []netip.AddrPort
	NAT             []NAT

	Platform              Platform
	HeadPollWait          time.Duration // longest wait of one read of the head row
	TableEndpoint         *url.URL      // set with AWS; may be nil otherwise
	ObjectEndpoint        *url.URL      // set with AWS; may be nil otherwise
	TableName             string
	Bucket                string
	PlatformAccessKey     string
	PlatformSecretKey     Secret
	PlatformSigningRegion string

	Distribution fleet.Distribution

	CAFile          string
	CertificateFile string
	KeyFile         string
	OperatorTokens  []OperatorToken // if empty, the operator API refuses every request
	OperatorTLS     bool

	RetryRatio       float64       // retries of all daemons as a share of the calls of a service
	RetryExtra       float64       // additional retries of all daemons in a window
	RolloutShare     float64       // of the calls of a service that a bad version may get
	RolloutSlack     float64       // calls that a bad version may get in addition
	RetryWindow      time.Duration // if 0, each daemon has a retry budget of its own
	QuotaWindow      time.Duration // window over which the quotas of organisations are bounded
	QuotaOverrun     float64       // part by which the requests in a window may exceed rate and burst
	QuotaSlack       float64       // further requests in a window
	AnnounceLease    time.Duration
	OutcomeRetention time.Duration
	TimelineSize     int // number of events
	DrainTimeout     time.Duration
	LogLevel         zapcore.Level
	LogFormat        LogFormat
	Check            bool // check the settings and exit
}

// Insecure reports whether no keys are set, so that daemons neither encrypt calls
// nor verify each other.
func (d Daemon) Insecure() bool { return d.CAFile == "" && d.CertificateFile == "" && d.KeyFile == "" }

// Fault is an error in one setting or argument.
type Fault struct {
	Setting string // name; empty for an argument that is not a setting
	Message string
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Setting == "" {
		return f.Message
	}
	return "--" + f.Setting + ": " + f.Message
}

// Faults is an error that lists all faults in the settings.
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
