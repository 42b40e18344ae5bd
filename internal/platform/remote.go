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

// Config configures access to a platform that supports the DynamoDB and S3
// protocols. Environment variables and AWS configuration files are not used.
type Config struct {
	TableEndpoint  string // URL of the table service, for example "http://10.0.0.5:8000"
	ObjectEndpoint string // URL of the object store
	SigningRegion  string // region in the signatures of requests, not a region of the fleet
	AccessKey      string
	SecretKey      string
	SessionToken   string // empty with long-term credentials
	Table          string // name of the table
	Bucket         string // name of the bucket

	TableTimeout  time.Duration // one request to the table; default 2 s
	ObjectTimeout time.Duration // one request to the object store; default 10 s

	// Source is the local address of outgoing connections. If it is the zero value,
	// the operating system selects the address.
	Source netip.Addr
}

// Defaults of Config. The timeout for objects is longer, because transferring a
// 4 MiB document takes about 1.1 s on an otherwise idle 30 Mbit/s link.
const (
	defaultTableTimeout  = 2 * time.Second
	defaultObjectTimeout = 10 * time.Second
)

// maxAttempts is the maximum number of times that a read or the upload of an object
// is sent. Commits are sent once.
const maxAttempts = 3

// Token bucket that limits the retries of a client. It allows one retry until
// requests succeed again, and another one for every 14 requests that succeed on the
// first attempt. With the SDK's default, which allows 35 retries, every read during
// an outage was sent three times.
const (
	retryTokens = retryCost
	retryCost   = 14
)

// maxRetryDelay is the maximum delay between two attempts.
const maxRetryDelay = 500 * time.Millisecond

// Remote is a Service that uses the DynamoDB JSON protocol and the S3 REST protocol
// over HTTP.
type Remote struct {
	table      *dynamodb.Client
	tableName  string
	clockSkew  *clockSkewTransport
	objects    *s3.Client
	bucket     string
	transports []*http.Transport
}

var _ Service = (*Remote)(nil)

// New returns a Remote. It sends no requests, so a wrong endpoint is only detected
// when the Remote is used.
func New(c Config) (*Remote, error) {
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("platform configuration: %w", err)
	}
	provider := credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, c.SessionToken)
	tableTransport, objectTransport := newTransport(c.Source), newTransport(c.Source)
	clock := &clockSkewTransport{transport: tableTransport}
	return &Remote{
		tableName: c.Table,
		clockSkew: clock,
		bucket:    c.Bucket,
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: &c.TableEndpoint,
			Region:       c.SigningRegion,
			Credentials:  provider,
			HTTPClient:   newClient(clock, c.TableTimeout, defaultTableTimeout),
			Retryer:      newRetryer(),
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: &c.ObjectEndpoint,
			Region:       c.SigningRegion,
			Credentials:  provider,
			HTTPClient:   newClient(objectTransport, c.ObjectTimeout, defaultObjectTimeout),
			Retryer:      newRetryer(),
			UsePathStyle: true,
			// Objects are verified by their digests, so the checksums of the SDK
			// would only add headers and chunked encoding.
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
		transports: []*http.Transport{tableTransport, objectTransport},
	}, nil
}

// Close closes idle connections.
func (r *Remote) Close() {
	for _, t := range r.transports {
		t.CloseIdleConnections()
	}
}

func (c Config) validate() error {
	var errs []error
	for _, field := range []struct{ name, value string }{
		{"table endpoint", c.TableEndpoint},
		{"object endpoint", c.ObjectEndpoint},
		{"signing region", c.SigningRegion},
		{"access key", c.AccessKey},
		{"secret key", c.SecretKey},
		{"table", c.Table},
		{"bucket", c.Bucket},
	} {
		if field.value == "" {
			errs = append(errs, fmt.Errorf("%s is empty", field.name))
		}
	}
	return errors.Join(errs...)
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

func newClient(t http.RoundTripper, timeout, defaultTimeout time.Duration) *http.Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &http.Client{Transport: bufferingTransport{t}, Timeout: timeout}
}

func newRetryer() aws.Retryer {
	return retry.NewStandard(func(o *retry.StandardOptions) {
		o.MaxAttempts = maxAttempts
		o.MaxBackoff = maxRetryDelay
		o.RateLimiter = ratelimit.NewTokenRateLimit(retryTokens)
		o.RetryCost, o.ThrottlingRetryCost = retryCost, retryCost
	})
}
