package scenario

import (
	"bufio"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/internal/document"
)

var keepLogs = flag.Bool("keep-logs", false, "keep the directories of the meshes and log their names")

// TestScenarios runs the scripts under testdata. Each says at its top which
// promise it proves under which failure.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios run real processes for up to three minutes")
	}
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts (%v), want some", len(files), err)
	}
	red := knownRed(t)
	var run []string
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txtar")
		if line, ok := red[name]; ok {
			t.Logf("KNOWN RED, not run: %s", line)
			continue
		}
		run = append(run, f)
	}
	config := Config{Bin: build(t), Document: exampleDocument(t), KeepLogs: *keepLogs}
	testscript.Run(t, testscript.Params{Files: run, Setup: config.Setup, Cmds: Commands()})
}

// build builds the programs once for all scripts.
func build(t *testing.T) string {
	t.Helper()
	bin, err := os.MkdirTemp("", "peridotlb-scenario-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(bin) })
	recordSources(t)
	cmd := exec.Command("go", "build", "-o", bin+"/", "./cmd/...", "./test/backendserver", "./test/platform", "./test/relay")
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// recordSources looks at the sources of the programs, so that go test does not
// reuse a cached result after one of them has changed.
func recordSources(t *testing.T) {
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

// knownRed returns the lines of KNOWN-RED.txt that begin with
// "TestScenarios/<name>", by name.
func knownRed(t *testing.T) map[string]string {
	t.Helper()
	red := make(map[string]string)
	file, err := os.Open("../../KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return red
	}
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "TestScenarios/"); ok {
			name, _, _ := strings.Cut(rest, " ")
			red[strings.TrimSuffix(name, ":")] = lines.Text()
		}
	}
	return red
}
