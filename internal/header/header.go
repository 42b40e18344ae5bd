// Package header checks the headers of HTTP/1.1 messages against the grammar of RFC 9110
// and RFC 9112 before they are parsed. The parser of the standard library accepts some
// lines that aren't in the grammar, such as a blank in the name of a field. What it then
// takes for the fields or for the end of the body may not be what the sender meant.
package header

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped by the error of every message that isn't in the grammar. The
// errors quote nothing of the message, which may hold the key of a caller.
var ErrMalformed = errors.New("malformed message")

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// versionPrefix precedes the minor version.
const versionPrefix = "HTTP/1."

// Statuses outside of these bounds don't exist.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponse checks the header of a response, from its status line to the empty line
// at its end.
func CheckResponse(data []byte) error {
	line, rest := cutLine(data)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	f, err := checkFields(rest)
	if err != nil {
		return err
	}
	return f.check(line[len(versionPrefix)])
}

// CheckRequest checks the header of a request, from its request line to the empty line at
// its end.
func CheckRequest(data []byte) error {
	line, rest := cutLine(data)
	minor, err := checkRequestLine(line)
	if err != nil {
		return err
	}
	f, err := checkFields(rest)
	if err != nil {
		return err
	}
	if f.hosts > 1 {
		return malformed("more than one Host")
	}
	return f.check(minor)
}

// checkRequestLine checks a request line and returns the digit of its minor version. The
// parser checks the target further; its bytes above ASCII, which some clients send, are
// passed on unchanged.
func checkRequestLine(line []byte) (minor byte, err error) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))
	switch {
	case !ok || !isToken(method) || len(target) == 0 || !isText(target) || bytes.IndexByte(target, '\t') >= 0:
		return 0, malformed("not a request line")
	case len(version) != len(versionPrefix)+1 || !bytes.HasPrefix(version, []byte(versionPrefix)) || !isDigit(version[len(versionPrefix)]):
		return 0, malformed("not a version of HTTP/1")
	}
	return version[len(versionPrefix)], nil
}

// checkStatusLine checks a status line. It accepts a line that ends with the status: many
// servers leave out the blank before an empty reason, which means nothing.
func checkStatusLine(line []byte) error {
	const prefix, example = versionPrefix, "HTTP/1.1 200"
	if len(line) < len(example) || !bytes.HasPrefix(line, []byte(prefix)) || !isDigit(line[len(prefix)]) || line[len(prefix)+1] != ' ' {
		return malformed("not a status line of HTTP/1")
	}
	code, reason := line[len(example)-3:len(example)], line[len(example):]
	if code[0] < '0'+minStatus/100 || code[0] > '0'+maxStatus/100 || !isDigit(code[1]) || !isDigit(code[2]) {
		return malformed("a status that doesn't exist")
	}
	if len(reason) > 0 && reason[0] != ' ' {
		return malformed("a status of more than three digits")
	}
	if !isText(reason) {
		return malformed("a control byte in the status line")
	}
	return nil
}

// framing tells which fields that frame a message a header has.
type framing struct {
	length, coding bool
	hosts          int // lines
}

// check checks the fields together, for the digit of the minor version.
func (f framing) check(minor byte) error {
	switch {
	case f.coding && f.length:
		return malformed("Content-Length beside Transfer-Encoding")
	case f.coding && minor == '0':
		return malformed("Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// checkFields checks field lines up to the empty line.
func checkFields(data []byte) (framing, error) {
	var f framing
	for {
		var line []byte
		if line, data = cutLine(data); len(line) == 0 {
			return f, nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok:
			return f, malformed("a field without a colon")
		case !isToken(name):
			return f, malformed("a byte in the name of a field that can't be there, or a line that continues another")
		case !isText(value):
			return f, malformed("a control byte in the value of a field")
		}
		f.length = f.length || bytes.EqualFold(name, []byte("Content-Length"))
		f.coding = f.coding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		if bytes.EqualFold(name, []byte("Host")) {
			f.hosts++
		}
	}
}

// cutLine returns the first line without its end, and what follows it. A line may end
// with a line feed alone, as RFC 9112 section 2.2 permits.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isToken(name []byte) bool {
	for _, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether there is no control byte but tabs.
func isText(value []byte) bool {
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// CheckParsed checks a response as far as that is possible after it was parsed, for
// clients that don't see its bytes.
func CheckParsed(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return malformed("a status that doesn't exist")
	}
	if r.ProtoMajor == 1 && !strings.HasPrefix(r.Status, fmt.Sprintf("%03d", r.StatusCode)) {
		return malformed("a status that isn't a number")
	}
	return CheckNames(r.Header)
}

// CheckNames checks the names of parsed fields, such as a trailer.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("a byte in the name of a field that can't be there")
		}
	}
	return nil
}
