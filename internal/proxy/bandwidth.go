package proxy

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/bandwidth"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/pool"
)

// maxPacedBuffer is the longest response that a gate reads from its server at once
// when it sends it at the rate of the link, so that the slot is free while it is sent.
// Larger ones are read as they are sent. The admission bounds the bytes of all
// responses that wait for the link.
const maxPacedBuffer = 1 << 20

// routeName returns the route of a request, for the statistics of the gate; "" if it
// is unknown here or not needed.
func (g *gateHandler) routeName(r *http.Request) document.RouteName {
	table := g.config.Routes()
	if table == nil || g.config.Bandwidth == nil && !g.config.LearnedCapacity {
		return ""
	}
	route := table.Route(r.Method, r.Host, routePath(r.URL))
	if route == nil {
		return ""
	}
	return route.Name
}

// demand returns what the response to a call needs of the link.
func demand(size bandwidth.Size, ready time.Duration, target, deadline time.Time) bandwidth.Demand {
	return bandwidth.Demand{Size: size, Ready: ready, Target: target, Deadline: deadline}
}

// linkFailure returns the refusal of a call for lack of room on the link.
func linkFailure(reason string, err error) *failure {
	f := &failure{reason: reason, notRun: true, refused: true, err: err}
	var full *bandwidth.FullError
	if errors.As(err, &full) {
		f.retryAfter = full.Wait
	}
	return f
}

// admitResponse commits the link for a call from another host whose response is
// expected to be large. Without accounting, and for other calls, the transfer is nil.
func (g *gateHandler) admitResponse(c *call, id backend.ServerID, q gate.Call) (*bandwidth.Transfer, *failure) {
	link := g.config.Bandwidth
	if link == nil {
		return nil, nil
	}
	size := link.Sizes.Expected(c.route)
	if !size.Large() {
		return nil, nil
	}
	ready := q.ExpectedRunTime + g.config.Gate.Forecast(id).Wait[gate.PriorityBand(q.Priority)]
	t, err := link.Sending.Admit(demand(size, ready, q.Target, c.deadline))
	if err != nil {
		f := linkFailure(reasonLinkFull, err)
		f.serverFull = true
		return nil, f
	}
	return t, nil
}

// handleRemoteCall is handleCall for a call from another host, whose response is sent
// over the link.
func (g *gateHandler) handleRemoteCall(ctx context.Context, c *call, id backend.ServerID, q gate.Call, runBy time.Time) gateResult {
	link := g.config.Bandwidth
	if link == nil {
		return g.handleCall(ctx, c, id, q, runBy)
	}
	link.Receiving.AddSmall(int64(len(c.body.buffered)) + assumedHeaderBytes)
	c.body.countRest(link.Receiving)
	transfer, f := g.admitResponse(c, id, q)
	if f != nil {
		g.metrics.refused.inc(f.reason)
		result := gateResult{failure: f, load: g.config.Gate.Load(id), forecast: g.config.Gate.Forecast(id)}
		result.forecast.LinkWait = link.Sending.Wait(0)
		g.logFailure("Refused a call.", c, id, q, result)
		return result
	}
	result := g.handleCall(ctx, c, id, q, runBy)
	if result.reply == nil {
		transfer.End()
	} else {
		g.pace(ctx, c, q, transfer, &result)
	}
	result.forecast.LinkWait = link.Sending.Wait(0)
	return result
}

// pace limits the sending of a large reply to the rate of the link.
func (g *gateHandler) pace(ctx context.Context, c *call, q gate.Call, transfer *bandwidth.Transfer, result *gateResult) {
	link, reply := g.config.Bandwidth, result.reply
	size := reply.size()
	reply.recordSize(link, c.route)
	if size < bandwidth.LargeBytes {
		transfer.End()
		link.Sending.AddSmall(size + assumedHeaderBytes)
		return
	}
	if transfer == nil {
		transfer = link.Sending.Commit(demand(bandwidth.Exactly(size), 0, q.Target, c.deadline))
	} else if reply.rest == nil || reply.length >= 0 {
		transfer.SetLeft(size)
	}
	if err := reply.bufferRest(); err != nil {
		transfer.End()
		result.reply, result.failure = nil, responseFailure(ctx, err)
		return
	}
	reply.sending = &pacedSending{ctx, transfer}
}

// pacedSending sends a body in pieces at the rate of the link.
type pacedSending struct {
	ctx      context.Context // of the call
	transfer *bandwidth.Transfer
}

// write writes the buffered part of a body and then the rest.
func (p *pacedSending) write(w http.ResponseWriter, buffered []byte, rest io.Reader) error {
	defer p.transfer.End()
	// Without a flush, the response would be written at once at its end. Not every
	// response writer supports it.
	_ = http.NewResponseController(w).Flush()
	for len(buffered) > 0 {
		n := min(len(buffered), bandwidth.PieceBytes)
		if err := p.transfer.Send(p.ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(buffered[:n]); err != nil {
			return err
		}
		buffered = buffered[n:]
	}
	if rest == nil {
		return nil
	}
	for piece := make([]byte, bandwidth.PieceBytes); ; {
		n, err := readPiece(rest, piece)
		if n > 0 {
			if err := p.transfer.Send(p.ctx, n); err != nil {
				return err
			}
			if _, err := w.Write(piece[:n]); err != nil {
				return err
			}
		}
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

// readPiece reads until the piece is full or the body ends. Unlike io.ReadFull, it
// distinguishes the end of a body from one that breaks off, whose error may be
// io.ErrUnexpectedEOF.
func readPiece(body io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var m int
		m, err = body.Read(piece[n:])
		n += m
	}
	return n, err
}

// size returns the size of the body, or of its buffered part if the length is unknown.
func (r *reply) size() int64 {
	if !r.hasBody {
		return 0
	}
	return max(r.length, int64(len(r.buffered)))
}

// recordSize records the size of a successful response.
func (r *reply) recordSize(link *bandwidth.Link, route document.RouteName) {
	if link != nil && route != "" && r.hasBody && r.status < http.StatusMultipleChoices {
		link.Sizes.Record(route, r.size())
	}
}

// bufferRest reads the rest of a body of known length up to maxPacedBuffer and closes
// the response of the server.
func (r *reply) bufferRest() error {
	if r.rest == nil || r.length < 0 || r.length > maxPacedBuffer {
		return nil
	}
	whole := make([]byte, r.length)
	n := copy(whole, r.buffered)
	_, err := io.ReadFull(r.rest, whole[n:])
	if err == nil {
		// The body reports here if it was cut, and its trailers are complete then.
		if _, err = r.rest.Read(make([]byte, 1)); err == io.EOF {
			err = nil
		}
	}
	_ = r.rest.Close()
	r.buffered, r.rest = whole, nil
	return err
}

// admitReceiving commits the link for the response of an attempt at another host, and
// waits until the response may be asked for. It returns nil without accounting, and for
// responses that are expected to be small.
func (x *exchange) admitReceiving(ctx context.Context, choice *pool.Choice) (*bandwidth.Transfer, *failure) {
	link := x.entry.config.Bandwidth
	if link == nil {
		return nil, nil
	}
	size := link.Sizes.Expected(x.match.Route.Name)
	if !size.Large() {
		return nil, nil
	}
	t, err := link.Receiving.Admit(demand(size, choice.ExpectedWait+choice.ExpectedRunTime, x.targetTime, x.call.deadline))
	if err != nil {
		return nil, linkFailure(reasonEntryLinkFull, err)
	}
	if err := t.Begin(ctx); err != nil {
		t.End()
		return nil, linkFailure(reasonEntryLinkFull, err)
	}
	return t, nil
}

// admitSending commits the link for the buffered part of the request of an attempt at
// another host, if that is large. The rest of a longer request counts as it is read: its
// caller may send it slowly or never.
func (x *exchange) admitSending() (*bandwidth.Transfer, *failure) {
	link, body := x.entry.config.Bandwidth, x.call.body
	if link == nil {
		return nil, nil
	}
	body.countRest(link.Sending)
	length := int64(len(body.buffered))
	if length < bandwidth.LargeBytes {
		link.Sending.AddSmall(length + assumedHeaderBytes)
		return nil, nil
	}
	t, err := link.Sending.Admit(demand(bandwidth.Exactly(length), 0, x.targetTime, x.call.deadline))
	if err != nil {
		return nil, linkFailure(reasonEntryLinkFull, err)
	}
	return t, nil
}

// countRest makes the rest of the body count as small messages when it is read.
func (b *body) countRest(d *bandwidth.Direction) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.direction = d
}

// receivingWait returns how long the link of this host takes for the large responses
// that it expects.
func (x *exchange) receivingWait() time.Duration {
	if link := x.entry.config.Bandwidth; link != nil {
		return link.Receiving.Wait(0)
	}
	return 0
}

// received releases the link when the reply of another host has arrived, and counts
// what arrives until then.
func (r *reply) received(link *bandwidth.Link, t *bandwidth.Transfer) {
	if link == nil {
		return
	}
	switch {
	case r.rest == nil:
		t.End()
		if t == nil {
			link.Receiving.AddSmall(r.size() + assumedHeaderBytes)
		}
	case t != nil:
		r.rest = &receivingBody{r.rest, t}
		if r.length >= 0 {
			t.Arrives(r.length - int64(len(r.buffered)))
		}
	}
}

// receivingBody counts the received bytes of a body.
type receivingBody struct {
	io.ReadCloser
	transfer *bandwidth.Transfer
}

func (b *receivingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.transfer.Done(n)
	return n, err
}

func (b *receivingBody) Close() error {
	b.transfer.End()
	return b.ReadCloser.Close()
}

// parseRetryAfter parses the time after which a gate expects to have room.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 || seconds > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
