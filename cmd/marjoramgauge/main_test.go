package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWrongExitCodeOrOutput(t *testing.T) {
	folder := t.TempDir()
	faulty := filepath.Join(folder, "faulty.toml")
	if err := os.WriteFile(faulty, []byte("[[account]]\nname = \"a\"\nweight = -3\ncolour = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	const table = "../../examples/local/table.toml"
	cases := []struct {
		name string
		args []string
		exit int
		want string // substring of the output
	}{
		{
			name: "help lists the commands",
			args: []string{"--help"},
			exit: exitOK,
			want: "standin",
		},
		{
			name: "no command",
			args: nil,
			exit: exitUsage,
			want: "--help",
		},
		{
			name: "unknown command",
			args: []string{"serve"},
			exit: exitUsage,
			want: "serve",
		},
		{
			name: "missing settings",
			args: []string{"entry"},
			exit: exitUsage,
			want: "settings",
		},
		{
			name: "settings that don't exist",
			args: []string{"agent", "--settings", filepath.Join(folder, "none.toml")},
			exit: exitFailed,
			want: "--settings",
		},
		{
			name: "a good table",
			args: []string{"check", table},
			exit: exitOK,
			want: "table without faults",
		},
		{
			name: "a faulty table, every fault",
			args: []string{"check", faulty},
			exit: exitFailed,
			want: "colour",
		},
		{
			name: "no key",
			args: []string{"call", "--entry", "http://127.0.0.1:1", "--service", "report", "hello"},
			exit: exitUsage,
			want: keyVariable,
		},
		{
			name: "a dump of nobody",
			args: []string{"dump", "127.0.0.1:1"},
			exit: exitFailed,
			want: "admin address",
		},
		{
			name: "no change",
			args: []string{"table", "diff", table, table},
			exit: exitOK,
			want: "no change",
		},
		{
			name: "export",
			args: []string{"table", "export", table},
			exit: exitOK,
			want: "tankline",
		},
	}
	t.Setenv(keyVariable, "")
	Convey("The command line", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var out, errOut bytes.Buffer
				So(run(c.args, &out, &errOut), ShouldEqual, c.exit)
				So(out.String()+errOut.String(), ShouldContainSubstring, c.want)
			})
		}
	})
}

// Guards against an edit without effect: if an operator edits a weight without raising
// the version, processes select one of the two tables by their digests and may keep
// the old weight.
func TestDiffMissesUnraisedVersion(t *testing.T) {
	Convey("A diff reports a version that was not raised", t, func() {
		const table = "../../examples/local/table.toml"
		data, err := os.ReadFile(table)
		So(err, ShouldBeNil)
		edited := filepath.Join(t.TempDir(), "edited.toml")
		text := strings.Replace(string(data), "weight = 4", "weight = 5", 1)
		So(os.WriteFile(edited, []byte(text), 0o600), ShouldBeNil)
		out, _ := runCommand("table", "diff", table, edited)
		So(out, ShouldContainSubstring, "weight from 4 to 5")
		So(out, ShouldContainSubstring, "raise it above 1")
		text = strings.Replace(text, "version = 1", "version = 2", 1)
		So(os.WriteFile(edited, []byte(text), 0o600), ShouldBeNil)
		out, _ = runCommand("table", "diff", table, edited)
		So(out, ShouldNotContainSubstring, "raise")
	})
}

// Guards against a round trip through a spreadsheet that changes the table: an edit of
// one weight must be the only change.
func TestTableChangedByCSVRoundTrip(t *testing.T) {
	Convey("A table is unchanged after a round trip through CSV", t, func() {
		const table = "../../examples/tankline/table.toml"
		folder := t.TempDir()
		csv := filepath.Join(folder, "table.csv")
		back := filepath.Join(folder, "table.toml")
		export, problems := runCommand("table", "export", table)
		So(problems, ShouldEqual, "")
		So(os.WriteFile(csv, []byte(export), 0o600), ShouldBeNil)
		imported, problems := runCommand("table", "import", csv)
		So(problems, ShouldEqual, "")
		So(os.WriteFile(back, []byte(imported), 0o600), ShouldBeNil)
		changes, _ := runCommand("table", "diff", table, back)
		So(strings.TrimSpace(changes), ShouldEqual, "no change")
	})
}

func runCommand(args ...string) (out, errOut string) {
	var o, e bytes.Buffer
	run(args, &o, &e)
	return o.String(), e.String()
}
