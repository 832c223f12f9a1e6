package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/lovagedyke/lovagedyke/pkg/api"
	"github.com/lovagedyke/lovagedyke/pkg/client"
)

var cmdKey = &Cmd{
	Name:        "key",
	Args:        "give|withdraw|list",
	Desc:        "issue, withdraw or list teams' keys",
	Subcommands: []*Cmd{cmdKeyGive, cmdKeyWithdraw, cmdKeyList},
}

var cmdKeyGive = &Cmd{
	Name:  "give",
	Args:  "[flags] <team>",
	Desc:  "issue a key for a team and print it (it is shown only once)",
	Setup: setupKeyGive,
}

func setupKeyGive(flags *flag.FlagSet, env *Env) Action {
	var c changeFlags
	c.connectionFlags.register(flags, env)
	flags.DurationVar(&c.wait, "wait", 0, "how long to wait until the key works everywhere")
	return func(ctx context.Context, env *Env, args []string) error {
		team, err := oneArgument(args, "a team")
		if err != nil {
			return err
		}
		managerClient, err := c.client()
		if err != nil {
			return err
		}
		key, response, err := managerClient.IssueKey(ctx, team)
		if err != nil {
			return err
		}
		fmt.Fprintln(env.Stdout, key)
		return c.reportAndWait(ctx, env, managerClient, response)
	}
}

var cmdKeyWithdraw = &Cmd{
	Name:  "withdraw",
	Args:  "[flags] <id>",
	Desc:  "withdraw a key permanently",
	Setup: setupKeyWithdraw,
}

func setupKeyWithdraw(flags *flag.FlagSet, env *Env) Action {
	var c changeFlags
	c.register(flags, env)
	return func(ctx context.Context, env *Env, args []string) error {
		id, err := oneArgument(args, "the id of a key")
		if err != nil {
			return err
		}
		managerClient, err := c.client()
		if err != nil {
			return err
		}
		c.ensureOperation()
		response, err := managerClient.WithdrawKey(ctx, id, c.operation)
		if err != nil {
			return c.withRetryHint(err)
		}
		return c.reportAndWait(ctx, env, managerClient, response)
	}
}

var cmdKeyList = &Cmd{
	Name: "list",
	Args: "[flags]",
	Desc: "list keys by id, without their secrets",
	Setup: listCommand[[]api.Key]{
		header: []string{"ID", "TEAM", "STATE", "REVISION"},
		fetch:  (*client.Client).Keys,
		rows:   keyRows,
	}.setup,
}

func keyRows(keys []api.Key) [][]string {
	var rows [][]string
	for _, key := range keys {
		rows = append(rows, []string{key.ID, key.Team, keyState(key), strconv.FormatUint(key.Revision, 10)})
	}
	return rows
}

func keyState(key api.Key) string {
	if key.Withdrawn {
		return "withdrawn"
	}
	return "in-force"
}
