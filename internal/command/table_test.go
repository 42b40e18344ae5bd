package command_test

import (
	"bytes"
	"testing"

	"github.com/peridotlb/peridotlb/internal/command"
)

// Guards against cells that break the columns or change the terminal.
func TestTable(t *testing.T) {
	table := command.Table{Header: []string{"NAME", "DETAIL"}}
	table.AddRow("stock", "a\tb\nc\x1b[2J")
	table.AddRow("x", "")
	for _, c := range []struct {
		terminal bool
		want     string
	}{
		{true, "NAME   DETAIL\nstock  a b c[2J\nx      -\n"},
		{false, "stock\ta b c[2J\nx\t\n"},
	} {
		var out bytes.Buffer
		if err := table.Write(command.Streams{Out: &out, Terminal: c.terminal}); err != nil {
			t.Fatal(err)
		}
		if got := out.String(); got != c.want {
			t.Errorf("terminal %t: got %q, want %q", c.terminal, got, c.want)
		}
	}
}
