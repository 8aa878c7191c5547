package mgplatform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
)

func TestPlatformResponseMisread(t *testing.T) {
	Convey("Over HTTP", t, func() {
		for _, c := range []struct {
			name    string
			status  int
			version string
			body    string
			err     error
		}{
			{
				name:    "a value has a version",
				status:  http.StatusOK,
				version: "7",
				body:    "x",
			},
			{
				name:   "an absent value is missing",
				status: http.StatusNotFound,
				err:    mgplatform.ErrMissing,
			},
			{
				name:   "a watch without a change is unchanged",
				status: http.StatusNotModified,
				err:    mgplatform.ErrUnchanged,
			},
			{
				name:   "too many reads have an error of their own",
				status: http.StatusTooManyRequests,
				err:    mgplatform.ErrRateLimited,
			},
			{
				name:   "an error status means that the platform is down",
				status: http.StatusBadGateway,
				err:    mgplatform.ErrUnavailable,
			},
			{
				name:   "a value without a version means that the platform is down",
				status: http.StatusOK,
				body:   "x",
				err:    mgplatform.ErrUnavailable,
			},
			{
				name:    "a value over a megabyte means that the platform is down",
				status:  http.StatusOK,
				version: "7",
				body:    strings.Repeat("x", 1<<20+1),
				err:     mgplatform.ErrUnavailable,
			},
		} {
			Convey(c.name, func() {
				path := ""
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					path = r.URL.String()
					if c.version != "" {
						w.Header().Set("Version", c.version)
					}
					w.WriteHeader(c.status)
					_, _ = w.Write([]byte(c.body))
				}))
				defer server.Close()
				client := mgplatform.NewHTTP(server.URL, server.Client())
				value, err := client.Watch(context.Background(), mgplatform.ManifestKey, 6, 50)
				So(path, ShouldEqual, "/v1/values/manifest?after=6&wait=50")
				if c.err != nil {
					So(err, ShouldWrap, c.err)
					return
				}
				So(err, ShouldBeNil)
				So(value.Version(), ShouldEqual, 7)
				So(string(value.Bytes()), ShouldEqual, c.body)
			})
		}
		Convey("a platform that can't be reached is down", func() {
			server := httptest.NewServer(http.NotFoundHandler())
			server.Close()
			_, err := mgplatform.NewHTTP(server.URL, nil).Read(context.Background(), "vms")
			So(err, ShouldWrap, mgplatform.ErrUnavailable)
			_, err = mgplatform.Client{}.Read(context.Background(), "vms")
			So(err, ShouldWrap, mgplatform.ErrUnavailable)
		})
	})
	Convey("A list omits VMs that have no name", t, func() {
		list, err := mgplatform.ReadList([]byte(`{"version":3,"vms":[{"name":"a","addr":"x"},{"addr":"y"}]}`))
		So(err, ShouldBeNil)
		So(list.VMs, ShouldHaveLength, 1)
		So(list.VMs[0].PeerAddr(), ShouldEqual, "x")
		_, err = mgplatform.ReadList([]byte("x"))
		So(err, ShouldNotBeNil)
	})
}
