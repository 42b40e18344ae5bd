package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
)

// Setting describes a setting.
type Setting struct {
	Name     string
	Default  string // empty for none
	Unit     string // unit or format of the value
	Range    string
	Help     string
	Secret   bool
	Required bool
	Repeated bool // may be given several times; values are joined with commas
	Bool     bool

	// apply parses the text and sets the field of d. Its error must not quote a
	// secret.
	apply func(d *Daemon, text string) error
}

// Env returns the environment variable of the setting.
func (s Setting) Env() string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// Table returns all settings in the order of the reference page.
func Table() []Setting {
	return slices.Concat(hostSettings(), addressSettings(), platformSettings(), securitySettings(), behaviourSettings())
}

func hostSettings() []Setting {
	return []Setting{
		nameSetting("host-id", "Id of this host, unique in the fleet.", func(d *Daemon, s string) { d.HostID = host.ID(s) }),
		nameSetting("availability-zone", "Availability zone of this host. Zones of different regions have different names.", func(d *Daemon, s string) { d.AvailabilityZone = host.AvailabilityZone(s) }),
		nameSetting("region", "Region of this host.", func(d *Daemon, s string) { d.Region = host.Region(s) }),
		textSetting("caller-service", "Service whose backend server makes calls through this daemon. It is sent to the called backend servers.", func(d *Daemon) *string { return &d.CallerService }),
		numberSetting("cores", "1", 0.01, 1024, "Processor cores that this daemon may use. Hosts with more cores and faster links are chosen first for work for other hosts.", func(d *Daemon) *float64 { return &d.Cores }),
		numberSetting("link-mbps", "1000", 0.1, 1e6, "Rate of this host's link in Mbit/s. Up to 50, calls with large responses are admitted only if the link carries them in time.", func(d *Daemon) *float64 { return &d.LinkMbps }),
		numberSetting("memory-mb", "256", 64, 1e6, "Memory in MB that this process may use. The soft memory limit of the Go runtime and the memory of callers' requests are derived from it.", func(d *Daemon) *float64 { return &d.MemoryMB }),
		numberSetting("requests-memory", "0", 0, 1e6, "Memory in MB that callers' connections and requests may hold. If 0, it is derived from --memory-mb.", func(d *Daemon) *float64 { return &d.RequestsMemoryMB }),
		integerSetting("file-descriptors", "0", "descriptors", 0, 1<<20, "File descriptors that this process may have open. If 0, the limit of the process. Values below 256 count as 256.", func(d *Daemon) *int { return &d.FileDescriptors }),
		textSetting("settings-file", "File with further settings. Each line has a name and a value. Flags and the environment take precedence.", func(d *Daemon) *string { return &d.SettingsFile }),
	}
}

func addressSettings() []Setting {
	return []Setting{
		addressSetting("control-address", "127.0.0.1:7401", reachable, "QUIC between daemons. It is published to the fleet.", func(d *Daemon) *netip.AddrPort { return &d.ControlAddress }),
		addressSetting("gate-address", "127.0.0.1:7402", reachable, "Calls from other daemons, TLS. It is published to the fleet.", func(d *Daemon) *netip.AddrPort { return &d.GateAddress }),
		addressSetting("call-address", "127.0.0.1:7403", anyIP, "Calls from callers, HTTP.", func(d *Daemon) *netip.AddrPort { return &d.CallAddress }),
		addressSetting("announce-address", "127.0.0.1:7404", anyIP, "Announcements of the backend servers of this host, HTTP. Must be a loopback address except with --platform=store.", func(d *Daemon) *netip.AddrPort { return &d.AnnounceAddress }),
		addressSetting("ready-address", "", anyIP, "Readiness of this daemon for callers, HTTP. Without it, only /readyz of the metrics address reports readiness.", func(d *Daemon) *netip.AddrPort { return &d.ReadyAddress }),
		addressSetting("operator-address", "127.0.0.1:7405", anyIP, "Operator API. An address that is not on loopback needs --operator-tls.", func(d *Daemon) *netip.AddrPort { return &d.OperatorAddress }),
		addressSetting("metrics-address", "127.0.0.1:7406", anyIP, "Metrics, /healthz and /readyz, HTTP.", func(d *Daemon) *netip.AddrPort { return &d.MetricsAddress }),
		{
			Name: "peers", Unit: "IP:port,...", Range: reachable.String(), Repeated: true,
			Help:  "Control addresses of the daemons to contact first. Without them, the records of the hosts of the zone in the table are read.",
			apply: func(d *Daemon, s string) (err error) { d.Peers, err = parseList(s, reachable.parse); return err },
		},
		{
			Name: "nat", Unit: "prefix=prefix,...", Range: "prefixes of one family and equal length", Repeated: true,
			Help:  "Address translation towards other zones or regions, for example 127.2.0.0/16=127.102.0.0/16.",
			apply: func(d *Daemon, s string) (err error) { d.NAT, err = parseList(s, parseNAT); return err },
		},
	}
}

func platformSettings() []Setting {
	return []Setting{
		choiceSetting("platform", "memory", "Where versions and rows are kept; memory is embedded and its content is lost when the process ends; with store, operators write the document to a row of the store.", map[string]Platform{"memory": Memory, "aws": AWS, "store": Store}, func(d *Daemon) *Platform { return &d.Platform }),
		addressSetting("store-address", "", reachable, "The store of the environment. Needed with --platform=store.", func(d *Daemon) *netip.AddrPort { return &d.StoreAddress }),
		endpointSetting("table-endpoint", "Table service. Needed with --platform=aws.", func(d *Daemon) **url.URL { return &d.TableEndpoint }),
		textSetting("table-name", "Table. Needed with --platform=aws.", func(d *Daemon) *string { return &d.TableName }),
		endpointSetting("object-endpoint", "Object store. Needed with --platform=aws.", func(d *Daemon) **url.URL { return &d.ObjectEndpoint }),
		textSetting("bucket", "Bucket of the object store. Needed with --platform=aws.", func(d *Daemon) *string { return &d.Bucket }),
		textSetting("platform-access-key", "Access key id. Needed with --platform=aws.", func(d *Daemon) *string { return &d.PlatformAccessKey }),
		{
			Name: "platform-secret-key", Unit: "text", Secret: true,
			Help:  "Secret access key. Needed with --platform=aws. Use the environment: arguments are visible to other users.",
			apply: func(d *Daemon, s string) error { d.PlatformSecretKey = Secret(s); return nil },
		},
		textSetting("platform-signing-region", "Region name that requests to the platform are signed for. Needed with --platform=aws.", func(d *Daemon) *string { return &d.PlatformSigningRegion }),
		durationSetting("watch", "2s", 100*time.Millisecond, time.Minute, "Longest wait of one read for a new version. If the host that reads for the others fails, a version is applied after about twice this time.", func(d *Daemon) *time.Duration { return &d.HeadPollWait }),
	}
}

func securitySettings() []Setting {
	return []Setting{
		fileSetting("ca-file", "CA certificates that daemons trust, PEM. Without the three key files, daemons neither encrypt calls nor verify each other: for private networks only.", func(d *Daemon) *string { return &d.CAFile }),
		fileSetting("certificate-file", "Certificate of this host, signed by the CA, PEM.", func(d *Daemon) *string { return &d.CertificateFile }),
		fileSetting("key-file", "Private key of the certificate, PEM.", func(d *Daemon) *string { return &d.KeyFile }),
		{
			Name: "operator-tokens", Unit: "team:token,...", Secret: true, Repeated: true,
			Range: fmt.Sprintf("tokens of at least %d characters, each used once", minTokenLength),
			Help:  "Bearer tokens of the operator API and their teams. Without any, every request is refused. Use the environment: arguments are visible to other users.",
			apply: parseTokens,
		},
		booleanSetting("operator-tls", "Serve the operator API with the certificate of this host.", func(d *Daemon) *bool { return &d.OperatorTLS }),
	}
}

func behaviourSettings() []Setting {
	return []Setting{
		choiceSetting("distribution", "economical", "How versions spread: economical takes the fewest bytes, fast has the shortest delay.", map[string]fleet.Distribution{"economical": fleet.Economical, "fast": fleet.Fast}, func(d *Daemon) *fleet.Distribution { return &d.Distribution }),
		numberSetting("retry-ratio", "0.1", 0, 1, "Retries that all daemons together may send to a service, as a share of its calls, when --retry-window is set.", func(d *Daemon) *float64 { return &d.RetryRatio }),
		numberSetting("retry-extra", "30", 0, 1e6, "Additional retries of all daemons in each window of --retry-window.", func(d *Daemon) *float64 { return &d.RetryExtra }),
		durationSetting("retry-window", "0s", 0, time.Hour, "Window over which the retries of all daemons are bounded. If 0s, each daemon has its own budget: 10% of its calls and 3 retries per second.", func(d *Daemon) *time.Duration { return &d.RetryWindow }),
		booleanSetting("learned-capacity", "Learn from run times how many concurrent calls each backend server of this host handles well, and send it no more. The announced slots remain the maximum.", func(d *Daemon) *bool { return &d.LearnedCapacity }),
		booleanSetting("rank-nested-calls", "Give calls that the backend servers of this host make, on routes that only they call, at least the priority of the requests that they run.", func(d *Daemon) *bool { return &d.RankNestedCalls }),
		// The defaults are the bounds of docs/requirements.md, section 4.
		durationSetting("quota-window", "5s", time.Second, time.Minute, "Window over which the requests of an organisation are bounded. Set the same value on all daemons, as for the next two.", func(d *Daemon) *time.Duration { return &d.QuotaWindow }),
		numberSetting("quota-overrun", "0.1", 0.02, 10, "Part by which the requests of an organisation that run in a window may exceed its rate and burst. A smaller part makes tokens expire sooner.", func(d *Daemon) *float64 { return &d.QuotaOverrun }),
		numberSetting("quota-slack", "20", 0, 1e6, "Requests of an organisation that may run in a window beyond that.", func(d *Daemon) *float64 { return &d.QuotaSlack }),
		numberSetting("rollout-exposure-share", "0.1", 0.001, 1, "Calls that a bad version may get in a roll-out, as a share of the calls of its service.", func(d *Daemon) *float64 { return &d.RolloutShare }),
		numberSetting("rollout-exposure-slack", "50", 0, 1e6, "Calls that a bad version may get in a roll-out in addition to the share.", func(d *Daemon) *float64 { return &d.RolloutSlack }),
		durationSetting("announce-lease", "3s", time.Second, time.Minute, "A backend server that does not renew its announcement for this long gets no new work.", func(d *Daemon) *time.Duration { return &d.AnnounceLease }),
		// Clients repeat a call within minutes, but a queue that is stopped over a long
		// weekend repeats calls after days. 37 paid calls per second need 22 million rows
		// for a week.
		durationSetting("outcome-retention", "168h", 24*time.Hour, 8760*time.Hour, "The outcome of a paid call or submission is kept for this long. Do not repeat a call or submission after this time. Set the same value on all daemons.", func(d *Daemon) *time.Duration { return &d.OutcomeRetention }),
		// At the maximum, events of about 200 bytes take 50 MB of the 256 MB
		// that a daemon may use.
		integerSetting("timeline-size", "16384", "events", 256, 262144, "Events kept in memory; the oldest are dropped first.", func(d *Daemon) *int { return &d.TimelineSize }),
		durationSetting("drain-timeout", "30s", time.Second, 10*time.Minute, "Longest wait for requests in flight during a planned stop.", func(d *Daemon) *time.Duration { return &d.DrainTimeout }),
		choiceSetting("log-level", "info", "Lowest level that is logged.", map[string]zapcore.Level{"debug": zapcore.DebugLevel, "info": zapcore.InfoLevel, "warn": zapcore.WarnLevel, "error": zapcore.ErrorLevel}, func(d *Daemon) *zapcore.Level { return &d.LogLevel }),
		choiceSetting("log-format", "console", "Form of log lines.", map[string]LogFormat{"console": Console, "json": JSON}, func(d *Daemon) *LogFormat { return &d.LogFormat }),
		booleanSetting("check", "Check the settings and exit.", func(d *Daemon) *bool { return &d.Check }),
	}
}

const nameRange = "kebab case from a letter, 1 to 63 characters"

// checkName checks a name by the rule of documents, which refer to hosts and teams
// by name.
func checkName(s string) error {
	if !document.ValidName(s) {
		return fmt.Errorf("%q is not a name in %s", s, nameRange)
	}
	return nil
}

func nameSetting(name, help string, set func(*Daemon, string)) Setting {
	return Setting{
		Name: name, Unit: "name", Range: nameRange, Help: help, Required: true,
		apply: func(d *Daemon, s string) error { set(d, s); return checkName(s) },
	}
}

func textSetting(name, help string, field func(*Daemon) *string) Setting {
	return Setting{
		Name: name, Unit: "text", Help: help,
		apply: func(d *Daemon, s string) error { *field(d) = s; return nil },
	}
}

func fileSetting(name, help string, field func(*Daemon) *string) Setting {
	s := textSetting(name, help, field)
	s.Unit, s.Range = "path", "readable file"
	return s
}

func booleanSetting(name, help string, field func(*Daemon) *bool) Setting {
	return Setting{
		Name: name, Default: "false", Unit: "bool", Range: "true, false", Help: help, Bool: true,
		apply: func(d *Daemon, s string) error {
			b, err := strconv.ParseBool(s)
			if err != nil {
				return fmt.Errorf("%q is neither true nor false", s)
			}
			*field(d) = b
			return nil
		},
	}
}

// addressScope states which IPs an address may have.
type addressScope uint8

const (
	anyIP     addressScope = iota
	loopback               // reachable only from this host
	reachable              // other hosts connect to it
)

func (s addressScope) String() string {
	switch s {
	case loopback:
		return "loopback IP, port 1 to 65535"
	case reachable:
		return "IP except 0.0.0.0, :: and multicast, port 1 to 65535"
	default:
		return "any IP, port 1 to 65535"
	}
}

func (s addressScope) parse(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return a, fmt.Errorf("%q is not a numeric IP and port, for example 10.0.0.1:7401", text)
	case a.Port() == 0:
		return a, fmt.Errorf("%q has port 0; ports go from 1 to 65535", text)
	case s == loopback && !a.Addr().IsLoopback():
		return a, fmt.Errorf("%q is not a loopback address", text)
	case s == reachable && (a.Addr().IsUnspecified() || a.Addr().IsMulticast()):
		return a, fmt.Errorf("%q is not an address that other hosts can connect to", text)
	}
	return a, nil
}

func addressSetting(name, def string, scope addressScope, help string, field func(*Daemon) *netip.AddrPort) Setting {
	return Setting{
		Name: name, Default: def, Unit: "IP:port", Range: scope.String(), Help: help,
		apply: func(d *Daemon, s string) (err error) { *field(d), err = scope.parse(s); return err },
	}
}

func endpointSetting(name, help string, field func(*Daemon) **url.URL) Setting {
	return Setting{
		Name: name, Unit: "URL", Range: "http or https, numeric IP and port, no path", Help: help,
		apply: func(d *Daemon, s string) error {
			u, err := url.Parse(s)
			if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
				return errors.New("not a URL like http://10.0.0.1:8000")
			}
			*field(d) = u
			_, err = reachable.parse(u.Host)
			return err
		},
	}
}

func durationSetting(name, def string, low, high time.Duration, help string, field func(*Daemon) *time.Duration) Setting {
	return Setting{
		Name: name, Default: def, Unit: "duration", Range: fmt.Sprintf("%s to %s", formatDuration(low), formatDuration(high)), Help: help,
		apply: func(d *Daemon, s string) error {
			v, err := time.ParseDuration(s)
			if err != nil {
				return fmt.Errorf("%q is not a duration with a unit, for example 500ms or 3s", s)
			}
			*field(d) = v
			if v < low || v > high {
				return fmt.Errorf("%s is out of range %s to %s", s, formatDuration(low), formatDuration(high))
			}
			return nil
		},
	}
}

// formatDuration formats a duration without trailing zero units: 10m, not 10m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func integerSetting(name, def, unit string, low, high int, help string, field func(*Daemon) *int) Setting {
	return Setting{
		Name: name, Default: def, Unit: unit, Range: fmt.Sprintf("%d to %d", low, high), Help: help,
		apply: func(d *Daemon, s string) error {
			// Templates may render a whole number as 4100.0.
			f, err := strconv.ParseFloat(s, 64)
			if err != nil || f != math.Trunc(f) || math.IsInf(f, 0) {
				return fmt.Errorf("%q is not a whole number", s)
			}
			if f < float64(low) || f > float64(high) {
				return fmt.Errorf("%s is out of range %d to %d", s, low, high)
			}
			*field(d) = int(f)
			return nil
		},
	}
}

func numberSetting(name, def string, low, high float64, help string, field func(*Daemon) *float64) Setting {
	return Setting{
		Name: name, Default: def, Unit: "number", Range: fmt.Sprintf("%g to %g", low, high), Help: help,
		apply: func(d *Daemon, s string) error {
			v, err := strconv.ParseFloat(s, 64)
			if err != nil || math.IsNaN(v) {
				return fmt.Errorf("%q is not a number", s)
			}
			*field(d) = v
			if v < low || v > high {
				return fmt.Errorf("%s is out of range %g to %g", s, low, high)
			}
			return nil
		},
	}
}

func choiceSetting[T any](name, def, help string, values map[string]T, field func(*Daemon) *T) Setting {
	names := make([]string, 0, len(values))
	for n := range values {
		names = append(names, n)
	}
	slices.Sort(names)
	list := strings.Join(names, ", ")
	return Setting{
		Name: name, Default: def, Unit: "choice", Range: list, Help: help,
		apply: func(d *Daemon, s string) error {
			v, ok := values[s]
			if !ok {
				return fmt.Errorf("%q is not one of %s", s, list)
			}
			*field(d) = v
			return nil
		},
	}
}

// parseList parses a comma-separated list. It returns the error of the first
// invalid element.
func parseList[T any](s string, parse func(string) (T, error)) ([]T, error) {
	var all []T
	for part := range strings.SplitSeq(s, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		v, err := parse(part)
		if err != nil {
			return nil, err
		}
		all = append(all, v)
	}
	return all, nil
}

func parseNAT(s string) (NAT, error) {
	left, right, ok := strings.Cut(s, "=")
	from, err1 := netip.ParsePrefix(left)
	to, err2 := netip.ParsePrefix(right)
	if !ok || err1 != nil || err2 != nil {
		return NAT{}, fmt.Errorf("%q is not like 127.2.0.0/16=127.102.0.0/16", s)
	}
	if from.Bits() != to.Bits() || from.Addr().Is4() != to.Addr().Is4() {
		return NAT{}, fmt.Errorf("%q maps prefixes of unequal family or length", s)
	}
	return NAT{From: from.Masked(), To: to.Masked()}, nil
}

// minTokenLength prevents guessing of tokens: 16 random hexadecimal digits have 64
// bits.
const minTokenLength = 16

// parseTokens parses team:token pairs. Its errors refer to an element by position,
// because a mistyped element may consist only of the secret.
func parseTokens(d *Daemon, s string) error {
	seen := map[string]bool{}
	position := 0
	tokens, err := parseList(s, func(part string) (OperatorToken, error) {
		position++
		team, token, ok := strings.Cut(part, ":")
		switch {
		case !ok:
			return OperatorToken{}, fmt.Errorf("element %d is not like team:token", position)
		case checkName(team) != nil:
			return OperatorToken{}, fmt.Errorf("the team of element %d is not a name in %s", position, nameRange)
		case len(token) < minTokenLength:
			return OperatorToken{}, fmt.Errorf("the token of element %d is shorter than %d characters", position, minTokenLength)
		case seen[token]:
			return OperatorToken{}, fmt.Errorf("the token of element %d is used twice", position)
		}
		seen[token] = true
		return OperatorToken{Team: document.TeamName(team), Token: Secret(token)}, nil
	})
	d.OperatorTokens = tokens
	return err
}
