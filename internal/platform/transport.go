package platform

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// bufferingTransport sends requests with a copy of their bodies. The client libraries
// close the body of a request as soon as the header of the response has arrived. The
// transport may still be about to look for the end of the body then, takes the closed body
// for a failed write, and closes the connection while the response is read.
type bufferingTransport struct{ transport http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b bufferingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return b.transport.RoundTrip(r)
	}
	data, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, fmt.Errorf("read the body of the request: %w", err)
	}
	buffered := r.WithContext(r.Context())
	buffered.Body = io.NopCloser(bytes.NewReader(data))
	return b.transport.RoundTrip(buffered)
}
