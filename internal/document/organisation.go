package document

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
)

// OrganisationName is the name of an organisation, unique in the document. It is sent
// to backend servers in a header.
type OrganisationName string

// KeyDigest is the SHA-256 digest of a key of an organisation. The keys themselves are
// no part of a document.
type KeyDigest [32]byte

// String returns the digest as 64 hexadecimal digits.
func (k KeyDigest) String() string { return hex.EncodeToString(k[:]) }

// ParseKeyDigest parses the output of KeyDigest.String. The error does not quote the
// text, which may be a key that was given in place of its digest.
func ParseKeyDigest(s string) (KeyDigest, error) {
	var k KeyDigest
	if len(s) != hex.EncodedLen(len(k)) {
		return k, fmt.Errorf("a key digest has %d hexadecimal digits, but this text has %d characters", hex.EncodedLen(len(k)), len(s))
	}
	if _, err := hex.Decode(k[:], []byte(s)); err != nil {
		return KeyDigest{}, errors.New("a key digest has only hexadecimal digits")
	}
	return k, nil
}

// Rate is a number of requests per second.
type Rate float64

// Organisation is a customer whose callers have keys.
type Organisation struct {
	Name       OrganisationName `cbor:"1,keyasint"`
	KeyDigests []KeyDigest      `cbor:"2,keyasint"`
	// Priority replaces the priority of the route. Nil keeps that of the route.
	Priority *uint8 `cbor:"3,keyasint,omitempty"`
	// RatePerSecond and Burst limit the requests of the organisation over all hosts.
	// A rate of 0 means no limit.
	RatePerSecond Rate    `cbor:"4,keyasint,omitempty"`
	Burst         float64 `cbor:"5,keyasint,omitempty"` // requests
}

// Limited reports whether the organisation has a quota.
func (o *Organisation) Limited() bool { return o.RatePerSecond > 0 }

// MaxRate limits the rate and the burst of an organisation. It is far above the
// 55,000 requests per second of the largest deployment.
const MaxRate = 1e6

// validOrganisationName reports whether s can be sent in a header. Organisations are
// customers, whose names need not be in kebab case.
func validOrganisationName(s string) bool {
	return s != "" && len(s) <= MaxNameLength && allBytes(s, func(b byte) bool {
		return isLower(b) || isUpper(b) || isDigit(b) || b == '-' || b == '_' || b == '.'
	})
}

func (c *checker) checkOrganisation(at location, label itemLabel, o Organisation) {
	if !validOrganisationName(string(o.Name)) {
		c.addFault(at.withField("name"), "%s: name must have 1 to %d letters, digits, hyphens, underscores and dots", label, MaxNameLength)
	}
	if !validRate(float64(o.RatePerSecond)) {
		c.addFault(at.withField("rate-per-second"), "%s: rate-per-second must be 0 to %.0f", label, MaxRate)
	}
	if !validRate(o.Burst) {
		c.addFault(at.withField("burst"), "%s: burst must be 0 to %.0f", label, MaxRate)
	}
}

func validRate(f float64) bool { return f >= 0 && f <= MaxRate && !math.IsNaN(f) }

// checkOrganisations checks that the names of organisations are unique and that no key
// belongs to two of them. It always compares all sections: there are few organisations.
func (c *checker) checkOrganisations(d Document) {
	sections := map[OrganisationName]SectionName{}
	owners := map[KeyDigest]OrganisationName{}
	for i, s := range d.Sections {
		for j, o := range s.Organisations {
			at := location{section: i + 1, itemKind: organisationItem, item: j + 1}
			label := itemLabel{section: s.Name, kind: "organisation", name: string(o.Name)}
			if other, ok := sections[o.Name]; ok && o.Name != "" {
				c.addFault(at.withField("name"), "%s is already defined in section %q", label, other)
				continue
			}
			sections[o.Name] = s.Name
			for k, digest := range o.KeyDigests {
				if owner, ok := owners[digest]; ok {
					c.addFault(at.withField("key-digests").withElement(k), "%s: key digest %d is already one of organisation %q", label, k+1, owner)
				}
				owners[digest] = o.Name
			}
		}
	}
}

// canonicalOrganisations returns the organisations sorted by name, with sorted digests.
func canonicalOrganisations(list []Organisation) []Organisation {
	list = emptyToNil(slices.Clone(list))
	for i := range list {
		digests := slices.Clone(list[i].KeyDigests)
		slices.SortFunc(digests, func(a, b KeyDigest) int { return bytes.Compare(a[:], b[:]) })
		list[i].KeyDigests = emptyToNil(digests)
	}
	slices.SortStableFunc(list, func(a, b Organisation) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return list
}
