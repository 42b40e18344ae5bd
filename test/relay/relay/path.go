package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of headers in bytes that count towards bandwidth and counters. A TCP
// segment carries at most 1,448 bytes; acknowledgements are not counted.
const (
	udpOverhead    = 28
	tcpOverhead    = 52
	maxSegmentSize = 1448
)

// tcpSize returns the size on the wire of n bytes; a SYN or FIN has no data.
func tcpWireSize(n int) int { return n + tcpOverhead*max(1, (n+maxSegmentSize-1)/maxSegmentSize) }

// Counters counts one direction of a pair. Bytes include IP and UDP or TCP
// headers.
type Counters struct {
	From       string `json:"from"`
	To         string `json:"to"`
	UDPBytes   uint64 `json:"udp-bytes"`
	UDPPackets uint64 `json:"udp-packets"`
	UDPDropped uint64 `json:"udp-dropped"` // packets lost, over the queue limit or cut off
	TCPBytes   uint64 `json:"tcp-bytes"`
}

func (c *Counters) add(o Counters) {
	c.UDPBytes += o.UDPBytes
	c.UDPPackets += o.UDPPackets
	c.UDPDropped += o.UDPDropped
	c.TCPBytes += o.TCPBytes
}

// pipe is one direction of the link between two regions, shared by the paths
// of all their zones.
type bandwidthLimiter struct {
	bandwidth int64 // bits per second
	queue     int64 // bytes

	mu        sync.Mutex
	busyUntil time.Time // when the last accepted byte has left
}

func (p *bandwidthLimiter) transmitTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) * 8 / float64(p.bandwidth) * float64(time.Second))
}

// admit returns when a packet that arrives at the pipe now has left it, and
// false when the queue is full. A nil pipe has no limit.
func (p *bandwidthLimiter) admit(now time.Time, size int) (time.Time, bool) {
	if p == nil {
		return now, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	if p.busyUntil.Sub(now)+p.transmitTime(int64(size)) > p.transmitTime(p.queue) {
		return time.Time{}, false
	}
	p.busyUntil = p.busyUntil.Add(p.transmitTime(int64(size)))
	return p.busyUntil, true
}

// path is one direction between two zones.
type path struct {
	from, to Zone
	limiter  *bandwidthLimiter // nil inside a region
	now      func() time.Time
	packets  chan packet

	delay atomic.Int64  // nanoseconds, one way
	loss  atomic.Uint64 // UDP packets lost per million

	mu    sync.Mutex
	cuts  int           // cuts in effect
	uncut chan struct{} // closed while there is no cut

	udpBytes, udpPackets, udpDropped, tcpBytes atomic.Uint64
}

// packet is a datagram under way.
type packet struct {
	arrival time.Time // arrival
	send    func()
}

// laneLength bounds the datagrams under way on a path.
const maxQueuedPackets = 8192

func newPath(from, to Zone, p *bandwidthLimiter) *path {
	open := make(chan struct{})
	close(open)
	return &path{from: from, to: to, limiter: p, now: time.Now, uncut: open, packets: make(chan packet, maxQueuedPackets)}
}

func (p *path) oneWay() time.Duration { return time.Duration(p.delay.Load()) }

// change adds or removes one cut.
func (p *path) addCuts(cuts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.cuts
	p.cuts += cuts
	if was == 0 && p.cuts > 0 {
		p.uncut = make(chan struct{})
	}
	if was > 0 && p.cuts == 0 {
		close(p.uncut)
	}
}

// healed returns a channel that is closed while the path carries data.
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

// datagram schedules a datagram of n bytes, or drops it.
func (p *path) sendDatagram(n int, send func()) {
	now := p.now()
	lost := p.isCut() || rand.Uint64N(1_000_000) < p.loss.Load()
	if !lost {
		left, ok := p.limiter.admit(now, n+udpOverhead)
		if ok {
			select {
			case p.packets <- packet{left.Add(p.oneWay()), send}:
				p.udpBytes.Add(uint64(n) + udpOverhead)
				p.udpPackets.Add(1)
				return
			default:
			}
		}
	}
	p.udpDropped.Add(1)
}

// run delivers datagrams in the order in which they were sent.
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

// segment waits until n bytes of a TCP connection may enter the path and
// returns the time of their arrival; false when ctx ended.
func (p *path) sendSegment(ctx context.Context, n int) (time.Time, bool) {
	size := tcpWireSize(n)
	for {
		select {
		case <-ctx.Done():
			return time.Time{}, false
		case <-p.whenUncut():
		}
		if left, ok := p.limiter.admit(p.now(), size); ok {
			p.tcpBytes.Add(uint64(size))
			return left.Add(p.oneWay()), true
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

// sleep waits and reports whether ctx is still active.
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
