package documentsubmit

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// fakeAPI is an operator API whose responses are set by the test.
type fakeAPI struct {
	api.Invoker
	submit func(*api.Submission) (api.SubmitDocumentRes, error)
	status func(n int) (*api.Status, error)
	polls  int
	ping   error
}

func (f *fakeAPI) Ping(context.Context) (*api.Pong, error) {
	return &api.Pong{Team: "stock-team"}, f.ping
}

func (f *fakeAPI) GetDocument(context.Context) (*api.Document, error) {
	return &api.Document{Version: 7}, nil
}

func (f *fakeAPI) SubmitDocument(_ context.Context, s *api.Submission) (api.SubmitDocumentRes, error) {
	return f.submit(s)
}

func (f *fakeAPI) GetStatus(context.Context) (*api.Status, error) {
	f.polls++
	return f.status(f.polls)
}

func newOptions(t *testing.T, f *fakeAPI, out, errs *bytes.Buffer, terminal bool) Options {
	t.Helper()
	file := filepath.Join(t.TempDir(), "mesh's.yaml")
	text := "sections:\n  - {name: stock, team: stock-team}\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Options{
		Streams: command.Streams{Out: out, Err: errs, Terminal: terminal}, API: f, File: file, Wait: true,
		Timeout: time.Minute, NewSubmissionID: func() string { return "new-1" }, Now: func() time.Time { return time.Time{} },
	}
}

func acceptSubmission(*api.Submission) (api.SubmitDocumentRes, error) {
	return &api.Accepted{Version: 8}, nil
}

// newZoneStatus returns the status of a zone. Hosts with version 9, which is newer
// than the submitted version 8, count as having applied it.
func newZoneStatus(name string, hosts, applied int) api.ZoneStatus {
	return api.ZoneStatus{Zone: name, Hosts: hosts, Applied: []api.AppliedCount{{Version: 9, Hosts: applied}, {Version: 7, Hosts: hosts - applied}}}
}

// Guards against a progress line that stays on the terminal, zones that are not
// shown, and a wait that ends early or after a failed read of the status.
func TestProgressLine(t *testing.T) {
	f := &fakeAPI{submit: acceptSubmission, status: func(n int) (*api.Status, error) {
		switch n {
		case 1:
			return &api.Status{Zones: []api.ZoneStatus{newZoneStatus("pwani-a", 2, 1), {Zone: "pwani-b", Hosts: 3, Unreachable: true}}}, nil
		case 2:
			return nil, errors.New("connection lost")
		case 3:
			return &api.Status{Zones: []api.ZoneStatus{newZoneStatus("pwani-a", 2, 2), newZoneStatus("pwani-b", 3, 1)}}, nil
		default:
			return &api.Status{Zones: []api.ZoneStatus{newZoneStatus("pwani-a", 2, 2), newZoneStatus("pwani-b", 3, 3)}}, nil
		}
	}}
	var out, errs bytes.Buffer
	if err := Run(t.Context(), newOptions(t, f, &out, &errs, true)); err != nil {
		t.Fatal(err)
	}
	want := "accepted as version 8: changed stock\n" +
		"\r\x1b[Kwaiting: pwani-a 1/2, pwani-b unreachable" +
		"\r\x1b[Kzone pwani-a applied version 8 on 2 hosts after 0.0 s\n" +
		"\r\x1b[Kwaiting: pwani-b 1/3" +
		"\r\x1b[Kzone pwani-b applied version 8 on 3 hosts after 0.0 s\n" +
		"version 8 is in effect in all 2 zones\n"
	if got := out.String(); got != want {
		t.Errorf("output:\ngot  %q\nwant %q", got, want)
	}
}

// Guards against an interrupted wait that does not report that the version was
// accepted.
func TestInterruptedWait(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fakeAPI{submit: acceptSubmission, status: func(int) (*api.Status, error) {
		cancel()
		return &api.Status{Zones: []api.ZoneStatus{newZoneStatus("pwani-a", 2, 1)}}, nil
	}}
	var out, errs bytes.Buffer
	o := newOptions(t, f, &out, &errs, false)
	o.MaxPollInterval = time.Hour
	got := Run(ctx, o)
	var e command.Error
	if !errors.As(got, &e) || e.Code != command.ExitUnknown || !strings.HasPrefix(e.Text, "interrupted: version 8 is accepted") {
		t.Errorf("got %v, want exit code %d and an accepted version", got, command.ExitUnknown)
	}
}

// Guards against a repeated submission that is reported as refused because a read
// request before it was rejected: the submission with this id may have been
// accepted.
func TestRepeatedSubmissionWithRejectedRead(t *testing.T) {
	for _, status := range []int{401, 429, 503} {
		var out, errs bytes.Buffer
		o := newOptions(t, &fakeAPI{ping: &api.FailedStatusCode{StatusCode: status}}, &out, &errs, false)
		o.SubmissionID, o.Base = "new-1", Base{Number: 7, Set: true}
		var got command.Error
		if err := Run(t.Context(), o); !errors.As(err, &got) || got.Code != command.ExitUnknown || !strings.HasSuffix(got.Hint, "--base=7 --submission-id=new-1") {
			t.Errorf("status %d: got %v with exit code %d, hint %q, want exit code 3 and a hint with the base and the id", status, err, got.Code, got.Hint)
		}
	}
}

// Guards against a lost response that is reported as a failure, a repeated
// submission that is reported as refused although only the request was rejected,
// and a repeat command that would submit something else.
func TestLostResponse(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want command.ExitCode
	}{
		{"rejected when repeated", &api.FailedStatusCode{StatusCode: 429}, command.ExitUnknown},
		{"lost", &command.UnreachableError{RequestSent: true, Err: errors.New("EOF")}, command.ExitUnknown},
		{"not sent", &command.UnreachableError{Err: errors.New("refused")}, command.ExitUnreachable},
		{"server fault", &api.FailedStatusCode{StatusCode: 500}, command.ExitUnknown},
		{"interrupted", context.Canceled, command.ExitUnknown},
		{"bad request", &api.FailedStatusCode{StatusCode: 400}, command.ExitRefused},
	} {
		f := &fakeAPI{submit: func(*api.Submission) (api.SubmitDocumentRes, error) { return nil, c.err }}
		var out, errs bytes.Buffer
		o := newOptions(t, f, &out, &errs, false)
		if strings.HasSuffix(c.name, "repeated") {
			o.SubmissionID = "new-1"
		}
		o.RepeatFlags = []string{"--operator-address=127.0.0.1:7405"}
		var got command.Error
		if err := Run(t.Context(), o); !errors.As(err, &got) || got.Code != c.want {
			t.Errorf("%s: got %v with exit code %d, want exit code %d", c.name, err, got.Code, c.want)
		}
		repeat := `mesh'\''s.yaml' --base=7 --submission-id=new-1 --operator-address=127.0.0.1:7405`
		if c.want != command.ExitRefused && !strings.HasSuffix(got.Hint, repeat) {
			t.Errorf("%s: hint: got %q, want it to end with %q", c.name, got.Hint, repeat)
		}
	}
}
