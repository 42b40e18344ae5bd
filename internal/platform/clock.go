package platform

import (
	"net/http"
	"sync/atomic"
	"time"
)

// maxIgnoredSkew is the clock skew below which expiries are not adjusted. The Date
// header of a response has a resolution of one second and is slightly outdated when
// it arrives.
const maxIgnoredSkew = time.Minute

// clockSkewTransport is an HTTP transport that measures how far the clock of this
// host is behind that of the table service, which removes expired rows. If the
// local clock is behind, rows would be removed too early, in the worst case as soon
// as they are written. If it is ahead, rows are only kept longer, which is not
// corrected.
type clockSkewTransport struct {
	transport http.RoundTripper
	lag       atomic.Int64 // seconds by which the local clock is behind, or zero
}

// RoundTrip implements http.RoundTripper.
func (c *clockSkewTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		lag := time.Until(date)
		if lag < maxIgnoredSkew {
			lag = 0
		}
		c.lag.Store(int64(lag.Seconds()))
	}
	return response, nil
}

// adjustExpiry converts an expiry from the clock of this host to that of the table
// service.
func (c *clockSkewTransport) adjustExpiry(e Expiry) Expiry { return e + Expiry(c.lag.Load()) }
