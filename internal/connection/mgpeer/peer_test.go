package mgpeer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgpeer"
)

var respondNoContent = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })

func newGuard(secret, previous string) *mgpeer.Guard {
	g, err := mgpeer.New(mgpeer.Spec{
		Secret:   secret,
		Previous: previous,
	})
	So(err, ShouldBeNil)
	return g
}

// Guards against requests from strangers on the network, which must be refused,
// and against failed calls between processes while operators change the key VM by
// VM and both keys are in use.
func TestStrangerAdmitted(t *testing.T) {
	const present, before = "present-secret-0001", "before-secret-00001"
	cases := []struct {
		name   string
		sender string
		status int
	}{
		{
			name:   "the current key",
			sender: present,
			status: http.StatusNoContent,
		},
		{
			name:   "the previous key",
			sender: before,
			status: http.StatusNoContent,
		},
		{
			name:   "a stranger's key",
			sender: "stranger-secret-001",
			status: http.StatusUnauthorized,
		},
	}
	Convey("A listener for peers", t, func() {
		server := httptest.NewServer(newGuard(present, before).RequireKey(respondNoContent))
		defer server.Close()
		for _, c := range cases {
			Convey("answers "+c.name, func() {
				client := &http.Client{Transport: newGuard(c.sender, "").Transport(true)}
				response, err := client.Get(server.URL)
				So(err, ShouldBeNil)
				defer response.Body.Close()
				So(response.StatusCode, ShouldEqual, c.status)
			})
		}
		Convey("refuses a request without a key", func() {
			response, err := http.Get(server.URL)
			So(err, ShouldBeNil)
			defer response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusUnauthorized)
		})
	})

	Convey("A short key is refused with its remedy", t, func() {
		_, err := mgpeer.New(mgpeer.Spec{Secret: "short"})
		So(err.Error(), ShouldContainSubstring, "give 16 or more")
	})
}

// Guards against admitting a process that has the right key and a certificate of
// another authority: with mutual TLS the handshake must fail before the key is sent.
func TestForeignCertificateAccepted(t *testing.T) {
	Convey("With mutual TLS", t, func() {
		ours, strangers := writeCertificate(t), writeCertificate(t)
		listener, err := newTLSGuard(ours).Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		server := &http.Server{Handler: newTLSGuard(ours).RequireKey(respondNoContent)}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		url := newTLSGuard(ours).BaseURL(listener.Addr().String())

		Convey("a process of the same authority is answered", func() {
			response, err := (&http.Client{Transport: newTLSGuard(ours).Transport(true)}).Get(url)
			So(err, ShouldBeNil)
			defer response.Body.Close()
			So(response.StatusCode, ShouldEqual, http.StatusNoContent)
		})
		Convey("a process of another authority is not", func() {
			_, err := (&http.Client{Transport: newTLSGuard(strangers).Transport(true)}).Get(url)
			So(err, ShouldNotBeNil)
		})
	})
}

func newTLSGuard(files mgpeer.Files) *mgpeer.Guard {
	g, err := mgpeer.New(mgpeer.Spec{
		Secret: "present-secret-0001",
		TLS:    files,
	})
	So(err, ShouldBeNil)
	return g
}

// writeCertificate writes a self-signed certificate and its key.
func writeCertificate(t *testing.T) mgpeer.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "marjoramgauge"},
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	So(err, ShouldBeNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	So(err, ShouldBeNil)
	folder := t.TempDir()
	files := mgpeer.Files{
		Cert: filepath.Join(folder, "cert.pem"),
		Key:  filepath.Join(folder, "key.pem"),
		CA:   filepath.Join(folder, "cert.pem"),
	}
	writePEM(files.Cert, "CERTIFICATE", certificate)
	writePEM(files.Key, "PRIVATE KEY", private)
	return files
}

func writePEM(path, kind string, data []byte) {
	block := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: data,
	})
	So(os.WriteFile(path, block, 0o600), ShouldBeNil)
}
