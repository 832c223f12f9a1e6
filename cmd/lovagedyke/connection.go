package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/settings"
	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

// connection holds the flags that tell how to reach the managers.
type connection struct {
	managers, keyFile           string
	authority, certificate, key string
}

func (c *connection) declare(flags *flag.FlagSet, env *Env) {
	flags.StringVar(&c.managers, "manager", env.Getenv("LOVAGEDYKE_MANAGER"), "operators' addresses of managers, separated by commas (LOVAGEDYKE_MANAGER)")
	flags.StringVar(&c.keyFile, "operator-key-file", env.Getenv("LOVAGEDYKE_OPERATOR_KEY_FILE"), "file with the operator key (LOVAGEDYKE_OPERATOR_KEY_FILE)")
	flags.StringVar(&c.authority, "operator-authority", env.Getenv("LOVAGEDYKE_OPERATOR_AUTHORITY"), "PEM certificates that sign managers; turns TLS on (LOVAGEDYKE_OPERATOR_AUTHORITY)")
	flags.StringVar(&c.certificate, "operator-certificate", env.Getenv("LOVAGEDYKE_OPERATOR_CERTIFICATE"), "PEM certificate to present (LOVAGEDYKE_OPERATOR_CERTIFICATE)")
	flags.StringVar(&c.key, "operator-key", env.Getenv("LOVAGEDYKE_OPERATOR_KEY"), "PEM key of the certificate (LOVAGEDYKE_OPERATOR_KEY)")
}

// client returns a client for the managers.
func (c *connection) client() (*client.Client, error) {
	managers, err := parseAddresses(c.managers)
	if err != nil {
		return nil, err
	}
	if c.keyFile == "" {
		return nil, usagef("flag -operator-key-file is missing")
	}
	key, err := settings.ReadSecret(c.keyFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := c.tls()
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{Managers: managers, Key: string(key), TLS: tlsConfig}), nil
}

func (c *connection) tls() (*tls.Config, error) {
	if c.authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.authority)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS12}
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("file %q holds no PEM certificate", c.authority)
	}
	if c.certificate == "" {
		return config, nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	config.Certificates = []tls.Certificate{pair}
	return config, err
}

func parseAddresses(text string) ([]netip.AddrPort, error) {
	if text == "" {
		return nil, usagef("flag -manager is missing")
	}
	var addresses []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, usagef("manager %q is malformed, want an IP number and port such as 127.0.0.1:8080", part)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// change holds the flags of commands that change the configuration.
type change struct {
	connection
	wait      time.Duration
	operation string
}

func (c *change) declare(flags *flag.FlagSet, env *Env) {
	c.connection.declare(flags, env)
	flags.DurationVar(&c.wait, "wait", 0, "how long to wait until the change is in force everywhere")
	flags.StringVar(&c.operation, "operation", "", "id of this change; repeat it to ask again after a lost answer")
}

// begin makes sure that there is an operation id.
func (c *change) begin() {
	if c.operation == "" {
		c.operation = client.NewOperation()
	}
}

// explain adds to an error what the operator can do about it.
func (c *change) explain(err error) error {
	var refused *api.Problem
	unknown := errors.As(err, &refused) && refused.Outcome == api.OutcomeUnknown
	if unknown || errors.Is(err, client.ErrUnavailable) {
		return fmt.Errorf("%w\nthe change may have been accepted; repeat the command with -operation %s", err, c.operation)
	}
	return err
}

// finish tells that the change was accepted and waits for it on request.
func (c *change) finish(ctx context.Context, env *Env, managers *client.Client, answer api.ChangeResponse) error {
	if answer.Unchanged {
		env.say("nothing to change, revision %d", answer.Revision)
	} else {
		env.say("accepted as revision %d", answer.Revision)
	}
	if c.wait <= 0 {
		return nil
	}
	where, err := managers.Revision(ctx, answer.Revision, c.wait)
	if err != nil {
		return err
	}
	if !where.InForce {
		return errors.Wrapf(errNotInForce, "revision %d is not confirmed by %s", answer.Revision, strings.Join(where.Missing, ", "))
	}
	env.say("in force on all %d processes", len(where.Confirmed))
	return nil
}
