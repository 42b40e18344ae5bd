package scenario

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/internal/document"
)

var keepLogs = flag.Bool("keep-logs", false, "keep the directories of the meshes and log their paths")

// TestScenarios runs the scripts under testdata. The comment at the head of each
// script states which guarantee it tests under which failure.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios run real processes for up to three minutes")
	}
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts (%v), want some", len(files), err)
	}
	config := Config{BinDir: buildPrograms(t), Document: exampleDocument(t), KeepLogs: *keepLogs}
	runner := scriptRunner{T: t, knownFailures: readKnownFailures(t)}
	testscript.RunT(runner, testscript.Params{Files: files, Setup: config.Setup, Cmds: Commands()})
}

// resultsFileEnv is the environment variable with the path of the file to which
// the results of known failures are appended. The file is needed because go test
// prints no output of a package that passes.
const resultsFileEnv = "KNOWN_RED_RESULTS"

// scriptRunner runs scripts as subtests. If a script in KNOWN-RED.txt fails, the
// failure is reported and the subtest is skipped. If any other script fails, the
// test fails.
type scriptRunner struct {
	*testing.T

	knownFailures map[string]string // lines of KNOWN-RED.txt by script name
	isKnown       bool              // the script is listed in KNOWN-RED.txt
}

// Run runs one script as a subtest.
func (r scriptRunner) Run(name string, f func(testscript.T)) {
	r.T.Run(name, func(t *testing.T) {
		_, known := r.knownFailures[name]
		if known {
			t.Cleanup(func() {
				result := "passed"
				if t.Skipped() {
					result = "failed"
				}
				reportResult(t, "KNOWN RED: "+t.Name()+" "+result+" this time.")
			})
		}
		f(scriptRunner{T: t, knownFailures: r.knownFailures, isKnown: known})
	})
}

// Log logs like testing.T.Log. For a known failure, it also appends the line that
// describes the failure to the results file.
func (r scriptRunner) Log(args ...any) {
	r.T.Helper()
	r.T.Log(args...)
	if text := strings.TrimSpace(fmt.Sprint(args...)); r.isKnown {
		for line := range strings.Lines(text) {
			if strings.HasPrefix(line, "FAIL: ") {
				reportResult(r.T, strings.TrimSpace(line))
			}
		}
	}
}

// FailNow ends the script. It skips the subtest of a known failure instead of
// failing it.
func (r scriptRunner) FailNow() {
	if r.isKnown {
		r.T.SkipNow()
	}
	r.T.FailNow()
}

// Verbose reports whether scripts log every command.
func (r scriptRunner) Verbose() bool { return testing.Verbose() }

// reportResult logs a line and appends it to the results file, if one is set.
func reportResult(t *testing.T, line string) {
	t.Helper()
	t.Log(line)
	path := os.Getenv(resultsFileEnv)
	if path == "" {
		return
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.WriteString(line + "\n"); err != nil {
		t.Fatal(err)
	}
}

// buildPrograms builds the programs once for all scripts.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin, err := os.MkdirTemp("", "peridotlb-scenario-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(bin) })
	statSources(t)
	cmd := exec.Command("go", "build", "-o", bin+"/", "./cmd/...", "./test/backendserver", "./test/platform", "./test/relay")
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// statSources reads the file information of all source files, so that go test does
// not reuse a cached result after one of them has changed.
func statSources(t *testing.T) {
	t.Helper()
	for _, dir := range []string{"cmd", "internal", "test"} {
		err := filepath.WalkDir("../../"+dir, func(path string, _ os.DirEntry, err error) error {
			if err == nil && filepath.Ext(path) == ".go" {
				_, err = os.Stat(path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func exampleDocument(t *testing.T) document.Document {
	t.Helper()
	const file = "testdata/shop.yaml"
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := document.Parse(file, data)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// readKnownFailures returns the lines of KNOWN-RED.txt that begin with
// "TestScenarios/<name>" by script name.
func readKnownFailures(t *testing.T) map[string]string {
	t.Helper()
	known := make(map[string]string)
	file, err := os.Open("../../KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return known
	}
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "TestScenarios/"); ok {
			name, _, _ := strings.Cut(rest, " ")
			known[strings.TrimSuffix(name, ":")] = lines.Text()
		}
	}
	return known
}
