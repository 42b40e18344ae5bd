package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/document"
)

// call is a request that passes through a daemon.
type call struct {
	id            string
	method        string
	requestTarget string // path and query as received
	host          string
	header        http.Header     // end-to-end headers
	withheld      map[string]bool // names of trailers that are not passed on
	body          *body
	deadline      time.Time
	route         document.RouteName // for statistics; "" if it is unknown or not needed
	key           *usedKey           // nil if the call needs none
}

// newCall copies the headers and the target of a request. The body is read later.
func (t *headerTable) newCall(r *http.Request, id string, deadline time.Time) *call {
	c := &call{id: id, method: r.Method, requestTarget: requestTarget(r), host: r.Host, deadline: deadline}
	c.header = maps.Clone(r.Header)
	t.request.stripHopByHop(c.header)
	for _, name := range t.request.removed {
		delete(c.header, name)
	}
	c.withheld = t.request.withheld
	c.header[HeaderCallID] = []string{id}
	return c
}

// requestTarget returns the path and query as they were received. A target in
// absolute form is converted to origin form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") || r.RequestURI == "*" {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// routePath returns the path by which a call is routed. An encoded slash stays encoded: it is
// a part of a segment for the server, which gets the path as it was received, and must not
// lead to a route of a longer prefix.
func routePath(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	text := encodedSlash.ReplaceAllString(u.RawPath, "%25$1")
	if path, err := url.PathUnescape(text); err == nil {
		return path
	}
	return u.Path
}

var encodedSlash = regexp.MustCompile(`%(2[fF]|5[cC])`)

// buildMessage returns the request for one attempt, with additional header fields.
func (c *call) buildMessage(fields ...connection.Field) *connection.Message {
	m := &connection.Message{Method: c.method, Target: c.requestTarget, Authority: c.host, Header: c.header, Fields: fields}
	c.body.attach(m)
	m.Withheld = c.withheld
	return m
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}

// callIDGenerator generates ids that are unique across daemons. They consist of a
// random prefix for the process and a counter.
type callIDGenerator struct {
	prefix string
	next   atomic.Uint64
}

func newCallIDGenerator() *callIDGenerator {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return &callIDGenerator{prefix: hex.EncodeToString(b[:]) + "-"}
}

func (c *callIDGenerator) id() string { return c.prefix + strconv.FormatUint(c.next.Add(1), 16) }
