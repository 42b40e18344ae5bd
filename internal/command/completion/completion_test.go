package completion_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/peridotlb/peridotlb/internal/command"
	"github.com/peridotlb/peridotlb/internal/command/completion"
	"github.com/peridotlb/peridotlb/internal/command/root"
)

func newScript(t *testing.T, shell completion.Shell, tree *ffcli.Command) string {
	t.Helper()
	var out bytes.Buffer
	if err := completion.Run(completion.Options{Streams: command.Streams{Out: &out}, Shell: shell, Tree: tree}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// completeBash evaluates the script in bash and returns the completions of the last
// word, sorted.
func completeBash(t *testing.T, script string, words ...string) []string {
	t.Helper()
	const call = `
COMP_WORDS=("$@"); COMP_CWORD=$(($# - 1))
_peridotlb
[[ ${#COMPREPLY[@]} == 0 ]] || printf '%s\n' "${COMPREPLY[@]}"`
	c := exec.CommandContext(t.Context(), "bash", append([]string{"--norc", "-eu", "-c", script + call, "bash"}, words...)...)
	c.Dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(c.Dir, "mesh.yaml"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	var errs bytes.Buffer
	c.Stderr = &errs
	out, err := c.Output()
	if err != nil || errs.Len() > 0 {
		t.Fatalf("%q: got error %v and %q", words, err, errs.String())
	}
	got := strings.Fields(string(out))
	slices.Sort(got)
	return got
}

// Guards against a bash script that does not parse, offers words of another command,
// offers flags in place of values, or offers no files.
func TestBash(t *testing.T) {
	text := newScript(t, completion.Bash, root.New(command.Streams{}))
	for line, want := range map[string]string{
		"peridotlb sta":                                   "status",
		"peridotlb se":                                    "section server",
		"peridotlb document s":                            "show submit",
		"peridotlb --help document s":                     "show submit",
		"peridotlb completion ":                           "bash fish zsh",
		"peridotlb unknown ":                              "",
		"peridotlb document submit --w":                   "--wait",
		"peridotlb document submit mesh.yaml --t":         "--timeout --token",
		"peridotlb route list --h":                        "--help",
		"peridotlb status --w":                            "",
		"peridotlb document submit ":                      "mesh.yaml",
		"peridotlb document submit --base ":               "",
		"peridotlb document submit --base = ":             "",
		"peridotlb status --ca-file me":                   "mesh.yaml",
		"peridotlb status --ca-file =":                    "mesh.yaml",
		"peridotlb status --ca-file = me":                 "mesh.yaml",
		"peridotlb document submit --token document mesh": "mesh.yaml",
	} {
		if got := strings.Join(completeBash(t, text, strings.Split(line, " ")...), " "); got != want {
			t.Errorf("%q: got %q, want %q", line, got, want)
		}
	}
}

// Guards against a new command without completion. Only the bash script is run; the
// scripts of the other shells are searched for the names.
func TestScriptsFollowCommandTree(t *testing.T) {
	fs := command.NewFlagSet("gate close")
	fs.Int("grace", 0, "seconds; it's a `number`")
	leaf := command.NewCommand(command.Spec{Path: "gate close", Short: "Close the operator's gate."}, fs, nil)
	tree := command.NewGroup("", "", command.NewGroup("gate", "Gates.", leaf))
	bash := newScript(t, completion.Bash, tree)
	for line, want := range map[string]string{"peridotlb ": "gate", "peridotlb gate ": "close", "peridotlb gate close --g": "--grace"} {
		if got := strings.Join(completeBash(t, bash, strings.Split(line, " ")...), " "); got != want {
			t.Errorf("%q: got %q, want %q", line, got, want)
		}
	}
	for shell, parts := range map[completion.Shell][]string{
		completion.Zsh:  {`'gate:Gates.'`, `'close:Close the operator'\''s gate.'`, `'--grace:seconds; it'\''s a number'`},
		completion.Fish: {`at ' -a gate -d 'Gates.'`, `at gate' -a close -d 'Close the operator\'s gate.'`, `in gate close' -l grace -x -d 'seconds; it\'s a number'`},
	} {
		text := newScript(t, shell, tree)
		for _, want := range parts {
			if !strings.Contains(text, want) {
				t.Errorf("%s: got %s, want %s in it", shell, text, want)
			}
		}
	}
}
