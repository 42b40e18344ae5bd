package proxy

import (
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/organisation"
	"github.com/peridotlb/peridotlb/internal/route"
	"github.com/peridotlb/peridotlb/internal/version"
)

// usedKey identifies the key of a call, and the version in which it was valid.
type usedKey struct {
	version version.Number
	prefix  organisation.KeyPrefix
}

// text returns the value of HeaderKey.
func (k *usedKey) text() string {
	return strconv.FormatUint(uint64(k.version), 10) + "," + hex.EncodeToString(k.prefix[:])
}

// parseUsedKey parses the output of usedKey.text. Anything else yields nil.
func parseUsedKey(text string) *usedKey {
	number, prefix, _ := strings.Cut(text, ",")
	n, err := strconv.ParseUint(number, 10, 64)
	k := &usedKey{version: version.Number(n)}
	if err != nil || len(prefix) != hex.EncodedLen(len(k.prefix)) {
		return nil
	}
	if _, err := hex.Decode(k.prefix[:], []byte(prefix)); err != nil {
		return nil
	}
	return k
}

// removed reports whether a version after that of the key no longer has it. A call that
// waits for a slot can outlive its key.
func (k *usedKey) removed(table *route.Table) bool {
	return k != nil && table != nil && table.Number() > k.version && !table.Organisations().HasKey(k.prefix)
}

func keyRemovedFailure() *failure {
	return &failure{reason: reasonKeyRemoved, notRun: true, refused: true}
}

// authenticate returns the organisation of a call and its key, or nil if the call needs none: if the
// version requires no keys, or the route is public. A call without a route is not
// public.
func authenticate(table *route.Table, m route.Match, r *http.Request) (*document.Organisation, *usedKey, *failure) {
	directory := table.Organisations()
	if directory == nil || m.Route != nil && m.Route.Public {
		return nil, nil, nil
	}
	o, prefix, err := directory.Authenticate(r.Header[headerAuthorization])
	if errors.Is(err, organisation.ErrUnknownKey) && !table.Complete() {
		return nil, nil, unreadableEntryFailure()
	}
	if err != nil {
		return nil, nil, &failure{reason: reasonUnauthorised, status: http.StatusUnauthorized, notRun: true, hint: err.Error()}
	}
	return o, &usedKey{table.Number(), prefix}, nil
}

// identify sets the header that names the organisation of a call, and removes the key.
// It also applies to trailers, which backend servers may merge into the header.
func (e *entryHandler) identify(c *call, table *route.Table, customer *document.Organisation) {
	name := e.config.Dialect.organisationHeader()
	delete(c.header, name)
	directory := table.Organisations()
	if directory == nil {
		return
	}
	c.withheld = e.withheldWithKeys
	if customer != nil {
		c.header[name] = []string{string(customer.Name)}
	}
	if customer != nil || directory.HoldsKey(c.header[headerAuthorization]) {
		delete(c.header, headerAuthorization)
	}
}

// priorityOf returns the priority of a call: that of its organisation, if it has one.
func priorityOf(m route.Match, customer *document.Organisation) uint8 {
	if customer != nil && customer.Priority != nil {
		return *customer.Priority
	}
	return m.Route.Priority
}
