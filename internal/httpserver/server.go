// Package httpserver runs HTTP servers with limits on connections, header sizes and
// times, and with graceful shutdown.
//
// # Usage
//
//	server, err := httpserver.Start(httpserver.Config{Name: "caller", Address: address, Handler: handler})
//	...
//	server.Drain()             // responses ask the caller to close its connection
//	err = server.Shutdown(ctx) // waits for requests in flight
package httpserver

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/intake"
)

// Defaults of Config.
const (
	DefaultMaxConnections    = 4096
	DefaultMaxHeader         = 32 << 10 // bytes
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultWriteTimeout      = 30 * time.Second
)

// Config configures a Server. Zero values mean the defaults.
type Config struct {
	Name    string
	Address netip.AddrPort
	Handler http.Handler
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// MaxConnections bounds the open connections. Beyond it, those that have been idle or have
	// made no progress for longest are closed.
	MaxConnections    int
	MaxHeader         int
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// ReadTimeout bounds the time to read an entire request. 0 means no bound, for
	// servers with streamed bodies.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time in which a caller accepts a part of a response.
	WriteTimeout time.Duration
}

// withDefaults returns c with zero values replaced by the defaults.
func (c Config) withDefaults() Config {
	if c.MaxConnections == 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	if c.MaxHeader == 0 {
		c.MaxHeader = DefaultMaxHeader
	}
	if c.ReadHeaderTimeout == 0 {
		c.ReadHeaderTimeout = DefaultReadHeaderTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	return c
}

// Server is an HTTP server on one address.
type Server struct {
	config     Config
	httpServer *http.Server
	address    netip.AddrPort
	draining   atomic.Bool
	done       chan error
}

// Start listens on the address and serves requests in a goroutine until Shutdown or
// Close.
func Start(config Config) (*Server, error) {
	config = config.withDefaults()
	door, err := intake.Listen(context.Background(), intake.DoorConfig{
		Name: config.Name, Address: config.Address, MaxConnections: config.MaxConnections,
		WriteTimeout: config.WriteTimeout,
	})
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, done: make(chan error, 1)}
	s.address = door.Addr().(*net.TCPAddr).AddrPort()
	s.httpServer = &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		TLSConfig:         config.TLS,
		MaxHeaderBytes:    config.MaxHeader,
		ReadHeaderTimeout: config.ReadHeaderTimeout,
		ReadTimeout:       config.ReadTimeout,
		IdleTimeout:       config.IdleTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}
	door.Configure(s.httpServer)
	go func() { s.done <- s.serveListener(door) }()
	return s, nil
}

// serveListener serves until the server is closed.
func (s *Server) serveListener(listener net.Listener) error {
	var err error
	if s.config.TLS != nil {
		err = s.httpServer.ServeTLS(listener, "", "")
	} else {
		err = s.httpServer.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve the %s port", s.config.Name)
}

// handle passes a request to the handler. While draining, it asks the caller to
// close the connection. A handler's panic means a violated invariant: it is raised
// again in a goroutine to stop the process, because net/http would recover it.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(http.ErrAbortHandler)
		}
		go panic(reason)
	}()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	s.config.Handler.ServeHTTP(w, r)
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.address }

// Done delivers the error that ended serving, nil after Shutdown or Close.
func (s *Server) Done() <-chan error { return s.done }

// Drain makes every further response ask the caller to close its connection. The
// server still accepts requests. Idle connections stay open, because closing one
// could abort a request that the caller is sending.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrapf(s.httpServer.Shutdown(ctx), "shut down the %s port", s.config.Name)
}

// Close closes the server and all its connections at once.
func (s *Server) Close() error { return s.httpServer.Close() }
