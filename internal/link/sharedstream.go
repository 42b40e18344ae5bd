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

// sharedStreamType is the first byte of a shared stream. A shared stream carries
// all small messages of one direction, each prefixed with its length, for the
// lifetime of the connection. A stream with a single large message starts with
// message.ProtocolVersion instead.
const sharedStreamType = 0xff

// minSharedWrite is the minimum size in bytes of a write to a shared stream;
// shorter writes are padded with empty messages. A packet with one stream frame
// adds 21 bytes and the connection ID, and a restarted daemon sends a stateless
// reset only in response to packets of at least 43 bytes. In a test with smaller
// announcement packets, peers detected a restart only after 30 s, the idle
// timeout.
const minSharedWrite = 43 - 21 - connIDLength

// sendOnSharedStream sends a small message on the shared stream of the
// connection. Compared to a datagram, this saves packets, since quic-go adds a
// pending acknowledgment to a packet with stream data but not to a packet with
// datagrams only, and QUIC retransmits lost data. Compared to one stream per
// message, it saves the stream limit updates that follow the end of each stream.
func (c *conn) sendOnSharedStream(_ context.Context, data []byte) error {
	var frame []byte
	if c.sharedStream == nil {
		s, err := c.OpenUniStream()
		if err != nil {
			return fmt.Errorf("open shared stream: %w", err)
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
		// Part of the message may have been written, so the stream can't be used
		// for further messages.
		c.sharedStream.CancelWrite(streamCanceled)
		c.sharedStream = nil
		return fmt.Errorf("write to shared stream: %w", err)
	}
	return nil
}

// bufferedStreamReader reads from the receiving side of a stream through a
// buffer.
type bufferedStreamReader struct {
	*bufio.Reader
	stream *quic.ReceiveStream
}

// SetReadDeadline sets the read deadline of the underlying stream.
func (r bufferedStreamReader) SetReadDeadline(t time.Time) error { return r.stream.SetReadDeadline(t) }

// receiveSharedStream receives small messages until the stream or connection
// ends.
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

// errSharedStreamEnd is returned when no further message can be read, because the
// stream or its connection has ended before the first byte of a message.
var errSharedStreamEnd = errors.New("shared stream has ended")

// readSmallMessage reads one message, which is prefixed with its length as a
// varint of one or two bytes. It skips empty messages.
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
			return nil, fmt.Errorf("read message length: %w", err)
		}
		size = size&0x7f | int(b[1])<<7
	}
	if size > maxSmallMessage || b[0] >= 0x80 && b[1] == 0 {
		return nil, fmt.Errorf("%w: invalid length %x on a shared stream", message.ErrMalformed, b)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, fmt.Errorf("read message on a shared stream: %w", err)
	}
	return data, nil
}
