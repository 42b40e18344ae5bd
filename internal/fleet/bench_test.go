package fleet

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Size of the target fleet.
const (
	benchZones        = 14
	benchSections     = 57
	benchSectionBytes = 20000
)

// benchCore is a core whose tables hold a whole fleet. The other hosts answer
// its probes between the timed steps, so that none becomes suspect.
type benchCore struct {
	*Core
	now   time.Time
	hosts []host.Row
}

// newBench returns the core of an ordinary host of the first zone, or of the
// root of its region. That root has the most probe targets and neighbors.
func newBench(hosts int, root bool) *benchCore {
	b := &benchCore{now: time.Unix(1_800_000_000, 0)}
	news := message.RowUpdate{}
	for i := range hosts {
		zone := i % benchZones
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone + 1), byte(i >> 8), byte(i)}), 7401)
		row := host.Row{
			ID: host.ID(fmt.Sprintf("host-%d", i)), Zone: host.AvailabilityZone(fmt.Sprintf("zone-%d", zone)),
			Region:      host.Region(fmt.Sprintf("region-%d", zone/(benchZones/2))),
			ControlAddr: addr, GateAddr: netip.AddrPortFrom(addr.Addr(), 7402),
			Stamp: host.Stamp{Incarnation: host.Incarnation(b.now.UnixMilli() - 1000)},
		}
		b.hosts = append(b.hosts, row)
		news.Hosts = append(news.Hosts, row)
		news.Servers = append(news.Servers, backend.Server{
			ID: backend.ServerID("server-" + row.ID), Service: "bead-stock", Host: row.ID, Addr: row.GateAddr,
			State: backend.Ready, Stamp: row.Stamp,
		})
	}
	for _, self := range b.hosts {
		b.Core = New(Config{Self: self, Started: b.now, Peers: []netip.AddrPort{b.hosts[1].ControlAddr}, Seed: 1})
		b.stepNow(Tick{})
		b.stepNow(ReadHeadResult{})
		b.stepNow(MessageReceived{From: b.hosts[1].ControlAddr, Message: message.JoinAnswer{Rows: news}})
		if b.isRegionRoot() == root && b.overlay.isZoneRoot() == root {
			break
		}
	}
	for range 300 {
		b.answerEffects(b.tick())
	}
	return b
}

func (b *benchCore) stepNow(e Event) []Effect { return b.Step(b.now, e) }

func (b *benchCore) tick() []Effect {
	b.now = b.now.Add(tickInterval)
	return b.stepNow(Tick{})
}

// answerEffects answers probes and reads of the head row.
func (b *benchCore) answerEffects(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ReadHead:
			b.stepNow(ReadHeadResult{})
		case SendMessage:
			if p, ok := e.Message.(message.Probe); ok {
				b.stepNow(MessageReceived{From: e.To, Message: message.ProbeAnswer{Nonce: p.Nonce, Summary: b.stateSummary()}})
			}
		}
	}
}

// answerUntimed answers effects while the benchmark timer is stopped.
func (b *benchCore) answerUntimed(t *testing.B, effects []Effect) {
	if len(effects) > 0 {
		t.StopTimer()
		b.answerEffects(effects)
		t.StartTimer()
	}
}

// BenchmarkCore measures the decision logic alone, without encoding, encryption
// and sockets.
func BenchmarkCore(b *testing.B) {
	for _, hosts := range []int{150, 600, 1200} {
		for _, root := range []bool{false, true} {
			role := map[bool]string{false: "member", true: "region-root"}[root]
			b.Run(fmt.Sprintf("tick/role=%s/hosts=%d", role, hosts), func(b *testing.B) { benchTick(b, newBench(hosts, root)) })
			b.Run(fmt.Sprintf("probe/role=%s/hosts=%d", role, hosts), func(b *testing.B) { benchProbe(b, newBench(hosts, root)) })
			b.Run(fmt.Sprintf("row/role=%s/hosts=%d", role, hosts), func(b *testing.B) { benchRowUpdate(b, newBench(hosts, root)) })
			b.Run(fmt.Sprintf("restart/role=%s/hosts=%d", role, hosts), func(b *testing.B) { benchRestart(b, newBench(hosts, root)) })
		}
		b.Run(fmt.Sprintf("version/role=member/hosts=%d", hosts), func(b *testing.B) { benchVersion(b, newBench(hosts, false)) })
		b.Run(fmt.Sprintf("tables/role=member/hosts=%d", hosts), func(b *testing.B) { benchMemory(b, hosts) })
	}
}

func benchTick(b *testing.B, c *benchCore) {
	b.ReportAllocs()
	for b.Loop() {
		c.answerUntimed(b, c.tick())
	}
}

func benchProbe(b *testing.B, c *benchCore) {
	from := c.overlay.predecessor.row
	b.ReportAllocs()
	for b.Loop() {
		c.stepNow(MessageReceived{From: from.ControlAddr, Message: message.Probe{Nonce: 1, RowStamp: from.Stamp, Summary: c.stateSummary()}})
	}
}

// benchRowUpdate merges one changed row of another host. Each update falls into
// its own flush interval, so that forwarding it to the neighbors is measured
// too.
func benchRowUpdate(b *testing.B, c *benchCore) {
	row := c.overlay.predecessor.row
	from := row.ControlAddr
	b.ReportAllocs()
	for b.Loop() {
		row.Stamp.Sequence++
		c.now = c.now.Add(updateFlushInterval)
		c.answerUntimed(b, c.stepNow(MessageReceived{From: from, Message: message.RowUpdate{Hosts: []host.Row{row}}}))
	}
}

// benchRestart merges a row that removes another host from the overlay, or adds
// it again.
func benchRestart(b *testing.B, c *benchCore) {
	from := c.overlay.predecessor.row.ControlAddr
	row := c.overlay.predecessor.row
	for _, h := range c.Hosts() {
		if h.Zone == row.Zone && h.ID != row.ID && h.ID != c.config.Self.ID {
			row = h
			break
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		row.Stamp.Sequence++
		row.State = host.Left - row.State // Alive is zero
		c.now = c.now.Add(updateFlushInterval)
		c.answerUntimed(b, c.stepNow(MessageReceived{From: from, Message: message.RowUpdate{Hosts: []host.Row{row}}}))
	}
}

// benchVersion receives a version with one changed section.
func benchVersion(b *testing.B, c *benchCore) {
	doc := benchDocument()
	from := c.overlay.predecessor.row.ControlAddr
	next := func(n version.Number) message.Delta {
		section := &doc.Sections[int(n)%len(doc.Sections)]
		section.Services = []document.Service{section.Services[0]}
		section.Services[0].Slots = uint16(n%1000 + 1)
		s, err := version.New(n, version.SubmissionID(fmt.Sprint("s", n)), c.now.UnixMilli(), doc)
		if err != nil {
			b.Fatalf("make version %d: %v", n, err)
		}
		return c.delta(s, n-1)
	}
	n := version.Number(1)
	c.stepNow(MessageReceived{From: from, Message: next(n)})
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		n++
		d := next(n)
		b.StartTimer()
		c.stepNow(MessageReceived{From: from, Message: d})
		if got := c.AppliedSnapshot().Number(); got != n {
			b.Fatalf("got version %d, want %d", got, n)
		}
	}
}

// benchDocument returns a document of the target size.
func benchDocument() document.Document {
	var doc document.Document
	for i := range benchSections {
		s := document.Section{
			Name: document.SectionName(fmt.Sprintf("section-%02d", i)), Team: "stock-team",
			Services: []document.Service{{Name: backend.ServiceName(fmt.Sprintf("service-%02d", i)), Slots: 9, Connections: 130}},
		}
		for j, size := 0, 0; size < benchSectionBytes; j++ {
			r := document.Route{
				Name:       document.RouteName(fmt.Sprintf("route-%02d-%d", i, j)),
				PathPrefix: fmt.Sprintf("/s%02d/%d/%s", i, j, strings.Repeat("x", 40)), Methods: []string{"GET"},
				Service: s.Services[0].Name, Timeout: 2 * time.Second, Retries: 2,
			}
			s.Routes = append(s.Routes, r)
			size += len(r.Name) + len(r.PathPrefix) + len(r.Service) + 30 // 30 bytes of CBOR heads, numbers and the method
		}
		doc.Sections = append(doc.Sections, s)
	}
	return doc
}

// benchMemory reports the memory of the tables in bytes.
func benchMemory(b *testing.B, hosts int) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newBench(hosts, false)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(c)
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "table-bytes")
}
