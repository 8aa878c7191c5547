package mgtable_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

var update = flag.Bool("update", false, "rewrite the golden files under testdata")

// Guards against faults that are missed or reported without line, row, column
// or remedy: compares the faults of each table under testdata with its golden
// file, which has one line per fault.
func TestFaultsMatchGoldenFiles(t *testing.T) {
	Convey("All faults of a table are reported at once", t, func() {
		files, err := filepath.Glob("testdata/*.toml")
		So(err, ShouldBeNil)
		sheets, err := filepath.Glob("testdata/*.csv")
		So(err, ShouldBeNil)
		files = append(files, sheets...)
		So(files, ShouldNotBeEmpty)
		for _, file := range files {
			data, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			read := mgtable.Parse
			if strings.HasSuffix(file, ".csv") {
				read = mgtable.Import
			}
			_, err = read(data)
			So(err, ShouldNotBeNil)
			compareGolden(file+".faults", err.Error()+"\n")
		}
	})
}

func compareGolden(file, got string) {
	if *update {
		So(os.WriteFile(file, []byte(got), 0o644), ShouldBeNil)
	}
	want, err := os.ReadFile(file)
	So(err, ShouldBeNil)
	So(got, ShouldEqual, string(want))
}

func TestFaultyTableAccepted(t *testing.T) {
	Convey("A table is refused", t, func() {
		for _, c := range []struct {
			name string
			text string
			want string
		}{
			{
				name: "when it is empty",
				want: "the table has no account",
			},
			{
				name: "when it is not UTF-8",
				text: "version = 1\n# \xff\n",
				want: "line 2: the text is not UTF-8",
			},
			{
				name: "when it is huge",
				text: strings.Repeat("#", 64<<20+1),
				want: "keep it under",
			},
			{
				name: "when a key is written in the clear, without repeating it",
				text: "[[account]]\nname = \"a\"\nkeys = [\"secret\"]\n",
				want: "write the SHA-256 of the key",
			},
		} {
			Convey(c.name, func() {
				err := mgtable.Check([]byte(c.text))
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, c.want)
				So(err.Error(), ShouldNotContainSubstring, "secret")
			})
		}
		Convey("with a bounded number of faults", func() {
			_, err := mgtable.Parse([]byte(strings.Repeat("[[account]]\n", 5000)))
			So(len(err.(*mgtable.Faults).List()), ShouldEqual, 200)
		})
	})
}

func TestSampleTableRefused(t *testing.T) {
	Convey("The sample tables are free of faults", t, func() {
		for _, c := range []struct{ deployment, account, key string }{
			{"tankline", "bayou", "sample-bayou"},
			{"cooperativa", "itajai", "sample-itajai"},
		} {
			table := readSample(c.deployment)
			So(table.AccountByKey(c.key), ShouldEqual, table.Account(c.account))
			So(table.AccountByKey(c.key+"x"), ShouldBeNil)
			So(table.AccountCount(), ShouldEqual, 10)
		}
	})
}

func readSample(deployment string) *mgtable.Table {
	data, err := os.ReadFile("../../examples/" + deployment + "/table.toml")
	So(err, ShouldBeNil)
	table, err := mgtable.Parse(data)
	So(err, ShouldBeNil)
	return table
}

func TestDiffMissesEdit(t *testing.T) {
	Convey("An edit is described row by row", t, func() {
		older := readSample("tankline")
		text := string(older.TOML())
		text = strings.Replace(text, "weight = 6", "weight = 7", 1)
		text = strings.Replace(text, "name = \"houma\"", "name = \"thibodaux\"", 1)
		newer, err := mgtable.Parse([]byte(text))
		So(err, ShouldBeNil)
		So(fmt.Sprint(mgtable.Diff(older, newer)), ShouldEqual,
			"[account bayou: weight from 6 to 7 account houma: removed account thibodaux: added]")
		So(older.Digest(), ShouldNotEqual, newer.Digest())
	})
}

// drawTable generates the TOML of a table of up to maxAccounts accounts.
func drawTable(t *rapid.T, maxAccounts int) []byte {
	var b strings.Builder
	b.WriteString("version = 7\n[[model]]\nname = \"m\"\ncontext = 100\nmax = 50\n")
	b.WriteString("[[service]]\nname = \"report\"\nmodel = \"m\"\n[[service]]\nname = \"ticket\"\nkind = \"plain\"\n")
	count := rapid.IntRange(1, maxAccounts).Draw(t, "accounts")
	for i := range count {
		fmt.Fprintf(&b, "[[account]]\nname = \"a%d\"\n", i)
		if rapid.Bool().Draw(t, "keyed") {
			fmt.Fprintf(&b, "keys = [\"%s\"]\n", mgtable.DigestOf([]byte{byte(i), byte(i >> 8)}))
		}
		fmt.Fprintf(&b, "weight = %g\n", rapid.Float64Range(0.001, 1000).Draw(t, "weight"))
		fmt.Fprintf(&b, "streams = %d\n", rapid.IntRange(0, 1000).Draw(t, "streams"))
		services := []string{"", "services = [\"ticket\"]\n", "services = [\"ticket\", \"report\"]\n"}
		b.WriteString(rapid.SampledFrom(services).Draw(t, "services"))
	}
	return []byte(b.String())
}

func TestTableChangedByRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := mgtable.Parse(drawTable(t, 60))
		must(t, err)
		again, err := mgtable.Parse(table.TOML())
		must(t, err)
		sheet, err := mgtable.Import(table.Export())
		must(t, err)
		joined := splitAndJoin(t, table, rapid.IntRange(400, 4000).Draw(t, "limit"))
		for _, other := range []*mgtable.Table{again, sheet, joined} {
			if other.Digest() != table.Digest() || other.Version() != 7 {
				t.Fatalf("changed by the round trip:\n%s\n%s", table.TOML(), other.TOML())
			}
		}
	})
}

// splitAndJoin splits a table into pages and joins them again.
func splitAndJoin(t *rapid.T, table *mgtable.Table, limit int) *mgtable.Table {
	m, texts, err := table.Pages(limit)
	must(t, err)
	m, err = mgtable.ReadManifest(m.Bytes())
	must(t, err)
	var pages []*mgtable.Page
	for _, text := range texts {
		if len(text) > limit {
			t.Fatalf("a page of %d bytes exceeds %d", len(text), limit)
		}
		page, err := mgtable.ReadPage(text)
		must(t, err)
		if !bytes.Equal(page.Bytes(), text) {
			t.Fatalf("a peer would be served another page:\n%s\n%s", page.Bytes(), text)
		}
		pages = append(pages, page)
	}
	joined, err := mgtable.Join(m, pages)
	must(t, err)
	return joined
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

func TestPagesOfOtherVersionJoined(t *testing.T) {
	// Guards against a table of mixed versions, with which one zone serves an
	// account that another refuses: the platform publishes values one after
	// another, so a process may get the manifest of version 8 and a page of version 7.
	Convey("Pages that disagree with the manifest are refused", t, func() {
		table := readSample("tankline")
		m, texts, err := table.Pages(1 << 20)
		So(err, ShouldBeNil)
		var pages []*mgtable.Page
		for _, text := range texts {
			page, err := mgtable.ReadPage(text)
			So(err, ShouldBeNil)
			pages = append(pages, page)
		}
		other, err := mgtable.ReadPage(bytes.Replace(texts[1], []byte("weight = 6"), []byte("weight = 9"), 1))
		So(err, ShouldBeNil)
		_, err = mgtable.Join(m, []*mgtable.Page{pages[0], other})
		So(err, ShouldNotBeNil)
		_, err = mgtable.Join(m, pages[:1])
		So(err, ShouldNotBeNil)
	})
	Convey("An edit of one account among 5,000 changes one page", t, func() {
		_, before, err := mgtable.LargeTable(5000, 0).Pages(1 << 20)
		So(err, ShouldBeNil)
		_, after, err := mgtable.LargeTable(5000, 1).Pages(1 << 20)
		So(err, ShouldBeNil)
		changed := 0
		for i := range before {
			if !bytes.Equal(before[i], after[i]) {
				changed++
			}
		}
		So(len(before), ShouldEqual, 33)
		So(changed, ShouldEqual, 1)
	})
	Convey("Base rows that exceed the limit are an error", t, func() {
		_, _, err := readSample("tankline").Pages(100)
		So(err, ShouldNotBeNil)
	})
}

func FuzzParse(f *testing.F) {
	addSeeds(f, "*.toml")
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := mgtable.Parse(data)
		if err != nil {
			return
		}
		again, err := mgtable.Parse(table.TOML())
		if err != nil || again.Digest() != table.Digest() {
			t.Fatalf("changed by the round trip: %v", err)
		}
	})
}

func FuzzImport(f *testing.F) {
	addSeeds(f, "*.csv")
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := mgtable.Import(data)
		if err != nil {
			return
		}
		again, err := mgtable.Import(table.Export())
		if err != nil || again.Digest() != table.Digest() {
			t.Fatalf("changed by the round trip: %v", err)
		}
	})
}

// addSeeds adds the faulty files and the sample tables to a fuzz corpus.
func addSeeds(f *testing.F, pattern string) {
	files, _ := filepath.Glob("testdata/" + pattern)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	samples, _ := filepath.Glob("../../examples/*/table.toml")
	for _, file := range samples {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		table, err := mgtable.Parse(data)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(table.Export())
	}
}

// Guards against refusing a file that an editor saved with a byte order mark:
// the operator would get a fault in the first line that no editor shows.
func TestByteOrderMarkRefused(t *testing.T) {
	Convey("A table with a byte order mark is parsed", t, func() {
		plain, err := mgtable.Parse([]byte(tableWithRoutes))
		So(err, ShouldBeNil)
		marked, err := mgtable.Parse([]byte("\ufeff" + tableWithRoutes))
		So(err, ShouldBeNil)
		So(marked.Digest(), ShouldEqual, plain.Digest())
	})
}

// Guards against backups that are lost, or switched on, when a table is written and read
// again as pages, TOML or CSV.
func TestBackupColumnLost(t *testing.T) {
	Convey("A service with backups keeps them", t, func() {
		for _, canBackup := range []bool{true, false} {
			table, err := mgtable.Build(mgtable.Spec{
				Services: []mgtable.ServiceSpec{
					{
						Name:      "s",
						Model:     "m",
						CanBackup: canBackup,
					},
				},
				Accounts: []mgtable.AccountSpec{
					{
						Name: "a",
					},
				},
				Models: []mgtable.ModelSpec{
					{
						Name:      "m",
						Context:   100,
						MaxOutput: 100,
					},
				},
			})
			So(err, ShouldBeNil)
			So(table.Service("s").CanBackup(), ShouldEqual, canBackup)
			again, err := mgtable.Import(table.Export())
			So(err, ShouldBeNil)
			So(again.Service("s").CanBackup(), ShouldEqual, canBackup)
			_, pages, err := table.Pages(1 << 20)
			So(err, ShouldBeNil)
			page, err := mgtable.ReadPage(pages[0])
			So(err, ShouldBeNil)
			So(string(page.Bytes()), ShouldEqual, string(pages[0]))
		}
	})
	Convey("Any other value is refused", t, func() {
		_, err := mgtable.Parse([]byte("[[service]]\nname = \"s\"\nkind = \"plain\"\nbackup = \"often\"\n"))
		So(err, ShouldNotBeNil)
	})
}
