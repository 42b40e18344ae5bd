package proxy

import (
	"net/http"
	"net/url"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/rollout"
)

// beginTracked counts a call to a server whose service has a roll-out. It returns false
// if the roll-out permits no calls to the server.
func (g *gateHandler) beginTracked(c *call, permit *gate.Permit) (*rollout.TrackedCall, bool) {
	t := g.config.Rollouts
	if t == nil {
		return nil, true
	}
	return t.Begin(g.config.Now(), permit.Server(), func() document.RouteName { return g.routeOf(c) })
}

// routeOf returns the route of a call, or "" if this daemon does not know it.
func (g *gateHandler) routeOf(c *call) document.RouteName {
	table := g.config.Routes()
	u, err := url.ParseRequestURI(c.requestTarget)
	if table == nil || err != nil {
		return ""
	}
	m, ok := table.Match(c.method, c.host, routePath(u))
	if !ok {
		return ""
	}
	return m.Route.Name
}

// endTracked records the end of a call. Responses with a status of server errors are
// failures; a connection that breaks off is not, since a server that is stopped breaks
// off those of its calls too.
func (g *gateHandler) endTracked(t *rollout.TrackedCall, r gateResult) {
	t.End(g.config.Now(), r.reply != nil && r.reply.status >= http.StatusInternalServerError)
}
