package mgquarantine_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
)

// Two requests with the same bytes must not share a digest when account, host, path and
// body are split at other positions.
func TestDigestIsShared(t *testing.T) {
	same := mgquarantine.DigestOf("tankline", "tanks.example", "/note/1", []byte("a body"))
	cases := []struct {
		name    string
		account string
		host    string
		target  string
		body    string
		same    bool
	}{
		{
			name:    "a repeat",
			account: "tankline",
			host:    "tanks.example",
			target:  "/note/1",
			body:    "a body",
			same:    true,
		},
		{
			name:    "another account",
			account: "cooperativa",
			host:    "tanks.example",
			target:  "/note/1",
			body:    "a body",
		},
		{
			name:    "another path",
			account: "tankline",
			host:    "tanks.example",
			target:  "/note/2",
			body:    "a body",
		},
		{
			name:    "another body",
			account: "tankline",
			host:    "tanks.example",
			target:  "/note/1",
			body:    "a longer body",
		},
		{
			name:    "the same bytes split otherwise",
			account: "tankline",
			host:    "tanks.exampl",
			target:  "e/note/1",
			body:    "a body",
		},
	}
	Convey("The digest of a request", t, func() {
		for _, c := range cases {
			Convey("and that of "+c.name, func() {
				digest := mgquarantine.DigestOf(c.account, c.host, c.target, []byte(c.body))
				So(digest == same, ShouldEqual, c.same)
			})
		}
		Convey("is read back from its text", func() {
			read, err := mgquarantine.ParseDigest(same.String())
			So(err, ShouldBeNil)
			So(read, ShouldResemble, same)
			_, err = mgquarantine.ParseDigest("short")
			So(err, ShouldNotBeNil)
		})
	})
}
