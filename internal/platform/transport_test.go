package platform

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// slowWriteConn is a connection whose writes return some time after the peer got the
// bytes, as on a busy host.
type slowWriteConn struct{ net.Conn }

func (c slowWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(50 * time.Millisecond)
	return n, err
}

// Guards against losing a response because the client library closes the body of its
// request when the header of the response arrives, which the transport takes for a failed
// write.
func TestResponseBeforeWriteReturns(t *testing.T) {
	const row = `{"Responses":{"t":[]},"UnprocessedKeys":{}}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, row[:10])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(200 * time.Millisecond) // until the write has returned
		_, _ = io.WriteString(w, row[10:])
	}))
	defer server.Close()
	r, err := New(Config{TableEndpoint: server.URL, ObjectEndpoint: server.URL, SigningRegion: "r", AccessKey: "a", SecretKey: "s", Table: "t", Bucket: "b"})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for _, transport := range r.transports {
		transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, addr)
			return slowWriteConn{c}, err
		}
	}
	if _, err := r.Get(t.Context(), "head"); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}
