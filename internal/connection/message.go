package connection

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strconv"
)

// framingHeaders are the headers that encode derives from the message itself. Those
// that a caller sent must not be added to them: with two lengths, a server may see
// the end of the request elsewhere (request smuggling).
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// replacedHeaders returns the names in Header that are not sent, because encode writes
// headers of the same names. With two timeouts, a server may apply the caller's.
func (m *Message) replacedHeaders() map[string]bool {
	replaced := framingHeaders
	for _, f := range m.Fields {
		name := http.CanonicalHeaderKey(f.Name)
		if _, ok := m.Header[name]; !ok {
			continue
		}
		if len(replaced) == len(framingHeaders) {
			replaced = maps.Clone(framingHeaders)
		}
		replaced[name] = true
	}
	return replaced
}

// encode encodes the request line and the header fields.
func (m *Message) encode() []byte {
	var b bytes.Buffer
	b.Grow(inlineWriteLimit)
	b.WriteString(m.Method)
	b.WriteByte(' ')
	b.WriteString(m.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Authority)
	b.WriteString("\r\n")
	_ = m.Header.WriteSubset(&b, m.replacedHeaders()) // writing to a buffer cannot fail
	for _, f := range m.Fields {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	switch {
	case m.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
		for _, name := range m.TrailerNames {
			if !m.Withheld[name] {
				b.WriteString("Trailer: " + name + "\r\n")
			}
		}
	case m.Length > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead:
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(m.Length, 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// chunkWriter writes each slice as a chunk.
type chunkWriter struct{ to io.Writer }

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	chunk := strconv.AppendInt(nil, int64(len(p)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, p...)
	if _, err := w.to.Write(append(chunk, "\r\n"...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// end writes the final chunk and the trailer, except the withheld names.
func (w *chunkWriter) end(trailer http.Header, withheld map[string]bool) error {
	var b bytes.Buffer
	b.WriteString("0\r\n")
	_ = trailer.WriteSubset(&b, withheld) // writing to a buffer cannot fail
	b.WriteString("\r\n")
	_, err := w.to.Write(b.Bytes())
	return err
}
