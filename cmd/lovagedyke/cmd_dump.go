package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/bounded"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

const (
	dumpTimeout = 10 * time.Second
	// maxDumpBytes is the size limit of a dump.
	maxDumpBytes = 64 << 20
)

var cmdDump = &Cmd{
	Name:  "dump",
	Args:  "<operations address>",
	Desc:  "print the state of a process as JSON",
	Setup: func(*flag.FlagSet, *Env) Action { return dump },
}

func dump(ctx context.Context, env *Env, args []string) error {
	text, err := oneArgument(args, "the operations address of a process")
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return usagef("address %q is malformed, want an IP number and port such as 127.0.0.1:8080", text)
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/dump", address), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Mark(err, client.ErrUnavailable)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("process at %s returned status %s", address, response.Status)
	}
	content, err := bounded.ReadAll(response.Body, maxDumpBytes)
	if err != nil {
		return errors.Wrapf(err, "read the dump of %s", address)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, content, "", "  "); err != nil {
		return fmt.Errorf("dump of %s is malformed: %w", address, err)
	}
	fmt.Fprintln(env.Stdout, indented.String())
	return nil
}
