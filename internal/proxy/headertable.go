package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// treatment is what the call path does with a value that a caller or a backend server
// gives a header.
type treatment uint8

const (
	// passed values are passed on unless the sender names the header in Connection.
	passed treatment = iota
	// carried values are passed on, also if the sender names the header in Connection.
	carried
	// replaced values give way to the daemon's own, which Connection does not remove.
	// Trailers of that name are removed: receivers may merge them into the header.
	replaced
	// removed values are removed from headers and trailers.
	removed
)

// headerRule says who sets a header of the call path and what happens to the value of
// anybody else.
type headerRule struct {
	name       string
	setBy      string // who sets the header, and who reads it
	fromCaller treatment
	fromServer treatment
}

// headerRules returns the rule of every header that the call path knows. A name that the
// dialect replaces has the rules of both, because daemons use the built-in ones among
// themselves.
func (d Dialect) headerRules() []headerRule {
	rules := []headerRule{
		{HeaderCallID, "entry, for gates, servers and callers", replaced, replaced},
		{HeaderTimeoutMS, "caller for the entry, entry for the gate, gate for the server", removed, removed},
		{HeaderServer, "entry, for the gate", removed, removed},
		{HeaderQueue, "entry, for the gate", removed, removed},
		{HeaderNoticedLimit, "entry, for the gate", removed, removed},
		{HeaderRunWithin, "entry, for the gate", removed, removed},
		{HeaderKey, "entry, for the gate", removed, removed},
		{HeaderForwarded, "entry without a version, for another entry", removed, removed},
		{HeaderReason, "gate, for the entry", removed, removed},
		{HeaderLoad, "gate, for the entry", removed, removed},
		{HeaderServerUS, "gate, for the entry", removed, removed},
		{HeaderReplayed, "entry, for the caller", removed, removed},
		{HeaderNotRun, "server for the gate, and daemons for callers", removed, removed},
		// A server passes on what its own calls were told.
		{HeaderOutcome, "daemons and servers, for callers", removed, carried},
		{HeaderNoRetry, "daemons and servers, for callers", removed, carried},
		{d.organisationHeader(), "entry, for servers", replaced, passed},
		{d.limitHeader(), "server, for gate and entry", passed, carried},
		{d.leavingHeader(), "server, for gate and entry", passed, carried},
		{headerIdempotencyKey, "caller, for entry and server", carried, passed},
	}
	optional := []headerRule{
		{d.CallID, "caller, for entry and server; the server echoes it", carried, carried},
		{d.TimeoutMS, "caller for the entry, gate for the server", replaced, passed},
		{d.Server, "gate, for the server", replaced, passed},
		{d.Caller, "entry, for the server", replaced, passed},
		{d.Seal, "server, for the caller", passed, carried},
		{d.ServerLoad, "server, for the gate", passed, carried},
	}
	for _, r := range optional {
		if r.name != "" {
			rules = append(rules, r)
		}
	}
	return rules
}

// headerTable has the header rules in the form that the call path uses.
type headerTable struct{ request, response headerSet }

// headerSet has the header rules of one direction.
type headerSet struct {
	kept     []string        // not removed by Connection
	removed  []string        // besides those of a single connection
	withheld map[string]bool // names of trailers that are not passed on
}

func (d Dialect) headerTable() *headerTable {
	t := &headerTable{}
	for _, name := range slices.Concat(hopByHop, notInTrailers) {
		t.request.withhold(name)
		t.response.withhold(name)
	}
	for _, r := range d.headerRules() {
		t.request.add(r.name, r.fromCaller)
		t.response.add(r.name, r.fromServer)
	}
	return t
}

func (s *headerSet) add(name string, t treatment) {
	name = textproto.CanonicalMIMEHeaderKey(name)
	switch t {
	case passed:
	case carried:
		s.kept = append(s.kept, name)
	case replaced:
		s.kept = append(s.kept, name)
		s.withhold(name)
	case removed:
		s.removed = append(s.removed, name)
		s.withhold(name)
	}
}

func (s *headerSet) withhold(name string) {
	if s.withheld == nil {
		s.withheld = make(map[string]bool)
	}
	s.withheld[name] = true
}

// stripHopByHop removes the headers that apply to a single connection. A sender cannot
// remove those that must be kept by naming them in Connection.
func (s *headerSet) stripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !slices.Contains(s.kept, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// hopByHop lists the headers of RFC 9110 section 7.6.1, and Expect, which the
// server has already answered.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// notInTrailers lists the fields besides hopByHop that frame or route a message. A trailer
// must not have them (RFC 9110 section 6.5.1): a receiver refuses the message, or takes
// them for those of its header.
var notInTrailers = []string{"Content-Length", "Host"}
