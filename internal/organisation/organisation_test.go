package organisation_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/organisation"
)

func directory(keys ...string) *organisation.Directory {
	o := document.Organisation{Name: "bead-house"}
	for _, k := range keys {
		o.KeyDigests = append(o.KeyDigests, organisation.DigestOf(k))
	}
	return organisation.New(document.Document{Sections: []document.Section{{Organisations: []document.Organisation{o}}}})
}

// TestAuthenticate guards against a request that is accepted without exactly one known
// key, against a valid request that is refused for its spelling of the scheme, and
// against errors that quote a key.
func TestAuthenticate(t *testing.T) {
	d := directory("key-1", "key-12")
	for _, c := range []struct {
		headers []string
		want    error
	}{
		{[]string{"Bearer key-1"}, nil},
		{[]string{"bearer key-12"}, nil},
		{[]string{"BEARER   key-1"}, nil},
		{nil, organisation.ErrNoKey},
		{[]string{""}, organisation.ErrMalformed},
		{[]string{"Bearer"}, organisation.ErrMalformed},
		{[]string{"Bearer "}, organisation.ErrMalformed},
		{[]string{"Bearer\tkey-1"}, organisation.ErrMalformed},
		{[]string{" Bearer key-1"}, organisation.ErrMalformed},
		{[]string{"key-1"}, organisation.ErrMalformed},
		{[]string{"Basic key-1"}, organisation.ErrMalformed},
		{[]string{"Bearer key-1", "Bearer key-1"}, organisation.ErrMalformed},
		{[]string{"Bearer key-"}, organisation.ErrUnknownKey},
		{[]string{"Bearer key-123"}, organisation.ErrUnknownKey},
		{[]string{"Bearer KEY-1"}, organisation.ErrUnknownKey},
		{[]string{"Bearer key-1 "}, organisation.ErrUnknownKey},
		{[]string{"Bearer key-1, Bearer key-1"}, organisation.ErrUnknownKey},
		{[]string{"Bearer key-1 key-12"}, organisation.ErrUnknownKey},
	} {
		o, _, err := d.Authenticate(c.headers)
		if !errors.Is(err, c.want) || (o != nil) != (c.want == nil) {
			t.Errorf("%q: got %v and error %v, want error %v", c.headers, o, err, c.want)
		}
		if err != nil && strings.Contains(err.Error(), "key-") {
			t.Errorf("%q: got error %q, want one without a key", c.headers, err)
		}
	}
}

// TestHoldsKey guards against passing a key on to a server of a public route.
func TestHoldsKey(t *testing.T) {
	d := directory("key-1")
	for text, want := range map[string]bool{
		"Bearer key-1": true, "key-1": true, "Basic a,Bearer\tkey-1": true, "Token key-1": true,
		"Bearer removed-key": true, "Basic dXNlcg==": false, "": false,
	} {
		if got := d.HoldsKey([]string{"Basic x", text}); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
	if organisation.New(document.Document{}) != nil {
		t.Error("got a directory for a document without organisations, want none")
	}
}
