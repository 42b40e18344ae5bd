package link

import (
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// BenchmarkHandshake reports the bytes in both directions and the CPU time of
// both peers for a connection that carries one announcement.
func BenchmarkHandshake(b *testing.B) {
	f := newFleet(b)
	a, to := f.listen(f.issueHost(), nil), f.listen(f.issueHost(), nil)
	var bytes uint64
	var cpuTime time.Duration
	for b.Loop() {
		before, start := a.Traffic().Total, processCPUTime()
		a.Send(to.Addr(), message.Announce{Number: 1})
		<-to.received
		time.Sleep(60 * time.Millisecond) // longer than an acknowledgment is delayed
		after := a.Traffic().Total
		bytes += after.BytesSent - before.BytesSent + after.BytesReceived - before.BytesReceived
		cpuTime += processCPUTime() - start
		_ = a.peer(to.Addr()).conns[0].CloseWithError(codeStopping, "")
		waitFor(b, "connection is still registered", func() bool { return a.connections(to)+to.connections(a) == 0 })
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
	b.ReportMetric(float64(cpuTime.Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkProbe reports the bytes in both directions for one probe and its
// answer on an idle connection.
func BenchmarkProbe(b *testing.B) {
	probe := message.Probe{
		Nonce: 1<<62 + 12345, RowStamp: host.Stamp{Incarnation: 1_790_000_000_000, Sequence: 40},
		Summary: message.StateSummary{Known: 70000, Held: 70000, RowsHash: 1 << 60},
	}
	exchange(b, probe, func(to node, from netip.AddrPort, _ message.Message) {
		to.Send(from, message.ProbeAnswer(probe))
	}, nil)
}

// BenchmarkVersion reports the bytes in both directions for an announcement, a
// fetch and a small delta on an idle connection.
func BenchmarkVersion(b *testing.B) {
	exchange(b, message.Announce{Number: 70000}, func(to node, from netip.AddrPort, m message.Message) {
		if _, ok := m.(message.Announce); ok {
			to.Send(from, message.Fetch{Number: 70000, Base: 69999})
		}
	}, message.Delta{Base: 69999, Blobs: []message.Blob{incompressible(200)}})
}

// BenchmarkVersionPush reports the bytes in both directions for a delta that is
// pushed over the link between regions and the announcement sent in return, on
// an idle connection. The encoded delta has the given size.
func BenchmarkVersionPush(b *testing.B) {
	for _, size := range []int{28, 320, 2000, 10000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			delta := message.Delta{Base: 69999, Blobs: []message.Blob{incompressible(size)}}
			exchange(b, delta, func(to node, from netip.AddrPort, _ message.Message) {
				to.Send(from, message.Announce{Number: 70000})
			}, nil)
		})
	}
}

// exchange benchmarks sending first, waiting for the answer of the other peer,
// and sending last, which may be nil.
func exchange(b *testing.B, first message.Message, answer func(node, netip.AddrPort, message.Message), last message.Message) {
	f := newFleet(b)
	stamp := timeline.New(timeline.Config{}).Stamp
	a := f.listen(f.issueHost(), func(c *Config) { c.Stamp = stamp })
	var to node
	to = f.listen(f.issueHost(), func(c *Config) {
		c.Stamp = stamp
		c.HandleMessage = func(from netip.AddrPort, m message.Message) { answer(to, from, m) }
	})
	once := func() {
		a.Send(to.Addr(), first)
		<-a.received
		if last != nil {
			a.Send(to.Addr(), last)
		}
		time.Sleep(100 * time.Millisecond)
	}
	once()
	before := a.Traffic().Total
	for b.Loop() {
		once()
	}
	after := a.Traffic().Total
	n := float64(b.N)
	b.ReportMetric(float64(after.BytesSent-before.BytesSent+after.BytesReceived-before.BytesReceived)/n, "bytes/op")
	b.ReportMetric(float64(after.PacketsSent-before.PacketsSent+after.PacketsReceived-before.PacketsReceived)/n, "packets/op")
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
