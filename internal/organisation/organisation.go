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
	prefixes map[KeyPrefix]bool
}

// KeyPrefix is the start of the digest of a key. It tells keys apart among daemons, and is
// shorter to send with every call.
type KeyPrefix [8]byte

func prefixOf(k document.KeyDigest) KeyPrefix { return KeyPrefix(k[:len(KeyPrefix{})]) }

// New returns the directory of a validated document, or nil if its calls need no key. A
// document that requires keys and has no organisation has an empty directory, in which
// every key is unknown.
func New(d document.Document) *Directory {
	if !d.NeedsKeys() {
		return nil
	}
	directory := &Directory{byDigest: make(map[document.KeyDigest]*document.Organisation), prefixes: make(map[KeyPrefix]bool)}
	for i := range d.Sections {
		for j := range d.Sections[i].Organisations {
			o := &d.Sections[i].Organisations[j]
			for _, digest := range o.KeyDigests {
				directory.byDigest[digest] = o
				directory.prefixes[prefixOf(digest)] = true
			}
		}
	}
	return directory
}

// DigestOf returns the digest of a key.
func DigestOf(key string) document.KeyDigest { return sha256.Sum256([]byte(key)) }

// Authenticate returns the organisation whose key is in the Authorization headers of a
// request. Only a single header with the scheme, spaces and exactly one known key is
// accepted. It also returns the start of the key's digest, for HasKey of later versions.
func (d *Directory) Authenticate(headers []string) (*document.Organisation, KeyPrefix, error) {
	if len(headers) == 0 {
		return nil, KeyPrefix{}, ErrNoKey
	}
	if len(headers) > 1 {
		return nil, KeyPrefix{}, ErrMalformed
	}
	name, key, ok := strings.Cut(headers[0], " ")
	key = strings.TrimLeft(key, " ")
	if !ok || !strings.EqualFold(name, scheme) || key == "" {
		return nil, KeyPrefix{}, ErrMalformed
	}
	digest := DigestOf(key)
	o := d.byDigest[digest]
	if o == nil {
		return nil, KeyPrefix{}, ErrUnknownKey
	}
	return o, prefixOf(digest), nil
}

// HasKey reports whether a key is valid. It is true for every key if the receiver is nil:
// calls need no keys then.
func (d *Directory) HasKey(p KeyPrefix) bool { return d == nil || d.prefixes[p] }

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
