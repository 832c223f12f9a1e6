// Package certs loads the certificates of the peer and operator ports and
// reloads replaced files without a restart.
//
// # Usage
//
//	files, err := certs.New(certs.Config{Certificate: "host.pem", Key: "host.key", Authority: "ca.pem"})
//	server.TLSConfig = files.Server()
//	transport.TLSClientConfig = files.Client()
//	changed, err := files.Reload() // call it every few seconds
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Config holds the names of the PEM files. All three are required.
type Config struct {
	Certificate string
	Key         string
	Authority   string
}

// Files holds the current certificates.
type Files struct {
	config  Config
	current atomic.Pointer[fileSet]
}

// fileSet holds the content of the three files, as read together.
type fileSet struct {
	pem         []byte
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New reads the files. It fails if a file is missing or the key does not match the
// certificate.
func New(config Config) (*Files, error) {
	files := &Files{config: config}
	first, err := readFiles(config)
	if err != nil {
		return nil, err
	}
	files.current.Store(first)
	return files, nil
}

// Reload reads the files again and uses them if they changed. On an error the
// previous certificates stay in use.
func (f *Files) Reload() (changed bool, err error) {
	next, err := readFiles(f.config)
	if err != nil {
		return false, err
	}
	if bytes.Equal(next.pem, f.current.Load().pem) {
		return false, nil
	}
	f.current.Store(next)
	return true, nil
}

// Server returns the TLS configuration of a server that accepts only clients whose
// certificates are signed by the authority.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := f.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authority,
			}, nil
		},
	}
}

// Client returns the TLS configuration for connections to such a server.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain against the current authority. Servers are
		// addressed by IP, so host names are not verified.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &f.current.Load().certificate, nil
		},
		VerifyConnection: f.verifyServer,
	}
}

// verifyServer checks the server's chain against the current authority.
func (f *Files) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server sent no certificate")
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

// readFiles reads and parses the three files.
func readFiles(config Config) (*fileSet, error) {
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
		return nil, errors.Wrap(err, "read certificate authority")
	}
	certificate, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %q with key %q", config.Certificate, config.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.Newf("certificate authority %q contains no certificate", config.Authority)
	}
	all := bytes.Join([][]byte{certPEM, keyPEM, authorityPEM}, nil)
	return &fileSet{pem: all, certificate: certificate, authority: pool}, nil
}
