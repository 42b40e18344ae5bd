package header

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against refusing headers of sound servers.
func TestSoundResponses(t *testing.T) {
	for _, data := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 \r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.0 404 Not Found\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 599 Gr\xfc\xdfe\tan alle\r\nX:\r\nY: \t a b\t\r\nZ:caf\xc3\xa9\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\nTrailer: B\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: <a>; rel=preload\r\n\r\n",
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: every byte of a name\r\n\r\n",
	} {
		if err := CheckResponse([]byte(data)); err != nil {
			t.Errorf("%q: got %v, want no error", data, err)
		}
	}
}

// Guards against errors that quote a message, which may hold a key.
func TestErrorsQuoteNothing(t *testing.T) {
	for _, data := range []string{"secret\r\n\r\n", "HTTP/1.1 200 secret\x01\r\n\r\n", "HTTP/1.1 200 OK\r\nsecret\r\n\r\n", "HTTP/1.1 200 OK\r\nA secret: secret\r\n\r\n", "HTTP/1.1 200 OK\r\nA: secret\x01\r\n\r\n"} {
		err := CheckResponse([]byte(data))
		if !errors.Is(err, ErrMalformed) || strings.Contains(err.Error(), "secret") {
			t.Errorf("%q: got error %v, want %v without a quotation", data, err, ErrMalformed)
		}
	}
}

// grammar is the header of a response as RFC 9112 writes it, with the two liberties of
// CheckResponse: lines may end with a line feed alone, and the blank after the status may
// be missing.
var grammar = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( [\t \x21-\x7e\x80-\xff]*)?\r?\n` +
	"([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t \\x21-\\x7e\\x80-\\xff]*\\r?\\n)*\\r?\\n$")

// FuzzCheckResponse compares the check with the grammar, and guards against headers that
// pass it and that the parser reads as other fields than their lines.
func FuzzCheckResponse(f *testing.F) {
	for _, seed := range []string{"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 3\r\n\r\n", "HTTP/1.0 404\nA:\n\n", "HTTP/1.1 000 OK\r\nA : b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// A header ends with its first empty line.
		if end := regexp.MustCompile(`\n\r?\n`).FindIndex(data); end != nil {
			data = data[:end[1]]
		} else {
			return
		}
		err := CheckResponse(data)
		if matches := grammar.MatchString(byteRunes(data)); !matches && err == nil {
			t.Errorf("%q: got no error, want one", data)
		} else if matches && err != nil && !bytes.Contains(bytes.ToLower(data), []byte("transfer-encoding")) {
			t.Errorf("%q: got %v, want no error", data, err)
		}
		if err != nil {
			return
		}
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return // a framing that the parser refuses
		}
		defer r.Body.Close()
		fields := 0
		for _, values := range r.Header {
			fields += len(values)
		}
		if lines := bytes.Count(data, []byte("\n")) - 2; fields > lines {
			t.Errorf("%q: got %d fields of %d lines", data, fields, lines)
		}
		if err := CheckParsed(r); err != nil {
			t.Errorf("%q: got %v for a header that is sound", data, err)
		}
	})
}

// Guards against refusing headers of sound clients.
func TestSoundRequests(t *testing.T) {
	for _, data := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /a?b=c%20d&e[]=f HTTP/1.0\r\n\r\n",
		"M-SEARCH * HTTP/1.1\nHost:\n\n",
		"GET http://x/caf\xc3\xa9 HTTP/1.1\r\nHost: x\r\nX-Other:\t a \r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\nContent-Length: 0\r\n\r\n",
	} {
		if err := CheckRequest([]byte(data)); err != nil {
			t.Errorf("%q: got %v, want no error", data, err)
		}
	}
}

// requestGrammar is the header of a request as RFC 9112 writes it, with the liberties of
// CheckRequest: lines may end with a line feed alone, and targets may have bytes above
// ASCII.
var requestGrammar = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+ [\\x21-\\x7e\\x80-\\xff]+ HTTP/1\\.[0-9]\\r?\\n" +
	"([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t \\x21-\\x7e\\x80-\\xff]*\\r?\\n)*\\r?\\n$")

// FuzzCheckRequest compares the check with the grammar, and guards against headers that
// pass it and that are read as another request when the parsed one is written again.
func FuzzCheckRequest(f *testing.F) {
	for _, seed := range []string{"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n\r\n", "POST /a HTTP/1.0\nA:\n\n", "GET / HTTP/1.1\r\nA : b\r\n c\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		end := regexp.MustCompile(`\n\r?\n`).FindIndex(data)
		if end == nil {
			return
		}
		data = data[:end[1]]
		err := CheckRequest(data)
		if matches := requestGrammar.MatchString(byteRunes(data)); !matches && err == nil {
			t.Errorf("%q: got no error, want one", data)
		} else if lower := bytes.ToLower(data); matches && err != nil && !bytes.Contains(lower, []byte("transfer-encoding")) && bytes.Count(lower, []byte("host")) < 2 {
			t.Errorf("%q: got %v, want no error", data, err)
		}
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return // a target or framing that the parser refuses
		}
		var written bytes.Buffer
		fmt.Fprintf(&written, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
		_ = r.Header.Write(&written)
		written.WriteString("\r\n")
		if err := CheckRequest(written.Bytes()); err != nil {
			t.Errorf("%q: got %v for the request written again: %q", data, err, written.Bytes())
		}
		again, err := http.ReadRequest(bufio.NewReader(&written))
		if err != nil || again.Method != r.Method || again.RequestURI != r.RequestURI || !maps.EqualFunc(again.Header, r.Header, slices.Equal) {
			t.Errorf("%q: got %v and %v after writing it again, error %v", data, r.Header, again, err)
		}
	})
}

// byteRunes returns a text with one rune for each byte, because regular expressions match
// runes.
func byteRunes(data []byte) string {
	runes := make([]rune, len(data))
	for i, b := range data {
		runes[i] = rune(b)
	}
	return string(runes)
}
