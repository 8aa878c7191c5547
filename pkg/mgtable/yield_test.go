package mgtable_test

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// manyRoutes returns a table with a number of routes.
func manyRoutes(count int) mgtable.Spec {
	spec := mgtable.Spec{
		Version: 7,
		Services: []mgtable.ServiceSpec{{
			Name: "ledger",
		}},
		Accounts: []mgtable.AccountSpec{{
			Name: "tankline",
		}},
	}
	for n := range count {
		spec.Routes = append(spec.Routes, mgtable.RouteSpec{
			Name:    fmt.Sprint("r", n),
			Host:    "tanks.example",
			Prefix:  fmt.Sprintf("/x%d/", n),
			Kind:    mgtable.Safe,
			Timeout: 600,
			Services: []mgtable.ShareSpec{{
				Service: "ledger",
				Weight:  1,
			}},
		})
	}
	return spec
}

// countRoundTrips returns how many messages go to and fro on a connection while work runs on the
// only processor.
func countRoundTrips(t *testing.T, work func()) int {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		message := make([]byte, 1)
		for {
			if _, err := conn.Read(message); err != nil {
				return
			}
			if _, err := conn.Write(message); err != nil {
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	count := 0
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		message := make([]byte, 1)
		for {
			if _, err := conn.Write(message); err != nil {
				return
			}
			if _, err := conn.Read(message); err != nil {
				return
			}
			count++
		}
	}()
	work()
	conn.Close()
	<-stopped
	return count
}

// While a process reads a large table, it must still forward the events of streams: on a VM with a
// tenth of a core, all streams pause for a fifth of a second otherwise.
func TestLargeTableStallsStreams(t *testing.T) {
	Convey("Network events are handled while a table of 1,600 routes", t, func() {
		spec := manyRoutes(1600)
		_, pages, err := spec.Pages(1 << 20)
		So(err, ShouldBeNil)
		Convey("is divided into pages", func() {
			count := countRoundTrips(t, func() { _, _, _ = spec.Pages(1 << 20) })
			So(count, ShouldBeGreaterThan, 100)
		})
		Convey("is read from its pages", func() {
			data := pages[0].Bytes()
			count := countRoundTrips(t, func() { _, err = mgtable.ReadPage(data) })
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, 100)
		})
	})
}
