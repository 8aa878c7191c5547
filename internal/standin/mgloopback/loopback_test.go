package mgloopback_test

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgloopback"
)

// printIPsEnv makes the test binary print the IPs that it reserves, and wait.
const printIPsEnv = "MGLOOPBACK_PRINT"

// TestMain runs as the other process of TestAddressIsHandedOutTwice if printIPsEnv is
// set.
func TestMain(m *testing.M) {
	if os.Getenv(printIPsEnv) == "" {
		os.Exit(m.Run())
	}
	for range 40 {
		ip, err := mgloopback.Reserve()
		if err != nil {
			ip = err.Error()
		}
		_, _ = os.Stdout.WriteString(ip + "\n")
	}
	_, _ = os.Stdout.WriteString("held\n")
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// Guards against an address that is handed out twice, by one process or by several at
// once.
func TestAddressIsHandedOutTwice(t *testing.T) {
	Convey("Processes that reserve IPs at once", t, func() {
		seen := map[string]bool{}
		for range 5 {
			other := exec.Command(os.Args[0])
			other.Env = append(os.Environ(), printIPsEnv+"=yes")
			stdin, err := other.StdinPipe()
			So(err, ShouldBeNil)
			stdout, err := other.StdoutPipe()
			So(err, ShouldBeNil)
			So(other.Start(), ShouldBeNil)
			defer func() {
				_ = stdin.Close()
				_ = other.Wait()
			}()
			var text strings.Builder
			for buffer := make([]byte, 4096); !strings.Contains(text.String(), "held"); {
				n, err := stdout.Read(buffer)
				So(err, ShouldBeNil)
				text.Write(buffer[:n])
			}
			for _, ip := range strings.Fields(text.String()) {
				if ip == "held" {
					continue
				}
				So(net.ParseIP(ip), ShouldNotBeNil)
				So(seen[ip], ShouldBeFalse)
				seen[ip] = true
			}
		}
		So(len(seen), ShouldEqual, 200)
	})
	Convey("Addresses of one process", t, func() {
		seen := map[string]bool{}
		for range 200 {
			addr, err := mgloopback.Addr()
			So(err, ShouldBeNil)
			So(seen[addr], ShouldBeFalse)
			seen[addr] = true
			listener, err := net.Listen("tcp", addr)
			So(err, ShouldBeNil)
			So(listener.Close(), ShouldBeNil)
		}
	})
}
