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

// connectionFlags holds the addresses and credentials for the managers.
type connectionFlags struct {
	managers, operatorKeyFile string
	// PEM files for TLS.
	authority, certificate, certificateKey string
}

func (c *connectionFlags) register(flags *flag.FlagSet, env *Env) {
	flags.StringVar(&c.managers, "manager", env.Getenv("LOVAGEDYKE_MANAGER"), "operator addresses of the managers, comma-separated (LOVAGEDYKE_MANAGER)")
	flags.StringVar(&c.operatorKeyFile, "operator-key-file", env.Getenv("LOVAGEDYKE_OPERATOR_KEY_FILE"), "file with the operator key (LOVAGEDYKE_OPERATOR_KEY_FILE)")
	flags.StringVar(&c.authority, "operator-authority", env.Getenv("LOVAGEDYKE_OPERATOR_AUTHORITY"), "PEM file of the CA that signs the managers' certificates; enables TLS (LOVAGEDYKE_OPERATOR_AUTHORITY)")
	flags.StringVar(&c.certificate, "operator-certificate", env.Getenv("LOVAGEDYKE_OPERATOR_CERTIFICATE"), "PEM file with the client certificate (LOVAGEDYKE_OPERATOR_CERTIFICATE)")
	flags.StringVar(&c.certificateKey, "operator-key", env.Getenv("LOVAGEDYKE_OPERATOR_KEY"), "PEM file with its private key (LOVAGEDYKE_OPERATOR_KEY)")
}

// client returns a client configured from the flags.
func (c *connectionFlags) client() (*client.Client, error) {
	managers, err := parseAddresses(c.managers)
	if err != nil {
		return nil, err
	}
	if c.operatorKeyFile == "" {
		return nil, usagef("flag -operator-key-file is missing")
	}
	key, err := settings.ReadSecret(c.operatorKeyFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := c.tls()
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{Managers: managers, Key: string(key), TLS: tlsConfig}), nil
}

func (c *connectionFlags) tls() (*tls.Config, error) {
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
	keyPair, err := tls.LoadX509KeyPair(c.certificate, c.certificateKey)
	config.Certificates = []tls.Certificate{keyPair}
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

// changeFlags holds the flags of commands that change the configuration.
type changeFlags struct {
	connectionFlags
	wait      time.Duration
	operation string
}

func (c *changeFlags) register(flags *flag.FlagSet, env *Env) {
	c.connectionFlags.register(flags, env)
	flags.DurationVar(&c.wait, "wait", 0, "how long to wait until the change is in force everywhere")
	flags.StringVar(&c.operation, "operation", "", "id of this change; reuse it to retry safely after a lost response")
}

// ensureOperation generates an operation id unless -operation is set.
func (c *changeFlags) ensureOperation() {
	if c.operation == "" {
		c.operation = client.NewOperation()
	}
}

// withRetryHint adds how to repeat the change to an error with an unknown outcome.
func (c *changeFlags) withRetryHint(err error) error {
	var problem *api.Problem
	outcomeUnknown := errors.As(err, &problem) && problem.Outcome == api.OutcomeUnknown
	if outcomeUnknown || errors.Is(err, client.ErrUnavailable) {
		return fmt.Errorf("%w\nthe change may have been accepted; repeat the command with -operation %s", err, c.operation)
	}
	return err
}

// reportAndWait prints the accepted revision and, with -wait, waits until it is
// in force on every process.
func (c *changeFlags) reportAndWait(ctx context.Context, env *Env, managerClient *client.Client, response api.ChangeResponse) error {
	if response.Unchanged {
		env.printInfo("nothing to change, revision %d", response.Revision)
	} else {
		env.printInfo("accepted as revision %d", response.Revision)
	}
	if c.wait <= 0 {
		return nil
	}
	status, err := managerClient.Revision(ctx, response.Revision, c.wait)
	if err != nil {
		return err
	}
	if !status.InForce {
		return errors.Wrapf(errNotInForce, "revision %d is not confirmed by %s", response.Revision, strings.Join(status.Missing, ", "))
	}
	env.printInfo("in force on all %d processes", len(status.Confirmed))
	return nil
}
