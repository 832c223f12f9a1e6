// Package peer connects the system's own processes: twirp over HTTP, with
// certificates where the settings name them and a shared secret in any case.
//
// # Usage
//
//	dialer := peer.New(peer.Config{Secret: secret, TLS: files.Client(), Timeout: time.Second})
//	client := dialer.Dial(member.Address)
//	answer, err := client.Exchange(ctx, state)
//
//	server.Handler = peer.Handler(secret, service)
package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/lovagedyke/lovagedyke/internal/peer/peerpb"
)

// secretHeader carries the shared secret of the deployment.
const secretHeader = "Lovagedyke-Peer-Secret"

// maxMessage bounds one peer message, in bytes.
const maxMessage = 8 << 20

// Config says how to reach peers.
type Config struct {
	// Secret is the same in all processes of a deployment.
	Secret string
	// TLS is nil on loopback without certificates.
	TLS *tls.Config
	// Timeout bounds one call.
	Timeout time.Duration
}

// Dialer keeps one client for each address.
type Dialer struct {
	config  Config
	client  *http.Client
	mu      sync.Mutex
	clients map[netip.AddrPort]peerpb.Peer
}

// New returns a dialer without connections.
func New(config Config) *Dialer {
	transport := &http.Transport{
		TLSClientConfig:     config.TLS,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
	return &Dialer{
		config:  config,
		client:  &http.Client{Transport: &authorised{secret: config.Secret, next: transport}, Timeout: config.Timeout},
		clients: make(map[netip.AddrPort]peerpb.Peer),
	}
}

// Dial returns the client for the address; it connects at the first call.
func (d *Dialer) Dial(address netip.AddrPort) peerpb.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if client, ok := d.clients[address]; ok {
		return client
	}
	scheme := "http://"
	if d.config.TLS != nil {
		scheme = "https://"
	}
	client := peerpb.NewPeerProtobufClient(scheme+address.String(), d.client)
	d.clients[address] = client
	return client
}

// Close drops idle connections.
func (d *Dialer) Close() {
	d.client.CloseIdleConnections()
}

// authorised adds the shared secret to each call.
type authorised struct {
	secret string
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (a *authorised) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(secretHeader, a.secret)
	return a.next.RoundTrip(request)
}

// Handler serves the peer port; it refuses calls without the shared secret.
// Without a secret the port must ask for certificates.
func Handler(secret string, service peerpb.Peer) http.Handler {
	server := peerpb.NewPeerServer(service)
	want := sha256.Sum256([]byte(secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(secretHeader)))
		if secret != "" && subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "peer secret does not match"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxMessage)
		server.ServeHTTP(w, r)
	})
}
