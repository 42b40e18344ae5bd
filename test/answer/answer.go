// Package answer defines the response body of the test backend server. The body
// depends on the request, so that a caller detects a truncated response and the
// response to another request.
package answer

import (
	"fmt"
	"strings"
)

// Body returns the response body for a request. It is at least size bytes long:
// the first line repeats the request, and copies of the URI pad the rest.
func Body(server, method, uri, body string, size int) string {
	first := fmt.Sprintf("%s %s %s %s\n", server, method, uri, body)
	missing := size - len(first)
	if missing <= 0 {
		return first
	}
	fill := uri + " "
	return first + strings.Repeat(fill, missing/len(fill)+1)[:missing]
}

// Check returns an error if text is not the complete response body for a
// request.
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
	return fmt.Errorf("response to %s %s has %d bytes, want %d; the first %d bytes match", method, uri, len(text), len(want), same)
}
