package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Header sizes in bytes that count towards the bandwidth and the counters. A TCP
// segment carries at most 1,448 bytes of data. Acknowledgements are not counted.
const (
	udpOverhead    = 28 // 20 IP + 8 UDP
	tcpOverhead    = 52 // 20 IP + 20 TCP + 12 TCP timestamp option
	maxSegmentSize = 1448
)

// tcpWireSize returns the size of n bytes of TCP data including headers. A SYN or
// FIN without data counts as one segment.
func tcpWireSize(n int) int { return n + tcpOverhead*max(1, (n+maxSegmentSize-1)/maxSegmentSize) }

// Counters counts the traffic between a pair of zones or regions in one direction.
// Bytes include IP and UDP or TCP headers.
type Counters struct {
	From       string `json:"from"`
	To         string `json:"to"`
	UDPBytes   uint64 `json:"udp-bytes"`
	UDPPackets uint64 `json:"udp-packets"`
	UDPDropped uint64 `json:"udp-dropped"` // packets dropped by loss, a full queue or a cut
	TCPBytes   uint64 `json:"tcp-bytes"`
}

func (c *Counters) add(o Counters) {
	c.UDPBytes += o.UDPBytes
	c.UDPPackets += o.UDPPackets
	c.UDPDropped += o.UDPDropped
	c.TCPBytes += o.TCPBytes
}

// bandwidthLimiter limits the bandwidth of one direction of the link between two
// regions. The paths between all their zones share it.
type bandwidthLimiter struct {
	bandwidth int64 // bits per second
	queue     int64 // bytes

	mu        sync.Mutex
	busyUntil time.Time // when the last accepted byte will have been sent
}

func (l *bandwidthLimiter) transmitTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) * 8 / float64(l.bandwidth) * float64(time.Second))
}

// admit returns the time at which a packet that is queued now will have been sent,
// and false if the queue is full. A nil limiter has no limit.
func (l *bandwidthLimiter) admit(now time.Time, size int) (time.Time, bool) {
	if l == nil {
		return now, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	if l.busyUntil.Sub(now)+l.transmitTime(int64(size)) > l.transmitTime(l.queue) {
		return time.Time{}, false
	}
	l.busyUntil = l.busyUntil.Add(l.transmitTime(int64(size)))
	return l.busyUntil, true
}

// path simulates the network between two zones in one direction.
type path struct {
	from, to Zone
	limiter  *bandwidthLimiter // nil within a region
	now      func() time.Time
	packets  chan packet

	delay atomic.Int64  // nanoseconds, one way
	loss  atomic.Uint64 // UDP packets lost per million

	mu    sync.Mutex
	cuts  int           // cuts in effect
	uncut chan struct{} // closed while there is no cut

	udpBytes, udpPackets, udpDropped, tcpBytes atomic.Uint64
}

// packet is a datagram in flight.
type packet struct {
	arrival time.Time
	send    func()
}

// maxQueuedPackets limits the number of datagrams in flight on a path.
const maxQueuedPackets = 8192

func newPath(from, to Zone, limiter *bandwidthLimiter) *path {
	open := make(chan struct{})
	close(open)
	return &path{from: from, to: to, limiter: limiter, now: time.Now, uncut: open, packets: make(chan packet, maxQueuedPackets)}
}

func (p *path) oneWay() time.Duration { return time.Duration(p.delay.Load()) }

// addCuts changes the number of cuts. The path carries data while it has none.
func (p *path) addCuts(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.cuts
	p.cuts += change
	if was == 0 && p.cuts > 0 {
		p.uncut = make(chan struct{})
	}
	if was > 0 && p.cuts == 0 {
		close(p.uncut)
	}
}

// whenUncut returns a channel that is closed once the path is not cut.
func (p *path) whenUncut() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.uncut
}

func (p *path) isCut() bool {
	select {
	case <-p.whenUncut():
		return false
	default:
		return true
	}
}

// sendDatagram schedules the delivery of a datagram of n bytes, or drops it.
func (p *path) sendDatagram(n int, send func()) {
	now := p.now()
	lost := p.isCut() || rand.Uint64N(1_000_000) < p.loss.Load()
	if !lost {
		sentAt, ok := p.limiter.admit(now, n+udpOverhead)
		if ok {
			select {
			case p.packets <- packet{sentAt.Add(p.oneWay()), send}:
				p.udpBytes.Add(uint64(n) + udpOverhead)
				p.udpPackets.Add(1)
				return
			default:
			}
		}
	}
	p.udpDropped.Add(1)
}

// deliverPackets delivers datagrams at their arrival times, in the order in which
// they were sent.
func (p *path) deliverPackets(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-p.packets:
			if sleep(ctx, time.Until(packet.arrival)) {
				packet.send()
			}
		}
	}
}

// admitTCP waits until the path accepts n bytes of a TCP connection. It returns
// their arrival time, and false if ctx is done first.
func (p *path) admitTCP(ctx context.Context, n int) (time.Time, bool) {
	size := tcpWireSize(n)
	for {
		select {
		case <-ctx.Done():
			return time.Time{}, false
		case <-p.whenUncut():
		}
		if sentAt, ok := p.limiter.admit(p.now(), size); ok {
			p.tcpBytes.Add(uint64(size))
			return sentAt.Add(p.oneWay()), true
		}
		if !sleep(ctx, time.Millisecond) {
			return time.Time{}, false
		}
	}
}

func (p *path) counters() Counters {
	return Counters{
		From: p.from.Name, To: p.to.Name,
		UDPBytes: p.udpBytes.Load(), UDPPackets: p.udpPackets.Load(), UDPDropped: p.udpDropped.Load(), TCPBytes: p.tcpBytes.Load(),
	}
}

// sleep waits for the duration d or until ctx is done, and reports whether ctx is
// still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
