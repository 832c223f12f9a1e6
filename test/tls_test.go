package test

import (
	"context"
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
	"testing"
	"time"

	"github.com/lovagedyke/lovagedyke/internal/peer"
	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
)

// newCertificate creates a key and a certificate for loopback, signed by the
// parent or self-signed.
func newCertificate(t *testing.T, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true, IsCA: parent == nil,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	signed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return signed, key
}

// writePEM writes a PEM block to a file in the fleet's folder and returns its path.
func (f *testFleet) writePEM(name, kind string, der []byte) string {
	return f.writeFile(name, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})))
}

// issueCertificates writes an authority and a host certificate for the peer ports
// and returns the flags that name them.
func (f *testFleet) issueCertificates() []string {
	f.t.Helper()
	authority, authorityKey := newCertificate(f.t, nil, nil)
	host, hostKey := newCertificate(f.t, authority, authorityKey)
	keyDER, err := x509.MarshalECPrivateKey(hostKey)
	if err != nil {
		f.t.Fatal(err)
	}
	return []string{
		"-peer-certificate", f.writePEM("host.pem", "CERTIFICATE", host.Raw),
		"-peer-key", f.writePEM("host.key", "EC PRIVATE KEY", keyDER),
		"-peer-authority", f.writePEM("authority.pem", "CERTIFICATE", authority.Raw),
	}
}

// The peer port accepts only clients with a certificate of the deployment's
// authority, even if they present the right secret.
func TestPeersOverTLS(t *testing.T) {
	f := newFleet(t, 2, 1, (*testFleet).issueCertificates)
	config := f.loadConfig("entry-1", "entry-2")
	config.IdempotencyKeys, config.Requests = true, 50
	report := f.runLoad(config)
	f.checkResponses(report)
	if got, want := report.OK, 50; got != want {
		t.Errorf("served: got %d (%v), want %d", got, report.Reasons, want)
	}
	foreignCert, foreignKey := newCertificate(t, nil, nil)
	tests := map[string]*tls.Config{
		"no TLS": nil,
		"no certificate": {
			InsecureSkipVerify: true,
		},
		"another authority": {
			InsecureSkipVerify: true,
			Certificates:       []tls.Certificate{{Certificate: [][]byte{foreignCert.Raw}, PrivateKey: foreignKey}},
		},
	}
	for name, config := range tests {
		t.Run(name, func(t *testing.T) {
			dialer := peer.New(peer.Config{Secret: secret, TLS: config, Timeout: time.Second})
			defer dialer.Close()
			_, err := dialer.Dial(f.processes["entry-1"].peers).Exchange(context.Background(), &peerpb.State{})
			if err == nil {
				t.Error("exchange: got a response, want an error")
			}
		})
	}
	http.DefaultClient.CloseIdleConnections()
}
