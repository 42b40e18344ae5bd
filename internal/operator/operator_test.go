package operator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/operator/api"
	"github.com/peridotlb/peridotlb/internal/operator/operatortest"
	"github.com/peridotlb/peridotlb/internal/settings"
)

const (
	stockToken   = "0123456789abcdef"
	roadToken    = "fedcba9876543210"
	testDocument = `sections:
  - name: stock
    team: stock-team
    services:
      - {name: bead-stock, slots: 9, connections: 130, warm-up: 10s}
    routes:
      - {name: read-stock, path-prefix: /stock, methods: [GET], service: bead-stock, timeout: 2s, retries: 2}
`
)

func startServer(t *testing.T, b operator.Backend) string {
	t.Helper()
	h, err := operator.New(operator.Config{
		Backend: b, Host: host.Row{ID: "pwani-a-1", Zone: "pwani-a", Region: "pwani"}, Release: "test",
		Tokens: []settings.OperatorToken{{Team: "stock-team", Token: stockToken}, {Team: "road-team", Token: roadToken}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

type bearer string

func (b bearer) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(b)}, nil
}

func newClient(t *testing.T, url, token string) *api.Client {
	t.Helper()
	c, err := api.NewClient(url, bearer(token))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// must returns the value of a call that must not fail.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func sendRequest(t *testing.T, method, url, token, body string) (int, map[string]string) {
	t.Helper()
	r := must(http.NewRequest(method, url, strings.NewReader(body)))
	r.Header.Set("Content-Type", "application/json")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data := must(io.ReadAll(resp.Body))
	var out map[string]string
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatalf("%s %s: %v: %s", method, url, err, data)
	}
	return resp.StatusCode, out
}

// Verifies that error responses have a hint, that requests need a valid token and
// that the size of bodies is limited.
func TestErrors(t *testing.T) {
	b := &operatortest.Backend{}
	url := startServer(t, b)
	large := `{"id":"a","base":0,"document":"` + strings.Repeat("x", operator.MaxRequestBytes) + `"}`
	for _, c := range []struct {
		name, method, path, token, body string
		want                            int
	}{
		{"no token", "GET", "/v1/ping", "", "", 401},
		{"bad token", "GET", "/v1/ping", stockToken + "0", "", 401},
		{"part of token", "POST", "/v1/submissions", stockToken[:8], `{"id":"a","base":0}`, 401},
		{"no path", "GET", "/v2/ping", stockToken, "", 404},
		{"method", "DELETE", "/v1/document", stockToken, "", 405},
		{"no version", "GET", "/v1/versions/7", stockToken, "", 404},
		{"no section", "GET", "/v1/sections/none", stockToken, "", 404},
		{"bad number", "GET", "/v1/versions/x", stockToken, "", 400},
		{"limit", "GET", "/v1/versions?limit=201", stockToken, "", 400},
		{"bad JSON", "POST", "/v1/submissions", stockToken, "{", 400},
		{"bad id", "POST", "/v1/submissions", stockToken, `{"id":"a b","base":0}`, 400},
		{"base not there", "POST", "/v1/submissions", stockToken, `{"id":"a","base":9,"document":"sections: []"}`, 404},
		{"too large", "POST", "/v1/submissions", stockToken, large, 413},
	} {
		status, got := sendRequest(t, c.method, url+c.path, c.token, c.body)
		if status != c.want || got["error"] == "" || got["hint"] == "" {
			t.Errorf("%s: got %d %v, want %d with error and hint", c.name, status, got, c.want)
		}
	}
	b.SetUnavailable(true)
	for _, path := range []string{"document", "versions", "sections", "status", "servers", "routes", "organisations", "timeline"} {
		if status, got := sendRequest(t, "GET", url+"/v1/"+path, stockToken, ""); status != 503 || got["hint"] == "" {
			t.Errorf("platform unavailable: %s: got %d %v, want 503 with a hint", path, status, got)
		}
	}
}

// Verifies that a token can't change sections of another team and that the outcomes
// of submissions are told apart.
func TestSubmissions(t *testing.T) {
	b := &operatortest.Backend{}
	url := startServer(t, b)
	stock, road := newClient(t, url, stockToken), newClient(t, url, roadToken)
	ctx := t.Context()
	if got, want := must(road.Ping(ctx)).Team, "road-team"; got != want {
		t.Errorf("team: got %q, want %q", got, want)
	}
	doc := must(document.Parse("f", []byte(testDocument)))
	section := operator.SectionToAPI(doc.Sections[0])
	submit := func(c *api.Client, s api.Submission) any {
		t.Helper()
		return must(c.SubmitDocument(ctx, &s))
	}
	if got, ok := submit(road, api.Submission{ID: "1", Changed: []api.Section{section}}).(*api.Refused); !ok || len(got.Faults) != 1 || got.Hint == "" {
		t.Errorf("section of another team: got %+v, want one fault", got)
	}
	got := submit(stock, api.Submission{ID: "1", Changed: []api.Section{section}})
	if want := (&api.Accepted{Version: 1}); !reflect.DeepEqual(got, want) {
		t.Errorf("structured: got %+v, want %+v", got, want)
	}
	b.MakeNextUnknown(1)
	edited := api.Submission{ID: "2", Base: 1, Document: api.NewOptString(strings.Replace(testDocument, "slots: 9", "slots: 12", 1))}
	if got, ok := submit(stock, edited).(*api.Unknown); !ok || got.Hint == "" {
		t.Errorf("lost: got %+v, want unknown with a hint", got)
	}
	got = submit(stock, edited)
	if want := (&api.Accepted{Version: 2}); !reflect.DeepEqual(got, want) {
		t.Errorf("repeated: got %+v, want %+v", got, want)
	}
	bad := edited
	bad.ID, bad.Document = "3", api.NewOptString("sections:\n  - name: Stock\n    team: stock-team\n")
	if got, ok := submit(stock, bad).(*api.Refused); !ok || len(got.Faults) == 0 || got.Faults[0].Line.Value != 2 {
		t.Errorf("faulty text: got %+v, want a fault in line 2", got)
	}
	section.Services[0].WarmUp = "10"
	if got, ok := submit(stock, api.Submission{ID: "4", Base: 2, Changed: []api.Section{section}}).(*api.Refused); !ok || len(got.Faults) != 1 {
		t.Errorf("duration without unit: got %+v, want one fault", got)
	}
	section.Services[0].WarmUp = "20s"
	conflicting := api.Submission{ID: "5", Base: 1, Changed: []api.Section{section}}
	b.MakeNextUnknown(1)
	if got, ok := submit(stock, conflicting).(*api.Unknown); !ok || !strings.Contains(got.Error, "version 1, which was edited") {
		t.Errorf("refusal that was not recorded: got %+v, want unknown with the conflict", got)
	}
	conflict, ok := submit(stock, conflicting).(*api.Refused)
	if want := []api.Conflict{{Section: "stock", Base: 1, Head: 2}}; !ok || !reflect.DeepEqual(conflict.Conflicts, want) {
		t.Errorf("conflict: got %+v, want %+v", conflict, want)
	}
	versions := must(stock.ListVersions(ctx, api.ListVersionsParams{Limit: api.NewOptInt(1)})).Versions
	if len(versions) != 1 || versions[0].Number != 2 || !reflect.DeepEqual(versions[0].Changed, []string{"stock"}) {
		t.Errorf("history: got %+v, want version 2 that changed stock", versions)
	}
	first := must(stock.GetVersion(ctx, api.GetVersionParams{Number: 1}))
	converted := must(operator.DocumentFromAPI(first.Sections))
	if !reflect.DeepEqual(converted, doc) {
		t.Errorf("version 1: got %+v, want %+v", converted, doc)
	}
	if parsed := must(document.Parse("f", []byte(first.Yaml))); !reflect.DeepEqual(parsed, doc) {
		t.Errorf("version 1 as YAML: got %+v, want %+v", parsed, doc)
	}
}

// Verifies that the API passes on all filters of the timeline and fractions of
// seconds.
func TestTimelineFilters(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 123456000, time.UTC)
	all := operator.Event{Time: at, Counter: 3, Kind: "call-retried", Host: "pwani-a-1", Zone: "pwani-a", Region: "pwani", Subject: "pwani-a-2", Version: 4, Server: "bead-1", CallID: "c", Detail: "dial"}
	b := &operatortest.Backend{Events: []operator.Event{all}, Unanswered: []host.ID{"pwani-b-1"}, Overflowed: []host.ID{"pwani-a-1"}}
	c := newClient(t, startServer(t, b), stockToken)
	got := must(c.QueryTimeline(t.Context(), api.QueryTimelineParams{
		Kind: api.NewOptString("call-retried"), Version: api.NewOptUint64(4), Server: api.NewOptString("bead-1"),
		CallID: api.NewOptString("c"), Zone: api.NewOptString("pwani-a"), Since: api.NewOptDateTime(at),
	}))
	want := &api.Timeline{Unanswered: []string{"pwani-b-1"}, Overflowed: []string{"pwani-a-1"}, Events: []api.Event{{
		Time: at, Counter: 3, Kind: "call-retried", Host: "pwani-a-1", Zone: "pwani-a", Region: api.NewOptString("pwani"), SubjectHost: api.NewOptString("pwani-a-2"),
		Version: api.NewOptUint64(4), Server: api.NewOptString("bead-1"), CallID: api.NewOptString("c"), Detail: api.NewOptString("dial"),
	}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for name, p := range map[string]api.QueryTimelineParams{
		"kind":    {Kind: api.NewOptString("x")},
		"version": {Version: api.NewOptUint64(5)},
		"server":  {Server: api.NewOptString("x")},
		"call id": {CallID: api.NewOptString("x")},
		"zone":    {Zone: api.NewOptString("x")},
		"since":   {Since: api.NewOptDateTime(at.Add(time.Microsecond))},
	} {
		if got := must(c.QueryTimeline(t.Context(), p)).Events; len(got) != 0 {
			t.Errorf("%s: got %+v, want no event", name, got)
		}
	}
}

// Verifies that the rate of requests is limited, since token guessing and runaway
// scripts would overload the daemon.
func TestRateLimit(t *testing.T) {
	h, err := operator.New(operator.Config{Backend: &operatortest.Backend{}, Rate: 5})
	if err != nil {
		t.Fatal(err)
	}
	limited := 0
	for range 50 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/ping", nil))
		if w.Code == http.StatusTooManyRequests {
			limited++
		}
	}
	if limited == 0 {
		t.Error("requests over the rate limit: got none of 50 refused at a rate of 5, want some")
	}
}

// TestOrganisationsOverTheAPI guards against a submission that loses organisations or
// public routes, which would open or close routes for all callers, and against a list
// or an error that shows the digest of a key.
func TestOrganisationsOverTheAPI(t *testing.T) {
	digest := strings.Repeat("ab", 32)
	d, err := document.Parse("x", []byte(strings.Replace(testDocument, "retries: 2}", "retries: 2, public: true}", 1)+`    organisations:
      - {name: bead-house, key-digests: ["`+digest+`"], priority: 0, rate-per-second: 2.5, burst: 10}
      - {name: open, key-digests: []}
`))
	if err != nil {
		t.Fatal(err)
	}
	section := operator.SectionToAPI(d.Sections[0])
	if got, err := operator.SectionFromAPI(section); err != nil || !reflect.DeepEqual(got, d.Sections[0]) {
		t.Errorf("got %+v, error %v, want %+v", got, err, d.Sections[0])
	}
	section.Organisations[0].KeyDigests[0] = "k3y"
	if _, err := operator.SectionFromAPI(section); err == nil || strings.Contains(err.Error(), "k3y") {
		t.Errorf("got error %v, want one without the text of the key", err)
	}
	c := newClient(t, startServer(t, &operatortest.Backend{}), stockToken)
	sections := []api.Section{operator.SectionToAPI(d.Sections[0])}
	must(c.SubmitDocument(t.Context(), &api.Submission{ID: "a", Changed: sections}))
	list := must(c.ListOrganisations(t.Context()))
	text := string(must(json.Marshal(list)))
	if len(list.Organisations) != 2 || list.Organisations[0].Keys != 1 || strings.Contains(text, digest) {
		t.Errorf("got %s, want two organisations without digests", text)
	}
}
