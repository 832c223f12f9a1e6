package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

// hostPollInterval is how often -wait queries the phase of the host.
const hostPollInterval = 100 * time.Millisecond

var cmdHost = &Cmd{
	Name:        "host",
	Args:        "list|drain|move|return",
	Desc:        "list, drain, move and return hosts",
	Subcommands: []*Cmd{cmdHostList, cmdHostDrain, cmdHostMove, cmdHostReturn},
}

var cmdHostList = &Cmd{
	Name: "list",
	Args: "[flags]",
	Desc: "list the hosts with their pools",
	Setup: listCommand[[]api.Host]{
		header: []string{"HOST", "DATA-CENTRE", "RACK", "POOL", "PHASE", "TARGET", "STATE"},
		fetch:  (*client.Client).Hosts,
		rows:   hostRows,
	}.setup,
}

func hostRows(hosts []api.Host) [][]string {
	var rows [][]string
	for _, host := range hosts {
		rows = append(rows, []string{host.Name, host.DataCentre, host.Rack, host.Pool, host.Phase, host.Target, host.State})
	}
	return rows
}

var cmdHostDrain = &Cmd{
	Name:  "drain",
	Args:  "[flags] <host>",
	Desc:  "take a host out of service for maintenance",
	Setup: setupHostDrain,
}

func setupHostDrain(flags *flag.FlagSet, env *Env) Action {
	return setupHostChange(flags, env, func(ctx context.Context, managerClient *client.Client, args []string) (api.Host, error) {
		name, err := oneArgument(args, "a host")
		if err != nil {
			return api.Host{}, err
		}
		return managerClient.DrainHost(ctx, name, api.DrainRequest{Purpose: "maintenance"})
	}, "drained")
}

var cmdHostMove = &Cmd{
	Name:  "move",
	Args:  "[flags] <host> <pool>",
	Desc:  "drain a host and move it to another pool",
	Setup: setupHostMove,
}

func setupHostMove(flags *flag.FlagSet, env *Env) Action {
	return setupHostChange(flags, env, func(ctx context.Context, managerClient *client.Client, args []string) (api.Host, error) {
		if len(args) != 2 {
			return api.Host{}, usagef("got %q, want a host and a pool", strings.Join(args, " "))
		}
		return managerClient.DrainHost(ctx, args[0], api.DrainRequest{Purpose: "move", Target: args[1]})
	}, "serving")
}

var cmdHostReturn = &Cmd{
	Name:  "return",
	Args:  "[flags] <host>",
	Desc:  "return a host to service in its pool",
	Setup: setupHostReturn,
}

func setupHostReturn(flags *flag.FlagSet, env *Env) Action {
	return setupHostChange(flags, env, func(ctx context.Context, managerClient *client.Client, args []string) (api.Host, error) {
		name, err := oneArgument(args, "a host")
		if err != nil {
			return api.Host{}, err
		}
		return managerClient.ReturnHost(ctx, name)
	}, "serving")
}

// hostChangeFunc requests a change of a host from a manager.
type hostChangeFunc func(ctx context.Context, managerClient *client.Client, args []string) (api.Host, error)

// setupHostChange registers the flags of a host change. With -wait, the command
// returns once the host has reached the phase.
func setupHostChange(flags *flag.FlagSet, env *Env, change hostChangeFunc, phase string) Action {
	var conn connectionFlags
	conn.register(flags, env)
	wait := flags.Duration("wait", 0, "how long to wait until the host is "+phase)
	return func(ctx context.Context, env *Env, args []string) error {
		managerClient, err := conn.client()
		if err != nil {
			return err
		}
		host, err := change(ctx, managerClient, args)
		if err != nil {
			return err
		}
		env.printInfo("host %s of pool %s is %s", host.Name, host.Pool, host.Phase)
		if *wait == 0 {
			return nil
		}
		return awaitPhase(ctx, env, managerClient, host, phase, *wait)
	}
}

// awaitPhase waits until the host has reached the phase, at the epoch of the
// change or a later one, or until the wait times out.
func awaitPhase(ctx context.Context, env *Env, managerClient *client.Client, changed api.Host, phase string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		hosts, err := managerClient.Hosts(ctx)
		if err == nil {
			for _, host := range hosts {
				if host.Name == changed.Name && host.Phase == phase && host.Epoch >= changed.Epoch {
					env.printInfo("host %s of pool %s is %s", host.Name, host.Pool, host.Phase)
					return nil
				}
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(errNotInForce, fmt.Sprintf("host %s is not %s", changed.Name, phase))
		case <-time.After(hostPollInterval):
		}
	}
}
