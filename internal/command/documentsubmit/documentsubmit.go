// Package documentsubmit implements "peridotlb document submit", which submits
// changed sections and waits until every zone has converged.
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
	SubmissionID string // empty means an id from NewSubmissionID
	Wait         bool
	Timeout      time.Duration // for the submission and the wait together
	JSON         bool
	// RepeatFlags holds further arguments of the command line that repeats the
	// submission.
	RepeatFlags []string

	NewSubmissionID func() string
	MaxPollInterval time.Duration // longest pause between two reads of the status
	Now             func() time.Time
}

// Base is the version that the file was made from.
type Base struct {
	Number uint64
	Set    bool // if false, the base is the current version
}

// parse sets the base from a version number.
func (b *Base) parse(s string) error {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return errors.New("not a version number")
	}
	*b = Base{Number: n, Set: true}
	return nil
}

// New returns the "document submit" command.
func New(s command.Streams) *ffcli.Command {
	// The daemon sends one request to each availability zone for a status. With
	// two reads a second, these are few compared with the control traffic of a
	// change.
	o := Options{Streams: s, NewSubmissionID: newSubmissionID, MaxPollInterval: 500 * time.Millisecond, Now: time.Now}
	var c command.Connection
	fs := command.NewFlagSet("document submit")
	c.RegisterFlags(fs)
	fs.Func("base", "`number` of the version that FILE was made from; without it, the current version", o.Base.parse)
	fs.StringVar(&o.SubmissionID, "submission-id", "", "`id` of an earlier submission, to repeat it; without it, a new one")
	fs.BoolVar(&o.Wait, "wait", true, "wait until every zone has converged, which means that all its hosts applied the version")
	fs.DurationVar(&o.Timeout, "timeout", 30*time.Second, "give up waiting after this `duration`")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	return command.NewCommand(command.Spec{
		Path: "document submit", Operands: "FILE", MinOperands: 1, MaxOperands: 1,
		Short: "Submit the sections of your team that FILE changes, and wait until every zone has converged.",
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

// newSubmissionID returns an id with the date, for readability, and 64 random bits.
func newSubmissionID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return time.Now().UTC().Format("20060102") + "-" + hex.EncodeToString(b[:])
}

// repeatFlags returns the flags that were set, except those that repeatHint adds.
// It omits the token, because the message with the command line may be logged.
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

// Result is the result of the command in JSON.
type Result struct {
	Submission string          `json:"submission"`
	Base       uint64          `json:"base"`
	Outcome    string          `json:"outcome"` // accepted, refused, unknown, nothing-to-submit
	Version    uint64          `json:"version,omitempty"`
	Changed    []string        `json:"changed"`
	Removed    []string        `json:"removed"`
	NotSent    []string        `json:"not-sent"`        // sections of other teams that differ
	Converged  bool            `json:"converged"`       // whether all zones have converged
	Zones      map[string]bool `json:"zones,omitempty"` // whether each zone has converged
	Refusal    *api.Refused    `json:"refusal,omitempty"`
	Error      string          `json:"error,omitempty"`
}

// submitter runs the command once and collects its result.
type submitter struct {
	Options
	result Result
}

// Run submits the sections that a file changes and waits for their convergence.
func Run(ctx context.Context, o Options) error {
	sub := &submitter{Options: o}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	err := sub.run(ctx)
	if o.JSON && sub.result.Outcome != "" {
		if err != nil {
			sub.result.Error = err.Error()
		}
		if jsonErr := command.WriteJSON(o.Streams, sub.result); jsonErr != nil {
			return jsonErr
		}
	}
	return err
}

func (sub *submitter) run(ctx context.Context) error {
	edited, err := command.ReadDocument(sub.Streams, sub.File)
	if err != nil {
		return err
	}
	own, err := sub.ownChanges(ctx, edited)
	if err != nil && sub.SubmissionID != "" && sub.Base.Set {
		sub.result.Submission, sub.result.Base = sub.SubmissionID, sub.Base.Number
		return sub.unknownOutcome(err.Error())
	}
	if err != nil {
		return err
	}
	if len(sub.result.NotSent) > 0 {
		fmt.Fprintf(sub.Streams.Err, "not sent, since they belong to other teams: %s\n", strings.Join(sub.result.NotSent, ", "))
	}
	if own.IsEmpty() {
		sub.result.Outcome = "nothing-to-submit"
		sub.printf("nothing to submit: the sections of your team are as in version %d\n", sub.result.Base)
		return nil
	}
	sub.result.Submission = sub.SubmissionID
	if sub.SubmissionID == "" {
		sub.result.Submission = sub.NewSubmissionID()
	}
	fmt.Fprintf(sub.Streams.Err, "submission id: %s\n", sub.result.Submission)
	if err := sub.submit(ctx, own); err != nil {
		return err
	}
	sub.printf("accepted as version %d: changed %s\n", sub.result.Version, joinNames(own.Names()))
	if !sub.Wait {
		return nil
	}
	return sub.wait(ctx)
}

// printf prints a message unless the output is JSON.
func (sub *submitter) printf(format string, args ...any) {
	if !sub.JSON {
		fmt.Fprintf(sub.Streams.Out, format, args...)
	}
}

// ownChanges compares the file with the base version and returns the changes to
// sections of the token's team.
func (sub *submitter) ownChanges(ctx context.Context, edited document.Document) (change.Change, error) {
	pong, err := sub.API.Ping(ctx)
	if err != nil {
		return change.Change{}, command.ErrorFromAPI(err)
	}
	base := command.DocumentVersion{}
	if !sub.Base.Set || sub.Base.Number > 0 {
		if base, err = command.FetchDocument(ctx, sub.API, sub.Base.Number); err != nil {
			return change.Change{}, err
		}
	}
	all, err := change.Between(base.Document, edited)
	if err != nil {
		return change.Change{}, err
	}
	for _, w := range document.ChangeWarnings(base.Document, edited) {
		fmt.Fprintf(sub.Streams.Err, "warning: %s\n", w)
	}
	own, otherTeams := all.SplitByTeam(base.Document, document.TeamName(pong.Team))
	sub.result.Base = base.Number
	sub.result.Changed, sub.result.Removed, sub.result.NotSent = []string{}, toStrings(own.Removed), toStrings(otherTeams)
	for _, s := range own.Changed {
		sub.result.Changed = append(sub.result.Changed, string(s.Name))
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

func (sub *submitter) submit(ctx context.Context, own change.Change) error {
	request := &api.Submission{ID: sub.result.Submission, Base: sub.result.Base, Removed: toStrings(own.Removed)}
	for _, s := range own.Changed {
		request.Changed = append(request.Changed, operator.SectionToAPI(s))
	}
	response, err := sub.API.SubmitDocument(ctx, request)
	if err != nil {
		return sub.submitError(err)
	}
	switch a := response.(type) {
	case *api.Accepted:
		sub.result.Outcome, sub.result.Version = "accepted", a.Version
		return nil
	case *api.Refused:
		sub.result.Outcome, sub.result.Refusal = "refused", a
		for _, c := range a.Conflicts {
			fmt.Fprintf(sub.Streams.Err, "conflict: section %s changed between version %d, which you edited, and version %d; see peridotlb document diff --base %d --to %d\n", c.Section, c.Base, c.Head, c.Base, c.Head)
		}
		for _, f := range a.Faults {
			fmt.Fprintf(sub.Streams.Err, "fault: %s\n", f.Message)
		}
		return command.Error{Code: command.ExitRefused, Text: "refused: " + a.Reason, Hint: a.Hint}
	case *api.Unknown:
		return sub.unknownOutcome(a.Error)
	default:
		return fmt.Errorf("unexpected response %T from the operator API", response)
	}
}

// submitError returns the error for a submission request that failed. The outcome
// is unknown unless it is certain that no request arrived. The outcome of a
// repeated submission stays unknown if only this request was rejected, for example
// by a rate limit, because an earlier request may have been accepted.
func (sub *submitter) submitError(err error) error {
	var failed *api.FailedStatusCode
	var unreachable *command.UnreachableError
	switch {
	case errors.As(err, &failed) && failed.StatusCode < 500 && sub.SubmissionID == "":
		return command.ErrorFromAPI(err)
	case errors.As(err, &unreachable) && !unreachable.RequestSent:
		return command.Error{Code: command.ExitUnreachable, Text: unreachable.Error(), Hint: "nothing was sent; " + sub.repeatHint()}
	default:
		return sub.unknownOutcome(command.ErrorFromAPI(err).Error())
	}
}

func (sub *submitter) unknownOutcome(reason string) error {
	sub.result.Outcome = "unknown"
	return command.Error{Code: command.ExitUnknown, Text: "it is not known whether the submission was accepted: " + reason, Hint: sub.repeatHint()}
}

// repeatHint returns a hint with the command line that repeats the submission. The
// command line has the base, because the current version may already contain the
// change.
func (sub *submitter) repeatHint() string {
	words := []string{"peridotlb", "document", "submit", sub.File, "--base=" + strconv.FormatUint(sub.result.Base, 10), "--submission-id=" + sub.result.Submission}
	for i, w := range words {
		words[i] = shellQuote(w)
	}
	for _, w := range sub.RepeatFlags {
		words = append(words, shellQuote(w))
	}
	return "repeat it, which is safe, with: " + strings.Join(words, " ")
}

// shellQuote quotes a word for a POSIX shell if necessary.
func shellQuote(w string) string {
	plain := strings.IndexFunc(w, func(c rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_=./:,", c)
	}) < 0
	if plain && w != "" {
		return w
	}
	return "'" + strings.ReplaceAll(w, "'", `'\''`) + "'"
}
