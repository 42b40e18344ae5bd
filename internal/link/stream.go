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

// streamCanceled is the code of streams that are given up.
const streamCanceled quic.StreamErrorCode = 1

// ErrAnswer is wrapped by errors that the asked daemon returned.
var ErrQueryFailed = errors.New("daemon refused the query")

func (c *conn) sendDatagram(_ context.Context, data []byte) error { return c.SendDatagram(data) }

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

// sendSide is the sending half of a stream.
type streamWriter interface {
	io.WriteCloser
	SetWriteDeadline(time.Time) error
}

// write sends data and ends the sending half.
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

// receiveSide is the receiving half of a stream.
type streamReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// read returns all data of the receiving half, at most limit bytes.
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

// receive takes messages and queries from a connection until it closes.
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

// receiveStream takes one large message or a sequence of small ones.
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

func (p *peer) handleMessage(c *conn, data []byte) {
	p.markReceived(c)
	m, stamp, err := p.link.config.Codec.DecodeStamped(data)
	if err != nil {
		p.handleReceiveError(c, err)
		return
	}
	p.observeStamp(c, stamp)
	if p.link.config.HandleMessage != nil {
		p.link.config.HandleMessage(p.addr, m)
	}
}

// maxAhead is how far a peer's stamp may be ahead of the local clock. Beyond it
// one wrong clock would drag the clocks of the whole fleet along.
const maxClockLead = time.Minute

// observe passes a stamp on unless it is too far ahead.
func (p *peer) observeStamp(c *conn, s timeline.Stamp) {
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

// refuse logs a message that was not taken and closes the connection when its
// sender broke the protocol.
func (p *peer) handleReceiveError(c *conn, err error) {
	if !errors.Is(err, message.ErrMalformed) {
		p.link.config.Log.Debug("Message not received.", zap.Stringer("from", p.addr), zap.Error(err))
		return
	}
	p.link.config.Log.Warn("Connection closed after a malformed message.", zap.Stringer("from", p.addr), zap.Error(err))
	_ = c.CloseWithError(codeMalformed, "malformed message")
}

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

// answer reads one query, calls Config.Answer and writes what it returned.
func (p *peer) serveQuery(c *conn, s *quic.Stream) error {
	ctx, cancel := context.WithTimeout(c.Context(), queryTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	query, err := readStream(s, message.MaxStampSize+maxQuerySize, deadline)
	if err != nil {
		return fmt.Errorf("query: %w", err)
	}
	stamp, query, err := message.ReadStamp(query)
	if err != nil {
		return fmt.Errorf("query: %w", err)
	}
	p.observeStamp(c, stamp)
	answer, err := []byte(nil), errors.New("queries are not served here")
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
	head := message.AppendStamp([]byte{status}, p.link.config.Stamp())
	return writeStream(s, append(head, answer...), deadline)
}

// Ask sends a query to a daemon and returns its answer. Without a deadline in
// ctx it waits up to 10 s. An error that the daemon returned wraps ErrAnswer.
func (l *Link) Query(ctx context.Context, to netip.AddrPort, query []byte) ([]byte, error) {
	answer, err := l.query(ctx, to, query)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", to, err)
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
	giveUp := func() {
		s.CancelRead(streamCanceled)
		s.CancelWrite(streamCanceled)
	}
	defer context.AfterFunc(ctx, giveUp)()
	// The context ends the stream, so that its error is the one returned.
	data := append(message.AppendStamp(nil, l.config.Stamp()), query...)
	if err := writeStream(s, data, time.Time{}); err != nil && ctx.Err() == nil {
		giveUp()
		return nil, err
	}
	answer, err := readStream(s, message.MaxStampSize+maxAnswerSize, time.Time{})
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case err != nil:
		giveUp()
		return nil, err
	case len(answer) == 0:
		return nil, errors.New("answer is empty")
	}
	stamp, body, err := message.ReadStamp(answer[1:])
	if err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	p.markReceived(c)
	p.observeStamp(c, stamp)
	if answer[0] == answerError {
		return nil, fmt.Errorf("%w: %s", ErrQueryFailed, body)
	}
	return body, nil
}
