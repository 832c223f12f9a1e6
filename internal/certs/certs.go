// Package certs loads the certificates of the peer and operator ports and
// takes up replaced files without a restart.
//
// # Usage
//
//	files, err := certs.New(certs.Config{Certificate: "host.pem", Key: "host.key", Authority: "ca.pem"})
//	server.TLSConfig = files.Server()
//	transport.TLSClientConfig = files.Client()
//	changed, err := files.Reload() // from the owner's loop, every few seconds
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Config names the PEM files. All three are needed.
type Config struct {
	Certificate string
	Key         string
	Authority   string
}

// Files holds the certificates in force.
type Files struct {
	config  Config
	current atomic.Pointer[loaded]
}

// loaded is one consistent reading of the three files.
type loaded struct {
	pem         []byte
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New reads the files; it fails when any is missing or they do not fit.
func New(config Config) (*Files, error) {
	files := &Files{config: config}
	first, err := read(config)
	if err != nil {
		return nil, err
	}
	files.current.Store(first)
	return files, nil
}

// Reload takes up replaced files. On an error the old ones stay in force.
func (f *Files) Reload() (changed bool, err error) {
	next, err := read(f.config)
	if err != nil {
		return false, err
	}
	if bytes.Equal(next.pem, f.current.Load().pem) {
		return false, nil
	}
	f.current.Store(next)
	return true, nil
}

// Server returns the settings of a port that takes only peers signed by the authority.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := f.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{now.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    now.authority,
			}, nil
		},
	}
}

// Client returns the settings for calling such a port.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is checked by VerifyConnection against the authority in
		// force; hosts are known by address, so names are not compared.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &f.current.Load().certificate, nil
		},
		VerifyConnection: f.verify,
	}
}

// verify checks the server's chain against the authority in force.
func (f *Files) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         f.current.Load().authority,
		Intermediates: intermediates,
	})
	return err
}

// read loads the three files.
func read(config Config) (*loaded, error) {
	certPEM, err := os.ReadFile(config.Certificate)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate")
	}
	keyPEM, err := os.ReadFile(config.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate key")
	}
	authorityPEM, err := os.ReadFile(config.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	certificate, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %q does not fit key %q", config.Certificate, config.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.Newf("authority %q holds no certificate", config.Authority)
	}
	all := bytes.Join([][]byte{certPEM, keyPEM, authorityPEM}, nil)
	return &loaded{pem: all, certificate: certificate, authority: pool}, nil
}
