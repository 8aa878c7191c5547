package mgbench

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// smallCommand returns a command whose complete run is short.
func smallCommand(out string) *Command {
	return &Command{
		Scenario: "burst,small",
		Policy:   "simple,mark20,oracle",
		Seed:     7,
		Seeds:    2,
		Span:     60,
		Out:      out,
	}
}

func TestCommand(t *testing.T) {
	Convey("A complete run is reproducible from its seed", t, func() {
		dir := t.TempDir()
		var table bytes.Buffer
		So(smallCommand(dir).Run(context.Background(), &table), ShouldBeNil)
		golden(t, "small.txt", table.Bytes())
		lines, err := os.ReadFile(filepath.Join(dir, "runs.jsonl"))
		So(err, ShouldBeNil)
		golden(t, "small.jsonl", lines)

		Convey("and draws each plot", func() {
			plots, err := filepath.Glob(filepath.Join(dir, "*.png"))
			So(err, ShouldBeNil)
			So(len(plots), ShouldEqual, 2*7)
		})
	})

	Convey("An unknown name is refused with a list of the known ones", t, func() {
		c := smallCommand("")
		c.Scenario = "brust"
		So(c.Run(context.Background(), &bytes.Buffer{}).Error(), ShouldContainSubstring, "burst")
		c = smallCommand("")
		c.Policy = "mark25"
		So(c.Run(context.Background(), &bytes.Buffer{}).Error(), ShouldContainSubstring, "mark20")
	})

	Convey("A run stops when its context is cancelled", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(smallCommand("").Run(ctx, &bytes.Buffer{}), ShouldWrap, context.Canceled)
	})
}

// golden compares got with a file under testdata, or rewrites it.
func golden(t *testing.T, name string, got []byte) {
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	So(string(got), ShouldEqual, string(want))
}
