package header

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"regexp"
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
		// A regular expression matches runes; one rune for each byte gives it bytes.
		runes := make([]rune, len(data))
		for i, b := range data {
			runes[i] = rune(b)
		}
		if matches := grammar.MatchString(string(runes)); !matches && err == nil {
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
