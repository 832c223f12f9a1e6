package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
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

	"github.com/lovagedyke/lovagedyke/internal/certs"
)

// authority is a certificate authority for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert: cert, key: key}
}

// write signs a new certificate, writes the PEM files to dir and returns their names.
func (a authority) write(t *testing.T, dir string) certs.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	config := certs.Config{
		Certificate: filepath.Join(dir, "host.pem"),
		Key:         filepath.Join(dir, "host.key"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	for name, block := range map[string]*pem.Block{
		config.Certificate: {Type: "CERTIFICATE", Bytes: der},
		config.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		config.Authority:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return config
}

func load(t *testing.T, config certs.Config) *certs.Files {
	t.Helper()
	files, err := certs.New(config)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestServerAcceptsOnlySignedPeers(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	server := load(t, trusted.write(t, t.TempDir()))
	tests := map[string]struct {
		client *tls.Config
		want   bool
	}{
		"signed certificate":  {client: load(t, trusted.write(t, t.TempDir())).Client(), want: true},
		"other authority":     {client: load(t, untrusted.write(t, t.TempDir())).Client()},
		"without certificate": {client: &tls.Config{InsecureSkipVerify: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			httpServer := httptest.NewUnstartedServer(http.NotFoundHandler())
			httpServer.TLS = server.Server()
			httpServer.StartTLS()
			defer httpServer.Close()
			client := http.Client{Transport: &http.Transport{TLSClientConfig: tc.client, DisableKeepAlives: true}}
			response, err := client.Get(httpServer.URL)
			if err == nil {
				_ = response.Body.Close()
			}
			if got := err == nil; got != tc.want {
				t.Errorf("accepted: got %v, want %v (%v)", got, tc.want, err)
			}
		})
	}
}

func TestReload(t *testing.T) {
	dir := t.TempDir()
	ca := newAuthority(t)
	files := load(t, ca.write(t, dir))
	if got, err := files.Reload(); got || err != nil {
		t.Errorf("unchanged files: got %v, %v, want false", got, err)
	}
	config := ca.write(t, dir)
	if got, err := files.Reload(); !got || err != nil {
		t.Errorf("replaced files: got %v, %v, want true", got, err)
	}
	if err := os.WriteFile(config.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := files.Reload(); got || err == nil {
		t.Errorf("malformed key: got %v, %v, want false and an error", got, err)
	}
}
