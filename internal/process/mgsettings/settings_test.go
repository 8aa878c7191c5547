package mgsettings_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
)

const sample = `name = "entry-a"
zone = "a"
region = "south"
peer = "127.0.0.1:7001"
admin = "127.0.0.1:7002"
platform = "http://127.0.0.1:7900"
secret = "sample-secret-of-a-test"
listen = "127.0.0.1:7000"
`

func TestParse(t *testing.T) {
	Convey("A good file gets defaults for what it lacks", t, func() {
		var entry mgsettings.Entry
		So(mgsettings.Parse("entry.toml", []byte(sample), &entry), ShouldBeNil)
		So(entry.Name, ShouldEqual, "entry-a")
		So(entry.MaxBody, ShouldEqual, 1048576)
		So(entry.LogLevel, ShouldEqual, "info")
	})

	Convey("All faults are found in one reading", t, func() {
		cases := []struct {
			name string
			text string
			want []string
		}{
			{
				name: "syntax",
				text: "name = \n",
				want: []string{"line 1, key (syntax)"},
			},
			{
				name: "unknown, wrong type, bounds, choice",
				text: sample + "colour = 1\nbody = \"x\"\nprobe = -4\nlog = \"loud\"\n",
				want: []string{
					"line 9, key colour: is not a key",
					"line 10, key body: is not a whole number",
					"line 11, key probe: is -4: give 1 to 5000 ms",
					`line 12, key log: is "loud": write one of debug, info, error`,
				},
			},
			{
				name: "unknown in a table",
				text: sample + "[tls]\ncert = \"c\"\nfoo = 1\n",
				want: []string{"line 11, key tls.foo: is not a key"},
			},
			{
				name: "a key for a table",
				text: sample + "tls = 3\n",
				want: []string{"line 9, key tls: is not a table"},
			},
			{
				name: "a body that the memory can't hold",
				text: sample + "body = 8388608\nmemory = 32\n",
				want: []string{"line 9, key body: is 8388608, and with 32 MB of memory an entry can hold 4000000 bytes: give a smaller body or more memory"},
			},
			{
				name: "empty",
				text: "",
				want: []string{"key name: is missing", "key listen: is missing"},
			},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				var entry mgsettings.Entry
				err := mgsettings.Parse("entry.toml", []byte(c.text), &entry)
				var faults *mgsettings.Faults
				So(errors.As(err, &faults), ShouldBeTrue)
				for _, want := range c.want {
					So(err.Error(), ShouldContainSubstring, want)
				}
			})
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[tls]\nkey=1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var entry mgsettings.Entry
		_ = mgsettings.Parse("fuzz", data, &entry)
	})
}
