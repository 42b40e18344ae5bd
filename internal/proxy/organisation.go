package proxy

import (
	"errors"
	"net/http"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/organisation"
	"github.com/peridotlb/peridotlb/internal/route"
)

// authenticate returns the organisation of a call, or nil if the call needs none: if the
// version requires no keys, or the route is public. A call without a route is not
// public.
func authenticate(table *route.Table, m route.Match, r *http.Request) (*document.Organisation, *failure) {
	directory := table.Organisations()
	if directory == nil || m.Route != nil && m.Route.Public {
		return nil, nil
	}
	o, err := directory.Authenticate(r.Header[headerAuthorization])
	if errors.Is(err, organisation.ErrUnknownKey) && !table.Complete() {
		return nil, unreadableEntryFailure()
	}
	if err != nil {
		return nil, &failure{reason: reasonUnauthorised, status: http.StatusUnauthorized, notRun: true, hint: err.Error()}
	}
	return o, nil
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
