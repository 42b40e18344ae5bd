package document_test

import (
	"crypto/sha256"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/peridotlb/peridotlb/internal/document"
)

const organisationDocument = validDocument + `    organisations:
      - name: Bead_House.2
        key-digests: ["` + digestA + `", "` + digestB + `"]
        priority: 0
        rate-per-second: 2.5
        burst: 650
      - {name: other, key-digests: []}
    keys-required: true
`

const (
	digestA = "bb00000000000000000000000000000000000000000000000000000000000000"
	digestB = "aa00000000000000000000000000000000000000000000000000000000000000"
)

// TestOrganisationsRoundTrip guards against organisations that change when they are
// formatted or encoded, and against digests whose order changes that of a section.
func TestOrganisationsRoundTrip(t *testing.T) {
	d, err := document.Parse("x", []byte(organisationDocument))
	if err != nil {
		t.Fatal(err)
	}
	text, err := document.Format(d)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := document.Parse("formatted", text); err != nil || !reflect.DeepEqual(again, d) {
		t.Errorf("got %+v, error %v, want %+v", again, err, d)
	}
	data, err := document.EncodeSection(d.Sections[0])
	if err != nil {
		t.Fatal(err)
	}
	if got, err := document.DecodeSection(data); err != nil || !reflect.DeepEqual(got, d.Sections[0]) {
		t.Errorf("got %+v, error %v, want %+v", got, err, d.Sections[0])
	}
	o := d.Sections[0].Organisations[0]
	if o.KeyDigests[0].String() != digestB || o.Priority == nil || *o.Priority != 0 || o.RatePerSecond != 2.5 || o.Burst != 650 {
		t.Errorf("got %+v", o)
	}
}

// TestOrganisationFaults guards against organisations that share a name or a key, and
// against a fault that quotes a key which stands in the place of its digest.
func TestOrganisationFaults(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"key in clear":   {digestA, "k3y", "x:10:23: key-digests: element 1: a key digest has 64 hexadecimal digits, but this text has 3 characters"},
		"not hex":        {digestA, strings.Repeat("k", 64), "has only hexadecimal digits"},
		"shared key":     {"key-digests: []", `key-digests: ["` + digestA + `"]`, `organisation "other": key digest 1 is already one of organisation "Bead_House.2"`},
		"same name":      {"name: other", "name: Bead_House.2", "is already defined in section"},
		"line break":     {"name: other", `name: "a\nb"`, "name must have 1 to 63 letters"},
		"negative":       {"2.5", "-2.5", "rate-per-second must be a decimal number"},
		"too high":       {"2.5", "1000001", "rate-per-second must be 0 to 1000000"},
		"wrong type":     {"burst: 650", "burst: many", "burst must be a number"},
		"wrong priority": {"priority: 0", "priority: 256", "priority must be a decimal number up to 255"},
	} {
		_, err := document.Parse("x", []byte(strings.Replace(organisationDocument, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "k3y") || strings.Contains(err.Error(), "kkk") {
			t.Errorf("%s: got error %v, want one with %q and without the key", name, err, c.want)
		}
	}
}

// TestDigestsWithoutOrganisations guards against a release that gives the sections of
// existing documents other digests, so that daemons of two releases would not agree.
func TestDigestsWithoutOrganisations(t *testing.T) {
	want := map[document.SectionName]string{ // computed before documents had organisations
		"orders": "c19fab87595863bf81580d544887f154f61fd22136232631dda687aaf4024e1e",
		"prices": "10953ab07662c6c9814f31758288021d24452128f3c38bf5fa3446a1cd7c3ba1",
		"stock":  "185ea2244e64d69ea06e2e418e4915bc750d9353e1765b877ea308fcbf4abfb2",
	}
	for _, s := range parseExample(t).Sections {
		data, err := document.EncodeSection(s)
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprintf("%x", sha256.Sum256(data)); got != want[s.Name] {
			t.Errorf("section %s: got digest %s, want %s", s.Name, got, want[s.Name])
		}
	}
}

// TestParseOrganisationsExample guards against an example that is not valid, which
// operators would copy.
func TestParseOrganisationsExample(t *testing.T) {
	data, err := os.ReadFile("../../examples/organisations.yaml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := document.Parse("organisations.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(d.Sections[0].Organisations); got != 2 {
		t.Errorf("got %d organisations, want 2", got)
	}
}
