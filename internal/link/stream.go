package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// First byte of an answer.
const (
	answerOK    = 0
	answerError = 1
)

// streamCanceled is the error code of canceled streams.
const streamCanceled quic.StreamErrorCode = 1

// ErrQueryFailed is wrapped by errors that the queried daemon returned.
var ErrQueryFailed = errors.New("queried daemon returned an error")

// sendDatagram sends a message in an unreliable datagram.
func (c *conn) sendDatagram(_ context.Context, data []byte) error { return c.SendDatagram(data) }

// sendStream sends a message on its own stream.
func (c *conn) sendStream(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		return fmt.Errorf("open stream: %w", err)
	}
	if err := writeStream(s, data, time.Now().Add(streamTimeout)); err != nil {
		s.CancelWrite(streamCanceled)
		return err
	}
	return nil
}

// streamWriter is the sending side of a stream.
type streamWriter interface {
	io.WriteCloser
	SetWriteDeadline(time.Time) error
}

// writeStream writes data and closes the sending side.
func writeStream(s streamWriter, data []byte, deadline time.Time) error {
	if err := s.SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if _, err := s.Write(data); err != nil {
		return fmt.Errorf("write stream: %w", err)
	}
	if err := s.Close(); err != nil {
		return fmt.Errorf("close stream: %w", err)
	}
	return nil
}

// streamReader is the receiving side of a stream.
type streamReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// readStream reads a stream to its end. It returns an error if the stream is
// longer than limit bytes.
func readStream(s streamReader, limit int, deadline time.Time) ([]byte, error) {
	if err := s.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(s, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("read stream: %w", err)
	}
	if len(data) > limit {
		return nil, fmt.Errorf("%w: stream exceeds %d bytes", message.ErrMalformed, limit)
	}
	return data, nil
}

// receiveLoop receives messages and queries from a connection until it closes.
func (p *peer) receiveLoop(c *conn) {
	p.link.startGoroutine(func() { p.acceptStreams(c) })
	p.link.startGoroutine(func() { p.acceptQueries(c) })
	for {
		data, err := c.ReceiveDatagram(c.Context())
		if err != nil {
			p.removeConn(c, err)
			return
		}
		p.handleMessage(c, data)
	}
}

// acceptStreams receives messages on the streams that the peer opens.
func (p *peer) acceptStreams(c *conn) {
	for {
		s, err := c.AcceptUniStream(c.Context())
		if err != nil {
			return
		}
		p.link.startGoroutine(func() {
			if err := p.receiveStream(c, s); err != nil {
				s.CancelRead(streamCanceled)
				p.handleReceiveError(c, err)
			}
		})
	}
}

// receiveStream receives one large message, or the small messages of a shared
// stream.
func (p *peer) receiveStream(c *conn, s *quic.ReceiveStream) error {
	deadline := time.Now().Add(streamTimeout)
	if err := s.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	r := bufferedStreamReader{bufio.NewReader(s), s}
	if first, err := r.Peek(1); err == nil && first[0] == sharedStreamType {
		_, _ = r.Discard(1)
		if err := s.SetReadDeadline(time.Time{}); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		return p.receiveSharedStream(c, r)
	}
	data, err := readStream(r, message.MaxSize, deadline)
	if err != nil {
		return err
	}
	p.handleMessage(c, data)
	return nil
}

// handleMessage decodes a message and passes it to Config.HandleMessage.
func (p *peer) handleMessage(c *conn, data []byte) {
	p.markReceived(c)
	m, stamp, err := p.link.config.Codec.DecodeStamped(data)
	if err != nil {
		p.handleReceiveError(c, err)
		return
	}
	p.observeTimestamp(c, stamp)
	if p.link.config.HandleMessage != nil {
		p.link.config.HandleMessage(p.addr, m)
	}
}

// maxClockLead is how far the timestamp of a peer may be ahead of the local
// clock. Without this limit, a single wrong clock would advance the hybrid logical
// clocks of the whole fleet.
const maxClockLead = time.Minute

// observeStamp passes a timestamp to Config.Observe unless it is too far ahead of
// the local clock.
func (p *peer) observeTimestamp(c *conn, s timeline.Stamp) {
	ahead := time.UnixMilli(s.WallMS).Sub(p.link.config.Now())
	if ahead <= maxClockLead {
		p.link.config.Observe(s)
		return
	}
	if !c.clockAhead.Swap(true) {
		p.link.config.Log.Warn("Clock of a peer is ahead; its stamps are not observed.",
			zap.Stringer("from", p.addr), zap.Duration("ahead", ahead))
	}
}

// handleReceiveError logs an error from receiving a message. If the message was
// malformed, it also closes the connection.
func (p *peer) handleReceiveError(c *conn, err error) {
	if !errors.Is(err, message.ErrMalformed) {
		p.link.config.Log.Debug("Failed to receive a message.", zap.Stringer("from", p.addr), zap.Error(err))
		return
	}
	p.link.config.Log.Warn("Closed a connection after a malformed message.", zap.Stringer("from", p.addr), zap.Error(err))
	_ = c.CloseWithError(codeMalformed, "malformed message")
}

// acceptQueries serves the queries for which the peer opens streams.
func (p *peer) acceptQueries(c *conn) {
	for {
		s, err := c.AcceptStream(c.Context())
		if err != nil {
			return
		}
		p.link.startGoroutine(func() {
			p.markReceived(c)
			if err := p.serveQuery(c, s); err != nil {
				s.CancelRead(streamCanceled)
				s.CancelWrite(streamCanceled)
				p.handleReceiveError(c, err)
			}
		})
	}
}

// serveQuery reads one query, calls Config.HandleQuery and writes its result.
func (p *peer) serveQuery(c *conn, s *quic.Stream) error {
	ctx, cancel := context.WithTimeout(c.Context(), queryTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	query, err := readStream(s, message.MaxTimestampSize+maxQuerySize, deadline)
	if err != nil {
		return fmt.Errorf("query: %w", err)
	}
	stamp, query, err := message.ReadTimestamp(query)
	if err != nil {
		return fmt.Errorf("query: %w", err)
	}
	p.observeTimestamp(c, stamp)
	answer, err := []byte(nil), errors.New("this daemon does not accept queries")
	if p.link.config.HandleQuery != nil {
		answer, err = p.link.config.HandleQuery(ctx, p.addr, query)
	}
	if err == nil && len(answer) >= maxAnswerSize {
		err = fmt.Errorf("answer of %d bytes exceeds the limit of %d", len(answer), maxAnswerSize-1)
	}
	status := byte(answerOK)
	if err != nil {
		status, answer = answerError, []byte(err.Error())
	}
	header := message.AppendTimestamp([]byte{status}, p.link.config.Stamp())
	return writeStream(s, append(header, answer...), deadline)
}

// Query sends a query to a daemon and returns its answer. If ctx has no deadline,
// it waits up to 10 s. Errors that the daemon returned wrap ErrQueryFailed.
func (l *Link) Query(ctx context.Context, to netip.AddrPort, query []byte) ([]byte, error) {
	answer, err := l.query(ctx, to, query)
	if err != nil {
		return nil, fmt.Errorf("query %s: %w", to, err)
	}
	return answer, nil
}

func (l *Link) query(ctx context.Context, to netip.AddrPort, query []byte) ([]byte, error) {
	if len(query) > maxQuerySize {
		return nil, fmt.Errorf("query of %d bytes exceeds the limit of %d", len(query), maxQuerySize)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, queryTimeout)
		defer cancel()
	}
	p := l.peer(to)
	if p == nil {
		return nil, errors.New("link is closed")
	}
	c, err := p.connection(ctx)
	if err != nil {
		return nil, err
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	cancelStream := func() {
		s.CancelRead(streamCanceled)
		s.CancelWrite(streamCanceled)
	}
	defer context.AfterFunc(ctx, cancelStream)()
	// When the context is done, the stream is canceled. The error of the context
	// is then returned in place of the stream error.
	data := append(message.AppendTimestamp(nil, l.config.Stamp()), query...)
	if err := writeStream(s, data, time.Time{}); err != nil && ctx.Err() == nil {
		cancelStream()
		return nil, err
	}
	answer, err := readStream(s, message.MaxTimestampSize+maxAnswerSize, time.Time{})
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case err != nil:
		cancelStream()
		return nil, err
	case len(answer) == 0:
		return nil, errors.New("answer is empty")
	}
	stamp, body, err := message.ReadTimestamp(answer[1:])
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	p.markReceived(c)
	p.observeTimestamp(c, stamp)
	if answer[0] == answerError {
		return nil, fmt.Errorf("%w: %s", ErrQueryFailed, body)
	}
	return body, nil
}
