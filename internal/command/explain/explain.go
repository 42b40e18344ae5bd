// Package explain implements "peridotlb explain", which finds the log lines about
// a call, a backend server or a version in the logs of several daemons.
package explain

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
)

// Options are the options of the command.
type Options struct {
	Streams command.Streams
	Stdin   io.Reader // read in place of the file "-"
	Call    string    // id of a call; empty if Server or Version is set
	Server  string    // id of a backend server
	Version uint64
	Files   []string
	JSON    bool
}

// New returns the "explain" command.
func New(s command.Streams) *ffcli.Command {
	o := Options{Streams: s, Stdin: os.Stdin}
	fs := command.NewFlagSet("explain")
	fs.StringVar(&o.Server, "server", "", "explain a backend `server` instead of a call")
	fs.Uint64Var(&o.Version, "version", 0, "explain a `version` instead of a call")
	fs.BoolVar(&o.JSON, "json", false, "print JSON")
	return command.NewCommand(command.Spec{
		Path: "explain", Operands: "[CALL-ID] FILE...", MinOperands: 1, MaxOperands: 1 << 16,
		Short: "Find the log lines about a call, a backend server or a version in the JSON logs of the daemons.",
		Long: "Prints the lines about a call in chronological order, together with events of the\n" +
			"backend servers that it tried, and marks the line that decided it. FILE is a log\n" +
			"of one or several daemons; - is the standard input.",
		Examples: []string{"peridotlb explain 9c41d07be2a35f68 daemon-*.log", "peridotlb explain --server stock-1 all.log", "peridotlb explain --version 12 - < all.log"},
	}, fs, func(_ context.Context, operands []string) error {
		o.Files = operands
		if o.Server == "" && o.Version == 0 {
			if len(operands) < 2 {
				return command.UsageError("explain takes a call id and at least one file")
			}
			o.Call, o.Files = operands[0], operands[1:]
		}
		return Run(o)
	})
}

// Line is a line of a daemon's log.
type Line struct {
	Time    time.Time `json:"time"`
	Daemon  string    `json:"daemon"`
	Part    string    `json:"part,omitempty"` // part of the daemon that wrote the line, the name of its logger
	Message string    `json:"message"`
	Detail  string    `json:"detail,omitempty"`
	Decided bool      `json:"decided,omitempty"` // whether the line reports the final failure of the call

	fields logFields
}

// logFields are the fields of log lines by which the command selects lines.
type logFields struct {
	Time     string `json:"ts"`
	Daemon   string `json:"daemon"`
	Logger   string `json:"logger"`
	Message  string `json:"msg"`
	Call     string `json:"call"`
	Server   string `json:"server"`
	Version  uint64 `json:"version"`
	Event    string `json:"event"`
	Attempts []struct {
		Server string `json:"server"`
	} `json:"attempts"`
}

// serverLineWindow is the time before the first and after the last line of a call
// in which events of its backend servers are also shown.
const serverLineWindow = 5 * time.Second

// Run reads the logs and prints the selected lines.
func Run(o Options) error {
	all, unread, err := readLogs(o)
	if err != nil {
		return err
	}
	lines := selectLines(o, all)
	if len(lines) == 0 {
		return command.Error{
			Code: command.ExitRefused, Text: "no log line is about this call, backend server or version",
			Hint: "use the logs of all daemons of that time; calls without failures are not logged, and more than ten equal lines in a second are dropped",
		}
	}
	if o.JSON {
		return command.WriteJSON(o.Streams, map[string]any{"lines": lines, "unread": unread})
	}
	t := command.Table{Header: []string{"", "TIME", "DAEMON", "PART", "MESSAGE", "DETAIL"}}
	decided := false
	for _, l := range lines {
		mark := ""
		if l.Decided {
			mark, decided = "*", true
		}
		t.AddRow(mark, l.Time.Format("15:04:05.000"), l.Daemon, l.Part, l.Message, l.Detail)
	}
	if err := t.Write(o.Streams); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if o.Call != "" && !decided {
		fmt.Fprintln(o.Streams.Err, "warning: the line of the daemon that the caller reached is missing; its log was not given, or the line was dropped")
	}
	if unread > 0 {
		fmt.Fprintf(o.Streams.Err, "warning: %d lines were not read, because they contain no JSON log entry\n", unread)
	}
	return nil
}

func readLogs(o Options) (all []Line, unread int, err error) {
	for _, name := range o.Files {
		lines, n, err := readLog(o, name)
		if err != nil {
			return nil, 0, command.UsageError("%v", err)
		}
		all, unread = append(all, lines...), unread+n
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return all, unread, nil
}

func readLog(o Options, name string) ([]Line, int, error) {
	if name == "-" {
		return readLines(o.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer file.Close()
	return readLines(file)
}

// readLines reads log lines in JSON. It skips text before the JSON, because log
// collectors add prefixes.
func readLines(r io.Reader) (lines []Line, unread int, err error) {
	in := bufio.NewReader(r)
	for {
		text, err := in.ReadString('\n')
		if l, ok := parseLine(text); ok {
			lines = append(lines, l)
		} else if strings.TrimSpace(text) != "" {
			unread++
		}
		if errors.Is(err, io.EOF) {
			return lines, unread, nil
		}
		if err != nil {
			return nil, 0, fmt.Errorf("read log: %w", err)
		}
	}
}

func parseLine(text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var l Line
	var others map[string]json.RawMessage
	data := []byte(text[i:])
	if json.Unmarshal(data, &l.fields) != nil || json.Unmarshal(data, &others) != nil {
		return Line{}, false
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", l.fields.Time)
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Daemon, l.Part, l.Message = at, l.fields.Daemon, l.fields.Logger, l.fields.Message
	l.Decided = l.fields.Message == "Call failed."
	for _, name := range []string{"ts", "daemon", "logger", "msg", "level", "call", "event"} {
		delete(others, name)
	}
	l.Detail = formatDetail(others)
	return l, true
}

// formatDetail formats the other fields as name=value, sorted by name.
func formatDetail(others map[string]json.RawMessage) string {
	var parts []string
	for name, value := range others {
		parts = append(parts, name+"="+strings.Trim(string(value), `"`))
	}
	slices.SortFunc(parts, cmp.Compare[string])
	return strings.Join(parts, " ")
}

// selectLines returns the lines that match the options, in their order. For a
// call, these include events of the backend servers that it tried.
func selectLines(o Options, all []Line) []Line {
	matches := func(l Line) bool {
		switch {
		case o.Call != "":
			return l.fields.Call == o.Call
		case o.Server != "":
			return l.fields.Server == o.Server && l.fields.Call == ""
		default:
			return l.fields.Version == o.Version
		}
	}
	servers := make(map[string]bool)
	var from, to time.Time
	for _, l := range all {
		if !matches(l) || o.Call == "" {
			continue
		}
		if from.IsZero() {
			from = l.Time.Add(-serverLineWindow)
		}
		to = l.Time.Add(serverLineWindow)
		servers[l.fields.Server] = true
		for _, a := range l.fields.Attempts {
			servers[a.Server] = true
		}
	}
	delete(servers, "")
	return slices.DeleteFunc(slices.Clone(all), func(l Line) bool {
		aboutServer := l.fields.Event != "" && servers[l.fields.Server] && !l.Time.Before(from) && !l.Time.After(to)
		return !matches(l) && !aboutServer
	})
}
