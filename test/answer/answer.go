// Package answer defines the body that the backend server stand-in answers
// with, so that a caller can tell a truncated answer and the answer to another
// request from its own.
package answer

import (
	"fmt"
	"strings"
)

// Body returns the answer to a request. It is at least size bytes long: the
// first line repeats the request, and copies of the URI fill the rest.
func Body(server, method, uri, body string, size int) string {
	first := fmt.Sprintf("%s %s %s %s\n", server, method, uri, body)
	missing := size - len(first)
	if missing <= 0 {
		return first
	}
	fill := uri + " "
	return first + strings.Repeat(fill, missing/len(fill)+1)[:missing]
}

// Check reports why text is not the complete answer to a request.
func Check(text, method, uri, body string, size int) error {
	server, _, _ := strings.Cut(text, " ")
	want := Body(server, method, uri, body, size)
	if text == want {
		return nil
	}
	same := 0
	for same < min(len(text), len(want)) && text[same] == want[same] {
		same++
	}
	return fmt.Errorf("answer to %s %s has %d bytes, want %d; the first %d agree", method, uri, len(text), len(want), same)
}
