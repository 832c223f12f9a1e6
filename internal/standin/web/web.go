// Package web holds the HTTP helpers of the stand-ins: a loopback server with
// graceful shutdown, and functions that read and write JSON bodies.
//
// # Usage
//
//	err := web.Serve(ctx, web.Config{Address: address, Handler: router, Log: logger})
package web

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	defaultGrace      = 10 * time.Second
	readHeaderTimeout = 5 * time.Second
	maxJSONBytes      = 16 << 20
)

// Config configures a server. Address must be a loopback address.
type Config struct {
	Address netip.AddrPort
	Handler http.Handler
	Log     *log.Logger
	// Grace limits the wait for requests in flight at shutdown; 10 s if zero.
	Grace time.Duration
	// ConnState, if set, is called on each change of a connection's state.
	ConnState func(net.Conn, http.ConnState)
}

// Serve listens and serves until ctx ends, and then waits for requests in flight.
func Serve(ctx context.Context, cfg Config) error {
	if !cfg.Address.Addr().IsLoopback() {
		return errors.Newf("listen address %s is not a loopback address", cfg.Address)
	}
	if cfg.Grace == 0 {
		cfg.Grace = defaultGrace
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.Address.String())
	if err != nil {
		return errors.Wrap(err, "start the HTTP server")
	}
	cfg.Log.Info("HTTP server listening", "address", listener.Addr().String())
	server := &http.Server{Handler: cfg.Handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: cfg.ConnState}
	done := make(chan error, 1)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { done <- server.Serve(listener) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	cfg.Log.Info("HTTP server stopping")
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cfg.Grace)
	defer cancel()
	if err := server.Shutdown(graceCtx); err != nil {
		_ = server.Close()
		return errors.Wrap(err, "shut down the HTTP server: requests in flight were aborted")
	}
	return nil
}

// ReadJSON decodes the request body. On failure, it responds with 400 and returns
// false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxJSONBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, fmt.Sprintf("body is not valid: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with the status, and with the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
