package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// envPrefix is the prefix of the environment variables of the connection settings.
const envPrefix = "PERIDOTLB"

// dialTimeout limits one connection attempt, so that the next address is tried
// while the operator is waiting. It is far longer than the delay between regions.
const dialTimeout = 2 * time.Second

// requestTimeout limits one request. A daemon answers a submission within 10 s.
const requestTimeout = 20 * time.Second

// Connection holds the settings for the connection to the operator API.
type Connection struct {
	Addresses string
	Token     string
	CAFile    string
}

// RegisterFlags defines the flags of the connection and sets them from environment
// variables. Flags that are parsed later take precedence. No other flags are set
// from the environment.
func (c *Connection) RegisterFlags(fs *flag.FlagSet) {
	define := func(fs *flag.FlagSet) {
		fs.StringVar(&c.Addresses, "operator-address", "127.0.0.1:7405", "`IP:port,...` of operator APIs; the next is tried when one does not answer; environment "+envPrefix+"_OPERATOR_ADDRESS")
		fs.StringVar(&c.Token, "token", "", "bearer token; other users of this machine can see the flag, but not the environment variable "+envPrefix+"_TOKEN")
		fs.StringVar(&c.CAFile, "ca-file", "", "CA certificates, `path` of a PEM file; turns TLS on; environment "+envPrefix+"_CA_FILE")
	}
	define(fs)
	env := NewFlagSet("environment")
	define(env)
	// This cannot fail: there are no arguments, and string flags accept every value.
	_ = ff.Parse(env, nil, ff.WithEnvVarPrefix(envPrefix))
}

// NewClient returns a client of the operator API. It does not connect before the
// first request.
func (c *Connection) NewClient() (*api.Client, error) {
	t, err := c.newFailoverClient()
	if err != nil {
		return nil, err
	}
	scheme := "http"
	if c.CAFile != "" {
		scheme = "https"
	}
	return api.NewClient(scheme+"://"+t.addresses[0], bearerToken(c.Token), api.WithClient(t))
}

func (c *Connection) newFailoverClient() (*failoverClient, error) {
	f := &failoverClient{}
	for part := range strings.SplitSeq(c.Addresses, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil || a.Port() == 0 {
			return nil, UsageError("--operator-address: %q is not a numeric IP and port, for example 127.0.0.1:7405", part)
		}
		if c.CAFile == "" && !a.Addr().IsLoopback() {
			return nil, UsageError("--operator-address: the token would be sent in the clear to %s; set --ca-file to use TLS", a)
		}
		f.addresses = append(f.addresses, a.String())
	}
	if c.Token == "" {
		return nil, UsageError("--token is missing; set it or %s_TOKEN", envPrefix)
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSHandshakeTimeout: dialTimeout}
	if c.CAFile != "" {
		var err error
		if transport.TLSClientConfig, err = newTLSConfig(c.CAFile); err != nil {
			return nil, err
		}
	}
	f.client = &http.Client{Transport: transport, Timeout: requestTimeout}
	return f, nil
}

// newTLSConfig returns a configuration that accepts the certificate of every
// daemon of the fleet. An address may lead to any daemon, and the certificates
// contain no IP addresses.
func newTLSConfig(file string) (*tls.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, UsageError("--ca-file: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, UsageError("--ca-file: %s holds no PEM certificate", file)
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead
		VerifyConnection: func(s tls.ConnectionState) error {
			options := x509.VerifyOptions{DNSName: link.PeerName, Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
			for _, c := range s.PeerCertificates[1:] {
				options.Intermediates.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(options)
			return err
		},
	}, nil
}

type bearerToken string

// Bearer implements api.SecuritySource.
func (b bearerToken) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(b)}, nil
}

// UnreachableError means that no address answered.
type UnreachableError struct {
	RequestSent bool // whether a daemon may have received a request, although no response arrived
	// TimedOut lists the addresses that received the request, but did not answer
	// before the timeout or the interruption of the tool.
	TimedOut []string
	Err      error // failures of the other addresses
}

// Error names the addresses that received the request without answering. If there
// are none, it lists the failure of each address.
func (e *UnreachableError) Error() string {
	if len(e.TimedOut) == 0 {
		return "no daemon answered: " + e.Err.Error()
	}
	text := strings.Join(e.TimedOut, ", ") + " got the request, but did not answer in time; the platform or the daemon may be slow or down"
	if e.Err != nil {
		text += "; " + e.Err.Error()
	}
	return text
}

// Unwrap returns the failures of the other addresses.
func (e *UnreachableError) Unwrap() error { return e.Err }

// failoverClient sends requests to the address that answered last, and if it does
// not answer, to the others in order. Sending a request again is safe: reads change
// nothing, and submissions have an id.
type failoverClient struct {
	addresses []string
	client    *http.Client
	preferred atomic.Uint32
}

// Do implements the HTTP client that the generated API client uses.
func (f *failoverClient) Do(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, fmt.Errorf("read request: %w", err)
		}
		_ = r.Body.Close()
	}
	unreachable := &UnreachableError{}
	start := int(f.preferred.Load())
	for i := range f.addresses {
		n := (start + i) % len(f.addresses)
		var sent atomic.Bool
		trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
		attempt := r.Clone(httptrace.WithClientTrace(r.Context(), trace))
		attempt.URL.Host, attempt.Host = f.addresses[n], ""
		attempt.Body, attempt.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		if len(body) == 0 {
			attempt.Body = http.NoBody
		}
		resp, err := f.client.Do(attempt)
		if err == nil {
			f.preferred.Store(uint32(n))
			return resp, nil
		}
		unreachable.RequestSent = unreachable.RequestSent || sent.Load()
		var netErr net.Error
		if sent.Load() && (errors.Is(err, context.Canceled) || errors.As(err, &netErr) && netErr.Timeout()) {
			unreachable.TimedOut = append(unreachable.TimedOut, f.addresses[n])
		} else {
			unreachable.Err = errors.Join(unreachable.Err, fmt.Errorf("%s: %w", f.addresses[n], errors.Unwrap(err)))
		}
		if r.Context().Err() != nil {
			break
		}
	}
	return nil, unreachable
}

// ErrorFromAPI converts an error of the API client into one with an exit code.
func ErrorFromAPI(err error) error {
	var failed *api.FailedStatusCode
	var unreachable *UnreachableError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failed) && failed.StatusCode < 500:
		return Error{Code: ExitRefused, Text: failed.Response.Error, Hint: failed.Response.Hint}
	case errors.As(err, &failed):
		return Error{Code: ExitUnreachable, Text: failed.Response.Error, Hint: failed.Response.Hint}
	case errors.As(err, &unreachable) && len(unreachable.TimedOut) > 0:
		return Error{Code: ExitUnreachable, Text: unreachable.Error(), Hint: "try again, with a longer --timeout if there is one, or with addresses of other daemons"}
	case errors.As(err, &unreachable):
		return Error{Code: ExitUnreachable, Text: unreachable.Error(), Hint: "check --operator-address, or add addresses of other daemons"}
	default:
		return Error{Code: ExitUnreachable, Text: err.Error(), Hint: "the response is not from the operator API; check --operator-address"}
	}
}
