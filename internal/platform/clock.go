package platform

import (
	"net/http"
	"sync/atomic"
	"time"
)

// toleratedSkew is the difference of clocks that is not corrected. The date of a
// response has whole seconds and is some time old.
const maxIgnoredSkew = time.Minute

// serviceClock compares the clock of this host with that of the table service,
// which removes expired rows. A row that expires by a clock that is behind would
// be removed early, at worst as soon as it is written. A clock that is ahead
// only keeps rows longer.
type clockSkewTransport struct {
	transport http.RoundTripper
	lag       atomic.Int64 // seconds by which this host is behind, or zero
}

// RoundTrip implements http.RoundTripper.
func (c *clockSkewTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if date, err := http.ParseTime(response.Header.Get("Date")); err == nil {
		behind := time.Until(date)
		if behind < maxIgnoredSkew {
			behind = 0
		}
		c.lag.Store(int64(behind.Seconds()))
	}
	return response, nil
}

// expiry converts an expiry by the clock of this host to that of the service.
func (c *clockSkewTransport) adjustExpiry(e Expiry) Expiry { return e + Expiry(c.lag.Load()) }
