// Package organisation finds the organisation of a request by its key.
package organisation

import (
	"crypto/sha256"
	"errors"
	"strings"

	"github.com/peridotlb/peridotlb/internal/document"
)

// Errors of Authenticate. They hold no part of a credential.
var (
	ErrNoKey      = errors.New("the request has no key")
	ErrMalformed  = errors.New("the request must have one Authorization header of the form: Bearer KEY")
	ErrUnknownKey = errors.New("the key is not one of the applied version")
)

// scheme is the authentication scheme of keys. Its case does not matter (RFC 9110,
// section 11.1).
const scheme = "bearer"

// Directory is the immutable set of the organisations of one version. Keys are compared
// by their digests, so that neither memory nor the time of a lookup reveals a key.
type Directory struct {
	byDigest map[document.KeyDigest]*document.Organisation
}

// New returns the directory of a validated document, or nil if its calls need no key. A
// document that requires keys and has no organisation has an empty directory, in which
// every key is unknown.
func New(d document.Document) *Directory {
	if !d.NeedsKeys() {
		return nil
	}
	byDigest := make(map[document.KeyDigest]*document.Organisation)
	for i := range d.Sections {
		for j := range d.Sections[i].Organisations {
			o := &d.Sections[i].Organisations[j]
			for _, digest := range o.KeyDigests {
				byDigest[digest] = o
			}
		}
	}
	return &Directory{byDigest: byDigest}
}

// DigestOf returns the digest of a key.
func DigestOf(key string) document.KeyDigest { return sha256.Sum256([]byte(key)) }

// Authenticate returns the organisation whose key is in the Authorization headers of a
// request. Only a single header with the scheme, spaces and exactly one known key is
// accepted.
func (d *Directory) Authenticate(headers []string) (*document.Organisation, error) {
	if len(headers) == 0 {
		return nil, ErrNoKey
	}
	if len(headers) > 1 {
		return nil, ErrMalformed
	}
	name, key, ok := strings.Cut(headers[0], " ")
	key = strings.TrimLeft(key, " ")
	if !ok || !strings.EqualFold(name, scheme) || key == "" {
		return nil, ErrMalformed
	}
	o := d.byDigest[DigestOf(key)]
	if o == nil {
		return nil, ErrUnknownKey
	}
	return o, nil
}

// HoldsKey reports whether Authorization headers hold or may hold a key: a word that is
// a key, or anything after the scheme of keys, such as a key that was removed with the
// previous version.
func (d *Directory) HoldsKey(headers []string) bool {
	for _, h := range headers {
		for _, word := range strings.FieldsFunc(h, isSeparator) {
			if strings.EqualFold(word, scheme) || d.byDigest[DigestOf(word)] != nil {
				return true
			}
		}
	}
	return false
}

func isSeparator(r rune) bool { return r == ' ' || r == '\t' || r == ',' }
