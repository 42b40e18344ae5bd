package timeline

import (
	"bytes"
	"cmp"
	"fmt"
	"html"
	"slices"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// phase is a kind of event in a rollout, with its mark in the picture. The colours
// are distinguishable with colour vision deficiencies, and the shapes differ too.
type phase struct {
	kind, label, colour string
	shape               string // SVG path around the origin, within 5 units
}

// phases lists the phases in the order in which a host goes through them.
var phases = []phase{
	{"accepted", "accepted", "#D55E00", "M0-6L6 0L0 6L-6 0Z"},
	{"version-loaded", "loaded from the object store", "#0072B2", "M-4.5-2.5H4.5V2.5H-4.5Z"},
	{"version-fetched", "fetched from a peer", "#56B4E9", "M-4 0A4 4 0 1 1 4 0A4 4 0 1 1-4 0Z"},
	{"version-applied", "applied", "#009E73", "M0-5.5L5.5 4.5H-5.5Z"},
}

func findPhase(kind string) (phase, bool) {
	i := slices.IndexFunc(phases, func(p phase) bool { return p.kind == kind })
	if i < 0 {
		return phase{}, false
	}
	return phases[i], true
}

// Sizes in pixels.
const (
	plotWidth        = 720
	topMargin        = 72 // for the title and the legend
	zoneHeaderHeight = 24 // for the name of the zone, above its hosts
	rowHeight        = 16
	axisHeight       = 44
	rightMargin      = 30
	charWidth        = 7 // upper bound of the width of a character in the font size 11
)

type mark struct {
	phase   phase
	elapsed time.Duration // time since the first event
	event   api.Event
}

type row struct {
	host  string
	marks []mark
}

type zone struct {
	region, name string
	rows         []row
	lastApplied  time.Duration // time until the last host applied the version
	appliedHosts int           // number of hosts that applied the version
}

// rollout is the data that a picture shows.
type rollout struct {
	version    uint64
	start      time.Time
	duration   time.Duration // time from the first to the last event of any phase
	zones      []zone
	unanswered []string
}

// RenderRollout returns an SVG picture of the rollout of a version. The vertical
// axis has the hosts by zone, and the horizontal axis the time since the first
// event.
func RenderRollout(version uint64, timeline *api.Timeline) ([]byte, error) {
	r := collectRollout(version, timeline)
	if len(r.zones) == 0 {
		return nil, command.Error{Code: command.ExitRefused, Text: fmt.Sprintf("there are no events of the rollout of version %d", version), Hint: "daemons keep a limited number of events; choose a newer version, see peridotlb document history"}
	}
	return r.render(), nil
}

// collectRollout groups the events of a rollout by zone and host. Only the first
// event of a phase counts for a host, because a host fetches the version again
// after a restart.
func collectRollout(version uint64, timeline *api.Timeline) rollout {
	r := rollout{version: version, unanswered: timeline.Unanswered}
	type hostKey struct{ region, zone, host string }
	rows := map[hostKey][]mark{}
	for _, e := range timeline.Events {
		p, ok := findPhase(e.Kind)
		key := hostKey{e.Region.Or(""), e.Zone, e.Host}
		if !ok || e.Version.Or(0) != version || slices.ContainsFunc(rows[key], func(m mark) bool { return m.phase == p }) {
			continue
		}
		if r.start.IsZero() || e.Time.Before(r.start) {
			r.start = e.Time
		}
		rows[key] = append(rows[key], mark{phase: p, event: e})
	}
	zones := map[[2]string]*zone{}
	for key, marks := range rows {
		zoneKey := [2]string{key.region, key.zone}
		if zones[zoneKey] == nil {
			zones[zoneKey] = &zone{region: key.region, name: key.zone}
		}
		z := zones[zoneKey]
		for i := range marks {
			marks[i].elapsed = marks[i].event.Time.Sub(r.start)
			r.duration = max(r.duration, marks[i].elapsed)
			if marks[i].phase.kind == "version-applied" {
				z.lastApplied = max(z.lastApplied, marks[i].elapsed)
				z.appliedHosts++
			}
		}
		z.rows = append(z.rows, row{host: key.host, marks: marks})
	}
	for _, z := range zones {
		slices.SortFunc(z.rows, func(a, b row) int { return cmp.Compare(a.host, b.host) })
		r.zones = append(r.zones, *z)
	}
	slices.SortFunc(r.zones, func(a, b zone) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.name, b.name))
	})
	return r
}

// canvas collects SVG elements.
type canvas struct {
	bytes.Buffer
	plotLeft int           // left edge of the plot
	tickStep time.Duration // time between two ticks of the axis
	axisEnd  time.Duration // time at the end of the axis
}

func (c *canvas) xPosition(at time.Duration) float64 {
	return float64(c.plotLeft) + plotWidth*float64(at)/float64(c.axisEnd)
}

func (c *canvas) drawText(x float64, y int, class, s string) {
	fmt.Fprintf(c, "<text x=\"%.1f\" y=\"%d\" class=\"%s\">%s</text>\n", x, y, class, html.EscapeString(s))
}

func (c *canvas) drawLine(class string, x1 float64, y1 int, x2 float64, y2 int) {
	fmt.Fprintf(c, "<line class=\"%s\" x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\"/>\n", class, x1, y1, x2, y2)
}

func (c *canvas) drawMark(p phase, x float64, y int, title string) {
	fmt.Fprintf(c, "<path class=\"%s\" fill=\"%s\" stroke=\"#ffffff\" transform=\"translate(%.1f %d)\" d=\"%s\">", p.kind, p.colour, x, y, p.shape)
	if title != "" {
		fmt.Fprintf(c, "<title>%s</title>", html.EscapeString(title))
	}
	c.WriteString("</path>\n")
}

func (r rollout) render() []byte {
	c := &canvas{plotLeft: 60}
	hosts, applied := 0, 0
	for _, z := range r.zones {
		hosts += len(z.rows)
		applied += z.appliedHosts
		for _, row := range z.rows {
			c.plotLeft = max(c.plotLeft, len(row.host)*charWidth+24)
		}
	}
	c.tickStep, c.axisEnd = axisTicks(r.duration)
	bottom := topMargin + len(r.zones)*zoneHeaderHeight + hosts*rowHeight
	height := bottom + axisHeight
	if len(r.unanswered) > 0 {
		height += rowHeight
	}
	width := c.plotLeft + plotWidth + rightMargin
	fmt.Fprintf(c, `<svg xmlns="http://www.w3.org/2000/svg" width="%[1]d" height="%[2]d" viewBox="0 0 %[1]d %[2]d" font-family="sans-serif" font-size="11">
<style>text{fill:#222222}.title{font-size:15px;font-weight:bold}.zone{font-weight:bold}.host,.done{text-anchor:end}.tick{text-anchor:middle}.grid{stroke:#dddddd}.row{stroke:#eeeeee}.last{stroke:#009E73;stroke-dasharray:3 2}</style>
<rect width="%[1]d" height="%[2]d" fill="#ffffff"/>
`, width, height)
	r.drawHeading(c, hosts, applied)
	c.drawAxis(bottom)
	y := topMargin
	for _, z := range r.zones {
		y = z.draw(c, y)
	}
	if len(r.unanswered) > 0 {
		c.drawText(12, height-8, "note", "Events are missing from hosts that did not answer: "+joinLimited(r.unanswered))
	}
	c.WriteString("</svg>\n")
	return c.Bytes()
}

// joinLimited lists the first names and the number of the others.
func joinLimited(names []string) string {
	const limit = 8
	if len(names) <= limit {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:limit], ", "), len(names)-limit)
}

func (r rollout) drawHeading(c *canvas, hosts, applied int) {
	c.drawText(12, 24, "title", fmt.Sprintf("Rollout of version %d: applied on %d of %d hosts with events; last event after %s", r.version, applied, hosts, formatDuration(r.duration)))
	c.drawText(12, 42, "note", "Time since the first event, "+r.start.UTC().Format("2006-01-02 15:04:05.000")+" UTC")
	x := float64(c.plotLeft)
	for _, p := range phases {
		if r.hasPhase(p) {
			c.drawMark(p, x, 58, "")
			c.drawText(x+10, 62, "legend", p.label)
			x += float64(len(p.label)*charWidth) + 30
		}
	}
}

// hasPhase reports whether any host went through the phase.
func (r rollout) hasPhase(p phase) bool {
	return slices.ContainsFunc(r.zones, func(z zone) bool {
		return slices.ContainsFunc(z.rows, func(row row) bool {
			return slices.ContainsFunc(row.marks, func(m mark) bool { return m.phase == p })
		})
	})
}

func (c *canvas) drawAxis(bottom int) {
	for at := time.Duration(0); at <= c.axisEnd; at += c.tickStep {
		c.drawLine("grid", c.xPosition(at), topMargin, c.xPosition(at), bottom)
		c.drawText(c.xPosition(at), bottom+16, "tick", formatDuration(at))
	}
}

// draw draws a zone below y and returns the y coordinate of its end.
func (z zone) draw(c *canvas, y int) int {
	name := z.name
	if z.region != "" {
		name += " (region " + z.region + ")"
	}
	c.drawText(12, y+16, "zone", name)
	summary := fmt.Sprintf("applied on %d of %d hosts with events", z.appliedHosts, len(z.rows))
	if z.appliedHosts > 0 {
		summary += ", last applied after " + formatDuration(z.lastApplied)
	}
	c.drawText(float64(c.plotLeft+plotWidth), y+16, "done", summary)
	top := y + zoneHeaderHeight
	for i, row := range z.rows {
		middle := top + i*rowHeight + rowHeight/2
		c.drawLine("row", float64(c.plotLeft), middle, float64(c.plotLeft+plotWidth), middle)
		c.drawText(float64(c.plotLeft-12), middle+4, "host", row.host)
	}
	end := top + len(z.rows)*rowHeight
	if z.appliedHosts > 0 {
		c.drawLine("last", c.xPosition(z.lastApplied), top, c.xPosition(z.lastApplied), end)
	}
	for i, row := range z.rows {
		// Later phases are drawn first, so that the rarer early ones stay visible.
		slices.SortFunc(row.marks, func(a, b mark) int {
			return slices.Index(phases, b.phase) - slices.Index(phases, a.phase)
		})
		for _, m := range row.marks {
			title := fmt.Sprintf("%s: %s after %s", row.host, m.phase.label, formatDuration(m.elapsed))
			if detail := m.event.Detail.Or(""); detail != "" {
				title += ": " + detail
			}
			c.drawMark(m.phase, c.xPosition(m.elapsed), top+i*rowHeight+rowHeight/2, title)
		}
	}
	return end
}

// axisTicks returns the time between ticks and the end of the axis. The step is 1,
// 2 or 5 times a power of ten, and at most ten steps cover the duration.
func axisTicks(duration time.Duration) (step, end time.Duration) {
	duration = max(duration, time.Millisecond)
	for power := 100 * time.Microsecond; ; power *= 10 {
		for _, factor := range []time.Duration{1, 2, 5} {
			step = power * factor
			if duration <= 10*step {
				return step, (duration + step - 1) / step * step
			}
		}
	}
}

// formatDuration formats a duration in ms, or in s from one second.
func formatDuration(d time.Duration) string {
	if d < time.Second {
		return fmt.Sprintf("%.4g ms", float64(d)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%.4g s", d.Seconds())
}
