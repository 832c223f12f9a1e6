// Package peer connects the processes of a deployment by Twirp calls over HTTP,
// and converts between the messages and the types of other packages. Each call
// carries the deployment's shared secret; TLS certificates are optional.
//
// # Usage
//
//	dialer := peer.New(peer.Config{Secret: secret, TLS: files.Client(), Timeout: time.Second})
//	client := dialer.Dial(member.Address)
//	reply, err := client.Exchange(ctx, state)
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

// MaxMessageBytes bounds the body of a peer call.
const MaxMessageBytes = 8 << 20

// Config configures a Dialer.
type Config struct {
	// Secret is the shared secret of the deployment.
	Secret string
	// TLS is the client's TLS configuration. If it is nil, calls use plain HTTP,
	// which is meant for loopback only.
	TLS *tls.Config
	// Timeout bounds one call.
	Timeout time.Duration
}

// Dialer creates clients for peers and keeps one for each address. It is safe for
// concurrent use.
type Dialer struct {
	config  Config
	client  *http.Client
	mu      sync.Mutex
	clients map[netip.AddrPort]peerpb.Peer
}

// New returns a Dialer without connections.
func New(config Config) *Dialer {
	transport := &http.Transport{
		TLSClientConfig:     config.TLS,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
	return &Dialer{
		config:  config,
		client:  &http.Client{Transport: &secretTransport{secret: config.Secret, next: transport}, Timeout: config.Timeout},
		clients: make(map[netip.AddrPort]peerpb.Peer),
	}
}

// Dial returns the client for the address. It connects on the first call.
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

// Close closes idle connections.
func (d *Dialer) Close() {
	d.client.CloseIdleConnections()
}

// secretTransport adds the shared secret to each call.
type secretTransport struct {
	secret string
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (a *secretTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(secretHeader, a.secret)
	return a.next.RoundTrip(request)
}

// Handler returns the handler of the peer port. It rejects calls without the shared
// secret. If secret is empty, it accepts all calls, so the port's TLS configuration
// must require client certificates. Calls with the secret pass through the wrappers.
func Handler(secret string, service peerpb.Peer, wrappers ...func(http.Handler) http.Handler) http.Handler {
	var server http.Handler = peerpb.NewPeerServer(service)
	for _, wrap := range wrappers {
		server = wrap(server)
	}
	want := sha256.Sum256([]byte(secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(secretHeader)))
		if secret != "" && subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "peer secret does not match"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxMessageBytes)
		server.ServeHTTP(w, r)
	})
}
