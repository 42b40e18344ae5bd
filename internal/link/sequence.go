package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/peridotlb/peridotlb/internal/message"
)

// sequenceStream is the first byte of a stream that carries small messages,
// each after its length, for as long as the connection lasts. A stream with one
// large message starts with message.ProtocolVersion.
const sharedStreamType = 0xff

// minFrame is the smallest write to a sequence in bytes; shorter ones are padded
// with empty messages. A packet with one stream frame takes 21 bytes more and the
// connection id, and a restarted daemon answers only packets of at least 43 bytes
// with a stateless reset. With announcements in smaller packets a trial
// took 30 s, the idle timeout, to find the restart.
const minSharedWrite = 43 - 21 - connIDLength

// sendInSequence sends a small message on the connection's sequence. Compared
// with a datagram this saves packets, since quic-go puts a pending
// acknowledgement into a packet with stream data but not into one with
// datagrams only; and a lost message is repaired. Compared with a stream per
// message it saves the limit updates that follow the end of each stream.
func (c *conn) sendOnSharedStream(_ context.Context, data []byte) error {
	var frame []byte
	if c.sharedStream == nil {
		s, err := c.OpenUniStream()
		if err != nil {
			return fmt.Errorf("open sequence: %w", err)
		}
		c.sharedStream, frame = s, append(frame, sharedStreamType)
	}
	frame = append(binary.AppendUvarint(frame, uint64(len(data))), data...)
	for len(frame) < minSharedWrite {
		frame = append(frame, 0)
	}
	err := c.sharedStream.SetWriteDeadline(time.Now().Add(sharedStreamTimeout))
	if err == nil {
		_, err = c.sharedStream.Write(frame)
	}
	if err != nil {
		// A part may have been written, so that nothing can follow on this stream.
		c.sharedStream.CancelWrite(streamCanceled)
		c.sharedStream = nil
		return fmt.Errorf("write sequence: %w", err)
	}
	return nil
}

// bufferedReceiver is the receiving half of a stream with a buffer.
type bufferedStreamReader struct {
	*bufio.Reader
	stream *quic.ReceiveStream
}

// SetReadDeadline sets the deadline of the stream.
func (r bufferedStreamReader) SetReadDeadline(t time.Time) error { return r.stream.SetReadDeadline(t) }

// receiveSequence takes small messages until the stream or connection ends.
func (p *peer) receiveSharedStream(c *conn, r io.Reader) error {
	for {
		data, err := readSmallMessage(r)
		if errors.Is(err, errSharedStreamEnd) {
			return nil
		}
		if err != nil {
			return err
		}
		p.handleMessage(c, data)
	}
}

// errSequenceEnd is returned for a sequence that ends between two messages.
var errSharedStreamEnd = errors.New("sequence has ended")

// readSmall reads one message with its length of one or two bytes. It skips
// empty messages.
func readSmallMessage(r io.Reader) ([]byte, error) {
	var b [2]byte
	for b[0] == 0 {
		if _, err := io.ReadFull(r, b[:1]); err != nil {
			return nil, errSharedStreamEnd
		}
	}
	size := int(b[0])
	if size >= 0x80 {
		if _, err := io.ReadFull(r, b[1:]); err != nil {
			return nil, fmt.Errorf("read length: %w", err)
		}
		size = size&0x7f | int(b[1])<<7
	}
	if size > maxSmallMessage || b[0] >= 0x80 && b[1] == 0 {
		return nil, fmt.Errorf("%w: length %x in a sequence", message.ErrMalformed, b)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, fmt.Errorf("read message in a sequence: %w", err)
	}
	return data, nil
}
