package mganswer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mganswer"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	oldKey = "an old key of 24 bytes.."
	newKey = "a new key of 24 bytes..."
)

func signer(t *testing.T, current, previous string) *mganswer.Signer {
	seal, err := mgseal.New(mgseal.Spec{
		Current:  []byte(current),
		Previous: []byte(previous),
	})
	if err != nil {
		t.Fatal(err)
	}
	return mganswer.NewSigner(seal)
}

// Guards against foreign names that open: a caller finds or guesses the name of
// another account's answer and asks for it. Whatever it sends, it must get the
// problem of a name that never existed, so that it learns nothing.
func TestForeignNameOpens(t *testing.T) {
	s := signer(t, newKey, oldKey)
	name := mganswer.NewName("engine-7", "i1", "g1")
	text := s.Sign("tankline", name)
	swapped := "A"
	if strings.HasPrefix(text, swapped) {
		swapped = "B"
	}
	cases := [][3]string{
		{"another account's name", "cooperativa", text},
		{"a name that never existed", "tankline", "bm9uZQ"},
		{"a changed agent", "tankline", swapped + text[1:]},
		{"a cut tag", "tankline", text[:len(text)-2]},
		{"an empty name", "tankline", ""},
		{"an endless name", "tankline", strings.Repeat("A", 1<<20)},
		{"an unknown key", "tankline", signer(t, "a key that nobody has", "").Sign("tankline", name)},
	}
	Convey("A foreign name opens nothing", t, func() {
		_, notFoundErr := s.Open("tankline", "bm9uZQ")
		for _, c := range cases {
			Convey(c[0], func() {
				opened, err := s.Open(c[1], c[2])
				So(opened, ShouldResemble, mganswer.Name{})
				So(mgproblem.From(err).Kind(), ShouldEqual, mgproblem.NotFound)
				So(err.Error(), ShouldEqual, notFoundErr.Error())
			})
		}
	})
}

// Guards against a key change that breaks names: the shared key is changed
// while an answer streams. The caller resumes with a name made under the old
// key, and must get the rest.
func TestKeyChangeBreaksNames(t *testing.T) {
	name := mganswer.NewName("engine-7", "i1", "g1")
	text := signer(t, oldKey, "").Sign("tankline", name)
	Convey("A name made before the last change of keys opens", t, func() {
		opened, err := signer(t, newKey, oldKey).Open("tankline", text)
		So(err, ShouldBeNil)
		So(opened, ShouldResemble, name)
	})
	Convey("One made two changes ago doesn't", t, func() {
		_, err := signer(t, newKey, "").Open("tankline", text)
		So(mgproblem.From(err).Kind(), ShouldEqual, mgproblem.NotFound)
	})
	Convey("A key that can be guessed is refused", t, func() {
		_, err := mgseal.New(mgseal.Spec{
			Current: []byte("short"),
		})
		So(errors.Is(err, mgseal.ErrKey), ShouldBeTrue)
	})
}

func TestNameChangesInRoundTrip(t *testing.T) {
	var s mganswer.Signer
	field := rapid.StringN(0, -1, 60)
	rapid.Check(t, func(t *rapid.T) {
		name := mganswer.NewName(field.Draw(t, "agent"), field.Draw(t, "incarnation"), field.Draw(t, "generation"))
		account, seq := field.Draw(t, "account"), rapid.Uint64().Draw(t, "seq")
		text, last, err := mganswer.ParseEventID(mganswer.FormatEventID(s.Sign(account, name), seq))
		if err != nil || last != seq {
			t.Fatalf("event id: %v, seq %d, want %d", err, last, seq)
		}
		opened, err := s.Open(account, text)
		if err != nil || opened != name {
			t.Fatalf("opened %v, %v, want %v", opened, err, name)
		}
	})
}

func FuzzParseEventID(f *testing.F) {
	for _, id := range []string{"", ".", "a.1", "a.01", "a.18446744073709551616", "a.b.1", "a.-1"} {
		f.Add(id)
	}
	f.Fuzz(func(t *testing.T, id string) {
		answer, seq, err := mganswer.ParseEventID(id)
		if err == nil && mganswer.FormatEventID(answer, seq) != id {
			t.Fatalf("%q has a second form", id)
		}
	})
}

func FuzzOpen(f *testing.F) {
	var s mganswer.Signer
	for _, text := range []string{"", "AAAA", strings.Repeat("A", 64), "_-_-"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if name, err := s.Open("tankline", text); err == nil {
			t.Fatalf("forged %v", name)
		}
	})
}

func ExampleSigner() {
	var s mganswer.Signer
	text := s.Sign("tankline", mganswer.NewName("engine-7", "i1", "g1"))
	name, err := s.Open("tankline", text)
	fmt.Println(name.Agent(), name.Generation(), err)
	// Output: engine-7 g1 <nil>
}
