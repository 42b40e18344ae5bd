package document_test

import (
	"errors"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlb/peridotlb/internal/document"
)

const validDocument = `sections:
  - name: stock
    team: stock-team
    services:
      - {name: bead-stock, slots: 9, connections: 130}
    routes:
      - {name: read-stock, path-prefix: /stock, service: bead-stock, timeout: 2s}
`

func parseExample(t testing.TB) document.Document {
	t.Helper()
	data, err := os.ReadFile("../../examples/shop.yaml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := document.Parse("shop.yaml", data)
	if err != nil {
		t.Fatalf("parse example: %v", err)
	}
	return d
}

// Guards against an example that operators copy and that is then refused, and
// against fields that are read into the wrong place.
func TestParseExample(t *testing.T) {
	d := parseExample(t)
	if got, want := len(d.Sections), 3; got != want {
		t.Fatalf("got %d sections, want %d", got, want)
	}
	got := d.Sections[0].Routes[0]
	want := document.Route{
		Name: "book-order", PathPrefix: "/orders", Methods: []string{"POST"},
		Service: "bead-orders", Timeout: 5 * time.Second, Retries: 2, Paid: true,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got route %+v, want %+v", got, want)
	}
}

// Guards against an operator correcting one error at a time, against positions
// that point at the wrong line, and against errors that follow from others.
func TestParseReportsAllFaults(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.yaml")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, err = document.Parse("faults.yaml", data)
	var faults document.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got error %v, want Faults", err)
	}
	if got := faults.Error() + "\n"; got != string(want) {
		t.Errorf("got faults:\n%s\nwant:\n%s", got, want)
	}
}

// Guards against YAML that is read as something else than what is written, and
// against input that exhausts the daemon's memory or time.
func TestParseRefuses(t *testing.T) {
	many := "sections:\n"
	for i := range document.MaxSections + 1 {
		many += "- {name: s" + strconv.Itoa(i) + ", team: a}\n"
	}
	for name, test := range map[string]struct{ text, want string }{
		"empty":         {"", "x:1:1: document is empty"},
		"only comments": {"# nothing\n", "x:1:1: document is empty"},
		"no sections":   {"{}", "x:1:1: document: key \"sections\" is missing"},
		"not a mapping": {"- a", "x:1:1: document must be a mapping"},
		"null sections": {"sections:\n", "x:1:11: sections must be a list, but is empty"},
		"two documents": {validDocument + "---\nsections: []\n", "x:9:1: file has more than one YAML document"},
		"documents":     {strings.Repeat("a: b\n---\n", 1<<16), "x:4:1: file has more than one YAML document"},
		"syntax":        {"sections: [", "x:1:11: syntax: "},
		"bad UTF-8":     {"sections: []\n# \xff", "x:2:3: document is not valid UTF-8"},
		"anchor":        {"sections: &a []\n", "x:1:11: sections must be a list, but is an anchor"},
		"alias":         {"sections: *a\n", "x:1:11: sections must be a list, but is an anchor"},
		"tag":           {"sections: !!seq []\n", "x:1:11: sections must be a list, but is tagged"},
		"merge key":     {"<<: {sections: []}\n", "x:1:1: document: key must be a plain word"},
		"directive":     {"%YAML 1.1\n---\nsections: []\n", "x:1:1: document must be a mapping, but is a directive"},
		"octal number":  {strings.Replace(validDocument, "slots: 9", "slots: 0o11", 1), "slots must be a decimal number"},
		"leading zero":  {strings.Replace(validDocument, "slots: 9", "slots: 09", 1), "slots must be a"},
		"bare duration": {strings.Replace(validDocument, "2s", "2", 1), "timeout must be a duration with a unit"},
		"zero duration": {strings.Replace(validDocument, "2s", "'0'", 1), "timeout must be a duration with a unit"},
		"too large":     {validDocument + strings.Repeat("#\n", document.MaxBytes/2), "x:1:1: document has 4194"},
		"too many":      {many, "document has 4097 sections, more than 4096"},
		"flow depth":    {strings.Repeat("[", 1<<16), "x:1:17: lists and mappings are nested too deeply"},
		"list depth":    {strings.Repeat("- ", 1<<16), "x:1:33: lists and mappings are nested too deeply"},
		"key depth":     {strings.Repeat("? ", 1<<16), "x:1:33: lists and mappings are nested too deeply"},
		"tag depth":     {strings.Repeat("!a ", 1<<16), "nested too deeply"},
		"anchor depth":  {strings.Repeat("&a ", 1<<16), "nested too deeply"},
		"many keys":     {strings.Repeat("a: b\n", 1<<16), "x:65:2: mapping has too many keys"},
		"many flow":     {"{" + strings.Repeat("a: b,", 1<<16), "mapping has too many keys"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := document.Parse("x", []byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %.300v, want one with %q", err, test.want)
			}
		})
	}
}

// Guards against an accepted document that cannot be exported, edited and
// submitted again, and against sections whose digest depends on their order.
func TestFormatAndEncodeRoundTrip(t *testing.T) {
	d := parseExample(t)
	d.Sections[1].Services[0].Name = "null" // YAML words must come back as names
	d.Sections[1].Routes[0].Service = "null"
	text, err := document.Format(d)
	if err != nil {
		t.Fatal(err)
	}
	got, err := document.Parse("formatted", text)
	if err != nil {
		t.Fatalf("parse formatted document: %v\n%s", err, text)
	}
	if !reflect.DeepEqual(got, d) {
		t.Errorf("got %+v, want %+v", got, d)
	}
	for _, s := range d.Sections {
		data, err := document.EncodeSection(s)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := document.DecodeSection(data); err != nil || !reflect.DeepEqual(got, s) {
			t.Errorf("got section %+v, error %v, want %+v", got, err, s)
		}
		if len(s.Routes) > 1 {
			s.Routes = []document.Route{s.Routes[1], s.Routes[0]}
			if again, err := document.EncodeSection(s); err != nil || string(again) != string(data) {
				t.Errorf("section %q: encoding depends on the order of routes (error %v)", s.Name, err)
			}
		}
	}
}

// Guards against two encodings of one section, which would have two digests.
func TestDecodeSectionIsStrict(t *testing.T) {
	s := document.Section{Name: "stock", Team: "stock-team"}
	data, err := document.EncodeSection(s)
	if err != nil {
		t.Fatal(err)
	}
	marshal := func(v any) []byte {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for name, bad := range map[string][]byte{
		"trailing byte": append(append([]byte{}, data...), 0),
		"cut":           data[:len(data)-1],
		"unknown field": marshal(map[int]any{1: "stock", 2: "stock-team", 3: nil, 4: nil, 9: 1}),
		"missing field": marshal(map[int]any{1: "stock", 2: "stock-team"}),
		"empty list":    marshal(map[int]any{1: "stock", 2: "stock-team", 3: []int{}, 4: nil}),
		"duplicate key": {0xa2, 0x01, 0x61, 0x61, 0x01, 0x61, 0x62},
		"indefinite":    {0xbf, 0x01, 0x61, 0x61, 0xff},
		"empty":         {},
	} {
		if got, err := document.DecodeSection(bad); err == nil {
			t.Errorf("%s: got %+v, want an error", name, got)
		}
	}
}

// FuzzParse guards against a crash of the parser, a fault without a position,
// and an accepted document that does not survive being written and read again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		validDocument, "", "sections: []", "sections: [{name: a, team: b}, {name: a}]", "? [a]\n: b",
		"a: &x\n - *x\n", "sections:\n- name: \"\\x41\"\n  team: |\n    b\n", "%TAG ! !\n--- !x\n...\n",
		strings.Repeat("{a: ", 20), "\ufeffsections: []\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := document.Parse("fuzz", data)
		if err != nil {
			var faults document.Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("got error %v, want Faults", err)
			}
			for _, fault := range faults {
				if fault.Line < 1 || fault.Column < 1 || fault.Message == "" {
					t.Fatalf("fault without position or message: %+v", fault)
				}
			}
			return
		}
		text, err := document.Format(d)
		if err != nil {
			t.Fatalf("format parsed document: %v", err)
		}
		if again, err := document.Parse("fuzz", text); err != nil || !reflect.DeepEqual(again, d) {
			t.Fatalf("got %+v, error %v, want %+v", again, err, d)
		}
	})
}
