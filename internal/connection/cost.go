package connection

import (
	"bytes"
	"net/http"
)

// Costs of requests in bytes. TestCostsAreUpperBounds compares them with the memory
// that is allocated.
const (
	// connectionCost is the read buffer, the goroutine and the structures of a
	// connection, and its share of the poller.
	connectionCost = 12 << 10
	// tlsCost is added for a connection with TLS, whose records have up to 16 KB.
	tlsCost = 20 << 10
	// requestCost is a request without header lines: the goroutines of the handler and
	// of an attempt, their stacks, the request, the response and the encoded message.
	requestCost = 14 << 10
	// lineCost is a header line in the parsed header and in its copy: the key, the
	// value, the slice and the map entry of up to twice its size, and the entry that
	// sorts the encoded message.
	lineCost = 256
	// byteCost is the number of copies of a header byte: the header as received, the
	// values, and the encoded message of an attempt and of a hedged one.
	byteCost = 5
	// bodyCost is the number of copies of a buffered body byte: the connection and the
	// call each buffer it.
	bodyCost = 2
	// streamCost is the buffers of a response or request body that is relayed while it
	// arrives: what was buffered before, and the buffer and the chunk of a copy.
	streamCost = 2*BufferLimit + 64<<10
	// usualFields and usualResponse are the header fields and the bytes of a response
	// that requestCost includes.
	usualFields   = 24
	usualResponse = 3 << 10
)

// headerCost returns the cost of a request whose header has the given size.
func headerCost(size, lines int) int { return requestCost + size*byteCost + lines*lineCost }

// unreadBodyCost returns the cost of a body of the given length that has not arrived
// when the handler runs; -1 is an unknown length.
func unreadBodyCost(length int64) int {
	if length < 0 || length > BufferLimit {
		return streamCost
	}
	return bodyCost * int(length)
}

// fieldsCost returns the cost of parsed fields, such as a trailer or the header of a
// response.
func fieldsCost(h http.Header) int {
	n := 0
	for name, values := range h {
		n += len(values) * lineCost
		for _, v := range values {
			n += (len(name) + len(v)) * byteCost
		}
	}
	return n
}

// headerScan looks for the end of a header while it arrives.
type headerScan struct {
	lines int // complete lines
	size  int // bytes of the complete lines
}

// next continues in data, which begins with the bytes that were scanned before. It
// reports whether the header ends in data; size is then the size of the header.
func (s *headerScan) next(data []byte) bool {
	for {
		n := bytes.IndexByte(data[s.size:], '\n')
		if n < 0 {
			return false
		}
		line := data[s.size : s.size+n]
		s.size += n + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return true
		}
		s.lines++
	}
}
