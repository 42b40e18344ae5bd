// Package documentsubmit is the command that submits changed sections and
// waits until they are in effect.
package documentsubmit

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/change"
	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// Options are the options of the command.
type Options struct {
	Streams      command.Streams
	API          api.Invoker
	File         string
	Base         Base
	SubmissionID string // empty: NewID
	Wait         bool
	Timeout      time.Duration // of submission and waiting together
	JSON         bool
	// Repeat holds further arguments of the command line that repeats this one.
	RepeatFlags []string

	NewSubmissionID func() string
	MaxPollInterval time.Duration // longest pause between reads of the status
	Now             func() time.Time
}

// Base is the version that the file was made from.
type Base struct {
	Number uint64
	Set    bool // otherwise the current version
}

// parse sets the number.
func (b *Base) parse(s string) error {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return errors.New("not a version number")
	}
	*b = Base{Number: n, Set: true}
	return nil
}

// New returns the command.
func New(s command.Streams) *ffcli.Command {
	// A status takes one request to each availability zone; twice a second
	// keeps these small against the control traffic of a change.
	o := Options{Streams: s, NewSubmissionID: newSubmissionID, MaxPollInterval: 500 * time.Millisecond, Now: time.Now}
	var c command.Connection
	fs := command.FlagSet("document submit")
	c.RegisterFlags(fs)
	fs.Func("base", "`number` of the version that FILE was made from; without it, the current version", o.Base.parse)
	fs.StringVar(&o.SubmissionID, "submission-id", "", "`id` of an earlier submission, to repeat it; without it, a new one")
	fs.BoolVar(&o.Wait, "wait", true, "wait until the version is in effect in every zone")
	fs.DurationVar(&o.Timeout, "timeout", 30*time.Second, "give up waiting after this `duration`")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	return command.NewCommand(command.Spec{
		Path: "document submit", Operands: "FILE", MinOperands: 1, MaxOperands: 1,
		Short: "Submit the sections of your team that FILE changes, and wait until they are in effect.",
		Long: `FILE holds the whole document. It is compared with the base version, and the
sections of the team of the token that differ are sent. Sections of other teams
are never sent. Each submission has an id; repeating a submission with the same
id and base is safe, since it is accepted at most once, and an id that was
refused is never accepted later.`,
		Examples: []string{
			"peridotlb document submit mesh.yaml",
			"peridotlb document submit mesh.yaml --base 41 --submission-id 20260102-1f9c2ab04e77d310",
			"peridotlb document submit mesh.yaml --wait=false",
		},
	}, fs, func(ctx context.Context, operands []string) (err error) {
		o.File = operands[0]
		if o.Timeout <= 0 {
			return command.UsageError("--timeout: %s is not positive", o.Timeout)
		}
		o.RepeatFlags = repeatFlags(fs)
		if o.API, err = c.NewClient(); err != nil {
			return err
		}
		return Run(ctx, o)
	})
}

// newID returns an id with the date for people and 64 random bits.
func newSubmissionID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return time.Now().UTC().Format("20060102") + "-" + hex.EncodeToString(b[:])
}

// repeatFlags returns the flags given, without those that Run adds. The token
// is left out because the message with the command may end up in a log.
func repeatFlags(fs *flag.FlagSet) []string {
	var out []string
	fs.Visit(func(f *flag.Flag) {
		switch f.Name {
		case "base", "submission-id", "token":
		default:
			out = append(out, "--"+f.Name+"="+f.Value.String())
		}
	})
	return out
}

// Result is the result in JSON.
type Result struct {
	Submission string          `json:"submission"`
	Base       uint64          `json:"base"`
	Outcome    string          `json:"outcome"` // accepted, refused, unknown, nothing-to-submit
	Version    uint64          `json:"version,omitempty"`
	Changed    []string        `json:"changed"`
	Removed    []string        `json:"removed"`
	NotSent    []string        `json:"not-sent"` // differing sections of other teams
	Converged  bool            `json:"converged"`
	Zones      map[string]bool `json:"zones,omitempty"` // zones and whether they converged
	Refusal    *api.Refused    `json:"refusal,omitempty"`
	Error      string          `json:"error,omitempty"`
}

// run is one run of the command.
type submitter struct {
	Options
	result Result
}

// Run submits the file.
func Run(ctx context.Context, o Options) error {
	r := &submitter{Options: o}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	err := r.run(ctx)
	if o.JSON && r.result.Outcome != "" {
		if err != nil {
			r.result.Error = err.Error()
		}
		if jsonErr := command.WriteJSON(o.Streams, r.result); jsonErr != nil {
			return jsonErr
		}
	}
	return err
}

func (r *submitter) run(ctx context.Context) error {
	edited, err := command.ReadDocument(r.Streams, r.File)
	if err != nil {
		return err
	}
	own, err := r.ownChanges(ctx, edited)
	if err != nil && r.SubmissionID != "" && r.Base.Set {
		r.result.Submission, r.result.Base = r.SubmissionID, r.Base.Number
		return r.unknownOutcome(err.Error())
	}
	if err != nil {
		return err
	}
	if len(r.result.NotSent) > 0 {
		fmt.Fprintf(r.Streams.Err, "not sent, since they belong to other teams: %s\n", strings.Join(r.result.NotSent, ", "))
	}
	if own.IsEmpty() {
		r.result.Outcome = "nothing-to-submit"
		r.printf("nothing to submit: the sections of your team are as in version %d\n", r.result.Base)
		return nil
	}
	r.result.Submission = r.SubmissionID
	if r.SubmissionID == "" {
		r.result.Submission = r.NewSubmissionID()
	}
	fmt.Fprintf(r.Streams.Err, "submission id: %s\n", r.result.Submission)
	if err := r.submit(ctx, own); err != nil {
		return err
	}
	r.printf("accepted as version %d: changed %s\n", r.result.Version, joinNames(own.Names()))
	if !r.Wait {
		return nil
	}
	return r.wait(ctx)
}

// print prints for people.
func (r *submitter) printf(format string, args ...any) {
	if !r.JSON {
		fmt.Fprintf(r.Streams.Out, format, args...)
	}
}

// compare returns the change to the sections of the team of the token.
func (r *submitter) ownChanges(ctx context.Context, edited document.Document) (change.Change, error) {
	pong, err := r.API.Ping(ctx)
	if err != nil {
		return change.Change{}, command.ErrorFromAPI(err)
	}
	base := command.DocumentVersion{}
	if !r.Base.Set || r.Base.Number > 0 {
		if base, err = command.FetchDocument(ctx, r.API, r.Base.Number); err != nil {
			return change.Change{}, err
		}
	}
	all, err := change.Between(base.Document, edited)
	if err != nil {
		return change.Change{}, err
	}
	own, foreign := all.SplitByTeam(base.Document, document.TeamName(pong.Team))
	r.result.Base = base.Number
	r.result.Changed, r.result.Removed, r.result.NotSent = []string{}, toStrings(own.Removed), toStrings(foreign)
	for _, s := range own.Changed {
		r.result.Changed = append(r.result.Changed, string(s.Name))
	}
	return own, nil
}

func toStrings[T ~string](items []T) []string {
	out := make([]string, len(items))
	for i, v := range items {
		out[i] = string(v)
	}
	return out
}

func joinNames(names []document.SectionName) string { return strings.Join(toStrings(names), ", ") }

func (r *submitter) submit(ctx context.Context, own change.Change) error {
	request := &api.Submission{ID: r.result.Submission, Base: r.result.Base, Removed: toStrings(own.Removed)}
	for _, s := range own.Changed {
		request.Changed = append(request.Changed, operator.SectionToAPI(s))
	}
	answer, err := r.API.SubmitDocument(ctx, request)
	if err != nil {
		return r.submitError(err)
	}
	switch a := answer.(type) {
	case *api.Accepted:
		r.result.Outcome, r.result.Version = "accepted", a.Version
		return nil
	case *api.Refused:
		r.result.Outcome, r.result.Refusal = "refused", a
		for _, c := range a.Conflicts {
			fmt.Fprintf(r.Streams.Err, "conflict: section %s changed between version %d, which you edited, and version %d; see peridotlb document diff --base %d --to %d\n", c.Section, c.Base, c.Head, c.Base, c.Head)
		}
		for _, f := range a.Faults {
			fmt.Fprintf(r.Streams.Err, "fault: %s\n", f.Message)
		}
		return command.Error{Code: command.ExitRefused, Text: "refused: " + a.Reason, Hint: a.Hint}
	case *api.Unknown:
		return r.unknownOutcome(a.Error)
	default:
		return fmt.Errorf("unexpected answer %T", answer)
	}
}

// failed returns the error of a submission without an answer. Unless it is
// certain that no request arrived, the outcome is unknown. A repeated submission
// stays unknown when only this request was turned down, as for its rate.
func (r *submitter) submitError(err error) error {
	var failed *api.FailedStatusCode
	var unreachable *command.UnreachableError
	switch {
	case errors.As(err, &failed) && failed.StatusCode < 500 && r.SubmissionID == "":
		return command.ErrorFromAPI(err)
	case errors.As(err, &unreachable) && !unreachable.RequestSent:
		return command.Error{Code: command.ExitUnreachable, Text: unreachable.Error(), Hint: "nothing was sent; " + r.repeatHint()}
	default:
		return r.unknownOutcome(command.ErrorFromAPI(err).Error())
	}
}

func (r *submitter) unknownOutcome(why string) error {
	r.result.Outcome = "unknown"
	return command.Error{Code: command.ExitUnknown, Text: "it is not known whether the submission was accepted: " + why, Hint: r.repeatHint()}
}

// repeat returns the command line that repeats the submission. It names the
// base, because the current version may already contain the change.
func (r *submitter) repeatHint() string {
	words := []string{"peridotlb", "document", "submit", r.File, "--base=" + strconv.FormatUint(r.result.Base, 10), "--submission-id=" + r.result.Submission}
	for i, w := range words {
		words[i] = shellQuote(w)
	}
	for _, w := range r.RepeatFlags {
		words = append(words, shellQuote(w))
	}
	return "repeat it, which is safe, with: " + strings.Join(words, " ")
}

// quote quotes a word for a POSIX shell.
func shellQuote(w string) string {
	plain := strings.IndexFunc(w, func(c rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_=./:,", c)
	}) < 0
	if plain && w != "" {
		return w
	}
	return "'" + strings.ReplaceAll(w, "'", `'\''`) + "'"
}
