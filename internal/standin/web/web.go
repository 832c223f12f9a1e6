// Package web holds what the stand-ins share: a loopback HTTP server that ends
// with its context, and JSON bodies.
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

// Config is one server. The address must be on loopback.
type Config struct {
	Address netip.AddrPort
	Handler http.Handler
	Log     *log.Logger
	// Grace bounds the wait for requests in flight; 10 s if zero.
	Grace time.Duration
	// ConnState, if set, hears of each connection's changes.
	ConnState func(net.Conn, http.ConnState)
}

// Serve listens and serves until ctx ends, then finishes the requests in flight.
func Serve(ctx context.Context, cfg Config) error {
	if !cfg.Address.Addr().IsLoopback() {
		return errors.Newf("address %s is not on loopback", cfg.Address)
	}
	if cfg.Grace == 0 {
		cfg.Grace = defaultGrace
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.Address.String())
	if err != nil {
		return errors.Wrap(err, "cannot listen")
	}
	cfg.Log.Info("listening", "address", listener.Addr().String())
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
	cfg.Log.Info("stopping")
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cfg.Grace)
	defer cancel()
	if err := server.Shutdown(graceCtx); err != nil {
		_ = server.Close()
		return errors.Wrap(err, "requests in flight were cut")
	}
	return nil
}

// ReadJSON decodes the request's body. On failure it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxJSONBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, fmt.Sprintf("body is not valid: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with the status and the value as JSON.
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
