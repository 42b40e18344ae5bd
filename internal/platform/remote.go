package platform

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/ratelimit"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
)

// Config locates a platform that speaks the DynamoDB and S3 protocols. Nothing
// is taken from the environment.
type Config struct {
	TableEndpoint  string // URL of the table service, for example "http://10.0.0.5:8000"
	ObjectEndpoint string // URL of the object store
	Region         string // region name used for request signing
	AccessKey      string
	SecretKey      string
	SessionToken   string // empty with long-term credentials
	Table          string // name of the table
	Bucket         string // name of the bucket

	TableTimeout  time.Duration // one request to the table; default 2 s
	ObjectTimeout time.Duration // one request to the object store; default 10 s

	// Source is the local address of outgoing connections; the zero value lets
	// the system choose.
	Source netip.Addr
}

// Defaults of Config. A 4 MiB document takes about 1.1 s on a 30 Mbit/s link
// that it has to itself, hence the longer limit for objects.
const (
	defaultTableTimeout  = 2 * time.Second
	defaultObjectTimeout = 10 * time.Second
)

// readAttempts is the number of times a read, or the storing of an object, is
// sent before its error is returned. Commits are sent once.
const maxReadAttempts = 3

// Retries of a client, out of a bucket of tokens: one until requests succeed
// again, and one more for every 14 requests that succeed at once. With the
// default of 35, every read of an outage was sent three times.
const (
	retryTokens = retryCost
	retryCost   = 14
)

// maxRetryDelay is the upper bound of the delay between two attempts.
const maxRetryDelay = 500 * time.Millisecond

// Remote is a Service behind the DynamoDB HTTP JSON protocol and the S3 REST
// protocol.
type Remote struct {
	table      *dynamodb.Client
	tableName  string
	clockSkew  *clockSkewTransport
	objects    *s3.Client
	bucket     string
	transports []*http.Transport
}

var _ Service = (*Remote)(nil)

// New returns a Remote. It sends nothing; a wrong endpoint shows at first use.
func New(c Config) (*Remote, error) {
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("platform configuration: %w", err)
	}
	keys := credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, c.SessionToken)
	tables, objects := newTransport(c.Source), newTransport(c.Source)
	clock := &clockSkewTransport{transport: tables}
	return &Remote{
		tableName: c.Table,
		clockSkew: clock,
		bucket:    c.Bucket,
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: &c.TableEndpoint,
			Region:       c.Region,
			Credentials:  keys,
			HTTPClient:   newClient(clock, c.TableTimeout, defaultTableTimeout),
			Retryer:      newRetryer(),
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: &c.ObjectEndpoint,
			Region:       c.Region,
			Credentials:  keys,
			HTTPClient:   newClient(objects, c.ObjectTimeout, defaultObjectTimeout),
			Retryer:      newRetryer(),
			UsePathStyle: true,
			// Objects are verified by their digest, so that the additional
			// checksums of the SDK would only add headers and chunked encoding.
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
		transports: []*http.Transport{tables, objects},
	}, nil
}

// Close closes the idle connections.
func (r *Remote) Close() {
	for _, t := range r.transports {
		t.CloseIdleConnections()
	}
}

func (c Config) validate() error {
	var faults []error
	for _, field := range []struct{ name, value string }{
		{"table endpoint", c.TableEndpoint},
		{"object endpoint", c.ObjectEndpoint},
		{"region", c.Region},
		{"access key", c.AccessKey},
		{"secret key", c.SecretKey},
		{"table", c.Table},
		{"bucket", c.Bucket},
	} {
		if field.value == "" {
			faults = append(faults, fmt.Errorf("%s is empty", field.name))
		}
	}
	return errors.Join(faults...)
}

func newTransport(source netip.Addr) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	if source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: time.Second,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     90 * time.Second,
	}
}

func newClient(t http.RoundTripper, timeout, fallback time.Duration) *http.Client {
	if timeout <= 0 {
		timeout = fallback
	}
	return &http.Client{Transport: t, Timeout: timeout}
}

func newRetryer() aws.Retryer {
	return retry.NewStandard(func(o *retry.StandardOptions) {
		o.MaxAttempts = maxReadAttempts
		o.MaxBackoff = maxRetryDelay
		o.RateLimiter = ratelimit.NewTokenRateLimit(retryTokens)
		o.RetryCost, o.ThrottlingRetryCost = retryCost, retryCost
	})
}
