package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = 10 * time.Second
	reportMaxAge      = 25 * time.Second
	maxStragglers     = 5
)

type childReport struct {
	report     message.Report
	receivedAt time.Time
}

type reportState struct {
	children map[netip.AddrPort]childReport
	sent     message.Report
	sentTo   netip.AddrPort
	sentAt   time.Time
	changed  bool
}

func (r *reportState) init() { r.children = make(map[netip.AddrPort]childReport) }

func (c *Core) receiveReport(from netip.AddrPort, m message.Report) {
	if m.Zone != c.config.Self.Zone {
		return
	}
	c.reports.children[from] = childReport{report: m, receivedAt: c.now}
}

// runReports sends the counts of this subtree to the parent when they change,
// and at least every reportInterval.
func (c *Core) runReports() {
	r := &c.reports
	if c.overlay.parent == nil || c.now.Sub(r.sentAt) < minReportInterval {
		return
	}
	to := c.overlay.parent.row.ControlAddr
	report := c.subtreeReport()
	due := c.now.Sub(r.sentAt) >= maxReportInterval || to != r.sentTo
	if !due && slices.Equal(report.Counts, r.sent.Counts) && slices.Equal(report.Stragglers, r.sent.Stragglers) {
		return
	}
	r.sent, r.sentTo, r.sentAt = report, to, c.now
	c.send(to, report)
}

// subtreeReport combines the reports of the children with the version applied
// on this host.
func (c *Core) subtreeReport() message.Report {
	counts := map[version.Number]uint32{c.versions.applied.Number(): 1}
	var stragglers []host.ID
	if c.versions.applied.Number() < c.versions.highestKnown {
		stragglers = append(stragglers, c.config.Self.ID)
	}
	for _, e := range c.overlay.children {
		child, ok := c.reports.children[e.row.ControlAddr]
		if !ok || c.now.Sub(child.receivedAt) > reportMaxAge {
			stragglers = append(stragglers, e.row.ID)
			continue
		}
		for _, n := range child.report.Counts {
			counts[n.Number] += n.Hosts
		}
		stragglers = append(stragglers, child.report.Stragglers...)
	}
	report := message.Report{Zone: c.config.Self.Zone, Stragglers: stragglers[:min(len(stragglers), maxStragglers)]}
	for _, n := range slices.Sorted(maps.Keys(counts)) {
		report.Counts = append(report.Counts, message.Count{Number: n, Hosts: counts[n]})
	}
	return report
}

// ZoneStatus is what this daemon knows about one availability zone.
type ZoneStatus struct {
	Zone           host.AvailabilityZone
	Region         host.Region
	LiveHosts      int              // live hosts in the member table
	RootCandidates []netip.AddrPort // hosts to query for the zone's counts, in order of preference
	Unreachable    bool             // as determined by a zone root
}

// Zones returns the zones of the fleet, sorted by name.
func (c *Core) Zones() []ZoneStatus {
	c.refreshOverlay()
	const roots = 3
	var zones []ZoneStatus
	for _, zone := range slices.Sorted(maps.Keys(c.overlay.preferredByZone)) {
		order := c.overlay.preferredByZone[zone]
		s := ZoneStatus{Zone: zone, Region: c.overlay.regionOf[zone], LiveHosts: len(order)}
		for _, e := range order[:min(len(order), roots)] {
			s.RootCandidates = append(s.RootCandidates, e.row.ControlAddr)
		}
		s.Unreachable = c.probes.unreachable(zone) || c.probes.group(probeGroup{region: s.Region}).unreachable
		zones = append(zones, s)
	}
	return zones
}

// SubtreeReport returns the counts of applied versions in the subtree of this
// host. At a zone root, they cover the whole zone.
func (c *Core) SubtreeReport() message.Report { return c.subtreeReport() }
