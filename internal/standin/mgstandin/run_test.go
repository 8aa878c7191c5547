package mgstandin_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
)

func TestStandinDoesNotRunFromSettings(t *testing.T) {
	Convey("Stand-ins run from settings", t, func() {
		ctx, cancel := context.WithCancel(testContext())
		defer cancel()

		Convey("an engine", func() {
			var spec mgstandin.EngineSpec
			So(mgsettings.Parse("engine.toml", []byte(`
				listen = "127.0.0.1:0"
				serves = ["reports"]
				lag = 500
				[model]
				memory = 1000
				speed = 10
			`), &spec), ShouldBeNil)
			So(spec.Model.Memory, ShouldEqual, 1000)
			So(mgstandin.RunEngine(ctx, spec, func(string) { cancel() }), ShouldBeNil)
		})

		Convey("a platform with its first values", func() {
			file := filepath.Join(t.TempDir(), "table")
			So(os.WriteFile(file, []byte("a table"), 0o600), ShouldBeNil)
			spec := mgstandin.PlatformSpec{
				Listen: "127.0.0.1:0",
				Values: []string{"table=" + file},
			}
			So(mgstandin.RunPlatform(ctx, spec, func(addr string) {
				So(readValue(ctx, "http://"+addr, "table"), ShouldEqual, "1 a table")
				cancel()
			}), ShouldBeNil)
			spec.Values = []string{"table"}
			So(mgstandin.RunPlatform(ctx, spec, nil), ShouldNotBeNil)
		})

		Convey("and none where strangers could reach it", func() {
			So(mgstandin.RunService(ctx, mgstandin.ServiceSpec{
				Listen: "0.0.0.0:0",
			}, nil), ShouldNotBeNil)
		})
	})
}
