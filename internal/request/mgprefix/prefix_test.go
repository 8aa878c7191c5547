package mgprefix_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprefix"
)

func TestPrefixMiscounted(t *testing.T) {
	shared := strings.Repeat("tank ", 200)
	Convey("Prompts share the hashes of the blocks that they share", t, func() {
		a := mgprefix.Blocks(nil, shared+strings.Repeat("a", 600))
		b := mgprefix.Blocks(nil, shared+strings.Repeat("b", 600))
		So(a[:3], ShouldResemble, b[:3])
		So(a[4], ShouldNotEqual, b[4])
		So(len(mgprefix.Blocks(nil, strings.Repeat("x", 1<<20))), ShouldEqual, mgprefix.MaxBlocks)
	})

	Convey("A record counts only an unbroken prefix", t, func() {
		var record mgprefix.Record
		record.Add([]uint64{1, 2, 3})
		So(record.Cached([]uint64{1, 2, 9}), ShouldEqual, 2*mgprefix.BlockTokens)
		record.Remove(1)
		So(record.Cached([]uint64{1, 2}), ShouldEqual, 0)
		record.Clear()
		So(record.Len(), ShouldEqual, 0)
	})

	Convey("A record stays bounded", t, func() {
		var record mgprefix.Record
		for i := range uint64(mgprefix.MaxRecordBlocks + 100) {
			record.Add([]uint64{i})
		}
		So(record.Len(), ShouldEqual, mgprefix.MaxRecordBlocks)
		So(record.Cached([]uint64{0}), ShouldEqual, 0)
	})
}
